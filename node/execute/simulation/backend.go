package simulation

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// SendBehaviour is the behaviour of the connection and the backend server for one send.
type SendBehaviour int

const (
	// RunAndReply runs the request and returns the reply.
	RunAndReply SendBehaviour = iota
	// ResetBeforeWrite resets the connection before any byte is written.
	ResetBeforeWrite
	// ResetDuringWrite resets the connection while the request is written.
	ResetDuringWrite
	// ReplyLost runs the request and resets the connection before the reply.
	ReplyLost
	// OwnerLost runs the request, and the owner's node fails before the reply.
	OwnerLost
	// SlowRun runs the request and returns the reply after SlowRunDuration, which is
	// longer than the caller's deadline.
	SlowRun
)

// Backend is a backend service that applies one SendBehaviour to each send. It counts the
// runs by request body. It is safe for concurrent use.
type Backend struct {
	mu         sync.Mutex
	behaviours []SendBehaviour
	runs       map[string]int
	sent       []string
	// Hold blocks all replies until it is closed. It must be set before the first request.
	Hold chan struct{}
}

// SlowRunDuration is the duration of a SlowRun.
const SlowRunDuration = 30 * time.Second

// NewBackend returns a backend service that applies the behaviours in order, and
// RunAndReply after the last one.
func NewBackend(behaviours ...SendBehaviour) *Backend {
	return &Backend{behaviours: behaviours, runs: make(map[string]int)}
}

// Execute implements execute.Sender.
func (b *Backend) Execute(_ context.Context, r *config.Replica, req *pb.ExecuteRequest) *pb.ExecuteResponse {
	b.mu.Lock()
	b.sent = append(b.sent, r.Name)
	behaviour := RunAndReply
	if len(b.behaviours) > 0 {
		behaviour, b.behaviours = b.behaviours[0], b.behaviours[1:]
	}
	if behaviour != ResetBeforeWrite && behaviour != ResetDuringWrite {
		b.runs[string(req.GetBody())]++
	}
	hold := b.Hold
	b.mu.Unlock()
	if hold != nil {
		<-hold
	}
	resp := &pb.ExecuteResponse{Attempt: req.GetAttempt(), Reason: pb.Reason_REASON_CONNECTION}
	switch behaviour {
	case ResetBeforeWrite:
		resp.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	case OwnerLost:
		resp.Reason = pb.Reason_REASON_PEER
	case SlowRun, RunAndReply:
		if behaviour == SlowRun {
			time.Sleep(SlowRunDuration)
		}
		resp.Evidence = pb.Evidence_EVIDENCE_RAN
		resp.Reason = pb.Reason_REASON_UNSPECIFIED
		resp.Result = []byte("receipt")
	}
	return resp
}

// Runs returns the number of runs of requests with the given body.
func (b *Backend) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// Sends returns the number of sends, including those that did not arrive.
func (b *Backend) Sends() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sent)
}

// FirstPicker picks the first replica that is not excluded.
type FirstPicker struct{}

// Pick implements execute.Picker.
func (FirstPicker) Pick(shard *config.Shard, excluded func(*config.Replica) bool) *config.Replica {
	for _, replica := range shard.Replicas {
		if !excluded(replica) {
			return replica
		}
	}
	return nil
}

// Index returns the configuration of one service, "desk", with one shard of two replicas.
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
