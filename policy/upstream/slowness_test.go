package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// server is a backend server in virtual time. It answers within latency, and stalls for
// pause at the start of each period.
type server struct {
	latency, pause, period time.Duration
}

// ends returns when the server has answered a request that arrives at the given time.
func (s server) ends(at time.Duration) time.Duration {
	if s.period > 0 && at%s.period < s.pause {
		at += s.pause - at%s.period
	}
	return at + s.latency
}

// pending is a request in flight.
type pending struct {
	st     *upstream.State
	handle uint64
	sent   time.Duration
	ends   time.Duration
}

// run sends a request at each interval and returns how many each replica received.
func run(balancer *upstream.Balancer, start time.Time, servers map[string]server, every, length time.Duration) map[string]int {
	received := make(map[string]int)
	var inFlight []pending
	for at := time.Duration(0); at < length; at += every {
		remaining := inFlight[:0]
		for _, p := range inFlight {
			if p.ends > at {
				remaining = append(remaining, p)
				continue
			}
			balancer.Done(start.Add(p.ends), p.st, upstream.Sample{
				Handle: p.handle, Class: class, Took: p.ends - p.sent, Result: upstream.Answered,
			})
		}
		inFlight = remaining
		st := balancer.Pick(start.Add(at), request())
		if st == nil {
			continue
		}
		received[st.Replica.ID]++
		handle := balancer.RecordSent(start.Add(at), st, request())
		inFlight = append(inFlight, pending{st: st, handle: handle, sent: at, ends: servers[st.Replica.ID].ends(at)})
	}
	return received
}

// localAndRemote returns a balancer with a replica in this node's data centre and one in
// another.
func localAndRemote() *upstream.Balancer {
	balancer, replicas, _ := newBalancer(2)
	remote := *replicas[1]
	remote.DataCentre = "b"
	balancer.SetReplicas([]*registry.Replica{replicas[0], &remote})
	return balancer
}

// Guards against a short pause of a local replica that diverts requests to another data
// centre long after the pause.
func TestShortPauseDivertsRequestsOnlyWhileItLasts(t *testing.T) {
	c := qt.New(t)
	const latency, pause, period = 11 * time.Millisecond, 120 * time.Millisecond, 3 * time.Second
	servers := map[string]server{
		"r0": {latency: latency, pause: pause, period: period},
		"r1": {latency: latency},
	}
	received := run(localAndRemote(), time.Unix(1000, 0), servers, 10*time.Millisecond, time.Minute)
	total := received["r0"] + received["r1"]
	// The pauses take 4% of the time.
	c.Assert(received["r1"]*20 <= total, qt.IsTrue, qt.Commentf("%d of %d requests went to the other data centre", received["r1"], total))
}

// Guards against a local replica that keeps its requests although it is persistently
// slower than the replica in another data centre.
func TestSlowLocalReplicaLosesMostRequests(t *testing.T) {
	c := qt.New(t)
	const latency = 11 * time.Millisecond
	balancer := localAndRemote()
	fast := map[string]server{"r0": {latency: latency}, "r1": {latency: latency}}
	start := time.Unix(1000, 0)
	run(balancer, start, fast, 10*time.Millisecond, 5*time.Second)
	slow := map[string]server{"r0": {latency: 8 * latency}, "r1": {latency: latency}}
	received := run(balancer, start.Add(5*time.Second), slow, 10*time.Millisecond, 8*time.Second)
	total := received["r0"] + received["r1"]
	c.Assert(received["r0"]*10 <= total, qt.IsTrue, qt.Commentf("%d of %d requests went to the slow replica", received["r0"], total))
	c.Assert(received["r0"] >= 1, qt.IsTrue)
}
