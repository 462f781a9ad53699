package simulation

import (
	"context"
	"sync"
	"time"

	"github.com/carobmill/carobmill/node/platform"
)

// FaultFunc is asked at each call, with the operation: "get", "claim" or "settle". A
// non-nil error is the call's, and true makes the write take effect all the same.
type FaultFunc func(ctx context.Context, op string) (bool, error)

// Platform is a key-value service in memory, safe for concurrent use. Its zero
// value is of no use; NewPlatform makes one.
type Platform struct {
	mu     sync.Mutex
	rev    uint64
	keys   map[string]platform.Entry
	leased map[string]bool
	grants int
	before FaultFunc
	// pause delays the answer to the next claim that took effect.
	pause time.Duration
}

// NewPlatform returns an empty service without faults.
func NewPlatform() *Platform {
	return &Platform{keys: make(map[string]platform.Entry), leased: make(map[string]bool)}
}

// PauseNextClaim delays the answer to the next claim.
func (p *Platform) PauseNextClaim(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = pause
}

// SetFaults replaces the script; nil ends the faults.
func (p *Platform) SetFaults(before FaultFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before = before
}

func (p *Platform) fault(ctx context.Context, op string) (bool, error) {
	p.mu.Lock()
	before := p.before
	p.mu.Unlock()
	if before == nil {
		return false, nil
	}
	return before(ctx, op)
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

// CompareAndSwap writes a key that stands at a revision and returns the new one,
// or platform.ErrConflict.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	op := "claim"
	if revision > 0 {
		op = "settle"
	}
	lose, err := p.fault(ctx, op)
	if err != nil && !lose {
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

// Grant counts the leases that were granted; all are one.
func (p *Platform) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grants++
	return 1, nil
}

// CompareAndSwapLeased is CompareAndSwap, and notes that the key lapses.
func (p *Platform) CompareAndSwapLeased(ctx context.Context, key string, revision uint64, value []byte, _ platform.LeaseID) (uint64, error) {
	rev, err := p.CompareAndSwap(ctx, key, revision, value)
	if err == nil {
		p.mu.Lock()
		p.leased[key] = true
		p.mu.Unlock()
	}
	return rev, err
}

// Leased is the number of keys that lapse.
func (p *Platform) Leased() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.leased)
}

// Grants is the number of leases granted so far.
func (p *Platform) Grants() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grants
}

// Bytes is what the keys and their values take.
func (p *Platform) Bytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes := 0
	for key, e := range p.keys {
		bytes += len(key) + len(e.Value)
	}
	return bytes
}
