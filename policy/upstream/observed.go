package upstream

import "time"

const (
	// observedMaxAge is the age from which observations of other nodes have no weight. Their
	// weight falls linearly until then.
	observedMaxAge = 2 * time.Second
	// ownPrecedence is the age by which this node's last outcome may exceed an observation of
	// other nodes and still take precedence.
	ownPrecedence = 50 * time.Millisecond
	// ownAttempts is the number of attempts that this node's failure rate counts as, against
	// those of an observed share.
	ownAttempts = 4
	// silenceUnit is the time without an answer that costs as much as one baseline latency,
	// and maxSilenceCost bounds that cost. Other nodes' view must not take a replica out of
	// use.
	silenceUnit    = 100 * time.Millisecond
	maxSilenceCost = 4.0
)

// Observed is what other nodes have observed of a replica lately.
type Observed struct {
	// Failures is the share of attempts that the replica refused or failed.
	Failures float64
	Attempts int
	// Silent is the time since its last answer while attempts went unanswered; 0 otherwise.
	Silent time.Duration
	// At is the time for which the observation holds.
	At time.Time
}

// Observe records what other nodes have observed of a replica. It replaces an older record.
func (b *Balancer) Observe(id string, o Observed) {
	if st := b.states[id]; st != nil && o.At.After(st.observed.At) {
		st.observed = o
	}
}

// weight returns the weight of the observation at now, from 0 to 1.
func (o *Observed) weight(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(o.At))/float64(observedMaxAge))
}

// observedCost returns the cost of the failures and the silence that are expected of the
// replica. This node's own outcomes take precedence where they are nearly as new.
func (st *State) observedCost(now time.Time) float64 {
	failures := st.failureRate(now)
	o := &st.observed
	weight := o.weight(now)
	if o.At.IsZero() || weight == 0 {
		return failureCost * failures
	}
	if st.failedAt.Before(o.At.Add(-ownPrecedence)) {
		w := weight * float64(o.Attempts) / float64(o.Attempts+ownAttempts)
		failures += w * (o.Failures - failures)
	}
	cost := failureCost * failures
	if st.answeredAt.Before(o.At.Add(-ownPrecedence)) {
		cost += weight * min(float64(o.Silent)/float64(silenceUnit), maxSilenceCost)
	}
	return cost
}
