package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/limit"
)

const (
	acquired = pb.Reason_REASON_UNSPECIFIED
	normal   = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

// owner drives one limiter by a clock of its own.
type owner struct {
	*limit.Limiter
	now time.Time
}

func newOwner(first bool) *owner {
	return &owner{now: start, Limiter: limit.New(limit.Params{
		MaxInFlight: 8, ColdInFlight: 1, First: first,
	}, start)}
}

// fill acquires all places that are free and returns how many.
func (o *owner) fill() int {
	n := 0
	for o.TryAcquire(o.now) == acquired {
		n++
	}
	return n
}

// round fills the limit, lets the latency pass and ends all requests.
func (o *owner) round(latency time.Duration, result limit.Result) int {
	n := o.fill()
	o.now = o.now.Add(latency)
	for range n {
		o.Release(o.now, limit.Sample{Latency: latency, Result: result, PeerLatency: normal})
	}
	return n
}

func (o *owner) warmUp(t *testing.T) {
	t.Helper()
	for range 100 {
		o.round(normal, limit.ResultOK)
	}
	qt.Assert(t, o.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
	qt.Assert(t, o.Limit(), qt.Equals, 8)
}

func TestUnknownReplicaIsUsedByItsFirstOwnerOnly(t *testing.T) {
	c := qt.New(t)
	first, second := newOwner(true), newOwner(false)
	c.Assert(second.TryAcquire(start), qt.Equals, pb.Reason_REASON_COLD)
	c.Assert(first.fill(), qt.Equals, 1)
	c.Assert(first.TryAcquire(start), qt.Equals, pb.Reason_REASON_LIMIT)
	c.Assert(first.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_UNSPECIFIED)

	second.ObserveWarm(start)
	c.Assert(second.fill(), qt.Equals, 1)
}

func TestLimitGrowsOnNormalLatencyOnly(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	for range 100 {
		c.Assert(o.round(5*normal, limit.ResultOK), qt.Equals, 1)
	}
	for range 8 {
		c.Assert(o.round(normal, limit.ResultOK), qt.Equals, 1)
	}
	var grown []int
	for range 4 {
		grown = append(grown, o.round(normal, limit.ResultOK))
	}
	c.Assert(grown, qt.DeepEquals, []int{2, 4, 8, 8})
	c.Assert(o.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
}

// A replica without siblings that still gets faster is still warming up, so
// successes count only once its latency is steady.
func TestLimitGrowsWithoutPeersOnceLatencyIsSteady(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	latency := 100 * normal
	for range 60 {
		c.Assert(o.fill(), qt.Equals, 1)
		o.now = o.now.Add(latency)
		o.Release(o.now, limit.Sample{Latency: latency})
		latency = max(normal, latency*9/10)
	}
	for o.State() != pb.ReplicaState_REPLICA_STATE_WARM {
		n := o.fill()
		o.now = o.now.Add(normal)
		for range n {
			o.Release(o.now, limit.Sample{Latency: normal})
		}
	}
	took := o.now.Sub(start)
	c.Assert(took > 60*normal && took < 20*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// The replica turns cold while two owners use it at their full share. Whatever
// shows it first, the first owner goes down to one request and the other one to
// none, and news of a warm replica from before has no effect.
func TestEachColdSignalDropsTheLimitAtOnce(t *testing.T) {
	signs := map[string]func(*owner){
		"refused":     func(o *owner) { o.Observe(o.now, limit.SignalRefused) },
		"reset":       func(o *owner) { o.Observe(o.now, limit.SignalReset) },
		"incarnation": func(o *owner) { o.Observe(o.now, limit.SignalIncarnation) },
		"report":      func(o *owner) { o.Observe(o.now, limit.SignalColdReport) },
		"shed":        func(o *owner) { o.round(normal, limit.ResultShed) },
		"connection":  func(o *owner) { o.round(normal, limit.ResultConnectionFailed) },
		"slow": func(o *owner) {
			o.round(5*normal, limit.ResultOK)
		},
		"slow and cancelled": func(o *owner) {
			o.round(5*normal, limit.ResultCancelled)
		},
		"answer reports cold": func(o *owner) {
			o.TryAcquire(o.now)
			o.Release(o.now, limit.Sample{PeerLatency: normal, ReportsCold: true})
		},
	}
	for name, show := range signs {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			first, second := newOwner(true), newOwner(false)
			first.warmUp(t)
			second.ObserveWarm(start)
			second.warmUp(t)

			show(first)
			first.now = first.now.Add(60 * time.Millisecond)
			c.Check(first.fill(), qt.Equals, 1)
			c.Check(first.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_COLD)

			show(second)
			second.now = second.now.Add(60 * time.Millisecond)
			second.ObserveWarm(second.now)
			c.Check(second.fill(), qt.Equals, 0)
			second.ObserveWarm(second.now.Add(time.Second))
			c.Check(second.fill(), qt.Equals, 1)
		})
	}
}

// A replica turns cold and keeps its connections: nothing tells its owners
// until a request does not come back in time. From then on they must not fill
// their share, although no answer has been slow yet. After a slow answer they
// try one request; a normal answer gives the share back.
func TestOverdueRequestBlocksNewOnes(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	o.warmUp(t)
	c.Assert(o.TryAcquire(o.now), qt.Equals, acquired)
	o.now = o.now.Add(5 * normal)
	c.Assert(o.TryAcquire(o.now), qt.Equals, pb.Reason_REASON_LIMIT)
	o.Release(o.now, limit.Sample{Latency: 5 * normal, PeerLatency: normal})
	c.Assert(o.round(normal, limit.ResultOK), qt.Equals, 1)
	c.Assert(o.fill() > 1, qt.IsTrue, qt.Commentf("one straggler is no cold start"))
}

// The loser of a hedge is cancelled at a cold replica, which works on it until
// the cancellation arrives. The next request must not join it there.
func TestCancelledRequestOccupiesItsSlotAtAColdReplica(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	c.Assert(o.round(normal, limit.ResultCancelled), qt.Equals, 1)
	c.Assert(o.fill(), qt.Equals, 0)
	o.now = o.now.Add(50 * time.Millisecond)
	c.Assert(o.fill(), qt.Equals, 1)
}

// Ownership moves while the replica is cold. The earlier owner sends nothing
// new; the next one rests until what was in flight has ended.
func TestNewFirstOwnerWaitsForTakeoverDelay(t *testing.T) {
	c := qt.New(t)
	p := limit.Params{MaxInFlight: 8, ColdInFlight: 1, First: true, TakeoverDelay: time.Second}
	earlier := limit.New(p, start)
	c.Assert(earlier.TryAcquire(start), qt.Equals, pb.Reason_REASON_COLD)
	now := start.Add(time.Second)
	c.Assert(earlier.TryAcquire(now), qt.Equals, acquired)
	earlier.SetShare(now, 8, false)
	c.Assert(earlier.InFlight(), qt.Equals, 1)
	earlier.Release(now, limit.Sample{Latency: 0})
	c.Assert(earlier.TryAcquire(now), qt.Equals, pb.Reason_REASON_COLD)

	p.First = false
	next := limit.New(p, now)
	next.SetShare(now.Add(time.Minute), 8, true)
	c.Assert(next.TryAcquire(now.Add(time.Minute)), qt.Equals, pb.Reason_REASON_COLD)
	c.Assert(next.TryAcquire(now.Add(time.Minute+time.Second)), qt.Equals, acquired)
}

func TestDrainingReplicaReceivesNothingAndReturnsCold(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	o.warmUp(t)
	o.Observe(o.now, limit.SignalDraining)
	c.Assert(o.TryAcquire(o.now), qt.Equals, pb.Reason_REASON_LEAVING)
	c.Assert(o.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_DRAINING)
	o.Observe(o.now, limit.SignalServing)
	c.Assert(o.fill(), qt.Equals, 1)
}

// reportCold ends rounds at normal latency with reports of a cold start until the
// time is up, and returns the most requests that were in flight.
func (o *owner) reportCold(d time.Duration) (peak int) {
	for until := o.now.Add(d); o.now.Before(until); {
		n := o.fill()
		peak = max(peak, n)
		o.now = o.now.Add(normal)
		for range n {
			o.Release(o.now, limit.Sample{Latency: normal, PeerLatency: normal, ReportsCold: true})
		}
	}
	return peak
}

// A replica reports a cold start for ever while it answers at normal latency.
// The report is stuck; the replica must reach its share all the same.
func TestStuckColdReportIsIgnoredAtNormalLatency(t *testing.T) {
	o := newOwner(true)
	o.reportCold(17 * time.Second)
	qt.Assert(t, o.Limit(), qt.Equals, 8)
}

// A replica restarts each 5 s, is cold for that time and says so, and answers at
// normal latency as long as it gets one request at a time; with two it falls over.
// A hundred answers a second all report the cold start, and each of them is true:
// neither their number nor those of earlier incarnations make them stale.
func TestFrequentColdReportsAreAcceptedAfterEachRestart(t *testing.T) {
	o := newOwner(true)
	for range 6 {
		qt.Assert(t, o.reportCold(5*time.Second), qt.Equals, 1)
		o.Observe(o.now, limit.SignalIncarnation)
	}
}

func TestLostReplicaIsRetriedWithBackoff(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	attempts := 0
	for range 10000 {
		o.now = o.now.Add(time.Millisecond)
		if o.TryAcquire(o.now) == acquired {
			attempts++
			o.Release(o.now, limit.Sample{Result: limit.ResultConnectionFailed})
		}
	}
	c.Assert(attempts < 20, qt.IsTrue, qt.Commentf("attempts %d", attempts))
	c.Assert(o.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_LOST)
}

// A warm replica whose answers take three times as long has queued requests:
// its limit falls without going back to the cold floor for good.
func TestWarmLimitFollowsLatency(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	o.warmUp(t)
	for range 20 {
		o.round(3*normal, limit.ResultOK)
	}
	c.Assert(o.Limit(), qt.Equals, 1)
	c.Assert(o.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
	for range 40 {
		o.round(normal, limit.ResultOK)
	}
	c.Assert(o.Limit(), qt.Equals, 8)
}

// The caller waits in a queue for no reason: the owner states its unchanged share
// with every request, and each statement threw the successes away that the limit
// grows on, so a warm replica stayed at one request in flight for ever.
func TestUnchangedShareDoesNotResetGrowth(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := limit.New(limit.Params{MaxInFlight: 10, ColdInFlight: 1, First: true}, now)
	for range 200 {
		l.SetShare(now, 10, true)
		if l.TryAcquire(now) != pb.Reason_REASON_UNSPECIFIED {
			t.Fatal("no place in the limit")
		}
		now = now.Add(5 * time.Millisecond)
		l.Release(now, limit.Sample{Latency: 5 * time.Millisecond})
	}
	c.Assert(l.Limit(), qt.Equals, 10)
	c.Assert(l.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
}
