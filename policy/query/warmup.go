package query

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// warmUp sends a copy of a shard's first attempt to a cold replica. A cold replica only
// warms up by serving requests, but a query that waits for it is slow. A copy warms the
// replica while the shard is answered by another. The shard does not wait for the copy, so
// it counts neither as a hedge nor as a tried replica.
//
// No copy is sent before a snapshot is pinned, because its reply could not pin one.
func (q *Query) warmUp(now time.Time, i int, step *Step) {
	if q.snapshot == 0 {
		return
	}
	s := &q.shards[i]
	replica := q.env.PickWarmUp(q.generation.Shards[i], q.snapshot, q.triedFor(s))
	if replica == nil {
		return
	}
	s.warmUps++
	q.stats.WarmUps++
	q.dispatch(now, i, replica, TraceWarmUp, step)
}

// handleWarmUp merges the reply to a copy if it is the first valid one for the shard. It
// ignores any other reply, because the shard's own attempt continues.
func (q *Query) handleWarmUp(now time.Time, a attempt, r *pb.SubrequestResult, step *Step) {
	if r.GetReason() != pb.Reason_REASON_UNSPECIFIED {
		return
	}
	if !q.matches(a, r) || r.GetSnapshot() != q.snapshot || r.GetGeneration() != q.generation.ID {
		q.drop(now, r)
		return
	}
	q.recordAnswer(now, a, r, step)
}
