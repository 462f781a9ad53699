package relay_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/forward"
)

// Guards against small nodes that follow the store, or do not relay, while a coordinator is
// available: many of them would load the store.
func TestSmallNodeRelaysWithoutFollowingStore(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, _ := c.usedCoordinator()
		c.Assert(used.servedCount(), qt.Equals, 1)
		c.Assert(c.small.servedCount(), qt.Equals, 0)
		c.Assert(c.small.isFollowing(), qt.IsFalse)
		c.Assert(c.small.relay.Ready(), qt.IsTrue)
		c.Assert(c.coordinators[0].isFollowing() && c.coordinators[1].isFollowing(), qt.IsTrue)
		used.relay.Serve(c.Context(), &forward.Request{ID: "q", Arrived: time.Now()})
		c.Assert(used.servedCount(), qt.Equals, 2, qt.Commentf("a large node did not answer its own caller"))
	})
}

// Guards against requests that wait for an unresponsive coordinator. The first request is
// retried after the offer timeout, which is safe because the coordinator has not begun it.
// Later requests use the other coordinator at once.
func TestUnresponsiveCoordinatorIsReplaced(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		c.network.Cut(c.small.host, used.host)
		start := time.Now()
		a := c.sendRequest("GET")
		c.Assert(string(a.Body), qt.Equals, other.member.Node)
		c.Assert(time.Since(start) < 120*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(start)))
		start = time.Now()
		c.sendRequest("GET")
		c.Assert(time.Since(start) < 10*time.Millisecond, qt.IsTrue)

		c.network.Restore(c.small.host, used.host)
		time.Sleep(5 * time.Second)
		again, _ := c.usedCoordinator()
		c.Assert(again, qt.Equals, used, qt.Commentf("not used again after a successful heartbeat"))
	})
}

// Guards against running a request twice: a coordinator that was paused with the request in
// its socket must not begin it after the sender has used another one.
func TestPausedCoordinatorDoesNotRunReassignedRequest(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		before := used.servedCount()
		resume := used.pause()
		c.Assert(string(c.sendRequest("POST").Body), qt.Equals, other.member.Node)
		resume()
		time.Sleep(time.Second)
		c.Assert(used.servedCount(), qt.Equals, before)
		c.Assert(other.servedCount(), qt.Equals, 1)
	})
}

// Guards against failing a request when its coordinator is dead and refuses connections:
// the request has not run, so another coordinator may run it.
func TestRequestIsRetriedWhenCoordinatorRefusesConnection(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		used.server.Stop()
		time.Sleep(200 * time.Millisecond)
		c.Assert(string(c.sendRequest("POST").Body), qt.Equals, other.member.Node)
	})
}

// Guards against retrying a request that a lost coordinator has begun: replicas may have
// received attempts and hedges, and a retry would exceed the route's limit. The caller gets
// the failure after a failed heartbeat, long before its deadline.
func TestStartedRequestFailsWhenCoordinatorIsLost(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		used.update(func() { used.block = true })
		done := make(chan forward.Answer)
		start := time.Now()
		go func() { done <- c.sendRequest("GET") }()
		time.Sleep(50 * time.Millisecond)
		c.network.Cut(c.small.host, used.host)
		c.Assert((<-done).Outcome, qt.Equals, forward.Failed)
		c.Assert(time.Since(start) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(start)))
		c.Assert(other.servedCount(), qt.Equals, 0)
	})
}

// Guards against a small node without coordinators that does not follow the store, and
// against one that, when coordinators return, never stops following it or stops too early.
func TestSmallNodeFollowsStoreWithoutCoordinators(t *testing.T) {
	runTest(t, func(c *cluster) {
		c.network.Cut(c.small.host, c.coordinators[0].host)
		c.network.Cut(c.small.host, c.coordinators[1].host)
		c.Assert(string(c.sendRequest("GET").Body), qt.Equals, "small")
		time.Sleep(5 * time.Second)
		c.Assert(c.small.isFollowing(), qt.IsTrue)
		c.network.Restore(c.small.host, c.coordinators[0].host)
		c.network.Restore(c.small.host, c.coordinators[1].host)
		time.Sleep(5 * time.Second)
		c.usedCoordinator()
		c.Assert(c.small.isFollowing(), qt.IsTrue)
		time.Sleep(12 * time.Second)
		c.Assert(c.small.isFollowing(), qt.IsFalse)
	})
}

