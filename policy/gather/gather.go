// Package gather is the state machine of one request: which shards receive another
// attempt and when, and when the answer is returned and with which coverage. A request
// to a single replica is a gather over one shard. The package does no I/O and reads no
// clock.
package gather

import "time"

// Params are the parameters of one request. Times count from its arrival.
type Params struct {
	Shards int
	// MaxAttempts is the largest number of replicas per shard that receive the request.
	MaxAttempts int
	// MinCoverage is the least share of shards for a success, from 0 to 1.
	MinCoverage float64
	// Objective is the target response time. From then on, an answer with MinCoverage is
	// returned without the remaining shards.
	Objective time.Duration
	// Deadline ends the request, whatever its coverage.
	Deadline time.Duration
	// Idempotent requests may run more than once.
	Idempotent bool
	// SingleReplica is set for requests that one replica answers, without shards.
	SingleReplica bool
}

// Decision is what happens to the request next.
type Decision int

// Decisions on a request.
const (
	// Wait for the next result or timer.
	Wait Decision = iota
	// Success returns the parts received so far.
	Success
	// Failure means that MinCoverage can no longer be reached.
	Failure
	// DeadlineExceeded means that the deadline has passed without a success.
	DeadlineExceeded
)

// shard is the state of one shard.
type shard struct {
	attempts int
	inFlight int
	lastSent time.Duration
	// pace is how many times longer than usual the replica of the newest attempt is expected to
	// take; 0 if unknown.
	pace     float64
	answered bool
	// lost shards have no attempt in flight and none left to send, or are silent.
	lost bool
	// silent is set if all attempts in flight are at silent replicas.
	silent bool
	// attemptTime is the least time in which a replica answers.
	attemptTime time.Duration
	// hedgeAfter is the time before which no hedge is sent.
	hedgeAfter time.Duration
	// exhausted is set when no further attempt may be sent.
	exhausted bool
	// hadFailure is set when an attempt has failed.
	hadFailure bool
	// refusalRetries counts the retries after refusals. retryAt is when the next one is
	// sent; 0 when none is scheduled.
	refusalRetries int
	retryAt        time.Duration
}

// Query is the state of one request. Not safe for concurrent use.
type Query struct {
	params   Params
	shards   []shard
	answered int
	lost     int
}

// New returns a query without attempts.
func New(p Params) *Query {
	return &Query{params: p, shards: make([]shard, p.Shards)}
}

// Sent records an attempt for a shard.
func (q *Query) Sent(i int, at time.Duration) {
	s := &q.shards[i]
	q.restore(s)
	s.attempts++
	s.inFlight++
	s.lastSent = at
}

// Answered records a shard's part, and reports whether it is the shard's first.
func (q *Query) Answered(i int) bool {
	s := &q.shards[i]
	s.inFlight--
	if s.answered {
		return false
	}
	s.answered = true
	q.answered++
	if s.lost {
		s.lost = false
		q.lost--
	}
	return true
}

// Failed records a failed attempt, and reports whether another should be sent at once.
// counts is false when the attempt reached no replica of the shard.
func (q *Query) Failed(i int, counts bool) (retry bool) {
	s := &q.shards[i]
	s.inFlight--
	s.hadFailure = true
	if !counts {
		s.attempts--
	}
	if s.answered {
		return false
	}
	return s.attempts < q.params.MaxAttempts && !s.exhausted
}

const (
	// maxRefusalRetries is the number of retries after refusals, once the attempts of a
	// shard are used up or have no replica. refusalBackoff is the pause before the first; it
	// doubles each time. Replicas drain a full queue within some ten milliseconds.
	maxRefusalRetries = 4
	refusalBackoff    = 5 * time.Millisecond
)

// MayReturn reports whether a shard's request may be sent again to a replica that refused it. A
// second copy of the refusal can arrive at any later time, on any connection of the replica. It would
// count as the reply to the new attempt, which runs. A request to one replica would then be refused
// as not run although it runs. At a shard, another run does no harm, and a retry saves the part.
func (q *Query) MayReturn() bool { return q.params.Idempotent && !q.params.SingleReplica }

// ScheduleRetry schedules another attempt after a refusal, and reports whether one is left.
// Without these retries, replicas that refuse every second request cause more lost
// shards than MinCoverage allows. While the first attempt is in flight, a refused hedge is
// retried only if the request cannot succeed without the shard: otherwise a pause of one
// replica and a refusal of another delay the answer.
func (q *Query) ScheduleRetry(i int, now time.Duration) bool {
	s := &q.shards[i]
	if s.answered || s.exhausted || s.refusalRetries >= maxRefusalRetries {
		return false
	}
	if !q.MayReturn() && !q.HasUntriedReplica(i) {
		return false
	}
	if s.inFlight > 0 && q.Dispensable(i) {
		return false
	}
	at := now + refusalBackoff<<s.refusalRetries
	if !q.HasTime(i, at) {
		return false
	}
	q.restore(s)
	s.retryAt = at
	s.refusalRetries++
	return true
}

