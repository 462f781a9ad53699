package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/upstream"
)

// interval is the time between two requests.
const interval = 10 * time.Millisecond

// sendMany sends n requests, each answered after took, and returns when the last was sent.
func sendMany(balancer *upstream.Balancer, now time.Time, n int, took time.Duration) time.Time {
	for range n {
		now = now.Add(interval)
		sendOne(balancer, now, request(), took, upstream.Answered)
	}
	return now
}

// Guards against a baseline that stays too low because the first answer was untypically
// fast.
func TestBaselineRecoversFromAFastFirstSample(t *testing.T) {
	c := qt.New(t)
	balancer, _, now := newBalancer(1)
	now = sendMany(balancer, now, 1, 5*time.Millisecond)
	sendMany(balancer, now, 100, 20*time.Millisecond)
	c.Assert(balancer.BaselineLatency(class) >= 12*time.Millisecond, qt.IsTrue, qt.Commentf("%v", balancer.BaselineLatency(class)))
}

// Guards against a baseline that follows the latency of an overload, which would hide the
// overload, and against one that does not adapt to permanently slower requests.
func TestBaselineIsStableDuringAnOverload(t *testing.T) {
	c := qt.New(t)
	balancer, _, now := newBalancer(1)
	now = sendMany(balancer, now, 200, 10*time.Millisecond)
	now = sendMany(balancer, now, 800, 80*time.Millisecond)
	c.Assert(balancer.BaselineLatency(class) <= 13*time.Millisecond, qt.IsTrue, qt.Commentf("%v", balancer.BaselineLatency(class)))
	sendMany(balancer, now, 12000, 80*time.Millisecond)
	c.Assert(balancer.BaselineLatency(class) >= 70*time.Millisecond, qt.IsTrue, qt.Commentf("%v", balancer.BaselineLatency(class)))
}
