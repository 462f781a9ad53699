package query

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// maxRestarts is the number of times that a query restarts at another snapshot.
	maxRestarts = 2
	// maxRounds is the number of rounds in which all replicas of a shard are tried.
	maxRounds = 10
	// firstBackoff is the pause before the second round. It doubles with each further
	// round, up to maxBackoff.
	firstBackoff = 4 * time.Millisecond
	maxBackoff   = 32 * time.Millisecond
)

// handleOtherSnapshot retries a shard after a reply from another snapshot. A replica that
// chose the snapshot may also hold the pinned one and may be tried again. A replica that
// ignored the requested snapshot may not.
func (q *Query) handleOtherSnapshot(now time.Time, a attempt, step *Step) {
	s := &q.shards[a.shard]
	if a.snapshot == 0 {
		s.tried = s.tried[:0]
	}
	// An outstanding attempt, such as a hedge, may return the pinned snapshot. Without this
	// check, the query would restart or mark the shard absent when no untried replica is left.
	if s.outstanding > 0 {
		return
	}
	if q.sendAttempt(now, a.shard, TraceRetry, step) {
		q.stats.Retries++
		return
	}
	q.handleNoSnapshot(now, a.shard, step)
}

// handleFailure handles a failed attempt. While another attempt of the shard is
// outstanding, it does nothing further. Otherwise it retries the shard at once or after a
// pause, unless the request crashes replicas, restarts the query at another snapshot, or marks the shard absent.
func (q *Query) handleFailure(now time.Time, a attempt, reason pb.Reason, evidence pb.Evidence, step *Step) {
	s := &q.shards[a.shard]
	s.reason = reason
	q.record(now, TraceEvent{Kind: TraceFailure, Shard: q.generation.Shards[a.shard].Name, Replica: a.replica.Name, Reason: reason})
	if s.outstanding > 0 {
		return
	}
	if reason == pb.Reason_REASON_QUARANTINED {
		// Other replicas would crash too.
		q.markAbsent(now, a.shard, reason)
		return
	}
	if !freeRetry(reason, evidence) && !q.env.TakeRetry() {
		q.markAbsent(now, a.shard, reason)
		return
	}
	if q.sendAttempt(now, a.shard, TraceRetry, step) {
		q.stats.Retries++
		return
	}
	if reason == pb.Reason_REASON_NO_SNAPSHOT {
		q.handleNoSnapshot(now, a.shard, step)
		return
	}
	q.scheduleRound(now, a.shard, reason)
}

// freeRetry reports whether a retry is not charged to the retry budget. An attempt that has
// not run costs the backend servers nothing. The loss of an owner fails all of its shards in
// a query at once, which exceeds a budget for single failures: most of those shards would be
// absent although their other replicas are well. The extra load is bounded,
// because that owner receives no further attempts.
func freeRetry(reason pb.Reason, evidence pb.Evidence) bool {
	return evidence == pb.Evidence_EVIDENCE_NOT_RUN || reason == pb.Reason_REASON_PEER
}

// handleNoSnapshot restarts the query when no replica of a shard holds the pinned snapshot.
// Without another snapshot, or after maxRestarts, it marks the shard absent.
func (q *Query) handleNoSnapshot(now time.Time, i int, step *Step) {
	next := q.env.Snapshot()
	if q.stats.Restarts >= maxRestarts || next == q.snapshot {
		q.markAbsent(now, i, pb.Reason_REASON_NO_SNAPSHOT)
		return
	}
	q.restart(now, next, step)
}

func (q *Query) restart(now time.Time, snapshot uint64, step *Step) {
	for i := range q.shards {
		q.cancelShard(i, step)
	}
	q.stats.Restarts++
	q.record(now, TraceEvent{Kind: TraceRestart, Snapshot: snapshot})
	q.begin(now, snapshot, step)
}

// scheduleRound lets a shard try its replicas again after a pause, because a limit or a
// lost connection may recover soon.
func (q *Query) scheduleRound(now time.Time, i int, reason pb.Reason) {
	s := &q.shards[i]
	resumeAt := now.Add(min(firstBackoff<<s.rounds, maxBackoff))
	if s.rounds+1 >= maxRounds || !resumeAt.Before(q.params.Deadline) {
		q.markAbsent(now, i, reason)
		return
	}
	s.rounds++
	s.tried = s.tried[:0]
	s.resumeAt = resumeAt
	if q.paused == 0 || resumeAt.Before(q.resumeAt) {
		q.resumeAt = resumeAt
	}
	q.paused++
}

func (q *Query) markAbsent(now time.Time, i int, reason pb.Reason) {
	s := &q.shards[i]
	s.phase = shardAbsent
	s.reason = reason
	q.pending--
	q.record(now, TraceEvent{Kind: TraceAbsent, Shard: q.generation.Shards[i].Name, Reason: reason})
}
