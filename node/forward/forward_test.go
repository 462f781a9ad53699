package forward_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/forward"
)

const ms = time.Millisecond

// shards places that many shards, each in all of the data centres.
func shards(n int, centres ...string) map[string][]string {
	place := make(map[string][]string)
	for i := range n {
		place["s"+string(rune('0'+i))] = centres
	}
	return place
}

// TestAnswerHoldsAllShards is the path of a request without a fault.
func TestAnswerHoldsAllShards(t *testing.T) {
	run(t, shards(4, "a", "b"), func(r *rig) {
		a, took := r.ask(r.node("a", nil), 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 0)
		r.Assert(took < 20*ms, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// TestStalledReplicaIsHedged guards against a paused replica that costs a shard.
func TestStalledReplicaIsHedged(t *testing.T) {
	run(t, shards(4, "a", "b"), func(r *rig) {
		r.replicas["s0-a"].set(func(rep *replica) { rep.takes = 400 * ms })
		a, took := r.ask(r.node("a", nil), 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 0)
		r.Assert(took < 90*ms, qt.IsTrue, qt.Commentf("took %v", took))
		r.most()
	})
}

// TestRefusedAttemptIsSentAgain guards against busy replicas that cost a shard although
// what they refuse has not run.
func TestRefusedAttemptIsSentAgain(t *testing.T) {
	run(t, shards(4, "a", "b"), func(r *rig) {
		for _, id := range []string{"s0-a", "s0-b"} {
			r.replicas[id].set(func(rep *replica) { rep.refusals = 2 })
		}
		a, _ := r.ask(r.node("a", nil), 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 0)
		r.most()
	})
}

// TestAnswerLeavesTimeForItsWay guards against an answer that is given at the objective and
// reaches its caller after it.
func TestAnswerLeavesTimeForItsWay(t *testing.T) {
	for _, reserve := range []time.Duration{5 * ms, 30 * ms} {
		run(t, shards(4, "a"), func(r *rig) {
			r.replicas["s0-a"].set(func(rep *replica) { rep.takes = 400 * ms })
			a, took := r.ask(r.node("a", nil), reserve)
			r.records(a)
			r.Assert(a.Missing, qt.Equals, 1)
			r.Assert(took, qt.Equals, r.route.Objective-reserve)
			r.Assert(a.Due, qt.Equals, took)
		})
	}
}

// TestTooFewShardsAreRefusedUnsent guards against work for requests that cannot succeed.
func TestTooFewShardsAreRefusedUnsent(t *testing.T) {
	place := shards(2, "a")
	place["s2"], place["s3"] = nil, nil
	run(t, place, func(r *rig) {
		a, took := r.ask(r.node("a", nil), 10*ms)
		r.Assert(a.Outcome, qt.Equals, forward.NotRun)
		r.Assert(a.RetryAfter > 0, qt.IsTrue)
		r.Assert(took, qt.Equals, time.Duration(0))
		for id, rep := range r.replicas {
			r.Assert(rep.count(), qt.Equals, 0, qt.Commentf("%s was asked", id))
		}
	})
}

// TestCutOffNodeIsIsolatedThoughALinkIsIdle guards against a node of a cut-off data centre
// that stays ready, since no request shows that an idle data centre is silent too.
func TestCutOffNodeIsIsolatedThoughALinkIsIdle(t *testing.T) {
	place := shards(4, "b", "c")
	run(t, place, func(r *rig) {
		r.place("idle", "d")
		r.place("idle", "e")
		f := r.node("a", nil)
		ask := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * ms) {
				go r.ask(f, 10*ms)
			}
		}
		ask(time.Second)
		r.Assert(f.Isolated(), qt.IsFalse)
		for _, dc := range []string{"b", "c", "d", "e"} {
			r.network.Cut("a", dc)
		}
		ask(1500 * ms)
		r.Assert(f.Isolated(), qt.IsTrue)
		for _, dc := range []string{"b", "c", "d", "e"} {
			r.network.Mend("a", dc)
		}
		ask(1500 * ms)
		r.Assert(f.Isolated(), qt.IsFalse)
		a, _ := r.ask(f, 10*ms)
		r.records(a)
	})
}

// TestLossOfOneDataCentreIsolatesNobody guards against nodes that send their callers away
// although they can answer.
func TestLossOfOneDataCentreIsolatesNobody(t *testing.T) {
	run(t, shards(4, "b", "c"), func(r *rig) {
		r.place("idle", "d")
		f := r.node("a", nil)
		r.network.Cut("a", "b")
		for range 40 {
			go r.ask(f, 10*ms)
			time.Sleep(50 * ms)
			r.Assert(f.Isolated(), qt.IsFalse)
		}
		a, _ := r.ask(f, 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 0)
	})
}
