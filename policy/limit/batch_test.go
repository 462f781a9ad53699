package limit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/limit"
)

func TestBatchIsMeasuredByItsMedianSubrequest(t *testing.T) {
	// Guards against a warm replica that counts as cold because one subrequest of a
	// batch is slow. The batch occupies one slot until it ends, and the other slots
	// stay in use.
	o := newOwner(true)
	o.warmUp(t)
	for range 5 {
		qt.Assert(t, o.TryAcquire(o.now), qt.Equals, acquired)
		o.SetBatchSize(32)
		o.now = o.now.Add(normal)
		o.ObserveMedian(o.now, limit.Sample{Latency: normal, PeerLatency: normal})
		o.now = o.now.Add(9 * normal)
		qt.Assert(t, o.round(normal, limit.ResultOK), qt.Equals, 7)
		o.Release(o.now, limit.Sample{Latency: 11 * normal, PeerLatency: normal, Items: 32, MedianObserved: true})
		qt.Assert(t, o.round(normal, limit.ResultOK), qt.Equals, 8)
	}
}

func TestBatchToAColdReplicaCountsEverySubrequest(t *testing.T) {
	// Guards against an overload of a replica that turns cold with a batch of 8 in
	// flight. The first owner sends nothing during the batch and, after its
	// cancellation, until the grace period has passed. Then it sends three requests.
	o := &owner{now: start, Limiter: limit.New(limit.Params{MaxInFlight: 8, ColdInFlight: 3, First: true}, start)}
	o.warmUp(t)
	qt.Assert(t, o.TryAcquire(o.now), qt.Equals, acquired)
	o.SetBatchSize(8)
	o.Observe(o.now, limit.SignalColdReport)
	qt.Assert(t, o.fillSlots(), qt.Equals, 0)
	o.Release(o.now, limit.Sample{Latency: normal, PeerLatency: normal, Result: limit.ResultCancelled, Items: 8})
	qt.Assert(t, o.fillSlots(), qt.Equals, 0)
	o.now = o.now.Add(10 * normal)
	qt.Assert(t, o.fillSlots(), qt.Equals, 3)
}