// SendDueRetries calls send for each shard whose scheduled retry is due. It returns the time
// of the next retry, or the deadline.
func (q *Query) SendDueRetries(now time.Duration, send func(i int)) time.Duration {
	next := q.params.Deadline
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.retryAt == 0:
		case now >= s.retryAt:
			s.retryAt = 0
			send(i)
			if s.retryAt > 0 {
				next = min(next, s.retryAt)
			}
		default:
			next = min(next, s.retryAt)
		}
	}
	return next
}

// RetrySent records an attempt at a replica that has already received one for the shard.
func (q *Query) RetrySent(i int, at time.Duration) {
	s := &q.shards[i]
	q.restore(s)
	s.inFlight++
	s.lastSent = at
}

// Dispensable reports whether the request can succeed without shard i and all other
// unanswered shards that had a failure. When the budget for extra requests runs low, the
// remainder is reserved for shards that are not dispensable.
func (q *Query) Dispensable(i int) bool {
	missing := 1
	for k := range q.shards {
		s := &q.shards[k]
		if k != i && !s.answered && (s.lost || s.hadFailure) {
			missing++
		}
	}
	return q.sufficient(len(q.shards) - missing)
}

// HasUntriedReplica reports whether another replica may receive the shard's request.
func (q *Query) HasUntriedReplica(i int) bool { return q.shards[i].attempts < q.params.MaxAttempts }

// PostponeHedge records that a hedge of the shard may be sent at a later time.
func (q *Query) PostponeHedge(i int, until time.Duration) { q.shards[i].hedgeAfter = until }

// PostponeRetry schedules another attempt of the shard at a later time, and reports whether there
// is enough time left then.
func (q *Query) PostponeRetry(i int, at time.Duration) bool {
	s := &q.shards[i]
	if s.answered || s.exhausted || !q.HasTime(i, at) {
		return false
	}
	q.restore(s)
	s.retryAt = at
	return true
}

// GiveUp records that no further attempt can be sent for the shard: no replica or budget is
// left, or the request may not run again.
func (q *Query) GiveUp(i int) {
	q.shards[i].exhausted = true
	q.MarkLostIfIdle(i)
}

// MarkLostIfIdle counts the shard as lost if it has no answer, no attempt in flight and no
// scheduled retry.
func (q *Query) MarkLostIfIdle(i int) {
	s := &q.shards[i]
	if s.answered || s.lost || s.inFlight > 0 || s.retryAt > 0 {
		return
	}
	s.lost = true
	q.lost++
}

// HasAnswer reports whether the shard's part has arrived.
func (q *Query) HasAnswer(i int) bool { return q.shards[i].answered }

// Idle reports whether the shard has an answer, or no attempt in flight.
func (q *Query) Idle(i int) bool { return q.shards[i].answered || q.shards[i].inFlight == 0 }

// Coverage returns the share of shards whose parts have arrived.
func (q *Query) Coverage() float64 {
	return float64(q.answered) / float64(len(q.shards))
}

// sufficient reports whether the given number of shards reaches MinCoverage.
func (q *Query) sufficient(shards int) bool {
	if shards == 0 {
		return false
	}
	return float64(shards) >= q.params.MinCoverage*float64(len(q.shards))-coverageTolerance
}

// coverageTolerance absorbs the rounding of a share that was sent as a decimal.
const coverageTolerance = 1e-9

// Decide returns the decision at now, and for Wait the time of the next call at the latest.
//
// Until the objective, the request waits for every shard that can still answer. From the
// objective on, an answer with MinCoverage is returned at once: otherwise one stalled shard
// would delay the whole answer.
func (q *Query) Decide(now time.Duration) (Decision, time.Duration) {
	total := len(q.shards)
	pending := total - q.answered - q.lost
	switch {
	case pending == 0 && q.sufficient(q.answered):
		return Success, 0
	case !q.sufficient(total - q.lost):
		return Failure, 0
	case q.sufficient(q.answered) && now >= q.params.Objective:
		return Success, 0
	case now >= q.params.Deadline:
		return DeadlineExceeded, 0
	case now < q.params.Objective:
		return Wait, min(q.params.Objective, q.params.Deadline)
	}
	return Wait, q.params.Deadline
}

// Hedges calls send for each shard whose newest attempt has been in flight for the time that
// after returns, if another attempt is allowed. It returns the time of the next call, or the
// deadline. earliest is the least value of after, which is called only for attempts that
// have been in flight that long. Where the pace of the attempt's replica is known to be slow,
// both are shorter.
func (q *Query) Hedges(now, earliest time.Duration, after func(i int) time.Duration, send func(i int)) time.Duration {
	next := q.params.Deadline
	if !q.params.Idempotent {
		return next
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.answered || s.lost || s.exhausted || s.inFlight == 0 || s.attempts >= q.params.MaxAttempts {
			continue
		}
		due := s.lastSent + q.hedgeDelay(s, earliest, earliest)
		if now >= due {
			due = s.lastSent + q.hedgeDelay(s, max(after(i), earliest), earliest)
		}
		due = max(due, s.hedgeAfter)
		if now >= due {
			send(i)
			if s.hedgeAfter > now {
				next = min(next, s.hedgeAfter)
			}
			continue
		}
		next = min(next, due)
	}
	return next
}
