package gather

import "time"

const (
	// delayFall is the part of the difference by which a delay estimate follows a shorter
	// sample. It follows a longer one at once.
	delayFall = 0.01
	// startDelay stands in for a delay without a sample.
	startDelay = 3 * time.Millisecond
	// maxDelay bounds what a single sample counts for. A longer one is a pause of the
	// process or a lost packet, which no answer can make room for.
	maxDelay = 25 * time.Millisecond
	// reserveShare is the part of an objective that a reserve may take.
	reserveShare = 0.4
	// DefaultReserve stands in for the reserve of a request whose sender does not say.
	DefaultReserve = 12 * time.Millisecond
)

// DeliveryDelay estimates how long answers take from the moment at which they are due to leave
// until they are on their way to the caller: late timers, the way between two nodes, and
// the wait for a busy processor.
//
// It answers load at which processors are busy, when answers that are due at the objective
// reach their callers after it. Not safe for concurrent use.
type DeliveryDelay struct {
	estimate time.Duration
	known    bool
}

// Observe takes the delay of one answer.
func (d *DeliveryDelay) Observe(took time.Duration) {
	took = min(max(took, 0), maxDelay)
	current := d.Estimate()
	d.estimate = max(took, current-time.Duration(delayFall*float64(current-took)))
	d.known = true
}

// Estimate returns a delay that few answers exceed.
func (d *DeliveryDelay) Estimate() time.Duration {
	if !d.known {
		return startDelay
	}
	return d.estimate
}

// AnswerDeadline returns when an answer has to be given to reach its caller within the
// objective, of which reserve is needed on the way.
func AnswerDeadline(objective, reserve time.Duration) time.Duration {
	if reserve <= 0 {
		reserve = DefaultReserve
	}
	return objective - min(reserve, time.Duration(reserveShare*float64(objective)))
}
