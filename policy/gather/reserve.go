package gather

import "time"

const (
	// delayDecay is the EWMA weight of a sample below the estimate. A longer sample
	// replaces the estimate at once.
	delayDecay = 0.01
	// initialDelay is the estimate without samples.
	initialDelay = 3 * time.Millisecond
	// maxDelaySample caps a sample. Longer delays are process pauses or lost packets, for
	// which no reserve can compensate.
	maxDelaySample = 25 * time.Millisecond
	// maxReserveShare is the largest share of an objective that a reserve may use.
	maxReserveShare = 0.4
	// DefaultReserve applies to requests whose sender sends no reserve.
	DefaultReserve = 12 * time.Millisecond
)

// DeliveryDelay estimates the time from the moment at which an answer should leave until it
// is on its way to the caller. The time includes late timers, the transfer between two nodes
// and the wait for a busy processor. Without the estimate, answers returned at the objective
// reach callers late when processors are busy. Not safe for concurrent use.
type DeliveryDelay struct {
	estimate time.Duration
	observed bool
}

// Observe records the delay of one answer.
func (d *DeliveryDelay) Observe(sample time.Duration) {
	sample = min(max(sample, 0), maxDelaySample)
	current := d.Estimate()
	d.estimate = max(sample, current-time.Duration(delayDecay*float64(current-sample)))
	d.observed = true
}

// Estimate returns a delay that few answers exceed.
func (d *DeliveryDelay) Estimate() time.Duration {
	if !d.observed {
		return initialDelay
	}
	return d.estimate
}

const (
	// answerSizeWeight is the EWMA weight of a new answer's size.
	answerSizeWeight = 0.1
	// answerOverhead is the size of an answer's other headers, and signatureOverhead that of
	// a separator.
	answerOverhead    = 200
	signatureOverhead = 2
)

// AnswerSize estimates the size of the merged answers of a route: with the signatures of
// hundreds of shards, they take milliseconds on a slow network link. Not safe for concurrent
// use.
type AnswerSize struct{ bytes float64 }

// Observe records an answer.
func (s *AnswerSize) Observe(body int, signatures []string) {
	size := float64(answerOverhead + body)
	for _, signature := range signatures {
		size += float64(len(signature) + signatureOverhead)
	}
	if s.bytes == 0 {
		s.bytes = size
		return
	}
	s.bytes += answerSizeWeight * (size - s.bytes)
}

// TransferTime returns the time that an answer needs on a link; 0 if either is unknown.
func (s *AnswerSize) TransferTime(bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(s.bytes / bytesPerSecond * float64(time.Second))
}

// AnswerDeadline returns when an answer must be returned to reach its caller within the
// objective, if the transfer needs reserve.
func AnswerDeadline(objective, reserve time.Duration) time.Duration {
	if reserve <= 0 {
		reserve = DefaultReserve
	}
	return objective - min(reserve, time.Duration(maxReserveShare*float64(objective)))
}
