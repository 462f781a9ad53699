package upstream

import (
	"time"

	"github.com/carobmill/carobmill/policy/load"
)

const (
	// failureWeight is the weight of a new outcome in a replica's failure rate. Without
	// new outcomes, the rate halves in failureHalfLife.
	failureWeight   = 0.25
	failureHalfLife = 2 * time.Second
	// backoffAfter is the number of consecutive failures after which a reachable
	// replica backs off.
	backoffAfter = 4
	// minBackoff and maxBackoff bound the backoff of a replica that fails.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// Result is how an attempt at a replica ended.
type Result int

// Results of attempts.
const (
	// Answered: the replica returned a complete, successful answer.
	Answered Result = iota
	// Refused: the replica answered that it did not run the request.
	Refused
	// Failed: the replica answered with an error of its own or with an invalid answer.
	Failed
	// ConnectionLost: the connection closed while the request was in flight.
	ConnectionLost
	// Unreachable: no connection could be opened.
	Unreachable
	// Abandoned: the node no longer waits for the answer.
	Abandoned
	// WrongReplica: another replica answered at the address, so this one has ended.
	WrongReplica
)

// Sample is the end of an attempt.
type Sample struct {
	Handle uint64
	Class  string
	Took   time.Duration
	Result Result
	// Load is what the replica reported with its answer LoadAge ago.
	Load    load.Report
	LoadAge time.Duration
}

// Done applies the end of an attempt.
func (b *Balancer) Done(now time.Time, st *State, sample Sample) {
	sent := st.remove(sample.Handle)
	if sample.Result != WrongReplica {
		b.observeLoad(now, st, sample.Load, sample.LoadAge)
	}
	switch sample.Result {
	case Answered:
		b.observe(now, sent, st, sample)
		st.recordOutcome(now, 0)
		st.failuresInRow = 0
		st.answeredAt = now
		st.backoffUntil = time.Time{}
	case Refused:
		st.recordOutcome(now, 1)
	case Failed, ConnectionLost:
		// A replica that loses some answers still returns others. Its failure rate
		// raises its cost, and it backs off only after consecutive failures.
		st.recordOutcome(now, 1)
		st.backOff(now, backoffAfter)
	case Unreachable:
		st.recordOutcome(now, 1)
		st.backOff(now, 1)
	case WrongReplica:
		st.addressReused = true
	case Abandoned:
		// The time is a lower bound of the latency, so only a long one counts.
		baseline := b.BaselineLatency(sample.Class)
		if sample.Took > time.Duration(stalledAfter*float64(baseline)) {
			ratio := float64(sample.Took) / float64(baseline)
			st.slowness.observe(now, sent, ratio/min(b.Pace(now, st), ratio))
		}
	}
}

func (b *Balancer) observe(now, sent time.Time, st *State, sample Sample) {
	base := b.baselines[sample.Class]
	if base == nil {
		base = &baseline{}
		base.observe(now, sample.Took)
		b.baselines[sample.Class] = base
	}
	explained := 1.0
	if base.samples >= minCheckSamples {
		explained = b.explained(now, st, sample.Load, base.ratio(sample.Took))
	}
	st.slowness.observe(now, sent, base.ratio(sample.Took)/explained)
	if !st.isCold(now) {
		base.observe(now, time.Duration(float64(sample.Took)/explained))
	}
}

// backOff counts a failure, and starts a backoff from the given number of consecutive
// failures.
func (st *State) backOff(now time.Time, after int) {
	st.failuresInRow++
	if st.failuresInRow < after {
		return
	}
	backoff := minBackoff << min(st.failuresInRow-after, 4)
	st.backoffUntil = now.Add(min(backoff, maxBackoff))
}

// recordOutcome adds an outcome, 0 for a success and 1 for a failure, to the failure
// rate.
func (st *State) recordOutcome(now time.Time, outcome float64) {
	st.failures = st.failureRate(now) + failureWeight*(outcome-st.failureRate(now))
	st.failedAt = now
	if outcome > 0 {
		st.answeredAt = time.Time{}
	}
}

func (st *State) failureRate(now time.Time) float64 {
	return st.failures * decay(now.Sub(st.failedAt), failureHalfLife)
}

// remove deletes an attempt in flight and returns when it was sent.
func (st *State) remove(handle uint64) (sent time.Time) {
	for i, a := range st.inFlight {
		if a.id == handle {
			st.inFlight = append(st.inFlight[:i], st.inFlight[i+1:]...)
			return a.sent
		}
	}
	return time.Time{}
}
