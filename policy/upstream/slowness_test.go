package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// server is a backend server in virtual time: it works for usual on a request, and stands
// still for pause at the start of each period.
type server struct {
	usual, pause, period time.Duration
}

// ends returns when it has answered a request that comes at a time.
func (s server) ends(at time.Duration) time.Duration {
	if s.period > 0 && at%s.period < s.pause {
		at += s.pause - at%s.period
	}
	return at + s.usual
}

// pending is a request that is out.
type pending struct {
	st     *upstream.State
	handle uint64
	sent   time.Duration
	ends   time.Duration
}

// play sends a request each interval, and returns how many each replica got.
func play(set *upstream.Balancer, start time.Time, servers map[string]server, every, length time.Duration) map[string]int {
	got := make(map[string]int)
	var out []pending
	for at := time.Duration(0); at < length; at += every {
		left := out[:0]
		for _, p := range out {
			if p.ends > at {
				left = append(left, p)
				continue
			}
			set.Done(start.Add(p.ends), p.st, upstream.Sample{
				Handle: p.handle, Class: class, Took: p.ends - p.sent, Result: upstream.Answered,
			})
		}
		out = left
		st := set.Pick(start.Add(at), request())
		if st == nil {
			continue
		}
		got[st.Replica.ID]++
		handle := set.RecordSent(start.Add(at), st, request())
		out = append(out, pending{st: st, handle: handle, sent: at, ends: servers[st.Replica.ID].ends(at)})
	}
	return got
}

// nearAndAway returns a set of a replica in this node's data centre and one in another.
func nearAndAway() *upstream.Balancer {
	set, replicas, _ := fleet(2)
	away := *replicas[1]
	away.DataCentre = "b"
	set.SetReplicas([]*registry.Replica{replicas[0], &away})
	return set
}

// The replica next door pauses for 120 ms every three seconds, with some requests out
// each time. While it stands still others go to the data centre next to this one; as soon
// as it answers again it is as fast as before, and gets them all.
func TestShortPauseDivertsRequestsOnlyWhileItLasts(t *testing.T) {
	c := qt.New(t)
	const usual, pause, period = 11 * time.Millisecond, 120 * time.Millisecond, 3 * time.Second
	servers := map[string]server{
		"r0": {usual: usual, pause: pause, period: period},
		"r1": {usual: usual},
	}
	got := play(nearAndAway(), time.Unix(1000, 0), servers, 10*time.Millisecond, time.Minute)
	total := got["r0"] + got["r1"]
	// The pauses take 4% of the time.
	c.Assert(got["r1"]*20 <= total, qt.IsTrue, qt.Commentf("%d of %d requests went away", got["r1"], total))
}

// The replica next door turns eight times slower and stays so. A few answers tell that this
// is no pause, and nearly all requests go to the other data centre.
func TestSlowLocalReplicaLosesMostRequests(t *testing.T) {
	c := qt.New(t)
	const usual = 11 * time.Millisecond
	set := nearAndAway()
	fast := map[string]server{"r0": {usual: usual}, "r1": {usual: usual}}
	start := time.Unix(1000, 0)
	play(set, start, fast, 10*time.Millisecond, 5*time.Second)
	slow := map[string]server{"r0": {usual: 8 * usual}, "r1": {usual: usual}}
	got := play(set, start.Add(5*time.Second), slow, 10*time.Millisecond, 8*time.Second)
	total := got["r0"] + got["r1"]
	c.Assert(got["r0"]*10 <= total, qt.IsTrue, qt.Commentf("%d of %d requests went to the slow replica", got["r0"], total))
	c.Assert(got["r0"] >= 1, qt.IsTrue)
}
