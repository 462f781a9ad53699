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

const (
	// case1Rate is close to what the replicas bear: twelve with two slots, 30 ms a request.
	case1Rate     = 765.0
	case1Replicas = 12
	// The dose of the disruption, that of "extra late" in the site file.
	lateShare    = 0.03
	lateReplicas = 7
	lateFor      = 5 * time.Second
	// latePeriod is the time from one disruption to the next.
	latePeriod = 9 * time.Second
	case1For   = 95 * time.Second
	timeLimit  = 5 * time.Second
)

// case1: replicas hand out second copies of answers late. Requests may run once at most.
func case1(s *stage) error {
	s.store.Put(names["config"], json.RawMessage(config1))
	var replicas []*replica
	zones := []string{"ke-rift-a", "ke-rift-b", "ke-rift-c", "ke-rift-d"}
	for i := range case1Replicas {
		zone := zones[i%len(zones)]
		r := &replica{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "kafi81c", zone: zone, slots: 2, queue: 3, maxConns: 110,
			work: entryWork, rec: s.rec, store: s.store,
		}
		if err := r.start(); err != nil {
			return err
		}
		s.onEnd(r.stop)
		s.rec.log("replica %d is %s in %s", i, r.id, zone)
		replicas = append(replicas, r)
	}
	if err := s.startNodes(zones...); err != nil {
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
		all.Go(func() { entry(s, clients, at, id) })
	}
	all.Wait()
	time.Sleep(time.Second)
	return nil
}

// entryWork is the time of one request: 30 ms on average.
func entryWork() time.Duration {
	return time.Duration(15+rand.IntN(31)) * time.Millisecond
}

// entry sends one request of a client, and once more after a promise that it has not run.
func entry(s *stage, clients []*client, at int, id string) {
	began := time.Now()
	target := "/goka902/" + id
	for attempt := range 2 {
		left := timeLimit - time.Since(began)
		this := fmt.Sprintf("%s.%d", id, attempt)
		s.rec.sent(this, "POST to "+s.nodes[at].name)
		a := clients[at].send("POST", target, this, "fee of "+id, left, attempt > 0)
		s.rec.answered(this, a.status, a.note())
		if !promise(a.status) || a.retryAfter > (timeLimit-time.Since(began))/3 {
			return
		}
		time.Sleep(a.retryAfter)
		at = (at + 1) % len(clients)
	}
}
