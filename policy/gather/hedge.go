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
	// scarceFrom is the share of the budget that may be used before hedges wait for the
	// last moment.
	scarceFrom = 0.75
	// minHedge keeps hedges of very short requests apart from timer noise.
	minHedge = 8 * time.Millisecond
)

// HedgeDelay says how long an attempt may be out before another replica is asked too.
type HedgeDelay struct {
	// earliest is when the attempt is late beside others of its class, and latest when a
	// hedge can still answer inside the objective.
	earliest, latest time.Duration
}

// NewHedgeDelay works it out for a class. recent are the latencies of its first attempts.
func NewHedgeDelay(recent *hedge.Quantile, objective time.Duration) HedgeDelay {
	longest := time.Duration(hedgeObjectiveShare * float64(objective))
	if recent.Count() < hedgeSamples {
		due := max(minHedge, longest)
		return HedgeDelay{earliest: due, latest: due}
	}
	usual := time.Duration(hedgeFactor * float64(recent.At(hedgeQuantile)))
	earliest := max(minHedge, min(usual, longest))
	// A hedge takes about as long as earliest itself; as much again is left for others
	// that are ahead of it.
	return HedgeDelay{earliest: earliest, latest: max(earliest, min(longest, objective-2*earliest))}
}

// Min returns the shortest wait before a hedge.
func (h HedgeDelay) Min() time.Duration { return h.earliest }

// After returns the wait before a hedge while a share, 0 to 1, of the budget for hedges is
// used. The more of it is used, the closer hedges move to the last moment that helps, so
// that the rest goes to attempts at stalled replicas while many others are only slow.
func (h HedgeDelay) After(used float64) time.Duration {
	put := min(max(used, 0)/scarceFrom, 1)
	return h.earliest + time.Duration(put*float64(h.latest-h.earliest))
}
