package upstream_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

const class = "standings"

// newBalancer returns a balancer with n replicas r0, r1 and so on, and the start time.
func newBalancer(n int) (*upstream.Balancer, []*registry.Replica, time.Time) {
	balancer := upstream.NewBalancer(rand.New(rand.NewPCG(1, 2)))
	var replicas []*registry.Replica
	for i := range n {
		replicas = append(replicas, &registry.Replica{ID: "r" + string(rune('0'+i)), Address: "10.0.0.1:80", DataCentre: "a"})
	}
	balancer.SetReplicas(replicas)
	return balancer, replicas, time.Unix(1000, 0)
}

func request() upstream.Request {
	return upstream.Request{Class: class, DataCentre: "a", MaxInFlightPerReplica: 3, ColdPerSecond: -1}
}

// sendOne sends one request, ends it, and returns the replica's ID.
func sendOne(balancer *upstream.Balancer, now time.Time, q upstream.Request, took time.Duration, result upstream.Result) string {
	st := balancer.Pick(now, q)
	if st == nil {
		return ""
	}
	handle := balancer.RecordSent(now, st, q)
	balancer.Done(now.Add(took), st, upstream.Sample{Handle: handle, Class: class, Took: took, Result: result})
	return st.Replica.ID
}

// Guards against requests to an address that another service reuses while the store is
// unavailable. They would use up the retry budget of that service. After one answer from
// another replica, the replica is unusable until it registers a new incarnation.
func TestReplicaWhoseAddressWasReusedGetsNothingMore(t *testing.T) {
	c := qt.New(t)
	balancer, replicas, now := newBalancer(1)
	c.Assert(sendOne(balancer, now, request(), time.Millisecond, upstream.WrongReplica), qt.Equals, "r0")
	for range 100 {
		now = now.Add(time.Second)
		c.Assert(balancer.Pick(now, request()), qt.IsNil)
	}
	balancer.SetReplicas(replicas)
	c.Assert(balancer.Pick(now, request()), qt.IsNil)
	restarted := *replicas[0]
	restarted.Incarnation++
	balancer.SetReplicas([]*registry.Replica{&restarted})
	c.Assert(balancer.Pick(now, request()), qt.IsNotNil)
}

// Guards against a slow replica that receives its full share of requests, and against one
// that is never tried again.
func TestSlowReplicaReceivesOnlyOccasionalRequests(t *testing.T) {
	c := qt.New(t)
	balancer, _, now := newBalancer(3)
	const baseline = 15 * time.Millisecond
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		sendOne(balancer, now, request(), baseline, upstream.Answered)
	}
	slow := 0
	for range 160 {
		now = now.Add(50 * time.Millisecond)
		st := balancer.Pick(now, request())
		took := baseline
		if st.Replica.ID == "r1" {
			took = 8 * baseline
			slow++
		}
		handle := balancer.RecordSent(now, st, request())
		balancer.Done(now.Add(took), st, upstream.Sample{Handle: handle, Class: class, Took: took, Result: upstream.Answered})
	}
	c.Assert(slow <= 8, qt.IsTrue, qt.Commentf("%d of 160 requests went to the slow replica", slow))
	c.Assert(slow >= 1, qt.IsTrue)
}

// Guards against further requests to a replica that has stalled with a request in flight,
// before any failure is recorded.
func TestStalledReplicaReceivesNoSecondRequest(t *testing.T) {
	c := qt.New(t)
	balancer, _, now := newBalancer(3)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		sendOne(balancer, now, request(), 15*time.Millisecond, upstream.Answered)
	}
	stalled := balancer.Pick(now, request())
	balancer.RecordSent(now, stalled, request())
	now = now.Add(100 * time.Millisecond)
	for range 50 {
		c.Assert(sendOne(balancer, now, request(), 15*time.Millisecond, upstream.Answered), qt.Not(qt.Equals), stalled.Replica.ID)
	}
}

// Guards against a cold replica that receives requests at more than this node's part of
// its rate, or at much less.
func TestColdReplicaGetsNoMoreThanItsRate(t *testing.T) {
	c := qt.New(t)
	balancer, replicas, now := newBalancer(1)
	cold := *replicas[0]
	cold.ColdUntil = now.Add(10 * time.Second)
	balancer.SetReplicas([]*registry.Replica{&cold})
	q := request()
	q.ColdPerSecond = 2
	sent := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if sendOne(balancer, now, q, time.Millisecond, upstream.Answered) != "" && now.Before(cold.ColdUntil) {
			sent++
		}
	}
	c.Assert(sent >= 18 && sent <= 21, qt.IsTrue, qt.Commentf("%d requests in ten seconds", sent))
}

// Guards against a shard without a usable replica because every replica closes some
// connections before it answers.
func TestReplicasThatLoseSomeAnswersStayInUse(t *testing.T) {
	c := qt.New(t)
	balancer, _, now := newBalancer(3)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		result := upstream.Answered
		if rng.Float64() < 0.4 {
			result = upstream.ConnectionLost
		}
		c.Assert(sendOne(balancer, now, request(), 15*time.Millisecond, result), qt.Not(qt.Equals), "")
	}
}

// Guards against a replica that refuses requests and uses up the service's retry budget,
// although it reports itself healthy.
func TestReplicaThatRefusesGetsFewRequests(t *testing.T) {
	c := qt.New(t)
	balancer, _, now := newBalancer(3)
	refused := 0
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		st := balancer.Pick(now, request())
		sample := upstream.Sample{Handle: balancer.RecordSent(now, st, request()), Class: class, Took: 15 * time.Millisecond}
		if st.Replica.ID == "r2" {
			sample.Result, sample.Took = upstream.Refused, time.Millisecond
			refused++
		}
		balancer.Done(now, st, sample)
	}
	c.Assert(refused <= 25, qt.IsTrue, qt.Commentf("%d of 500 requests went to the replica that refuses", refused))
}
