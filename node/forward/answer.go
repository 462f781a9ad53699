package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/carobmill/carobmill/policy/gather"
)

// finish makes the answer.
func (q *run) finish(verdict gather.Decision) Answer {
	a := q.answer(verdict)
	q.log(&a)
	return a
}

func (q *run) answer(verdict gather.Decision) Answer {
	if verdict == gather.Success {
		if q.route.Gathers() {
			return q.merge()
		}
		part := q.parts[0]
		return Answer{Outcome: Passed, Status: part.Status, Header: part.Header, Body: part.Body}
	}
	if len(q.story) > 0 {
		q.noteOutstanding()
	}
	switch {
	case !q.ran:
		return Answer{Outcome: NotRun, RetryAfter: q.retryAfter()}
	case verdict == gather.DeadlineExceeded:
		return Answer{Outcome: Late}
	case !q.route.Gathers() && q.last != nil:
		return Answer{Outcome: Passed, Status: q.last.Status, Header: q.last.Header, Body: q.last.Body}
	}
	return Answer{Outcome: Failed}
}

// noteOutstanding counts attempts that are out as possibly run.
func (q *run) noteOutstanding() {
	for i := range q.story {
		if !q.story[i].ended {
			q.ran = true
		}
	}
}

func (q *run) merge() Answer {
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
	bodies = append(bodies, q.groups...)
	a.Body = gather.Greatest(bodies, q.route.TopRecords)
	return a
}

const (
	// minRetryAfter and maxRetryAfter bound what a refused caller is told. A replica
	// that refuses has a queue of a few requests, which is worked off in a tenth of a
	// second or two.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// retryAfter tells a caller whose request has not run when to come back: after a few
// requests' time at the slowest of its services, and not all at the same moment.
func (q *run) retryAfter() time.Duration {
	wait := minRetryAfter
	for _, s := range q.services {
		if s == nil {
			continue
		}
		s.mu.Lock()
		wait = max(wait, 2*s.set.BaselineLatency(q.route.Name))
		s.mu.Unlock()
	}
	return min(wait+rand.N(wait), maxRetryAfter)
}
