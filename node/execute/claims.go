package execute

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/policy/dispatch"
)

// claim writes a claim. While the platform does not answer, most requests do
// not wait for it at all.
func (x *Executor) claim(ctx context.Context, r *run, a dispatch.Claim) dispatch.Event {
	if !x.gate.enter(time.Now()) {
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	}
	ctx, cancel := context.WithTimeout(ctx, x.opts.ClaimTimeout)
	defer cancel()
	value, err := proto.Marshal(a.Value)
	if err != nil {
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	}
	x.stats.claimWrites.Add(1)
	revision, err := x.opts.Claims.CompareAndSwap(ctx, r.claimKey, a.Revision, value)
	x.gate.leave(time.Now(), err)
	return written(revision, err)
}

// settle writes the final claim, under the retention's lease if there is one.
func (x *Executor) settle(ctx context.Context, r *run, a dispatch.CompleteClaim) dispatch.Event {
	ctx, cancel := context.WithTimeout(ctx, x.opts.ClaimTimeout)
	defer cancel()
	value, err := proto.Marshal(a.Value)
	if err != nil {
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	}
	x.stats.settleWrites.Add(1)
	lease := x.retention.lease(ctx, time.Now())
	if lease == 0 {
		return written(x.opts.Claims.CompareAndSwap(ctx, r.claimKey, a.Revision, value))
	}
	revision, err := x.opts.Leases.CompareAndSwapLeased(ctx, r.claimKey, a.Revision, value, lease)
	if errors.Is(err, platform.ErrNotFound) {
		x.retention.forget(lease)
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	}
	return written(revision, err)
}

func written(revision uint64, err error) dispatch.Event {
	switch {
	case err == nil:
		return dispatch.ClaimWritten{Result: dispatch.WriteDone, Revision: revision}
	case errors.Is(err, platform.ErrConflict):
		return dispatch.ClaimWritten{Result: dispatch.WriteConflict}
	case errors.Is(err, platform.ErrUnavailable),
		errors.Is(err, platform.ErrBudget),
		errors.Is(err, platform.ErrTooLarge):
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	default:
		return dispatch.ClaimWritten{Result: dispatch.WriteUncertain}
	}
}

func (x *Executor) readClaim(ctx context.Context, r *run) dispatch.Event {
	ctx, cancel := context.WithTimeout(ctx, x.opts.ClaimTimeout)
	defer cancel()
	x.stats.claimReads.Add(1)
	e, err := x.opts.Claims.Get(ctx, r.claimKey)
	x.gate.leave(time.Now(), err)
	if errors.Is(err, platform.ErrNotFound) {
		return dispatch.ClaimRead{Result: dispatch.ReadAbsent}
	}
	claim := &pb.Claim{}
	if err != nil || proto.Unmarshal(e.Value, claim) != nil {
		return dispatch.ClaimRead{Result: dispatch.ReadFailed}
	}
	return dispatch.ClaimRead{Result: dispatch.ReadFound, Claim: claim, Revision: e.Revision}
}

const (
	// gateFailures calls in a row without an answer close the gate; it then lets
	// one call through in each gateInterval.
	gateFailures = 3
	gateInterval = time.Second
)

// gate keeps requests from waiting for a platform that does not answer: without
// it, each keyed request of an outage would wait for a timeout of its own.
type gate struct {
	// mu guards the fields below.
	mu       sync.Mutex
	failures int
	next     time.Time
}

// enter reports whether to call the platform now.
func (g *gate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < gateFailures {
		return true
	}
	if now.Before(g.next) {
		return false
	}
	g.next = now.Add(gateInterval)
	return true
}

func (g *gate) leave(now time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		g.failures = 0
	case errors.Is(err, platform.ErrBudget):
		// Says nothing about the platform.
	default:
		g.failures++
		g.next = now.Add(gateInterval)
	}
}

// retentionParts is into how many parts the retention is cut: a lease takes
// claims for one part and lives for one part more than the retention.
const retentionParts = 8

// retention hands out the lease that settled claims are attached to. Many
// claims share one, so that leases cost next to no calls.
type retention struct {
	leases Leases
	keep   time.Duration

	// mu guards the fields below; it is not held during I/O.
	mu      sync.Mutex
	current platform.LeaseID
	until   time.Time
}

// lease returns a lease that lives at least for the retention, or 0 when there
// is none to be had: the claim is then kept for good, which does no harm.
func (r *retention) lease(ctx context.Context, now time.Time) platform.LeaseID {
	if r.leases == nil {
		return 0
	}
	r.mu.Lock()
	current, until := r.current, r.until
	r.mu.Unlock()
	if now.Before(until) {
		return current
	}
	part := r.keep / retentionParts
	granted, err := r.leases.Grant(ctx, r.keep+part)
	if err != nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current, r.until = granted, now.Add(part)
	return granted
}

// forget drops a lease that has lapsed before its time.
func (r *retention) forget(lease platform.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == lease {
		r.until = time.Time{}
	}
}

// jitter stretches a delay by up to half, so that callers and nodes do not come
// back all at once.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/2+1)
}
