package query

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// NextTick returns the time at which Tick must be called if no reply arrives before.
func (q *Query) NextTick() time.Time {
	next := q.params.Deadline
	if !q.hedgeAt.IsZero() && q.hedgeAt.Before(next) {
		next = q.hedgeAt
	}
	if q.earlyAnswerAllowed() {
		if early := q.start.Add(q.params.EarlyAfter); early.Before(next) {
			next = early
		}
	}
	if q.paused > 0 && q.resumeAt.Before(next) {
		next = q.resumeAt
	}
	return next
}

// Tick processes timers: the deadline, the early answer, next rounds and hedges.
func (q *Query) Tick(now time.Time) Step {
	var step Step
	if q.done {
		return step
	}
	if !now.Before(q.params.Deadline) {
		q.finish(now, pb.Reason_REASON_DEADLINE, &step)
		return step
	}
	if q.earlyAnswerAllowed() && now.Sub(q.start) >= q.params.EarlyAfter {
		q.finish(now, pb.Reason_REASON_DEADLINE, &step)
		return step
	}
	if q.paused > 0 && !now.Before(q.resumeAt) {
		q.resumeShards(now, &step)
	}
	if !q.hedgeAt.IsZero() && !now.Before(q.hedgeAt) {
		q.sendHedges(now, &step)
	}
	q.finishIfComplete(now, &step)
	return step
}

// earlyAnswerAllowed reports whether the coverage suffices for an answer before the deadline.
func (q *Query) earlyAnswerAllowed() bool {
	if q.params.EarlyAfter == 0 {
		return false
	}
	return float64(q.answered) >= q.params.EarlyCoverage*float64(len(q.shards))
}

// paused reports whether a shard waits for its next round.
func (s *shardState) paused() bool {
	return s.phase == shardWaiting && s.outstanding == 0
}

// resumeShards begins the next round of the shards whose pause has ended.
func (q *Query) resumeShards(now time.Time, step *Step) {
	for i := range q.shards {
		s := &q.shards[i]
		if !s.paused() || now.Before(s.resumeAt) {
			continue
		}
		if q.sendAttempt(now, i, TraceRetry, step) {
			q.stats.Retries++
			continue
		}
		q.scheduleRound(now, i, pb.Reason_REASON_NO_REPLICA)
	}
	q.updatePaused()
}

// updatePaused recomputes paused and resumeAt after rounds have begun. Without these fields,
// NextTick would scan all shards after each reply, in quadratic time per query.
func (q *Query) updatePaused() {
	q.paused = 0
	for i := range q.shards {
		s := &q.shards[i]
		if !s.paused() {
			continue
		}
		if q.paused == 0 || s.resumeAt.Before(q.resumeAt) {
			q.resumeAt = s.resumeAt
		}
		q.paused++
	}
}
