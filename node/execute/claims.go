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

// writeClaim writes a claim. While the circuit breaker is open, the write fails without
// a call to the platform.
func (x *Executor) writeClaim(ctx context.Context, r *run, a dispatch.Claim) dispatch.Event {
	if !x.breaker.allow(time.Now()) {
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
	x.breaker.record(time.Now(), err)
	return writeEvent(revision, err)
}

// completeClaim writes the final claim. The claim is attached to a lease if there is
// one, and expires with it.
func (x *Executor) completeClaim(ctx context.Context, r *run, a dispatch.CompleteClaim) dispatch.Event {
	ctx, cancel := context.WithTimeout(ctx, x.opts.ClaimTimeout)
	defer cancel()
	value, err := proto.Marshal(a.Value)
	if err != nil {
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	}
	x.stats.completionWrites.Add(1)
	lease := x.leases.get(ctx, time.Now())
	if lease == 0 {
		return writeEvent(x.opts.Claims.CompareAndSwap(ctx, r.claimKey, a.Revision, value))
	}
	revision, err := x.opts.Leases.CompareAndSwapLeased(ctx, r.claimKey, a.Revision, value, lease)
	if errors.Is(err, platform.ErrNotFound) {
		x.leases.invalidate(lease)
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	}
	return writeEvent(revision, err)
}

func writeEvent(revision uint64, err error) dispatch.Event {
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
	x.breaker.record(time.Now(), err)
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
	// breakerThreshold is the number of consecutive failed calls that opens the circuit
	// breaker. While open, it allows one probe in each breakerProbeInterval.
	breakerThreshold     = 3
	breakerProbeInterval = time.Second
)

// breaker is the circuit breaker for writes of new claims. Without it, each request
// with an idempotency key would wait for its own timeout during an outage.
type breaker struct {
	// mu guards the fields below.
	mu        sync.Mutex
	failures  int
	nextProbe time.Time
}

// allow reports whether the write may be sent now.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(breakerProbeInterval)
	return true
}

func (b *breaker) record(now time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		b.failures = 0
	case errors.Is(err, platform.ErrBudget):
		// The client's own call budget rejected the call. This is no signal about the
		// platform.
	default:
		b.failures++
		b.nextProbe = now.Add(breakerProbeInterval)
	}
}

// leasesPerRetention is the number of leases granted in one retention period. Claims
// are attached to a lease for retention/leasesPerRetention after its grant. The TTL of
// a lease is longer than the retention by the same amount.
const leasesPerRetention = 8

// leaseCache holds the lease that completed claims are attached to. Many claims share
// one lease, so that grants cost few calls.
type leaseCache struct {
	leases    Leases
	retention time.Duration
	// granting holds an element while a lease is granted.
	granting chan struct{}

	// mu guards the fields below and is not held during I/O.
	mu      sync.Mutex
	current platform.LeaseID
	renewAt time.Time
}

func newLeaseCache(leases Leases, retention time.Duration) leaseCache {
	return leaseCache{leases: leases, retention: retention, granting: make(chan struct{}, 1)}
}

// get returns a lease that lives at least for the retention. It returns 0 if leases are
// not in use or the grant fails. A claim without a lease is correct, but never expires.
func (c *leaseCache) get(ctx context.Context, now time.Time) platform.LeaseID {
	if c.leases == nil {
		return 0
	}
	if lease, ok := c.usable(now); ok {
		return lease
	}
	// Completions at the same time share one grant.
	select {
	case c.granting <- struct{}{}:
	case <-ctx.Done():
		return 0
	}
	defer func() { <-c.granting }()
	if lease, ok := c.usable(now); ok {
		return lease
	}
	part := c.retention / leasesPerRetention
	granted, err := c.leases.Grant(ctx, c.retention+part)
	if err != nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.renewAt = granted, now.Add(part)
	return granted
}

// usable returns the current lease if further claims may be attached to it.
func (c *leaseCache) usable(now time.Time) (lease platform.LeaseID, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, now.Before(c.renewAt)
}

// invalidate discards a lease that the platform no longer has.
func (c *leaseCache) invalidate(lease platform.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == lease {
		c.renewAt = time.Time{}
	}
}

// jitter adds up to half of the delay at random, so that callers and nodes do not retry
// at the same time.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/2+1)
}
