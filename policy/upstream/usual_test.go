package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/upstream"
)

// interval is the time between two answers.
const interval = 10 * time.Millisecond

// answers plays that many answers of a latency and returns the time of the last.
func answers(set *upstream.Balancer, now time.Time, n int, took time.Duration) time.Time {
	for range n {
		now = now.Add(interval)
		serve(set, now, request(), took, upstream.Answered)
	}
	return now
}

// A node's first request is answered much faster than most. What is usual must not rest on
// it: a second later the others count as usual.
func TestBaselineRecoversFromAFastFirstSample(t *testing.T) {
	c := qt.New(t)
	set, _, now := fleet(1)
	now = answers(set, now, 1, 5*time.Millisecond)
	answers(set, now, 100, 20*time.Millisecond)
	c.Assert(set.BaselineLatency(class) >= 12*time.Millisecond, qt.IsTrue, qt.Commentf("%v", set.BaselineLatency(class)))
}

// For eight seconds answers take eight times as long, a hundred of them a second. What is
// usual stays, or nothing would tell that the service has more to do than it can; of work
// that stays longer it learns within a minute or two.
func TestBaselineIsStableDuringAnOverload(t *testing.T) {
	c := qt.New(t)
	set, _, now := fleet(1)
	now = answers(set, now, 200, 10*time.Millisecond)
	now = answers(set, now, 800, 80*time.Millisecond)
	c.Assert(set.BaselineLatency(class) <= 13*time.Millisecond, qt.IsTrue, qt.Commentf("%v", set.BaselineLatency(class)))
	answers(set, now, 12000, 80*time.Millisecond)
	c.Assert(set.BaselineLatency(class) >= 70*time.Millisecond, qt.IsTrue, qt.Commentf("%v", set.BaselineLatency(class)))
}
