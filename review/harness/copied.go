package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// Half of the replicas send second copies of copyPart of their answers, in spells of
	// copySpell, each with a pause before it.
	copyPart  = 0.03
	copySpell = 5 * time.Second
	copyPause = 3 * time.Second
	// copyDelay bounds how late a second copy is.
	copyDelay = 30 * time.Millisecond
	spells    = 10
)

// copiedRejection sends unsafe requests to a service that is nearly full, while some replicas
// send second copies of a few answers late.
func copiedRejection(d *deployment) (string, []string, error) {
	const rule = "TWICE"
	service := "enrol"
	d.configure(7, 26, []string{service}, route{name: "r-enrol", prefix: "/enrol/", kind: "unsafe", service: service, timeoutMs: 4000, goalMs: 250, attempts: 1})
	var spell atomic.Bool
	for i, zone := range []string{"stgo-a", "stgo-b", "valpo-a", "rancagua-a"} {
		rng := rand.New(rand.NewPCG(d.seed, uint64(1000+i)))
		copying := i < 2
		r := &replica{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zone, slots: 2, queue: 4, maxConns: 26, record: d.record,
			work: func(*http.Request) time.Duration {
				return spread(rand.New(rand.NewPCG(rand.Uint64(), 1)), time.Duration(envInt("WORK", 7500))*time.Microsecond)
			},
		}
		r.copies = func() time.Duration {
			if !copying || !spell.Load() {
				return 0
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if rng.Float64() >= copyPart {
				return 0
			}
			return time.Duration(1 + rng.Int64N(int64(copyDelay)))
		}
		if err := r.start(d.store); err != nil {
			return rule, nil, err
		}
		d.replicas = append(d.replicas, r)
	}
	var err error
	if d.nodes, err = startNodes(d.folder, d.storeAddr(), zones, 0.4); err != nil {
		return rule, nil, err
	}
	time.Sleep(4 * time.Second)
	until := time.Now().Add(spells * (copySpell + copyPause))
	go func() {
		for time.Now().Before(until) && d.trouble {
			time.Sleep(copyPause)
			spell.Store(true)
			d.record.note("second copies begin")
			time.Sleep(copySpell)
			spell.Store(false)
			d.record.note("second copies end")
		}
	}()
	drive(envInt("CLIENTS", 100), until, d.seed, d.record, d.nodes, func(rng *rand.Rand, client, i int) (request, time.Duration) {
		id := fmt.Sprintf("c%dx%d", client, i)
		return request{id: id, method: http.MethodPost, host: host, target: "/enrol/learner", body: "enrol " + id, limit: 4 * time.Second},
			time.Duration(rng.ExpFloat64() * float64(time.Duration(envInt("THINK", 60))*time.Millisecond))
	})
	time.Sleep(time.Second)
	return rule, d.record.runTwiceOrRefused(), nil
}

// runTwiceOrRefused returns the unsafe requests that ran more than once, and those that were
// refused as not run and ran.
func (r *record) runTwiceOrRefused() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for id, runs := range r.runs {
		if len(runs) > 1 {
			found = append(found, fmt.Sprintf("TWICE: %s ran at %s and, %v later, at %s", id, runs[0].replica, runs[1].at.Sub(runs[0].at).Round(time.Millisecond), runs[1].replica))
		}
		if a, ok := r.answers[id]; ok && promised(a.status) {
			found = append(found, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", id, a.status, runs[0].replica))
		}
	}
	slices.Sort(found)
	return found
}
