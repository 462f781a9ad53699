package query

import (
	"math"
	"time"

	"github.com/carobmill/carobmill/policy/config"
)

const (
	// maxHedges is the number of hedges per shard. In a query over many shards, a first
	// hedge may meet a straggler too.
	maxHedges = 2
	// hedgeRetryPause is the pause before the next try of a hedge that found no budget or
	// no suitable replica.
	hedgeRetryPause = 5 * time.Millisecond
	// neverHedge is the hedge age of attempts that are never hedged.
	neverHedge = time.Duration(math.MaxInt64)
)

// updateHedgeAge reschedules the next hedge when the hedge age has changed. Otherwise
// hedgeAt can only be too early, and the wake-up at that time corrects it.
func (q *Query) updateHedgeAge() {
	after := q.env.HedgeAfter(q.answered, len(q.shards), q.slowest)
	if after == q.hedgeAfter && !q.hedgeAt.IsZero() {
		return
	}
	q.hedgeAfter = after
	q.scheduleHedge()
}

// advanceHedge sets hedgeAt to an earlier time if a new attempt may be hedged by then.
func (q *Query) advanceHedge(due time.Time) {
	if q.hedgeAfter == neverHedge || !due.Before(q.params.Deadline) {
		return
	}
	if q.hedgeAt.IsZero() || due.Before(q.hedgeAt) {
		q.hedgeAt = due
	}
}

// scheduleHedge sets hedgeAt to the earliest hedge time of all waiting shards, or to zero
// when none is before the deadline. Few shards are waiting once hedges are possible.
func (q *Query) scheduleHedge() {
	q.hedgeAt = time.Time{}
	if q.hedgeAfter >= q.params.Deadline.Sub(q.start) {
		return
	}
	for _, i := range q.waitingShards() {
		s := &q.shards[i]
		if !s.hedgeable() {
			continue
		}
		if due := q.hedgeDue(s); q.hedgeAt.IsZero() || due.Before(q.hedgeAt) {
			q.hedgeAt = due
		}
	}
}

// waitingShards returns the shards that are neither answered nor absent.
func (q *Query) waitingShards() []int {
	if q.waiting == nil {
		for i := range q.shards {
			q.waiting = append(q.waiting, i)
		}
	}
	waiting := q.waiting[:0]
	for _, i := range q.waiting {
		if q.shards[i].phase == shardWaiting {
			waiting = append(waiting, i)
		}
	}
	q.waiting = waiting
	return waiting
}

func (s *shardState) hedgeable() bool {
	return s.phase == shardWaiting && s.outstanding > 0 && s.hedges < maxHedges
}

// hedgeDue counts from the latest attempt, so that a retry or a first hedge has as much
// time to answer as an ordinary attempt.
func (q *Query) hedgeDue(s *shardState) time.Time {
	due := s.sentAt.Add(q.hedgeAfter)
	if due.Before(s.noHedgeBefore) {
		return s.noHedgeBefore
	}
	return due
}

// sendHedges sends a hedge for each shard whose hedge time has passed, within the budget.
func (q *Query) sendHedges(now time.Time, step *Step) {
	for _, i := range q.waitingShards() {
		s := &q.shards[i]
		if !s.hedgeable() || now.Before(q.hedgeDue(s)) {
			continue
		}
		replica := q.pickHedge(i)
		if replica == nil || !q.env.TakeHedge() {
			s.noHedgeBefore = now.Add(hedgeRetryPause)
			continue
		}
		s.hedges++
		q.stats.Hedges++
		q.sendTo(now, i, replica, TraceHedge, step)
	}
	q.scheduleHedge()
}

// pickHedge prefers a replica that has not received the shard. When no other replica is
// left for a second hedge, a tried one is allowed, because the delay may have been random.
func (q *Query) pickHedge(i int) *config.Replica {
	s := &q.shards[i]
	shard := q.generation.Shards[i]
	if r := q.env.PickHedge(shard, q.snapshot, q.triedFor(s)); r != nil || s.hedges == 0 {
		return r
	}
	return q.env.PickHedge(shard, q.snapshot, func(*config.Replica) bool { return false })
}
