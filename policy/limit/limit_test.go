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

// owner drives one limiter with its own clock.
type owner struct {
	*limit.Limiter
	now time.Time
}

func newOwner(first bool) *owner {
	return &owner{now: start, Limiter: limit.New(limit.Params{
		MaxInFlight: 8, ColdInFlight: 1, First: first,
	}, start)}
}

// fillSlots acquires all free slots and returns how many it acquired.
func (o *owner) fillSlots() int {
	n := 0
	for o.TryAcquire(o.now) == acquired {
		n++
	}
	return n
}

// round acquires all free slots, advances the clock by the latency and ends all requests.
func (o *owner) round(latency time.Duration, result limit.Result) int {
	n := o.fillSlots()
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
	c.Assert(first.fillSlots(), qt.Equals, 1)
	c.Assert(first.TryAcquire(start), qt.Equals, pb.Reason_REASON_LIMIT)
	c.Assert(first.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_UNSPECIFIED)

	second.ObserveWarm(start)
	c.Assert(second.fillSlots(), qt.Equals, 1)
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

// Guards against a limit that grows while the latency of a replica without peers still
// falls, which shows that the replica is warming up.
func TestLimitGrowsWithoutPeersOnceLatencyIsSteady(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	latency := 100 * normal
	for range 60 {
		c.Assert(o.fillSlots(), qt.Equals, 1)
		o.now = o.now.Add(latency)
		o.Release(o.now, limit.Sample{Latency: latency})
		latency = max(normal, latency*9/10)
	}
	for o.State() != pb.ReplicaState_REPLICA_STATE_WARM {
		n := o.fillSlots()
		o.now = o.now.Add(normal)
		for range n {
			o.Release(o.now, limit.Sample{Latency: normal})
		}
	}
	took := o.now.Sub(start)
	c.Assert(took > 60*normal && took < 20*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// Guards against an overload of a replica that turns cold while two owners use their
// full share. After any signal, the first owner sends one request and the other one
// none. An earlier report of a warm replica has no effect.
func TestEachColdSignalDropsTheLimitAtOnce(t *testing.T) {
	signals := map[string]func(*owner){
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
	for name, apply := range signals {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			first, second := newOwner(true), newOwner(false)
			first.warmUp(t)
			second.ObserveWarm(start)
			second.warmUp(t)

			apply(first)
			first.now = first.now.Add(60 * time.Millisecond)
			c.Check(first.fillSlots(), qt.Equals, 1)
			c.Check(first.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_COLD)

			apply(second)
			second.now = second.now.Add(60 * time.Millisecond)
			second.ObserveWarm(second.now)
			c.Check(second.fillSlots(), qt.Equals, 0)
			second.ObserveWarm(second.now.Add(time.Second))
			c.Check(second.fillSlots(), qt.Equals, 1)
		})
	}
}

// Guards against an overload of a replica that turns cold with open connections.
// An overdue request blocks new ones before any slow answer has arrived. After a slow
// answer the owner sends one request, and a normal answer restores the limit.
func TestOverdueRequestBlocksNewOnes(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	o.warmUp(t)
	c.Assert(o.TryAcquire(o.now), qt.Equals, acquired)
	o.now = o.now.Add(5 * normal)
	c.Assert(o.TryAcquire(o.now), qt.Equals, pb.Reason_REASON_LIMIT)
	o.Release(o.now, limit.Sample{Latency: 5 * normal, PeerLatency: normal})
	c.Assert(o.round(normal, limit.ResultOK), qt.Equals, 1)
	c.Assert(o.fillSlots() > 1, qt.IsTrue, qt.Commentf("one straggler must not count as a cold start"))
}

// Guards against a second request at a cold replica that still works on a cancelled
// one.
func TestCancelledRequestOccupiesItsSlotAtAColdReplica(t *testing.T) {
	c := qt.New(t)
	o := newOwner(true)
	c.Assert(o.round(normal, limit.ResultCancelled), qt.Equals, 1)
	c.Assert(o.fillSlots(), qt.Equals, 0)
	o.now = o.now.Add(50 * time.Millisecond)
	c.Assert(o.fillSlots(), qt.Equals, 1)
}

// Guards against an overload of a cold replica whose ownership changes. The previous
// owner sends nothing new; the next one waits until the requests in flight have ended.
func TestNewFirstOwnerWaitsForTakeoverDelay(t *testing.T) {
	c := qt.New(t)
	p := limit.Params{MaxInFlight: 8, ColdInFlight: 1, First: true, TakeoverDelay: time.Second}
	previous := limit.New(p, start)
	c.Assert(previous.TryAcquire(start), qt.Equals, pb.Reason_REASON_COLD)
	now := start.Add(time.Second)
	c.Assert(previous.TryAcquire(now), qt.Equals, acquired)
	previous.SetShare(now, 8, false)
	c.Assert(previous.InFlight(), qt.Equals, 1)
	previous.Release(now, limit.Sample{Latency: 0})
	c.Assert(previous.TryAcquire(now), qt.Equals, pb.Reason_REASON_COLD)

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
	c.Assert(o.fillSlots(), qt.Equals, 1)
}

// reportCold runs rounds at normal latency whose answers report a cold start, for the
// given time. It returns the highest number of requests in flight.
func (o *owner) reportCold(d time.Duration) (peak int) {
	for until := o.now.Add(d); o.now.Before(until); {
		n := o.fillSlots()
		peak = max(peak, n)
		o.now = o.now.Add(normal)
		for range n {
			o.Release(o.now, limit.Sample{Latency: normal, PeerLatency: normal, ReportsCold: true})
		}
	}
	return peak
}

// Guards against a limit that stays at the floor forever because a replica never
// stops reporting a cold start, although it answers at normal latency.
func TestStuckColdReportIsIgnoredAtNormalLatency(t *testing.T) {
	o := newOwner(true)
	o.reportCold(17 * time.Second)
	qt.Assert(t, o.Limit(), qt.Equals, 8)
}

// Guards against true reports of a cold start that count as stuck, because there are
// many per second or because earlier incarnations sent reports too. The replica
// restarts every 5 s, is cold all the time, and answers at normal latency only while it
// receives one request at a time.
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

// Guards against a warm replica that stays overloaded, or that counts as cold, when
// queued requests triple its latency.
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

// Guards against a limit that never grows because the owner sets its unchanged share
// with every request.
func TestUnchangedShareDoesNotResetGrowth(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := limit.New(limit.Params{MaxInFlight: 10, ColdInFlight: 1, First: true}, now)
	for range 200 {
		l.SetShare(now, 10, true)
		if l.TryAcquire(now) != pb.Reason_REASON_UNSPECIFIED {
			t.Fatal("TryAcquire refused a request below the limit")
		}
		now = now.Add(5 * time.Millisecond)
		l.Release(now, limit.Sample{Latency: 5 * time.Millisecond})
	}
	c.Assert(l.Limit(), qt.Equals, 10)
	c.Assert(l.State(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
}
