package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// registrationTTL and renewEvery keep the node's registration; three renewals
	// may fail in a row.
	registrationTTL = 12 * time.Second
	renewEvery      = 3 * time.Second
)

// Register keeps the node registered while it follows the store, until ctx ends, then
// withdraws it.
func (d *Directory) Register(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		if !d.following.isOpen() {
			d.withdraw(ctx, lease)
			lease = 0
			d.following.wait(ctx, true)
			d.following.waitFor(ctx, false, d.opts.RegisterAfter)
			continue
		}
		lease = d.registerOnce(ctx, lease)
		d.following.waitFor(ctx, false, renewEvery+rand.N(renewEvery/10))
	}
	d.withdraw(ctx, lease)
}

// withdraw ends a registration; lease 0 is none.
func (d *Directory) withdraw(ctx context.Context, lease uint64) {
	if lease == 0 {
		return
	}
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := d.opts.Store.Revoke(ending, lease); err != nil {
		d.opts.Log.WithError(err).Info("the registration was not withdrawn: it lapses by itself")
	}
}

// registerOnce renews the registration, or makes a new one, and returns its lease; 0
// when there is none.
func (d *Directory) registerOnce(ctx context.Context, lease uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		err := d.opts.Store.Renew(ctx, lease)
		if !errors.Is(err, ErrLeaseEnded) {
			// Without an answer the lease may live; it is renewed next time.
			return lease
		}
	}
	lease, err := d.opts.Store.Register(ctx, d.opts.Node, registrationTTL)
	if err != nil && ctx.Err() == nil {
		d.opts.Log.WithError(err).Info("the node is not registered yet")
	}
	return lease
}

// gate is open or closed, and can be waited for. Safe for concurrent use.
type gate struct {
	// mu guards the fields below.
	mu   sync.Mutex
	open bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// set opens or closes the gate and reports whether that changed it.
func (g *gate) set(open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return false
	}
	g.open = open
	close(g.changed)
	g.changed = make(chan struct{})
	return true
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait returns when the gate is as wanted, or ctx ends.
func (g *gate) wait(ctx context.Context, open bool) {
	for {
		g.mu.Lock()
		done, changed := g.open == open, g.changed
		g.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// waitFor is wait for at most that long.
func (g *gate) waitFor(ctx context.Context, open bool, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	g.wait(ctx, open)
}
