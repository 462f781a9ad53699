package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against answers that reach callers after the objective because a small VM takes
// milliseconds to read a request and write its answer.
func TestTransitReserveGrowsOnSmallVMs(t *testing.T) {
	c := qt.New(t)
	reserve := func(cores float64) time.Duration {
		return transitReserve(context.Background(), cores) - defaultRoundTrip
	}
	c.Assert(reserve(0.8), qt.Equals, 2*time.Millisecond)
	c.Assert(reserve(0.4), qt.Equals, 2*time.Millisecond)
	c.Assert(reserve(0.2), qt.Equals, 4*time.Millisecond)
	c.Assert(reserve(0.1), qt.Equals, 8*time.Millisecond)
	c.Assert(reserve(0), qt.Equals, 10*time.Millisecond)
}
