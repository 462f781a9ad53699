package forward

import (
	"time"

	"github.com/carobmill/carobmill/policy/shutdown"
)

// Stop is the planned stop of a node.
type Stop struct {
	// AnswerBy is when the requests of the node must be answered.
	AnswerBy time.Time
	// RetryAt is when the load balancer sends callers to other nodes only.
	RetryAt time.Time
}

// StopAt refuses, from now on, what the node cannot be expected to answer before it stops.
func (f *Forwarder) StopAt(s Stop) { f.stop.Store(&s) }

// answerBy returns when this node or the node that received the request stops, whichever is
// first; zero if neither does.
func (q *exchange) answerBy() time.Time {
	by := q.req.AnswerBy
	if s := q.f.stop.Load(); s != nil && (by.IsZero() || s.AnswerBy.Before(by)) {
		by = s.AnswerBy
	}
	return by
}

// outlastsNode reports whether an attempt that is sent now may not end before the node stops. Its
// replica would run the request, and the caller would not get the answer.
func (q *exchange) outlastsNode(now time.Time) bool {
	by := q.answerBy()
	if by.IsZero() {
		return false
	}
	return !shutdown.Fits(by.Sub(now), q.deadline.Sub(now), q.class.longestLatency())
}

// refusedForStop reports whether an attempt is refused because it may outlast the node, and records
// that for the answer.
func (q *exchange) refusedForStop(now time.Time) bool {
	if !q.outlastsNode(now) {
		return false
	}
	q.stopped = true
	return true
}

// stopRetryAfter returns the delay for a caller whose request is refused because the node stops.
func (q *exchange) stopRetryAfter() time.Duration {
	s := q.f.stop.Load()
	if s == nil {
		return minRetryAfter
	}
	return max(time.Until(s.RetryAt), minRetryAfter)
}

// longestLatency returns the longest time of a first attempt of the route; 0 if unknown.
func (c *class) longestLatency() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latencies.Count() < shutdown.MinSamples {
		return 0
	}
	return c.latencies.At(shutdown.LatencyQuantile)
}
