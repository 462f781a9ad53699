package query

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Reply processes one result.
func (q *Query) Reply(now time.Time, r *pb.SubrequestResult) Step {
	var step Step
	if q.done {
		q.stats.Dropped++
		return step
	}
	a, outstanding := q.attempts[r.GetAttempt()]
	if !outstanding {
		q.drop(now, r)
		return step
	}
	delete(q.attempts, r.GetAttempt())
	s := &q.shards[a.shard]
	s.mayHaveRun = s.mayHaveRun || r.GetEvidence() != pb.Evidence_EVIDENCE_NOT_RUN
	if a.warmUp {
		s.warmUps--
	} else {
		s.outstanding--
	}
	switch {
	case s.phase != shardWaiting:
		q.drop(now, r)
		return step
	case a.warmUp:
		q.handleWarmUp(now, a, r, &step)
	default:
		q.handleReply(now, a, r, &step)
	}
	q.finishIfComplete(now, &step)
	return step
}

// handleReply processes the reply to an outstanding attempt.
func (q *Query) handleReply(now time.Time, a attempt, r *pb.SubrequestResult, step *Step) {
	switch {
	case r.GetReason() != pb.Reason_REASON_UNSPECIFIED:
		q.handleFailure(now, a, r.GetReason(), r.GetEvidence(), step)
	case !q.matches(a, r):
		q.drop(now, r)
		q.handleFailure(now, a, pb.Reason_REASON_MISMATCH, pb.Evidence_EVIDENCE_UNKNOWN, step)
	case q.snapshot == 0:
		q.pin(now, a, r, step)
	case r.GetSnapshot() != q.snapshot || r.GetGeneration() != q.generation.ID:
		q.drop(now, r)
		q.handleOtherSnapshot(now, a, step)
	default:
		q.recordAnswer(now, a, r, step)
	}
}

// pin sets the snapshot of the query to that of its first reply.
func (q *Query) pin(now time.Time, a attempt, r *pb.SubrequestResult, step *Step) {
	gen := q.params.Service.GenerationOf(r.GetSnapshot())
	if gen == nil || r.GetSnapshot() == 0 || gen.ID != r.GetGeneration() {
		q.drop(now, r)
		q.handleFailure(now, a, pb.Reason_REASON_MISMATCH, pb.Evidence_EVIDENCE_UNKNOWN, step)
		return
	}
	if gen != q.generation {
		q.drop(now, r)
		q.restart(now, r.GetSnapshot(), step)
		return
	}
	q.snapshot = r.GetSnapshot()
	q.record(now, TraceEvent{Kind: TracePinned, Snapshot: q.snapshot})
	q.recordAnswer(now, a, r, step)
}

func (q *Query) recordAnswer(now time.Time, a attempt, r *pb.SubrequestResult, step *Step) {
	s := &q.shards[a.shard]
	s.phase = shardAnswered
	s.result = ShardResult{
		Shard:   r.GetShard(),
		Replica: r.GetReplica(),
		Body:    r.GetResult(),
		Queued:  time.Duration(r.GetQueueUs()) * time.Microsecond,
		Took:    now.Sub(q.start),
	}
	q.pending--
	q.answered++
	q.record(now, TraceEvent{Kind: TraceResult, Attempt: r.GetAttempt(), Shard: r.GetShard(), Replica: r.GetReplica(), Snapshot: r.GetSnapshot()})
	q.cancelShard(a.shard, step)
	q.updateHedgeAge()
}

// matches reports whether a reply names the shard and replica of its attempt. A mismatched
// reply belongs to another request, and merging it would return another caller's rows.
func (q *Query) matches(a attempt, r *pb.SubrequestResult) bool {
	shard := q.generation.Shards[a.shard]
	return r.GetShard() == shard.Name && r.GetReplica() == a.replica.Name
}