// Guards against answers by an older configuration version than that of an earlier answer.
// The second coordinator polls the store at once and answers when it has the version.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		used.update(func() { used.version = 4 })
		c.Assert(c.sendRequest("GET").Version, qt.Equals, uint64(4))
		used.update(func() { used.leaving = true })
		time.Sleep(time.Second)
		go func() {
			time.Sleep(50 * time.Millisecond)
			other.update(func() { other.version = 4 })
		}()
		a := c.sendRequest("GET")
		c.Assert(string(a.Body), qt.Equals, other.member.Node)
		c.Assert(a.Version, qt.Equals, uint64(4))
		other.update(func() { c.Assert(other.polls > 0, qt.IsTrue) })
	})
}

// Guards against requests sent to a coordinator that is shutting down. Its waiting
// heartbeats report the shutdown.
func TestCoordinatorShuttingDownIsNotChosen(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		used.update(func() { used.leaving = true })
		time.Sleep(300 * time.Millisecond)
		c.Assert(string(c.sendRequest("GET").Body), qt.Equals, other.member.Node)
	})
}

// Guards against nodes of an isolated data centre that stay ready: the balancer would
// continue to send callers to them.
func TestIsolatedCoordinatorsMakeSmallNodeUnready(t *testing.T) {
	runTest(t, func(c *cluster) {
		for _, n := range c.coordinators {
			n.update(func() { n.isolated = true })
		}
		time.Sleep(2 * time.Second)
		c.Assert(c.small.relay.Ready(), qt.IsFalse)
		c.Assert(c.small.relay.Isolated(), qt.IsTrue)
	})
}

// Guards against a coordinator without requests that counts as serving in an isolated data
// centre, because it receives no report that the others are isolated.
func TestCoordinatorLearnsThatAnotherIsIsolated(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		time.Sleep(time.Second)
		c.Assert(other.suspectedCount(), qt.Equals, 0)
		used.update(func() { used.isolated = true })
		time.Sleep(time.Second)
		c.Assert(other.suspectedCount() > 0, qt.IsTrue)
	})
}

// Guards against requests in an isolated data centre that wait for unreachable coordinators
// instead of being refused at once.
func TestIsolatedDataCentreRefusesRequestsImmediately(t *testing.T) {
	runTest(t, func(c *cluster) {
		for _, n := range c.coordinators {
			n.update(func() { n.isolated = true })
		}
		start := time.Now()
		a := c.sendRequest("POST")
		c.Assert(a.Outcome, qt.Equals, forward.NotRun)
		c.Assert(a.RetryAfter > 0, qt.IsTrue)
		c.Assert(time.Since(start) < 20*time.Millisecond, qt.IsTrue)
	})
}

// Guards against using a coordinator with a stale view of the store while another is
// current, and against using none when all are stale.
func TestStaleCoordinatorIsUsedOnlyWhenAllAreStale(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, other := c.usedCoordinator()
		used.update(func() { used.stale = true })
		time.Sleep(1500 * time.Millisecond)
		c.Assert(string(c.sendRequest("GET").Body), qt.Equals, other.member.Node)
		other.update(func() { other.stale = true })
		c.small.update(func() { c.small.stale = true })
		time.Sleep(1500 * time.Millisecond)
		c.Assert(string(c.sendRequest("GET").Body), qt.Equals, used.member.Node)
		c.Assert(c.small.relay.Ready(), qt.IsTrue)
	})
}

// Guards against relaying to coordinators with a stale view while this node's own view is
// current.
func TestCurrentSmallNodeAnswersWhenCoordinatorsAreStale(t *testing.T) {
	runTest(t, func(c *cluster) {
		for _, n := range c.coordinators {
			n.update(func() { n.stale = true })
		}
		time.Sleep(5 * time.Second)
		c.Assert(string(c.sendRequest("GET").Body), qt.Equals, "small")
	})
}

