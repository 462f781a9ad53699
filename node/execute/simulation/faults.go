package simulation

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/policy/config"
)

// Random is a seeded source of random numbers. It is safe for concurrent use.
type Random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandom returns a source with a seed.
func NewRandom(seed uint64) *Random {
	return &Random{rng: rand.New(rand.NewPCG(seed, 1))}
}

// IntN returns a number from 0 to n-1.
func (r *Random) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// Duration returns a duration of at least 0 and less than limit.
func (r *Random) Duration(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// FaultyPlatform is a Platform with random faults: late or lost replies, writes applied
// after the client's timeout, refused calls and stale reads.
type FaultyPlatform struct {
	*Platform
	*Random
	// FaultsEnded reports whether faults are no longer injected.
	FaultsEnded func() bool
}

// CompareAndSwap implements execute.Claims.
func (p *FaultyPlatform) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	fault := p.IntN(8)
	if p.FaultsEnded() {
		fault = 0
	}
	switch fault {
	case 1:
		return 0, platform.ErrUnavailable
	case 2:
		return 0, platform.ErrAmbiguous
	case 3:
		_, _ = p.Platform.CompareAndSwap(ctx, key, revision, value)
		return 0, platform.ErrAmbiguous
	case 4:
		delay := p.Duration(20 * time.Second)
		go func() {
			time.Sleep(delay)
			_, _ = p.Platform.CompareAndSwap(context.Background(), key, revision, value)
		}()
		<-ctx.Done()
		return 0, platform.ErrAmbiguous
	case 5:
		time.Sleep(p.Duration(time.Second))
	}
	return p.Platform.CompareAndSwap(ctx, key, revision, value)
}

// Get implements execute.Claims.
func (p *FaultyPlatform) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := p.Platform.Get(ctx, key)
	if p.FaultsEnded() {
		return entry, err
	}
	switch p.IntN(4) {
	case 1:
		return platform.Entry{}, platform.ErrUnavailable
	case 2:
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, err
}

// FaultyBackend is a Backend with random faults: a request runs at once, late, after the
// sender's timeout, or not at all. Responses contain only evidence that a real sender can
// have.
type FaultyBackend struct {
	*Backend
	*Random
	// RefusalPercent is the percentage of sends that are refused with NOT_RUN.
	RefusalPercent int
}

// Execute implements execute.Sender.
func (b *FaultyBackend) Execute(ctx context.Context, _ *config.Replica, req *pb.ExecuteRequest) *pb.ExecuteResponse {
	resp := &pb.ExecuteResponse{Attempt: req.GetAttempt(), Reason: pb.Reason_REASON_CONNECTION}
	if b.IntN(100) < b.RefusalPercent {
		time.Sleep(b.Duration(time.Second))
		resp.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
		return resp
	}
	switch b.IntN(6) {
	case 0:
		return resp
	case 1:
		delay := b.Duration(20 * time.Second)
		go func() {
			time.Sleep(delay)
			b.run(req)
		}()
		<-ctx.Done()
		return resp
	case 2:
		b.run(req)
		return resp
	}
	time.Sleep(b.Duration(2 * time.Second))
	b.run(req)
	resp.Evidence, resp.Reason = pb.Evidence_EVIDENCE_RAN, pb.Reason_REASON_UNSPECIFIED
	return resp
}

func (b *FaultyBackend) run(req *pb.ExecuteRequest) {
	b.Backend.mu.Lock()
	defer b.Backend.mu.Unlock()
	b.runs[string(req.GetBody())]++
}
