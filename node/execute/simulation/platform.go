package simulation

import (
	"context"
	"sync"
	"time"

	"github.com/carobmill/carobmill/node/platform"
)

// FaultFunc is called before each operation: "get", "claim" or "complete". A non-nil error
// is returned to the client. If the result is true as well, the write is still applied.
type FaultFunc func(ctx context.Context, op string) (bool, error)

// Platform is an in-memory key-value service. It is safe for concurrent use. Create one
// with NewPlatform.
type Platform struct {
	mu     sync.Mutex
	rev    uint64
	keys   map[string]platform.Entry
	leased map[string]bool
	grants int
	faults FaultFunc
	// pause is the delay set by PauseNextClaim.
	pause time.Duration
}

// NewPlatform returns an empty key-value service without faults.
func NewPlatform() *Platform {
	return &Platform{keys: make(map[string]platform.Entry), leased: make(map[string]bool)}
}

// PauseNextClaim delays the reply to the next write that is applied.
func (p *Platform) PauseNextClaim(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = pause
}

// SetFaults replaces the fault function. Nil disables faults.
func (p *Platform) SetFaults(faults FaultFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Platform) fault(ctx context.Context, op string) (bool, error) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults == nil {
		return false, nil
	}
	return faults(ctx, op)
}

// Get returns the entry of a key, or platform.ErrNotFound.
func (p *Platform) Get(ctx context.Context, key string) (platform.Entry, error) {
	if _, err := p.fault(ctx, "get"); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.keys[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

// CompareAndSwap writes a key if its revision matches, and returns the new revision or
// platform.ErrConflict.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	op := "claim"
	if revision > 0 {
		op = "complete"
	}
	applied, err := p.fault(ctx, op)
	if err != nil && !applied {
		return 0, err
	}
	rev, pause := p.swap(key, revision, value)
	time.Sleep(pause)
	if rev == 0 {
		return 0, platform.ErrConflict
	}
	return rev, err
}

func (p *Platform) swap(key string, revision uint64, value []byte) (rev uint64, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keys[key].Revision != revision {
		return 0, 0
	}
	pause, p.pause = p.pause, 0
	p.rev++
	p.keys[key] = platform.Entry{Value: value, Revision: p.rev}
	return p.rev, pause
}

// Grant grants a lease. All leases have the same id.
func (p *Platform) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grants++
	return 1, nil
}

// CompareAndSwapLeased is CompareAndSwap and records that the key has a lease.
func (p *Platform) CompareAndSwapLeased(ctx context.Context, key string, revision uint64, value []byte, _ platform.LeaseID) (uint64, error) {
	rev, err := p.CompareAndSwap(ctx, key, revision, value)
	if err == nil {
		p.mu.Lock()
		p.leased[key] = true
		p.mu.Unlock()
	}
	return rev, err
}

// Leased returns the number of keys with a lease.
func (p *Platform) Leased() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.leased)
}

// Grants returns the number of granted leases.
func (p *Platform) Grants() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grants
}

// Bytes returns the total size of the keys and their values.
func (p *Platform) Bytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes := 0
	for key, e := range p.keys {
		bytes += len(key) + len(e.Value)
	}
	return bytes
}
