package owner

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/limit"
)

// place is a place in a replica's limit. It is given back when the reply is
// known and the backend server is rid of the request, in either order.
type place struct {
	replica *owned
	recent  *recent
	// typical is what the sender sees at all replicas of the service.
	typical time.Duration

	// mu guards everything below.
	mu     sync.Mutex
	halves int
	sample limit.Sample
}

func (p *place) replied(reply backend.Reply) {
	siblings := max(p.typical, p.recent.level())
	if reply.OK() {
		p.recent.observe(reply.Took)
	}
	p.mu.Lock()
	p.sample = limit.Sample{
		Latency:     reply.Took,
		Result:      resultOf(reply),
		PeerLatency: siblings,
		ReportsCold: reply.Cold,
	}
	p.mu.Unlock()
	p.half()
}

func (p *place) settled() { p.half() }

func (p *place) half() {
	p.mu.Lock()
	p.halves++
	both := p.halves == 2
	sample := p.sample
	p.mu.Unlock()
	if both {
		p.replica.giveBack(sample)
	}
}

// patience returns the context of a request to the backend server. A replica that
// is not warm works on until the deadline when the sender gives the request up:
// it warms up by it, and shows by its latency how far it is. The sender gets its
// answer at once.
func (r *owned) patience(t *task) (context.Context, func()) {
	r.mu.Lock()
	letFinish := r.limiter.RunToCompletion()
	r.mu.Unlock()
	deadline, limited := t.ctx.Deadline()
	if !letFinish || !limited || t.req.Execute {
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

// resultOf maps a backend server's reply to what the limiter wants to know.
func resultOf(reply backend.Reply) limit.Result {
	switch reply.Reason {
	case pb.Reason_REASON_UNSPECIFIED, pb.Reason_REASON_NO_SNAPSHOT:
		return limit.ResultOK
	case pb.Reason_REASON_SHED:
		return limit.ResultShed
	case pb.Reason_REASON_CONNECTION:
		if reply.Silent {
			// The connection was at fault; newer ones to the replica work.
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
