package upstream

import (
	"math"
	"time"
)

// rateLimiter bounds the rate of requests to a cold replica. It has no burst, so that
// the nodes' parts add up to the bound in every second.
type rateLimiter struct {
	next time.Time
}

func (r *rateLimiter) allows(now time.Time, perSecond float64) bool {
	return perSecond > 0 && !now.Before(r.next)
}

func (r *rateLimiter) take(now time.Time, perSecond float64) {
	if perSecond > 0 {
		r.next = now.Add(time.Duration(float64(time.Second) / perSecond))
	}
}

// decay returns the fraction of a value that is left after a time with a half-life.
func decay(passed, halfLife time.Duration) float64 {
	if passed <= 0 {
		return 1
	}
	return math.Exp2(-float64(passed) / float64(halfLife))
}
