package gather

import "time"

// SetAttemptTime sets the least time in which a replica of a shard answers.
func (q *Query) SetAttemptTime(i int, d time.Duration) { q.shards[i].attemptTime = d }

// HasTime reports whether an attempt for a shard that is sent at a time can be answered
// before the deadline.
func (q *Query) HasTime(i int, at time.Duration) bool {
	return at+q.shards[i].attemptTime < q.params.Deadline
}

// InFlight reports whether the shard has no answer, and only its attempts in flight can still
// bring one now.
func (q *Query) InFlight(i int) bool {
	s := &q.shards[i]
	return !s.answered && s.inFlight > 0 && s.retryAt == 0
}

// MayHedge reports whether another attempt may be sent while one is in flight.
func (q *Query) MayHedge(i int) bool {
	s := &q.shards[i]
	return q.params.Idempotent && !s.exhausted && s.attempts < q.params.MaxAttempts
}

// SetSilent sets whether the attempts in flight of a shard are all at silent replicas. Such a
// shard counts as lost until an answer arrives or another attempt is sent. A request that is
// not idempotent waits for its answer in any case, since it may have run.
func (q *Query) SetSilent(i int, silent bool) {
	s := &q.shards[i]
	switch {
	case !silent:
		q.restore(s)
	case q.params.Idempotent && q.InFlight(i) && !s.lost:
		s.lost, s.silent = true, true
		q.lost++
	}
}

// restore ends the loss of a silent shard.
func (q *Query) restore(s *shard) {
	if s.silent && s.lost && !s.answered {
		s.lost = false
		q.lost--
	}
	s.silent = false
}

// SufficientWithout reports whether the request can succeed without n further shards.
func (q *Query) SufficientWithout(n int) bool {
	return q.sufficient(len(q.shards) - q.lost - n)
}

// Silent reports whether the shard counts as lost because its replicas are silent.
func (q *Query) Silent(i int) bool { return q.shards[i].silent }

// AnsweredCount returns the number of shards with an answer.
func (q *Query) AnsweredCount() int { return q.answered }
