package scenario_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/query"
)

// Guards against interrupted fees while every node restarts in turn. A node that shuts down
// still receives callers within the balancer lag. No fee may be unknown or unanswered, and
// each complete fee must run exactly once.
func TestRollingRestartInterruptsNoFee(t *testing.T) {
	runWritesInVirtualTime(t, deskSheet(), rollingRestart)
}

func rollingRestart(t *testing.T, w *writeHarness) {
	serving := make([]atomic.Bool, len(w.d.Nodes))
	for node := range serving {
		serving[node].Store(true)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	var next, complete, refused atomic.Int64
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				n := int(next.Add(1))
				node := n % len(serving)
				if !serving[node].Load() {
					continue
				}
				key := ""
				if n%2 == 0 {
					key = fmt.Sprint(n)
				}
				a := w.send(node, n, key)
				switch {
				case a == nil || a.Outcome == query.Unknown:
					w.c.Errorf("fee %d at node %d: %+v", n, node, a)
				case a.Outcome == query.Refused:
					refused.Add(1)
					w.c.Check(w.runs(n), qt.Equals, 0)
				default:
					complete.Add(1)
					w.c.Check(w.runs(n), qt.Equals, 1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	for i, node := range w.d.Nodes {
		time.AfterFunc(balancerLagMs*time.Millisecond, func() { serving[i].Store(false) })
		node.Stop()
		w.c.Assert(node.Start(context.Background()), qt.IsNil)
		w.c.Assert(w.d.WaitReady(context.Background()), qt.IsNil)
		serving[i].Store(true)
	}
	stop()
	callers.Wait()
	t.Logf("%d fees complete, %d refused", complete.Load(), refused.Load())
	w.c.Check(complete.Load() > 0, qt.IsTrue)
}

// Guards against a claim that stays "unknown" although its fee never left an owner's queue.
// All backend servers hang and their connections are silent, so the queues do not move. After
// the deadline the claim must be released, so that a retry runs as a new request.
func TestFeeThatOnlyQueuedReleasesItsKey(t *testing.T) {
	runWritesInVirtualTime(t, deskSheet(), onlyQueued)
}

func onlyQueued(t *testing.T, w *writeHarness) {
	for _, server := range w.d.Backends {
		server.Hold()
	}
	const fees = 60
	var callers sync.WaitGroup
	for n := range fees {
		callers.Go(func() { w.send(n%len(w.d.Nodes), n, fmt.Sprint(n)) })
	}
	// The silent connections hide the nodes' cancellations from the backend servers.
	time.Sleep(100 * time.Millisecond)
	for _, server := range w.d.Backends {
		server.BlackholeConnections()
	}
	callers.Wait()
	time.Sleep(time.Second)
	queued := 0
	for n := range fees {
		if w.runs(n) > 0 {
			continue
		}
		queued++
		a := w.send((n+1)%len(w.d.Nodes), n, fmt.Sprint(n))
		w.c.Assert(a, qt.IsNotNil)
		w.c.Check(a.Repeated, qt.IsFalse, qt.Commentf("fee %d: %+v", n, a))
	}
	t.Logf("%d of %d fees only queued", queued, fees)
	w.c.Check(queued > 0, qt.IsTrue)
	for _, server := range w.d.Backends {
		server.Resume()
	}
}
