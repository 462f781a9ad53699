package owner

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/limit"
)

// slot is a slot in a replica's concurrency limit. It is released when both the reply
// has arrived and the backend server has finished the request, in either order.
type slot struct {
	replica *ownedReplica
	latency *latencyAverage
	// typical is the typical service time that the sender observes at all replicas
	// of the service.
	typical time.Duration

	// mu guards everything below.
	mu          sync.Mutex
	completions int
	sample      limit.Sample
}

func (s *slot) replied(reply backend.Reply) {
	peerLatency := max(s.typical, s.latency.value())
	if reply.OK() {
		s.latency.observe(reply.Took)
	}
	s.mu.Lock()
	s.sample = limit.Sample{
		Latency:     reply.Took,
		Result:      resultOf(reply),
		PeerLatency: peerLatency,
		ReportsCold: reply.Cold,
	}
	s.mu.Unlock()
	s.complete()
}

func (s *slot) serverDone() { s.complete() }

func (s *slot) complete() {
	s.mu.Lock()
	s.completions++
	done := s.completions == 2
	sample := s.sample
	s.mu.Unlock()
	if done {
		s.replica.releaseSlot(sample)
	}
}

// requestContext returns the context of a request to the backend server. A request that
// must run to completion continues until its deadline when the sender cancels it, and
// the sender is answered at once. The request warms up a replica that is not warm, and
// its latency shows the progress.
func (r *ownedReplica) requestContext(t *task) (context.Context, func()) {
	r.mu.Lock()
	runToCompletion := r.limiter.RunToCompletion()
	r.mu.Unlock()
	deadline, hasDeadline := t.ctx.Deadline()
	if !runToCompletion || !hasDeadline || t.req.Execute {
		return t.ctx, func() {}
	}
	var once sync.Once
	reply := t.reply
	t.reply = func(result *pb.SubrequestResult) { once.Do(func() { reply(result) }) }
	stop := context.AfterFunc(t.ctx, func() {
		t.reply(&pb.SubrequestResult{
			Attempt: t.req.Attempt,
			Shard:   t.req.Shard,
			Replica: t.req.Replica,
			Reason:  pb.Reason_REASON_CANCELLED,
		})
	})
	ctx, cancel := context.WithDeadline(context.WithoutCancel(t.ctx), deadline)
	return ctx, func() {
		stop()
		cancel()
	}
}

// resultOf maps a reply to a result for the limiter.
func resultOf(reply backend.Reply) limit.Result {
	switch reply.Reason {
	case pb.Reason_REASON_UNSPECIFIED, pb.Reason_REASON_NO_SNAPSHOT:
		return limit.ResultOK
	case pb.Reason_REASON_SHED:
		return limit.ResultShed
	case pb.Reason_REASON_CONNECTION:
		if reply.Silent {
			// Only this connection failed; newer connections to the replica work.
			return limit.ResultCancelled
		}
		return limit.ResultConnectionFailed
	case pb.Reason_REASON_DEADLINE:
		return limit.ResultTimeout
	case pb.Reason_REASON_CANCELLED:
		return limit.ResultCancelled
	case pb.Reason_REASON_LIMIT, pb.Reason_REASON_COLD:
		return limit.ResultNotSent
	default:
		return limit.ResultError
	}
}
