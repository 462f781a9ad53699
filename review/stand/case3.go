package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobmill/carobmill/platform/soak"
)

//go:embed config3.json
var config3 string

const (
	oldService, newService = "kafi81c", "nylo40d"

	case3Rate = 30.0
	case3For  = 29 * time.Second
	// The node is cut off from the store from cutAt on.
	cutAt  = 3 * time.Second
	cutFor = 5500 * time.Millisecond
	// stormChanges are written, one each stormGap. The last one moves the route.
	stormAt      = 3500 * time.Millisecond
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	// historyFor is how long the store keeps its history.
	historyFor = 20 * time.Second
	// contact and apply are the bounds contact_ms and apply_ms.
	contact, apply = 4 * time.Second, 3 * time.Second
	// idleRoutes is the number of further routes of the configuration, which get no requests.
	idleRoutes = 3850
)

// configuration returns a version of the configuration with many further routes.
func configuration(version int, service string, routes int) (json.RawMessage, error) {
	var c map[string]any
	if err := json.Unmarshal([]byte(strings.ReplaceAll(config3, "SERVICE", service)), &c); err != nil {
		return nil, err
	}
	c["version"] = version
	list := c["routes"].([]any)
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-idle%05d", i), "host": "leno12.example", "prefix": fmt.Sprintf("/idle%05d/", i), "kind": "safe",
			"timeout_ms": 1200, "goal_ms": 120, "priority": 3, "service": "kafi81c", "attempts": 2,
		})
	}
	c["routes"] = list
	return json.Marshal(c)
}

// case3: a node is cut off from the store while large configurations come in quick succession.
func case3(s *stage) error {
	routes := idleRoutes
	if os.Getenv("SMALL") != "" {
		routes = 100
	}
	// The versions are made before, so that the storm keeps its times.
	var versions []json.RawMessage
	for i := range stormChanges + 1 {
		service := oldService
		if i == stormChanges {
			service = newService
		}
		c, err := configuration(7+2*i, service, routes)
		if err != nil {
			return err
		}
		versions = append(versions, c)
	}
	put := func(i int) {
		s.store.Put(names["config"], versions[i])
		s.rec.log("the operator writes version %d, %d bytes", 7+2*i, len(versions[i]))
	}
	put(0)
	for _, service := range []string{oldService, newService} {
		for i := range 3 {
			r := &replica{
				id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: []string{"ke-rift-a", "ke-rift-b"}[i%2],
				slots: 4, queue: 8, maxConns: 110, work: entryWork, rec: s.rec, store: s.store, quiet: true,
			}
			if err := r.start(); err != nil {
				return err
			}
			s.onEnd(r.stop)
		}
	}
	link, err := soak.NewProxy(strings.TrimPrefix(s.store.URL(), "http://"))
	if err != nil {
		return err
	}
	s.onEnd(link.Close)
	s.storeURLs = []string{"http://" + link.Addr()}
	if err := s.startNodes("ke-rift-a", "ke-rift-b"); err != nil {
		return err
	}
	began := time.Now()
	if s.trouble {
		time.AfterFunc(cutAt, func() {
			s.rec.log("trouble: %s is cut off from the store", s.nodes[0].name)
			link.SetFaults(soak.LinkFaults{DropToTarget: true, DropFromTarget: true})
		})
		time.AfterFunc(cutAt+cutFor, func() {
			s.rec.log("the cut has healed")
			link.SetFaults(soak.LinkFaults{})
		})
	}
	// due is when requests have to be handled as the last version says, at the node that was cut
	// off too, in nanoseconds since the start.
	var due atomic.Int64
	go func() {
		for i := range stormChanges {
			time.Sleep(time.Until(began.Add(stormAt + time.Duration(i)*stormGap)))
			put(i + 1)
		}
		confirmed := time.Since(began)
		due.Store(int64(max(confirmed+apply, cutAt+cutFor+contact)))
		s.rec.log("the last version is confirmed; due everywhere at %v after the start of the traffic", time.Duration(due.Load()))
	}()
	time.AfterFunc(stormAt+historyFor, func() {
		s.rec.log("the store discards its history")
		s.store.Compact()
	})
	var all sync.WaitGroup
	next := began
	for n := 0; time.Since(began) < case3For; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / case3Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		at := s.nodes[n%2]
		id := fmt.Sprintf("%08x%06d", s.run, n)
		if d := due.Load(); d > 0 && int64(time.Since(began)) > d {
			id += ".due"
		}
		c := s.client(at.caller)
		all.Go(func() {
			s.rec.sent(id, "GET to "+at.name)
			a := c.send("GET", "/goka902/"+id, id, "", timeLimit, false)
			s.rec.answered(id, a.status, a.note())
		})
	}
	all.Wait()
	return nil
}

// checkApplied checks the rule CONFIG: a request that is sent later than the last version is due is
// not run by the service from which that version has moved the route.
func checkApplied(r *record) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	due, old, succeeded := 0, 0, 0
	for _, id := range r.order {
		if r.answers[id] == 200 {
			succeeded++
		}
		if !strings.HasSuffix(id, ".due") {
			continue
		}
		due++
		for _, replica := range r.runs[id] {
			if strings.Contains(replica, oldService) {
				old++
				r.logLocked("CONFIG   %s was run by the old service at %s", id, replica)
				break
			}
		}
	}
	summary := fmt.Sprintf("%d requests, %d succeeded; of %d sent when the last version was due, %d were run by the old service", len(r.order), succeeded, due, old)
	r.logLocked("%s", summary)
	fmt.Println(summary)
	switch {
	case succeeded == 0 || due == 0:
		return 2
	case old > 0:
		return 1
	}
	return 0
}

// entryWork is the time of one request: 30 ms on average.
func entryWork() time.Duration {
	return time.Duration(15+rand.IntN(31)) * time.Millisecond
}