// Guards against small nodes that all read the store after an outage, before their
// coordinators are current again.
func TestSmallNodeDoesNotReadRecoveredStore(t *testing.T) {
	runTest(t, func(c *cluster) {
		c.storeDown.Store(true)
		for _, n := range c.coordinators {
			n.update(func() { n.stale = true })
		}
		time.Sleep(5 * time.Second)
		c.storeDown.Store(false)
		time.Sleep(1500 * time.Millisecond)
		for _, n := range c.coordinators {
			n.update(func() { n.stale = false })
		}
		time.Sleep(3 * time.Second)
		c.Assert(c.small.isFollowing(), qt.IsFalse)
		c.usedCoordinator()
	})
}

// Guards against requests that wait for coordinators which have been unreachable for
// seconds. Only the first requests wait; later ones are refused at once, so that callers
// can retry elsewhere.
func TestNodeWithoutCoordinatorsOrStoreRefusesImmediately(t *testing.T) {
	runTest(t, func(c *cluster) {
		c.small.update(func() { c.small.version = 0 })
		c.network.Cut(c.small.host, c.coordinators[0].host)
		c.network.Cut(c.small.host, c.coordinators[1].host)
		c.storeDown.Store(true)
		took := func() time.Duration {
			start := time.Now()
			c.Assert(c.sendRequest("POST").Outcome, qt.Not(qt.Equals), forward.Passed)
			return time.Since(start)
		}
		c.Assert(took() > 200*time.Millisecond, qt.IsTrue)
		time.Sleep(4 * time.Second)
		c.Assert(took() < 20*time.Millisecond, qt.IsTrue)
	})
}

// Guards against work at the coordinator for a caller that has disconnected.
func TestCallerCancellationEndsCoordinatorWork(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, _ := c.usedCoordinator()
		used.update(func() { used.block = true })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan forward.Answer)
		go func() {
			done <- c.small.relay.Serve(ctx, &forward.Request{ID: "q", Arrived: time.Now(), CallerTimeout: 5 * time.Second})
		}()
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-done
		time.Sleep(10 * time.Millisecond)
		used.mu.Lock()
		defer used.mu.Unlock()
		c.Assert(used.cancelled, qt.Equals, 1)
	})
}

// Guards against coordinators that hold relayed requests without a bound, and against a
// coordinator that counts as failed because it has no memory for one of them.
func TestRelayedRequestWithoutMemoryIsNotRun(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, _ := c.usedCoordinator()
		before := used.servedCount()
		send := func(size int) forward.Answer {
			return c.small.relay.Serve(c.Context(), &forward.Request{
				ID: "q", Method: "POST", Target: "/x", Body: make([]byte, size), Arrived: time.Now(), CallerTimeout: 5 * time.Second,
			})
		}
		a := send(relayMemory)
		c.Assert(a.Outcome, qt.Equals, forward.NotRun)
		c.Assert(a.RetryAfter > 0, qt.IsTrue)
		c.Assert(used.servedCount(), qt.Equals, before)
		c.Assert(c.small.isFollowing(), qt.IsFalse)
		for range 10 {
			c.Assert(string(send(relayMemory/2).Body), qt.Equals, used.member.Node)
		}
	})
}

// Guards against a node that encodes a request for a coordinator without memory for the message.
func TestRequestWithoutMemoryForItsMessageIsNotRelayed(t *testing.T) {
	runTest(t, func(c *cluster) {
		used, _ := c.usedCoordinator()
		before := used.servedCount()
		a := c.small.relay.Serve(c.Context(), &forward.Request{
			ID: "q", Method: "POST", Target: "/x", Body: make([]byte, relayMemory/2), Arrived: time.Now(),
			CallerTimeout: 5 * time.Second, TakeMemory: func(int64) bool { return false },
		})
		c.Assert(a.Outcome, qt.Equals, forward.NotRun)
		c.Assert(used.servedCount(), qt.Equals, before)
	})
}
