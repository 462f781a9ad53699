package relay_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/forward"
)

// A caller comes to a small VM. Its node lets a large one answer and does not follow the
// store itself: eighty nodes that did made a tenth of all calls to it.
func TestSmallNodeRelaysAndRests(t *testing.T) {
	run(t, func(w *world) {
		used, _ := w.answering()
		w.Assert(used.count(), qt.Equals, 1)
		w.Assert(w.small.count(), qt.Equals, 0)
		w.Assert(w.small.isFollowing(), qt.IsFalse)
		w.Assert(w.small.relay.Ready(), qt.IsTrue)
		w.Assert(w.big[0].isFollowing() && w.big[1].isFollowing(), qt.IsTrue)
		used.relay.Serve(w.Context(), &forward.Request{ID: "q", Arrived: time.Now()})
		w.Assert(used.count(), qt.Equals, 2, qt.Commentf("a large node answers its own callers"))
	})
}

// The coordinator loses power: nothing resets its connections. The caller of the first
// request waits for its offer in vain, then gets the other coordinator's answer, also
// when the request may run only once: who was not told to begin does not begin. The next
// requests go to the other one at once.
func TestSilentCoordinatorIsLeft(t *testing.T) {
	run(t, func(w *world) {
		used, other := w.answering()
		w.network.Cut(w.small.host, used.host)
		began := time.Now()
		a := w.ask("GET")
		w.Assert(string(a.Body), qt.Equals, other.member.Node)
		w.Assert(time.Since(began) < 120*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
		began = time.Now()
		w.ask("GET")
		w.Assert(time.Since(began) < 10*time.Millisecond, qt.IsTrue)

		w.network.Mend(w.small.host, used.host)
		time.Sleep(5 * time.Second)
		again, _ := w.answering()
		w.Assert(again, qt.Equals, used, qt.Commentf("it is used again once a heartbeat has reached it"))
	})
}

// A coordinator stands still with a request in its socket, whose sender gives it to the
// other one. When it goes on it must not begin: the request has run already.
func TestCoordinatorThatStoodStillDoesNotBegin(t *testing.T) {
	run(t, func(w *world) {
		used, other := w.answering()
		before := used.count()
		standing := used.stand()
		w.Assert(string(w.ask("POST").Body), qt.Equals, other.member.Node)
		standing()
		time.Sleep(time.Second)
		w.Assert(used.count(), qt.Equals, before)
		w.Assert(other.count(), qt.Equals, 1)
	})
}

// A coordinator's process is killed and nothing listens there: connections are refused,
// so that the request has run nowhere and goes on as if it were new.
func TestDeadCoordinatorHasNotBegun(t *testing.T) {
	run(t, func(w *world) {
		used, other := w.answering()
		used.server.Stop()
		time.Sleep(200 * time.Millisecond)
		w.Assert(string(w.ask("POST").Body), qt.Equals, other.member.Node)
	})
}

// A coordinator is cut off after it has begun with a request. Replicas have been asked,
// and hedges sent, so that another coordinator would bring the request to more of them
// than its route allows. A heartbeat finds that out, and the caller hears of it at once,
// long before the deadline; it may ask anew.
func TestBegunRequestIsLostWithItsCoordinator(t *testing.T) {
	run(t, func(w *world) {
		used, other := w.answering()
		used.set(func() { used.hold = true })
		done := make(chan forward.Answer)
		began := time.Now()
		go func() { done <- w.ask("GET") }()
		time.Sleep(50 * time.Millisecond)
		w.network.Cut(w.small.host, used.host)
		w.Assert((<-done).Outcome, qt.Equals, forward.Failed)
		w.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
		w.Assert(other.count(), qt.Equals, 0)
	})
}

// Both coordinators are gone. The small node follows the store and answers by itself;
// when they are back it relays again, and rests after a while.
func TestSmallNodeServesAlone(t *testing.T) {
	run(t, func(w *world) {
		w.network.Cut(w.small.host, w.big[0].host)
		w.network.Cut(w.small.host, w.big[1].host)
		w.Assert(string(w.ask("GET").Body), qt.Equals, "small")
		time.Sleep(5 * time.Second)
		w.Assert(w.small.isFollowing(), qt.IsTrue)
		w.network.Mend(w.small.host, w.big[0].host)
		w.network.Mend(w.small.host, w.big[1].host)
		time.Sleep(5 * time.Second)
		w.answering()
		w.Assert(w.small.isFollowing(), qt.IsTrue)
		time.Sleep(12 * time.Second)
		w.Assert(w.small.isFollowing(), qt.IsFalse)
	})
}

// A caller was answered by a new version of the configuration. Its coordinator leaves,
// and the other one has not heard of the version yet: it must not answer by the old one.
// It asks the store at once, and answers as soon as it knows.
func TestConfigurationNeverGoesBack(t *testing.T) {
	run(t, func(w *world) {
		used, other := w.answering()
		used.set(func() { used.version = 4 })
		w.Assert(w.ask("GET").Version, qt.Equals, uint64(4))
		used.set(func() { used.leaving = true })
		time.Sleep(time.Second)
		go func() {
			time.Sleep(50 * time.Millisecond)
			other.set(func() { other.version = 4 })
		}()
		a := w.ask("GET")
		w.Assert(string(a.Body), qt.Equals, other.member.Node)
		w.Assert(a.Version, qt.Equals, uint64(4))
		other.set(func() { w.Assert(other.hurried > 0, qt.IsTrue) })
	})
}

// A coordinator shuts down as planned. Senders hear of it by the heartbeat that waits
// there and go to the other one; what still comes is answered.
func TestLeavingCoordinatorIsLeftInTime(t *testing.T) {
	run(t, func(w *world) {
		used, other := w.answering()
		used.set(func() { used.leaving = true })
		time.Sleep(300 * time.Millisecond)
		w.Assert(string(w.ask("GET").Body), qt.Equals, other.member.Node)
	})
}

// A data centre is cut off: its coordinators reach no other one and take no requests. The
// small nodes there are not ready, so that the balancer sends their callers elsewhere.
func TestIsolatedCoordinatorsMakeTheirSendersUnready(t *testing.T) {
	run(t, func(w *world) {
		for _, n := range w.big {
			n.set(func() { n.isolated = true })
		}
		time.Sleep(2 * time.Second)
		w.Assert(w.small.relay.Ready(), qt.IsFalse)
		w.Assert(w.small.relay.CutOff(), qt.IsTrue)
	})
}

// The same data centre while its callers still come: they are refused at once, and not
// after every coordinator out of reach was waited for.
func TestIsolatedRequestsAreRefusedAtOnce(t *testing.T) {
	run(t, func(w *world) {
		for _, n := range w.big {
			n.set(func() { n.isolated = true })
		}
		began := time.Now()
		a := w.ask("POST")
		w.Assert(a.Outcome, qt.Equals, forward.NotRun)
		w.Assert(a.RetryAfter > 0, qt.IsTrue)
		w.Assert(time.Since(began) < 20*time.Millisecond, qt.IsTrue)
	})
}

// The store turns one coordinator away and serves all others. A version that comes into
// force meanwhile is unknown there, so that the small nodes use the other one. When the
// store is away from both, they are used all the same.
func TestCoordinatorWithOldNewsIsLeft(t *testing.T) {
	run(t, func(w *world) {
		used, other := w.answering()
		used.set(func() { used.stale = true })
		time.Sleep(1500 * time.Millisecond)
		w.Assert(string(w.ask("GET").Body), qt.Equals, other.member.Node)
		other.set(func() { other.stale = true })
		w.small.set(func() { w.small.stale = true })
		time.Sleep(1500 * time.Millisecond)
		w.Assert(string(w.ask("GET").Body), qt.Equals, used.member.Node)
		w.Assert(w.small.relay.Ready(), qt.IsTrue)
	})
}

// The store turns all coordinators away and serves the small node, which is the only one
// to know what is in force: it answers by itself.
func TestSmallNodeWithNewNewsServesAlone(t *testing.T) {
	run(t, func(w *world) {
		for _, n := range w.big {
			n.set(func() { n.stale = true })
		}
		time.Sleep(5 * time.Second)
		w.Assert(string(w.ask("GET").Body), qt.Equals, "small")
	})
}

// The store is away from all for a few seconds and comes back. The small node hears of
// that before its coordinators' news is new again: it does not read the store, as eighty
// would at that moment, and goes on relaying.
func TestStoreThatComesBackIsNotReadByAll(t *testing.T) {
	run(t, func(w *world) {
		w.storeAway.Store(true)
		for _, n := range w.big {
			n.set(func() { n.stale = true })
		}
		time.Sleep(5 * time.Second)
		w.storeAway.Store(false)
		time.Sleep(1500 * time.Millisecond)
		for _, n := range w.big {
			n.set(func() { n.stale = false })
		}
		time.Sleep(3 * time.Second)
		w.Assert(w.small.isFollowing(), qt.IsFalse)
		w.answering()
	})
}

// A small node is cut off from all others and from the store, and callers still come. The
// first ones wait for a coordinator to come back; when none has for seconds, the others are
// refused at once, so that they can be served elsewhere.
func TestCutOffNodeRefusesAtOnceAfterAWhile(t *testing.T) {
	run(t, func(w *world) {
		w.small.set(func() { w.small.version = 0 })
		w.network.Cut(w.small.host, w.big[0].host)
		w.network.Cut(w.small.host, w.big[1].host)
		w.storeAway.Store(true)
		took := func() time.Duration {
			began := time.Now()
			w.Assert(w.ask("POST").Outcome, qt.Not(qt.Equals), forward.Passed)
			return time.Since(began)
		}
		w.Assert(took() > 200*time.Millisecond, qt.IsTrue)
		time.Sleep(4 * time.Second)
		w.Assert(took() < 20*time.Millisecond, qt.IsTrue)
	})
}

// A caller leaves. The coordinator's work for it ends at once.
func TestCallerWhoLeavesFreesTheCoordinator(t *testing.T) {
	run(t, func(w *world) {
		used, _ := w.answering()
		used.set(func() { used.hold = true })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan forward.Answer)
		go func() {
			done <- w.small.relay.Serve(ctx, &forward.Request{ID: "q", Arrived: time.Now(), CallerTimeout: 5 * time.Second})
		}()
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-done
		time.Sleep(10 * time.Millisecond)
		used.mu.Lock()
		defer used.mu.Unlock()
		w.Assert(used.released, qt.Equals, 1)
	})
}
