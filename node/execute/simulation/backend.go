package simulation

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// SendBehaviour is what happens to one send.
type SendBehaviour int

const (
	// RunAndReply runs the request, and the reply comes.
	RunAndReply SendBehaviour = iota
	// ResetBeforeWrite breaks the connection before a byte is written.
	ResetBeforeWrite
	// ResetDuringWrite breaks the connection while the request is written.
	ResetDuringWrite
	// ReplyLost runs the request and breaks the connection before the reply.
	ReplyLost
	// OwnerLost has the owner's node die with the request, which runs.
	OwnerLost
	// SlowRun runs the request after the caller's deadline, and the reply comes.
	SlowRun
)

// Backend runs requests by the next fate and counts what ran, by body. It is safe
// for concurrent use.
type Backend struct {
	mu    sync.Mutex
	fates []SendBehaviour
	runs  map[string]int
	sent  []string
	// Hold, when set before the first request, keeps replies until it is closed.
	Hold chan struct{}
}

// SlowRunDuration is how long a Slow request runs.
const SlowRunDuration = 30 * time.Second

// NewBackend returns a service whose sends meet the fates in order, and
// RunAndReply after the last.
func NewBackend(fates ...SendBehaviour) *Backend {
	return &Backend{fates: fates, runs: make(map[string]int)}
}

// Execute sends a request to a replica.
func (b *Backend) Execute(_ context.Context, r *config.Replica, req *pb.ExecuteRequest) *pb.ExecuteResponse {
	b.mu.Lock()
	b.sent = append(b.sent, r.Name)
	f := RunAndReply
	if len(b.fates) > 0 {
		f, b.fates = b.fates[0], b.fates[1:]
	}
	if f != ResetBeforeWrite && f != ResetDuringWrite {
		b.runs[string(req.GetBody())]++
	}
	hold := b.Hold
	b.mu.Unlock()
	if hold != nil {
		<-hold
	}
	resp := &pb.ExecuteResponse{Attempt: req.GetAttempt(), Reason: pb.Reason_REASON_CONNECTION}
	switch f {
	case ResetBeforeWrite:
		resp.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	case OwnerLost:
		resp.Reason = pb.Reason_REASON_PEER
	case SlowRun, RunAndReply:
		if f == SlowRun {
			time.Sleep(SlowRunDuration)
		}
		resp.Evidence = pb.Evidence_EVIDENCE_RAN
		resp.Reason = pb.Reason_REASON_UNSPECIFIED
		resp.Result = []byte("receipt")
	}
	return resp
}

// Runs is how often requests with a body ran.
func (b *Backend) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// Sends is how many requests were sent, whether or not they arrived.
func (b *Backend) Sends() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sent)
}

// FirstPicker picks the first replica that is left.
type FirstPicker struct{}

// Pick returns a replica that is not excluded, or nil.
func (FirstPicker) Pick(shard *config.Shard, excluded func(*config.Replica) bool) *config.Replica {
	for _, replica := range shard.Replicas {
		if !excluded(replica) {
			return replica
		}
	}
	return nil
}

// Index returns the configuration of one service, "desk", of one shard with two
// replicas.
func Index() (*config.Index, error) {
	return config.New(&pb.Configuration{Version: 1, Sheet: &pb.Sheet{
		DataCentres: []*pb.DataCentre{{Name: "dc"}},
		Services: []*pb.Service{{
			Name:              "desk",
			DefaultDeadlineMs: 5000,
			MaxDeadlineMs:     5000,
			Classes:           []*pb.Class{{Name: "entry"}},
			Generations: []*pb.Generation{{Id: 1, FirstSnapshot: 1, Shards: []*pb.Shard{
				{Name: "s0", Replicas: []*pb.Replica{
					{Name: "r0", DataCentre: "dc", Address: "127.0.0.1:1"},
					{Name: "r1", DataCentre: "dc", Address: "127.0.0.1:2"},
				}},
			}}},
		}},
	}})
}
