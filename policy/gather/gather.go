// Package gather decides the life of one request: which shards get another attempt
// and when, and when the answer is given with the coverage that was reached. A request
// that a single replica answers is a gather over one shard. Nothing in it does I/O or
// reads a clock.
package gather

import "time"

// Params of one request; times are counted from its arrival.
type Params struct {
	Shards int
	// MaxAttempts bounds the replicas of each shard that get the request.
	MaxAttempts int
	// MinCoverage is the least share of shards that makes a success.
	MinCoverage float64
	// Objective is when an answer loses most of its use.
	Objective time.Duration
	// Deadline is when the request ends whatever was reached.
	Deadline time.Duration
	// Idempotent requests may run more than once.
	Idempotent bool
}

// Decision says what becomes of the request now.
type Decision int

// Decisions.
const (
	// Wait for the next result or moment.
	Wait Decision = iota
	// Success with the parts that are in.
	Success
	// Failure: the least coverage cannot be reached any more.
	Failure
	// DeadlineExceeded: the deadline has come first.
	DeadlineExceeded
)

// shard is the state of one shard.
type shard struct {
	attempts int
	out      int
	lastSent time.Duration
	answered bool
	// lost shards have no attempt out and none left.
	lost bool
	// denied is set once no further attempt may be sent.
	denied bool
	// troubled is set once an attempt has failed.
	troubled bool
	// refusals is how often the shard was tried again after a refusal, and againAt when
	// that is due next; 0 when it is not.
	refusals int
	againAt  time.Duration
}

// Query is the state of one request. Not safe for concurrent use.
type Query struct {
	params   Params
	shards   []shard
	answered int
	lost     int
}

// New returns a query with no attempt sent.
func New(p Params) *Query {
	return &Query{params: p, shards: make([]shard, p.Shards)}
}

// Sent counts an attempt for a shard.
func (q *Query) Sent(i int, at time.Duration) {
	s := &q.shards[i]
	s.attempts++
	s.out++
	s.lastSent = at
}

// Answered takes a shard's part, and reports whether it is the first.
func (q *Query) Answered(i int) bool {
	s := &q.shards[i]
	s.out--
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

// Failed takes the failure of an attempt, and reports whether another one should be
// sent at once. counts is false when the attempt reached no replica of the shard.
func (q *Query) Failed(i int, counts bool) (retry bool) {
	s := &q.shards[i]
	s.out--
	s.troubled = true
	if !counts {
		s.attempts--
	}
	if s.answered {
		return false
	}
	return s.attempts < q.params.MaxAttempts && !s.denied
}

const (
	// maxRefusals is how often a shard is tried again at replicas that refused, when
	// its attempts are used up, and refusalPause the pause before the first of these;
	// it doubles each time. A refused attempt has not run, so that it may be sent to the
	// same replica again; replicas work a queue off in some ten milliseconds.
	maxRefusals  = 4
	refusalPause = 5 * time.Millisecond
)

// ScheduleRetry makes the shard wait for another attempt at a replica that refused, and
// reports whether it does. It answers half of the replicas refusing every second request
// for seconds, when two attempts a shard lose more shards than an answer may lack.
func (q *Query) ScheduleRetry(i int, now time.Duration) bool {
	s := &q.shards[i]
	if s.answered || s.denied || s.out > 0 || s.refusals >= maxRefusals {
		return false
	}
	s.againAt = now + refusalPause<<s.refusals
	s.refusals++
	return true
}

// SendDueRetries calls send for each shard whose time to be tried again has come, and returns when
// the next one's does, or the deadline.
func (q *Query) SendDueRetries(now time.Duration, send func(i int)) time.Duration {
	next := q.params.Deadline
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.againAt == 0:
		case now >= s.againAt:
			s.againAt = 0
			send(i)
		default:
			next = min(next, s.againAt)
		}
	}
	return next
}

// RetrySent counts an attempt at a replica that had one before.
func (q *Query) RetrySent(i int, at time.Duration) {
	s := &q.shards[i]
	s.out++
	s.lastSent = at
}

// Dispensable reports whether the answer would still be a success without this shard and
// all others that an attempt has failed for. While the budget for extra requests is
// short, its last part is for shards that decide whether there is an answer at all.
func (q *Query) Dispensable(i int) bool {
	missing := 1
	for k := range q.shards {
		s := &q.shards[k]
		if k != i && !s.answered && (s.lost || s.troubled) {
			missing++
		}
	}
	return q.enough(len(q.shards) - missing)
}

// HasUntriedReplica reports whether the shard may be sent to a replica that has not had it.
func (q *Query) HasUntriedReplica(i int) bool { return q.shards[i].attempts < q.params.MaxAttempts }

// GiveUp notes that no further attempt can be sent for the shard: there is no replica
// left, no budget, or it may not run again.
func (q *Query) GiveUp(i int) {
	q.shards[i].denied = true
	q.MarkLostIfIdle(i)
}

// MarkLostIfIdle counts the shard as lost if no attempt is out, after one that failed and was
// not followed by another.
func (q *Query) MarkLostIfIdle(i int) {
	s := &q.shards[i]
	if s.answered || s.lost || s.out > 0 || s.againAt > 0 {
		return
	}
	s.lost = true
	q.lost++
}

// HasAnswer reports whether the shard's part is in.
func (q *Query) HasAnswer(i int) bool { return q.shards[i].answered }

// Coverage is the share of shards whose parts are in.
func (q *Query) Coverage() float64 {
	return float64(q.answered) / float64(len(q.shards))
}

// enough reports whether that many shards make a success.
func (q *Query) enough(shards int) bool {
	if shards == 0 {
		return false
	}
	return float64(shards) >= q.params.MinCoverage*float64(len(q.shards))-coverageSlack
}

// coverageSlack absorbs the rounding of a share that was sent as a decimal.
const coverageSlack = 1e-9

// Decide decides what becomes of the request, and when to look again at the latest.
//
// An answer that has the least coverage is given at the objective without waiting for
// the last shards: later it has little use, and a caller who waits for one shard that
// stands still waits for all. Before the objective it waits for every shard that can
// still answer.
func (q *Query) Decide(now time.Duration) (Decision, time.Duration) {
	total := len(q.shards)
	open := total - q.answered - q.lost
	switch {
	case open == 0 && q.enough(q.answered):
		return Success, 0
	case !q.enough(total - q.lost):
		return Failure, 0
	case q.enough(q.answered) && now >= q.params.Objective:
		return Success, 0
	case now >= q.params.Deadline:
		return DeadlineExceeded, 0
	case now < q.params.Objective:
		return Wait, min(q.params.Objective, q.params.Deadline)
	}
	return Wait, q.params.Deadline
}

// Hedges calls send for each shard whose attempt is due for a hedge: it has been out
// for what after says, and another may be sent. It returns when to call it again, or the
// deadline. after is called only for attempts that have been out for earliest, the
// shortest time that it may say.
func (q *Query) Hedges(now, earliest time.Duration, after func(i int) time.Duration, send func(i int)) time.Duration {
	next := q.params.Deadline
	if !q.params.Idempotent {
		return next
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.answered || s.lost || s.denied || s.out == 0 || s.attempts >= q.params.MaxAttempts {
			continue
		}
		due := s.lastSent + earliest
		if now >= due {
			due = s.lastSent + max(after(i), earliest)
		}
		if now >= due {
			send(i)
			continue
		}
		next = min(next, due)
	}
	return next
}
