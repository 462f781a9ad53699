package execute

import (
	"context"
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/dispatch"
	"github.com/carobmill/carobmill/policy/ownership"
)

// evidenceGrace is the time after the request's deadline for which the sender still
// waits for evidence. An owner that did not send the request reports NOT_RUN at the
// deadline. Without the grace that report would arrive too late, and the claim would be
// completed as UNKNOWN.
const evidenceGrace = 500 * time.Millisecond

// pick chooses a replica by the current configuration, so that a replica that was just
// taken out of service gets no request.
func (x *Executor) pick(r *run, a dispatch.Pick) dispatch.Event {
	_, shard := x.shard(r.req)
	if shard == nil {
		return dispatch.Picked{Reason: pb.Reason_REASON_NO_REPLICA}
	}
	excluded := func(replica *config.Replica) bool {
		return !replica.InService || slices.Contains(a.Tried, replica.Name)
	}
	if !slices.ContainsFunc(shard.Replicas, func(replica *config.Replica) bool { return !excluded(replica) }) {
		return dispatch.Picked{Reason: pb.Reason_REASON_NO_REPLICA}
	}
	replica := x.opts.Picker.Pick(shard, excluded)
	if replica == nil {
		return dispatch.Picked{Reason: pb.Reason_REASON_LIMIT}
	}
	return dispatch.Picked{Replica: replica.Name}
}

// shard returns the latest generation and the request's shard in it. The shard is the
// one that the request names, or else the first in the ranking of its routing key.
func (x *Executor) shard(req Request) (*config.Generation, *config.Shard) {
	index := x.opts.Index()
	if index == nil || index.Services[req.Service] == nil {
		return nil, nil
	}
	generation := index.Services[req.Service].Latest()
	if req.Shard != "" {
		return generation, generation.Shard(req.Shard)
	}
	names := make([]string, 0, len(generation.Shards))
	for _, shard := range generation.Shards {
		names = append(names, shard.Name)
	}
	if len(names) == 0 {
		return generation, nil
	}
	return generation, generation.Shard(ownership.Rank(req.Key, names)[0])
}

// send passes the request to the sender once.
func (x *Executor) send(ctx context.Context, r *run, a dispatch.Send) dispatch.Event {
	notSent := dispatch.Replied{
		Attempt:  a.Attempt,
		Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
		Reason:   pb.Reason_REASON_NO_REPLICA,
	}
	generation, shard := x.shard(r.req)
	if shard == nil {
		return notSent
	}
	at := slices.IndexFunc(shard.Replicas, func(replica *config.Replica) bool { return replica.Name == a.Replica })
	if at < 0 {
		return notSent
	}
	left := time.Until(r.deadline)
	if left <= 0 {
		notSent.Reason = pb.Reason_REASON_DEADLINE
		return notSent
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(evidenceGrace))
	defer cancel()
	req := &pb.ExecuteRequest{
		Service:    r.req.Service,
		Class:      r.req.Class,
		RequestId:  r.id,
		Attempt:    x.attempts.Add(1),
		Shard:      shard.Name,
		Replica:    a.Replica,
		Generation: generation.ID,
		Body:       r.req.Body,
		TimeoutUs:  uint64(left.Microseconds()),
	}
	resp := x.opts.Sender.Execute(ctx, shard.Replicas[at], req)
	// A response with another attempt number is no evidence about this request. The
	// number is compared with that in req, because the sender may have changed it.
	if resp == nil || resp.GetAttempt() != req.GetAttempt() {
		return dispatch.Replied{
			Attempt:  a.Attempt,
			Evidence: pb.Evidence_EVIDENCE_UNKNOWN,
			Reason:   pb.Reason_REASON_MISMATCH,
		}
	}
	return dispatch.Replied{
		Attempt:  a.Attempt,
		Evidence: resp.GetEvidence(),
		Reason:   resp.GetReason(),
		Result:   resp.GetResult(),
	}
}
