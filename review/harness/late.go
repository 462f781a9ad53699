package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// excusedUntil is the time after SIGTERM up to which a request may be cut while its replica
	// is at work in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
	// terms is the number of nodes that are stopped and started in turn.
	terms = 6
	// termGap is the time between a node's start and the next SIGTERM.
	termGap = 3 * time.Second
)

// termination is one SIGTERM of a node.
type termination struct {
	node string
	at   time.Time
}

// lateRequest sends requests that take some seconds on kept connections, while nodes are stopped
// and started in turn.
func lateRequest(d *deployment) (string, []string, error) {
	const rule = "LOST"
	service := "planner"
	d.configure(7, 51, []string{service}, route{name: "r-planner", prefix: "/plan/", kind: "unsafe", service: service, timeoutMs: 6000, goalMs: 4000, attempts: 2})
	for i := range 26 {
		r := &replica{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%len(zones)], slots: 6, queue: 24, maxConns: 51, record: d.record,
			work: func(*http.Request) time.Duration {
				return 2800*time.Millisecond + time.Duration(rand.Int64N(int64(700*time.Millisecond)))
			},
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
	b := newBalancer(d.nodes)
	defer b.stop()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for k := range envInt("CLIENTS", 180) {
		clients.Go(func() { keepSending(d, b, k, stop) })
	}
	time.Sleep(6 * time.Second)
	var done []termination
	for i := range terms {
		n := d.nodes[i]
		if d.trouble {
			done = append(done, termination{n.name, time.Now()})
			d.record.note("SIGTERM  %s", n.name)
			n.signal(syscall.SIGTERM)
			select {
			case <-n.exited:
				d.record.note("exited   %s after %v", n.name, time.Since(done[i].at).Round(time.Millisecond))
			case <-time.After(graceSeconds * time.Second):
				d.record.note("SIGKILL  %s", n.name)
				n.signal(syscall.SIGKILL)
				<-n.exited
			}
			if err := n.start(); err != nil {
				return rule, nil, err
			}
		} else {
			time.Sleep(graceSeconds * time.Second)
		}
		time.Sleep(termGap)
	}
	close(stop)
	clients.Wait()
	return rule, d.record.lost(done, 6*time.Second), nil
}

// keepSending sends requests with pauses on one connection as long as that stays open.
func keepSending(d *deployment, b *balancer, number int, stop <-chan struct{}) {
	c := &client{record: d.record, rng: rand.New(rand.NewPCG(d.seed, uint64(number))), keep: true}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration((0.2 + 3.6*c.rng.Float64()) * float64(time.Second))):
		}
		if c.conn == nil {
			c.node = b.pick(c.rng)
		}
		id := fmt.Sprintf("c%dx%d", number, i)
		a := c.send(request{id: id, method: http.MethodPost, host: host, target: "/plan/course", body: "plan " + id, limit: 6 * time.Second})
		if promised(a.status) {
			c.close()
		}
	}
}

// lost returns the requests that a node passed on after a SIGTERM and whose connection ended
// without an answer, and that the rule does not excuse.
func (r *record) lost(done []termination, limit time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for id, a := range r.answers {
		runs, sent := r.runs[id], r.sent[id]
		if a.err == nil || len(runs) == 0 || a.at.Sub(sent) >= limit {
			continue
		}
		for _, t := range done {
			after := sent.Sub(t.at)
			cut := a.at.Sub(t.at)
			if t.node != r.nodes[id] || cut < 0 || cut > (graceSeconds+1)*time.Second || after < 0 {
				continue
			}
			atWork := runs[0].ended.IsZero() || runs[0].ended.Sub(t.at) > graceSeconds*time.Second*5/6
			if after <= excusedUntil && atWork {
				r.counts["cut and excused"]++
				continue
			}
			found = append(found, fmt.Sprintf("%s was sent to %s %v after its SIGTERM, ran at %s, and its connection ended %v after the SIGTERM without an answer: %v",
				id, t.node, after.Round(time.Millisecond), runs[0].replica, cut.Round(time.Millisecond), a.err))
		}
	}
	slices.Sort(found)
	return found
}
