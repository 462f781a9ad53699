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

// fleet returns a set of n replicas r0, r1 and so on, and its clock.
func fleet(n int) (*upstream.Balancer, []*registry.Replica, time.Time) {
	set := upstream.NewBalancer(rand.New(rand.NewPCG(1, 2)))
	var replicas []*registry.Replica
	for i := range n {
		replicas = append(replicas, &registry.Replica{ID: "r" + string(rune('0'+i)), Address: "10.0.0.1:80", DataCentre: "a"})
	}
	set.SetReplicas(replicas)
	return set, replicas, time.Unix(1000, 0)
}

func request() upstream.Request {
	return upstream.Request{Class: class, DataCentre: "a", MaxInFlightPerReplica: 3, ColdPerSecond: -1}
}

// serve sends one request and ends it.
func serve(set *upstream.Balancer, now time.Time, q upstream.Request, took time.Duration, result upstream.Result) string {
	st := set.Pick(now, q)
	if st == nil {
		return ""
	}
	handle := set.RecordSent(now, st, q)
	set.Done(now.Add(took), st, upstream.Sample{Handle: handle, Class: class, Took: took, Result: result})
	return st.Replica.ID
}

// A replica ends and its address goes to a replica of another service while the store
// is away, so that no news tells of it. Every request sent there arrives at the other
// service and counts against that one's budget for retries. One answer from another
// replica is proof enough: nothing more goes there until the replica registers anew.
func TestReplicaWhoseAddressWasReusedGetsNothingMore(t *testing.T) {
	c := qt.New(t)
	set, replicas, now := fleet(1)
	c.Assert(serve(set, now, request(), time.Millisecond, upstream.WrongReplica), qt.Equals, "r0")
	for range 100 {
		now = now.Add(time.Second)
		c.Assert(set.Pick(now, request()), qt.IsNil)
	}
	set.SetReplicas(replicas)
	c.Assert(set.Pick(now, request()), qt.IsNil)
	again := *replicas[0]
	again.Incarnation++
	set.SetReplicas([]*registry.Replica{&again})
	c.Assert(set.Pick(now, request()), qt.IsNotNil)
}

// A third of the replicas turn eight times slower. Callers whose requests go there
// miss their objective; the node learns it from a few answers, sends the rest
// elsewhere, and tries the slow ones again only now and then.
func TestSlowReplicaReceivesOnlyOccasionalRequests(t *testing.T) {
	c := qt.New(t)
	set, _, now := fleet(3)
	const usual = 15 * time.Millisecond
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		serve(set, now, request(), usual, upstream.Answered)
	}
	slow := 0
	for range 160 {
		now = now.Add(50 * time.Millisecond)
		st := set.Pick(now, request())
		took := usual
		if st.Replica.ID == "r1" {
			took = 8 * usual
			slow++
		}
		handle := set.RecordSent(now, st, request())
		set.Done(now.Add(took), st, upstream.Sample{Handle: handle, Class: class, Took: took, Result: upstream.Answered})
	}
	c.Assert(slow <= 8, qt.IsTrue, qt.Commentf("%d of 160 requests went to the slow replica", slow))
	c.Assert(slow >= 1, qt.IsTrue)
}

// A replica stands still with a request out: further ones would wait as long. It gets
// no more until it answers, although no failure is known yet.
func TestStalledReplicaReceivesNoSecondRequest(t *testing.T) {
	c := qt.New(t)
	set, _, now := fleet(3)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		serve(set, now, request(), 15*time.Millisecond, upstream.Answered)
	}
	stuck := set.Pick(now, request())
	set.RecordSent(now, stuck, request())
	now = now.Add(100 * time.Millisecond)
	for range 50 {
		c.Assert(serve(set, now, request(), 15*time.Millisecond, upstream.Answered), qt.Not(qt.Equals), stuck.Replica.ID)
	}
}

// A cold replica bears a few requests a second from the whole fleet. This node's part
// is kept, hedges do not use it up, and a warm one gets the rest.
func TestColdReplicaGetsNoMoreThanItsRate(t *testing.T) {
	c := qt.New(t)
	set, replicas, now := fleet(1)
	cold := *replicas[0]
	cold.ColdUntil = now.Add(10 * time.Second)
	set.SetReplicas([]*registry.Replica{&cold})
	q := request()
	q.ColdPerSecond = 2
	sent := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if serve(set, now, q, time.Millisecond, upstream.Answered) != "" && now.Before(cold.ColdUntil) {
			sent++
		}
	}
	c.Assert(sent >= 18 && sent <= 21, qt.IsTrue, qt.Commentf("%d requests in ten seconds", sent))
}

// Most replicas of a shard lose some of their answers: each loss breaks a connection.
// They still give the other answers, so none of them may be taken out; a shard whose
// replicas all rest is lost to every query.
func TestReplicasThatLoseSomeAnswersStayInUse(t *testing.T) {
	c := qt.New(t)
	set, _, now := fleet(3)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		result := upstream.Answered
		if rng.Float64() < 0.4 {
			result = upstream.ConnectionLost
		}
		c.Assert(serve(set, now, request(), 15*time.Millisecond, result), qt.Not(qt.Equals), "")
	}
}

// One of three replicas refuses most requests although it is well by its own word. The
// others get nearly all, since each refusal costs a retry out of the service's budget.
func TestReplicaThatRefusesGetsFewRequests(t *testing.T) {
	c := qt.New(t)
	set, _, now := fleet(3)
	refused := 0
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		st := set.Pick(now, request())
		sample := upstream.Sample{Handle: set.RecordSent(now, st, request()), Class: class, Took: 15 * time.Millisecond}
		if st.Replica.ID == "r2" {
			sample.Result, sample.Took = upstream.Refused, time.Millisecond
			refused++
		}
		set.Done(now, st, sample)
	}
	c.Assert(refused <= 25, qt.IsTrue, qt.Commentf("%d of 500 requests went to the replica that refuses", refused))
}
