package upstream

import (
	"math"
	"time"
)

// bucket bounds the requests to a cold replica. It holds one request at most, so that
// the nodes' parts add up to the bound in every second.
type bucket struct {
	next time.Time
}

func (b *bucket) has(now time.Time, perSecond float64) bool {
	return perSecond > 0 && !now.Before(b.next)
}

func (b *bucket) take(now time.Time, perSecond float64) {
	if perSecond > 0 {
		b.next = now.Add(time.Duration(float64(time.Second) / perSecond))
	}
}

// decay is the part of a value that is left after that time.
func decay(passed, half time.Duration) float64 {
	if passed <= 0 {
		return 1
	}
	return math.Exp2(-float64(passed) / float64(half))
}
