package entry

import (
	"context"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/query"
)

// Execute sends a non-idempotent request once, to one replica, and returns the response
// with the evidence. The owner cancels the request after its timeout. The deadline of
// ctx may be later, so that the response can still arrive. Execute implements the
// sender of package execute.
func (e *Entry) Execute(ctx context.Context, replica *config.Replica, req *pb.ExecuteRequest) *pb.ExecuteResponse {
	t := e.tablesOf(replica.Service)
	req.Attempt = e.attempts.Add(1)
	req.TypicalUs = uint64(t.typical().Microseconds())
	sentAt := time.Now()
	t.recordSent(sentAt, query.Send{Replica: replica})
	resp := e.execute(ctx, t, replica, req)
	now := time.Now()
	t.recordExecute(now, replica.Name, resp, now.Sub(sentAt))
	return resp
}

func (e *Entry) execute(ctx context.Context, t *tables, replica *config.Replica, req *pb.ExecuteRequest) *pb.ExecuteResponse {
	owners := e.Fleet.Owners(replica)
	if len(owners) == 0 {
		return &pb.ExecuteResponse{
			Attempt:  req.GetAttempt(),
			Reason:   pb.Reason_REASON_NO_REPLICA,
			Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
		}
	}
	to := owners[0]
	self := e.Fleet.Self().Name
	if !t.firstOwnerOnly(replica) {
		for _, m := range owners {
			if m.Name == self {
				to = m
			}
		}
	}
	if to.Name != self {
		resp := e.Peers.Execute(ctx, to, req)
		if resp.GetReason() == pb.Reason_REASON_PEER && ctx.Err() == nil {
			e.Fleet.ReportCallFailure(to.Name)
		}
		return resp
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetTimeoutUs())*time.Microsecond)
	defer cancel()
	return owner.ToExecute(e.Local.Execute(ctx, owner.FromExecute(req, e.Boot)))
}

// Pick chooses a replica for a non-idempotent request, or returns nil if none is left.
// Pick implements the picker of package execute.
func (e *Entry) Pick(shard *config.Shard, tried func(*config.Replica) bool) *config.Replica {
	if len(shard.Replicas) == 0 {
		return nil
	}
	t := e.tablesOf(shard.Replicas[0].Service)
	picker := &env{tables: t, svc: shard.Replicas[0].Service, usable: e.usable}
	return picker.Pick(shard, 0, tried)
}
