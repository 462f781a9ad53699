package limit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/limit"
)

func TestBatchIsMeasuredByItsMedianSubrequest(t *testing.T) {
	// One of 32 subrequests takes ten times as long. The batch is judged by its
	// median, keeps its place until it ends, and is not overdue meanwhile: the other
	// places stay in use and the replica stays warm. Judged by its end, three such
	// batches in a row, which come every few seconds, would make it cold.
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
	// The replica turns cold with a batch of 8 in flight and bears three requests.
	// The first owner sends nothing, neither beside the batch nor, once the batch is
	// given up, until the replica has had time to notice; then three.
	o := &owner{now: start, Limiter: limit.New(limit.Params{MaxInFlight: 8, ColdInFlight: 3, First: true}, start)}
	o.warmUp(t)
	qt.Assert(t, o.TryAcquire(o.now), qt.Equals, acquired)
	o.SetBatchSize(8)
	o.Observe(o.now, limit.SignalColdReport)
	qt.Assert(t, o.fill(), qt.Equals, 0)
	o.Release(o.now, limit.Sample{Latency: normal, PeerLatency: normal, Result: limit.ResultCancelled, Items: 8})
	qt.Assert(t, o.fill(), qt.Equals, 0)
	o.now = o.now.Add(10 * normal)
	qt.Assert(t, o.fill(), qt.Equals, 3)
}
