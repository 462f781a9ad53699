package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

//go:embed config1.json
var config1 string

// The service is that of the site's branch-planner: four replicas with six slots and a queue of 24,
// 60 ms a request, behind eight nodes.
const (
	case1Replicas = 4
	case1Slots    = 6
	case1Queue    = 24
	case1MaxConns = 51
	// case1Rate is 1.05 times what the replicas bear.
	case1Rate      = 420.0
	case1TimeLimit = 4 * time.Second
	// The dose of the disruption, that of "extra late across" in the site file.
	lateShare    = 0.04
	lateReplicas = 2
	lateFor      = 5 * time.Second
	// latePeriod is the time from one disruption to the next.
	latePeriod = 7 * time.Second
	case1For   = 95 * time.Second
)

// case1Zones holds the zone of each node.
var case1Zones = []string{"stgo-a", "stgo-a", "stgo-a", "stgo-b", "stgo-b", "valpo-a", "rancagua-a", "rancagua-a"}

// case1: replicas hand out second copies of answers late. Requests may run once at most.
func case1(s *stage) error {
	s.store.Put(names["config"], json.RawMessage(config1))
	var replicas []*replica
	for i, zone := range []string{"stgo-a", "stgo-b", "valpo-a", "rancagua-a"} {
		r := &replica{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "kafi81c", zone: zone, slots: case1Slots, queue: case1Queue,
			maxConns: case1MaxConns, work: case1Work, rec: s.rec, store: s.store,
		}
		if err := r.start(); err != nil {
			return err
		}
		s.onEnd(r.stop)
		s.rec.log("replica %d is %s in %s", i, r.id, zone)
		replicas = append(replicas, r)
	}
	if err := s.startNodes(case1Zones...); err != nil {
		return err
	}
	var clients []*client
	for _, n := range s.nodes {
		clients = append(clients, newClient(n.caller, "hufi27.example"))
	}
	if s.trouble {
		for after := 4 * time.Second; after+lateFor < case1For; after += latePeriod {
			time.AfterFunc(after, func() {
				s.rec.log("trouble: %d of %d replicas send second copies of %g of their answers late", lateReplicas, case1Replicas, lateShare)
				for _, r := range replicas[:lateReplicas] {
					r.setLate(lateShare)
				}
			})
			time.AfterFunc(after+lateFor, func() {
				s.rec.log("trouble ends")
				for _, r := range replicas {
					r.setLate(0)
				}
			})
		}
	}
	var all sync.WaitGroup
	n := 0
	next := time.Now()
	for end := next.Add(case1For); time.Now().Before(end); n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / case1Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		at := rand.IntN(len(clients))
		id := fmt.Sprintf("%08x%06d", s.run, n)
		all.Go(func() { lookup(s, clients, at, id) })
	}
	all.Wait()
	time.Sleep(time.Second)
	return nil
}

// case1Work is the time of one request: 60 ms on average.
func case1Work() time.Duration {
	return time.Duration(30+rand.IntN(61)) * time.Millisecond
}

// lookup sends one request of a client, and once more after a promise that it has not run.
func lookup(s *stage, clients []*client, at int, id string) {
	began := time.Now()
	target := "/goka902/" + id
	for attempt := range 2 {
		left := case1TimeLimit - time.Since(began)
		this := fmt.Sprintf("%s.%d", id, attempt)
		s.rec.sent(this, "POST to "+s.nodes[at].name)
		a := clients[at].send("POST", target, this, "booking "+id, left, attempt > 0)
		s.rec.answered(this, a.status, a.note())
		if !promise(a.status) || a.retryAfter > (case1TimeLimit-time.Since(began))/3 {
			return
		}
		time.Sleep(a.retryAfter)
		at = (at + 1) % len(clients)
	}
}
