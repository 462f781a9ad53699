package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/carobmill/carobmill/policy/gather"
)

// finish returns the answer for a decision and logs the request.
func (q *exchange) finish(decision gather.Decision) Answer {
	a := q.answer(decision)
	q.log(&a)
	q.reportUnservable(&a)
	return a
}

func (q *exchange) answer(decision gather.Decision) Answer {
	if decision == gather.Success {
		if q.route.Gathers() {
			return q.merge()
		}
		part := q.parts[0]
		return Answer{Outcome: Passed, Status: part.Status, Header: part.Header, Body: part.Body}
	}
	if len(q.attempts) > 0 {
		q.countOutstandingAsRun()
	}
	switch {
	case !q.mayHaveRun:
		return Answer{Outcome: NotRun, RetryAfter: q.retryAfter()}
	case decision == gather.DeadlineExceeded:
		return Answer{Outcome: Late}
	case !q.route.Gathers() && q.lastFailure != nil:
		return Answer{Outcome: Passed, Status: q.lastFailure.Status, Header: q.lastFailure.Header, Body: q.lastFailure.Body}
	}
	return Answer{Outcome: Failed}
}

// countOutstandingAsRun counts attempts that are in flight as possibly run.
func (q *exchange) countOutstandingAsRun() {
	for i := range q.attempts {
		if !q.attempts[i].ended {
			q.mayHaveRun = true
		}
	}
}

func (q *exchange) merge() Answer {
	a := Answer{Outcome: Merged, Status: http.StatusOK}
	bodies := make([][]byte, 0, len(q.parts))
	for i := range q.parts {
		if !q.query.HasAnswer(i) {
			a.Missing++
			continue
		}
		a.Signatures = append(a.Signatures, q.parts[i].Metadata.Signature)
		bodies = append(bodies, q.parts[i].Body)
	}
	bodies = append(bodies, q.mergedRecords...)
	a.Body = gather.Greatest(bodies, q.route.TopRecords)
	q.class.observeAnswer(&a)
	return a
}

const (
	// minRetryAfter and maxRetryAfter bound the delay that a refused caller gets. A replica
	// that refuses has a queue of a few requests, which drains in 100 to 200 ms.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// retryAfter returns the delay after which a request that was not run may be repeated: at
// least twice the baseline latency of the slowest of its services, plus jitter, so that
// refused callers do not return at the same moment. maxRetryAfter bounds the sum. A request
// that is refused because it crashes replicas may be repeated when that ends.
func (q *exchange) retryAfter() time.Duration {
	if q.trials.retryAfter > 0 {
		return q.trials.retryAfter
	}
	if q.admission.retryAfter > 0 {
		return q.admission.retryAfter
	}
	if q.stopped {
		return q.stopRetryAfter()
	}
	wait := minRetryAfter
	for _, s := range q.services {
		if s == nil {
			continue
		}
		s.mu.Lock()
		wait = max(wait, 2*s.balancer.BaselineLatency(q.route.Name))
		s.mu.Unlock()
	}
	return min(wait+rand.N(wait), maxRetryAfter)
}
