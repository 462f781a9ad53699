package forward_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/route"
)

const ms = time.Millisecond

// shards returns the placement of n shards, each with a replica in all of the data centres.
func shards(n int, centres ...string) map[string][]string {
	placement := make(map[string][]string)
	for i := range n {
		placement["s"+string(rune('0'+i))] = centres
	}
	return placement
}

// Guards against a request without faults that is slow or lacks a shard.
func TestAnswerContainsAllShards(t *testing.T) {
	withHarness(t, shards(4, "a", "b"), func(h *harness) {
		a, took := h.serve(h.node("a", nil), 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 0)
		h.Assert(took < 20*ms, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// Guards against losing a shard because one replica is paused.
func TestStalledReplicaIsHedged(t *testing.T) {
	withHarness(t, shards(4, "a", "b"), func(h *harness) {
		h.replicas["s0-a"].set(func(rep *replica) { rep.latency = 400 * ms })
		a, took := h.serve(h.node("a", nil), 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 0)
		h.Assert(took < 90*ms, qt.IsTrue, qt.Commentf("took %v", took))
		h.checkMaxAttempts()
	})
}

// Guards against losing a shard because its replicas were busy and refused attempts, which
// can be retried since they have not run.
func TestRefusedAttemptIsRetried(t *testing.T) {
	withHarness(t, shards(4, "a", "b"), func(h *harness) {
		for _, id := range []string{"s0-a", "s0-b"} {
			h.replicas[id].set(func(rep *replica) { rep.refusals = 2 })
		}
		a, _ := h.serve(h.node("a", nil), 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 0)
		h.checkMaxAttempts()
	})
}

// Guards against an answer that is returned at the objective and reaches its caller after
// it.
func TestAnswerIsReturnedBeforeTransitReserve(t *testing.T) {
	for _, reserve := range []time.Duration{5 * ms, 30 * ms} {
		withHarness(t, shards(4, "a"), func(h *harness) {
			h.replicas["s0-a"].set(func(rep *replica) { rep.latency = 400 * ms })
			a, took := h.serve(h.node("a", nil), reserve)
			h.checkRecords(a)
			h.Assert(a.Missing, qt.Equals, 1)
			h.Assert(took, qt.Equals, h.route.Objective-reserve)
			h.Assert(a.Due, qt.Equals, took)
		})
	}
}

// Guards against sending attempts for a request that cannot reach the minimum coverage.
func TestRequestWithTooFewShardsIsRefusedUnsent(t *testing.T) {
	placement := shards(2, "a")
	placement["s2"], placement["s3"] = nil, nil
	withHarness(t, placement, func(h *harness) {
		a, took := h.serve(h.node("a", nil), 10*ms)
		h.Assert(a.Outcome, qt.Equals, forward.NotRun)
		h.Assert(a.RetryAfter > 0, qt.IsTrue)
		h.Assert(took, qt.Equals, time.Duration(0))
		for id, rep := range h.replicas {
			h.Assert(rep.requestCount(), qt.Equals, 0, qt.Commentf("requests sent to %s", id))
		}
	})
}

// Guards against a node of a partitioned data centre that stays ready because no request
// shows that an idle data centre is unreachable too.
func TestPartitionedNodeIsIsolatedDespiteIdleDataCentre(t *testing.T) {
	placement := shards(4, "b", "c")
	withHarness(t, placement, func(h *harness) {
		h.addReplica("idle", "d")
		h.addReplica("idle", "e")
		f := h.node("a", nil)
		sendRequests := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * ms) {
				go h.serve(f, 10*ms)
			}
		}
		sendRequests(time.Second)
		h.Assert(f.Isolated(), qt.IsFalse)
		for _, dc := range []string{"b", "c", "d", "e"} {
			h.network.Cut("a", dc)
		}
		sendRequests(1500 * ms)
		h.Assert(f.Isolated(), qt.IsTrue)
		for _, dc := range []string{"b", "c", "d", "e"} {
			h.network.Restore("a", dc)
		}
		sendRequests(1500 * ms)
		h.Assert(f.Isolated(), qt.IsFalse)
		a, _ := h.serve(f, 10*ms)
		h.checkRecords(a)
	})
}

// Guards against a node that reports itself isolated although it can answer requests.
func TestLossOfOneDataCentreDoesNotIsolateNode(t *testing.T) {
	withHarness(t, shards(4, "b", "c"), func(h *harness) {
		h.addReplica("idle", "d")
		f := h.node("a", nil)
		h.network.Cut("a", "b")
		for range 40 {
			go h.serve(f, 10*ms)
			time.Sleep(50 * ms)
			h.Assert(f.Isolated(), qt.IsFalse)
		}
		a, _ := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 0)
	})
}

// Guards against failed idempotent requests when idle connections to one replica after the
// other are reset at their next use. A round ends when none of them is left, since the route
// allows two attempts.
func TestIdempotentRequestRetriedAfterResetsAtEachReplica(t *testing.T) {
	withHarness(t, map[string][]string{"desk": {"a", "b", "c"}}, func(h *harness) {
		h.route.Shards, h.route.Split = nil, []route.Weighted{{Service: "desk", Weight: 1}}
		f := h.node("d", nil)
		countSuccesses := func(n int) (successes int) {
			for range n {
				if a, _ := h.serve(f, 10*ms); a.Outcome == forward.Passed && a.Status == http.StatusOK {
					successes++
				}
			}
			return successes
		}
		replicas := []*replica{h.replicas["desk-a"], h.replicas["desk-b"], h.replicas["desk-c"]}
		for round := range 9 {
			h.Assert(countSuccesses(12), qt.Equals, 12)
			affected := replicas[round%len(replicas)]
			affected.expireConnections()
			h.Assert(countSuccesses(3), qt.Equals, 3)
			// The next round affects another replica.
			for range 1000 {
				if affected.expiredConnections() == 0 {
					break
				}
				h.Assert(countSuccesses(1), qt.Equals, 1)
				time.Sleep(100 * ms)
			}
			h.Assert(affected.expiredConnections(), qt.Equals, 0)
		}
	})
}

// Guards against a refused hedge that ends the attempts of its shard: while most replicas
// refuse a part of their requests, each pause of another one then delays an answer.
func TestRefusedHedgeIsRetriedDuringAPause(t *testing.T) {
	withHarness(t, map[string][]string{"s0": {"a", "b"}}, func(h *harness) {
		f := h.node("a", nil)
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 300 * time.Millisecond })
		h.replicas["s0-b"].set(func(r *replica) { r.refusals = 2 })
		answer, took := h.serve(f, 0)
		h.checkRecords(answer)
		h.Assert(took < h.route.Objective, qt.IsTrue, qt.Commentf("took %v", took))
	})
}
