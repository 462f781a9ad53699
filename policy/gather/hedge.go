package gather

import (
	"time"

	"github.com/carobmill/carobmill/policy/hedge"
)

const (
	// hedgeQuantile is the fraction of attempts that answer before a hedge, and
	// hedgeFactor extends the wait. Without it, most hedges race answers that are about
	// to arrive.
	hedgeQuantile = 0.9
	hedgeFactor   = 1.1
	// minHedgeSamples is the number of latencies that the quantile needs.
	minHedgeSamples = 30
	// maxDelayShare is the longest wait as a share of the objective, and the wait without
	// enough samples. A later hedge could not answer within the objective.
	maxDelayShare = 0.5
	// fullDelayShare is the used share of the budget from which the delay is longest.
	fullDelayShare = 0.75
	// minHedgeDelay keeps timer noise from causing hedges of very short requests.
	minHedgeDelay = 8 * time.Millisecond
)

// HedgeDelay is the time that an attempt may be in flight before a hedge is sent.
type HedgeDelay struct {
	// earliest is the age from which an attempt is slow for its class. latest is the age up
	// to which a hedge can still answer within the objective.
	earliest, latest time.Duration
}

// NewHedgeDelay derives the delay from recent latencies of the first attempts of a class.
func NewHedgeDelay(recent *hedge.Quantile, objective time.Duration) HedgeDelay {
	longest := time.Duration(maxDelayShare * float64(objective))
	if recent.Count() < minHedgeSamples {
		due := max(minHedgeDelay, longest)
		return HedgeDelay{earliest: due, latest: due}
	}
	typical := time.Duration(hedgeFactor * float64(recent.At(hedgeQuantile)))
	earliest := max(minHedgeDelay, min(typical, longest))
	// A hedge takes about as long as earliest. The same time again is reserved for queueing
	// behind other hedges.
	return HedgeDelay{earliest: earliest, latest: max(earliest, min(longest, objective-2*earliest))}
}

// Min returns the shortest delay.
func (h HedgeDelay) Min() time.Duration { return h.earliest }

// After returns the delay for the used share of the hedge budget, from 0 to 1. It grows with
// that share. When many attempts are slow, the remaining budget thus goes to attempts at
// stalled replicas.
func (h HedgeDelay) After(usedShare float64) time.Duration {
	fraction := min(max(usedShare, 0)/fullDelayShare, 1)
	return h.earliest + time.Duration(fraction*float64(h.latest-h.earliest))
}

// ObservePace records how many times longer than usual the replica of a shard's newest attempt
// is expected to take.
func (q *Query) ObservePace(i int, pace float64) { q.shards[i].pace = pace }

// hedgeDelay returns the delay of a hedge of a shard's newest attempt, given the delay at a
// replica of the usual pace and the least such delay, by which most replicas have answered. If
// the replica is too slow to answer within the objective, nothing is gained by waiting until
// that shows. Other slow replicas are not hedged sooner, since that uses up the budget for
// those that are too slow.
func (q *Query) hedgeDelay(s *shard, delay, earliest time.Duration) time.Duration {
	expected := s.lastSent + time.Duration(s.pace*float64(earliest))
	if s.pace <= 1 || expected <= q.params.Objective || q.params.Objective == 0 {
		return delay
	}
	return max(time.Duration(float64(delay)/s.pace), min(delay, minHedgeDelay))
}
