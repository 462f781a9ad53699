package fairshare

import "time"

const (
	// maxLatencyShare bounds the part of the objective that is reserved for the answer. While
	// answers take longer than that, a request that arrives may still start at once.
	maxLatencyShare = 0.8
	// reviewShare is the part of the objective within which a refusal leaves the caller enough
	// time for another attempt.
	reviewShare = 0.25
)

// Timing is what the deadline of a waiting request depends on.
type Timing struct {
	Arrived time.Time
	// Objective is the part of the objective that is left for the answer, without transit.
	Objective time.Duration
	// Latency is the usual time from the start of a request to its answer.
	Latency time.Duration
	// Age is the age of the request at its arrival.
	Age time.Duration
	// Deadline is when the request ends without an answer.
	Deadline time.Time
}

// StartBy returns the time by which a request must start. A repeated request whose objective
// can still be met, counted from the caller's first attempt, has the earlier deadline of that
// attempt; otherwise the objective counts from the arrival.
func (t Timing) StartBy() time.Time {
	if t.Objective <= 0 {
		return t.Deadline.Add(-t.Latency)
	}
	available := t.Objective - min(t.Latency, time.Duration(maxLatencyShare*float64(t.Objective)))
	by := t.Arrived.Add(available)
	if t.Age > 0 && t.Age < available {
		by = by.Add(-t.Age)
	}
	if t.Deadline.Before(by) {
		return t.Deadline
	}
	return by
}

// ReviewAt returns the time up to which a refusal leaves enough time for another attempt.
func (t Timing) ReviewAt() time.Time {
	return t.Arrived.Add(time.Duration(reviewShare * float64(t.Objective)))
}
