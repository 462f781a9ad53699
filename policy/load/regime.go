package load

import (
	"math"
	"time"
)

const (
	// priorRegime is the mean length of a regime that is assumed before reports show another
	// one, and priorEnds is the number of ends of regimes that the assumption counts as.
	priorRegime = 600 * time.Millisecond
	priorEnds   = 3
	// maxEnds bounds the number of ends that are remembered, so that a change shows.
	maxEnds = 60
	// minRegime and maxRegime bound the learned length.
	minRegime = 50 * time.Millisecond
	maxRegime = 5 * time.Second
	// slowPace is the pace from which a replica counts as slow.
	slowPace = 1.2
)

// Regimes learns for the replicas of one service how long a pace lasts that differs from the
// usual one. The ends are taken to be random, so that the length is exponentially distributed.
// The zero value is ready to use. Not safe for concurrent use.
type Regimes struct {
	// slow is the time that replicas have been observed to be slow, and ends the number of
	// times that they have returned to the usual pace.
	slow time.Duration
	ends float64
}

// Mean returns the estimated mean length.
func (r *Regimes) Mean() time.Duration {
	mean := float64(r.slow+priorEnds*priorRegime) / (r.ends + priorEnds)
	return min(max(time.Duration(mean), minRegime), maxRegime)
}

// remaining returns the probability that a regime still lasts which was observed age ago and
// had lasted for a time by then. Regimes of different kinds mix: one that has outlasted the
// mean is of a longer kind.
func (r *Regimes) remaining(age, lasted time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(max(r.Mean(), min(lasted, maxRegime))))
}

// observe applies two successive reports of a replica: its pace, and the one between later.
// weight is the trust in the replica's reports.
func (r *Regimes) observe(before, after float64, between time.Duration, weight float64) {
	if before < slowPace || between <= 0 || weight <= 0 {
		return
	}
	lasted := min(max((after-1)/(before-1), 0), 1)
	// A regime that ended between the reports lasted for a part of the time. Its expectation
	// under the present estimate keeps rare reports from biasing the estimate.
	mean, gap := float64(r.Mean()), float64(between)
	untilEnd := mean - gap/math.Expm1(gap/mean)
	r.slow += time.Duration(weight * (lasted*gap + (1-lasted)*untilEnd))
	r.ends += weight * (1 - lasted)
	if r.ends > maxEnds {
		r.slow = time.Duration(float64(r.slow) * maxEnds / r.ends)
		r.ends = maxEnds
	}
}
