package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

//go:embed config2.json
var config2 string

const (
	case2Rate     = 45.0
	case2Replicas = 12
	case2For      = 14 * time.Second
	// The node gets SIGTERM after termAfter and SIGHUP hupAfter later, well within its grace of 6 s.
	termAfter = 4 * time.Second
	hupAfter  = 1500 * time.Millisecond
	grace     = 6 * time.Second
	timeLimit = 5 * time.Second
)

// case2: a node gets SIGTERM, and SIGHUP while it finishes its requests.
func case2(s *stage) error {
	s.store.Put(names["config"], json.RawMessage(config2))
	zones := []string{"ke-rift-a", "ke-rift-b"}
	for i := range case2Replicas {
		r := &replica{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "kafi81c", zone: zones[i%2], slots: 2, queue: 8, maxConns: 110,
			work: lookupWork, rec: s.rec, store: s.store,
		}
		if err := r.start(); err != nil {
			return err
		}
		s.onEnd(r.stop)
	}
	if err := s.startNodes(zones...); err != nil {
		return err
	}
	var clients []*client
	for _, n := range s.nodes {
		clients = append(clients, newClient(n.caller, "hufi27.example"))
	}
	stopped := s.nodes[0]
	// inRotation is what the balancer knows of the node that is stopped: two probes without a 200
	// take it out.
	var inRotation atomic.Bool
	inRotation.Store(true)
	end := time.Now().Add(case2For)
	go func() {
		missed := 0
		for ; time.Now().Before(end); time.Sleep(time.Second) {
			if stopped.ready() {
				missed = 0
			} else {
				missed++
			}
			inRotation.Store(missed < 2)
		}
	}()
	time.AfterFunc(termAfter, func() {
		s.rec.log("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		exited := stopped.exited
		if s.trouble {
			time.AfterFunc(hupAfter, func() {
				if err := changeSettings(stopped.settings); err != nil {
					s.rec.log("settings not changed: %v", err)
				}
				s.rec.log("the settings of %s change: SIGHUP", stopped.name)
				stopped.signal(syscall.SIGHUP)
			})
		}
		select {
		case <-exited:
			s.rec.log("%s has ended", stopped.name)
		case <-time.After(grace):
			s.rec.log("SIGKILL to %s", stopped.name)
			stopped.kill()
		}
	})
	var all sync.WaitGroup
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / case2Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		at := n % 2
		id := fmt.Sprintf("%08x%06d", s.run, n)
		all.Go(func() {
			if at == 0 && !inRotation.Load() && !clients[0].hasIdle() {
				at = 1
			}
			s.rec.sent(id, "POST to "+s.nodes[at].name)
			a := clients[at].send("POST", "/goka902/"+id, id, "entry "+id, timeLimit, false)
			s.rec.answered(id, a.status, a.note())
		})
	}
	all.Wait()
	return nil
}

// changeSettings changes the log level in a settings file.
func changeSettings(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return os.WriteFile(file, append([]byte("# changed\n"), data...), 0o600)
}

// lookupWork is the time of one request: 120 ms on average.
func lookupWork() time.Duration {
	return time.Duration(60+rand.IntN(121)) * time.Millisecond
}

// checkLost checks the rule LOST around planned work: a request that a node has passed on to a
// replica gets a complete answer.
func checkLost(r *record) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost, succeeded := 0, 0
	for _, id := range r.order {
		status, runs := r.answers[id], r.runs[id]
		if status == 200 {
			succeeded++
		}
		if status == 0 && len(runs) > 0 {
			lost++
			r.logLocked("LOST     %s ran at %v and its connection ended without an answer", id, runs)
		}
	}
	r.logLocked("%d requests, %d succeeded, %d were passed on to a replica and lost", len(r.order), succeeded, lost)
	fmt.Printf("%d requests, %d succeeded, %d were passed on to a replica and lost\n", len(r.order), succeeded, lost)
	switch {
	case succeeded == 0:
		return 2
	case lost > 0:
		return 1
	}
	return 0
}
