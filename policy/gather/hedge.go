package gather

import (
	"time"

	"github.com/carobmill/carobmill/policy/hedge"
)

const (
	// hedgeQuantile is the part of attempts that answer before a hedge is due, and
	// hedgeFactor what is waited beyond that: earlier hedges find mostly answers that
	// were about to come.
	hedgeQuantile = 0.9
	hedgeFactor   = 1.1
	// hedgeSamples is how many latencies the quantile needs.
	hedgeSamples = 30
	// hedgeObjectiveShare of the objective is the wait while too little is known,
	// and the longest wait: a hedge sent later could not answer inside the objective.
	hedgeObjectiveShare = 0.5
	// minHedge keeps hedges of very short requests apart from timer noise.
	minHedge = 8 * time.Millisecond
)

// HedgeAfter returns how long an attempt may be out before another replica is asked
// too. recent are the latencies of first attempts of the class.
func HedgeAfter(recent *hedge.Quantile, objective time.Duration) time.Duration {
	longest := time.Duration(hedgeObjectiveShare * float64(objective))
	if recent.Count() < hedgeSamples {
		return max(minHedge, longest)
	}
	due := time.Duration(hedgeFactor * float64(recent.At(hedgeQuantile)))
	return max(minHedge, min(due, longest))
}
