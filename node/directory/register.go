package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// registrationTTL allows two failed renewals in a row. With the jitter of the interval,
	// the attempt after a third failure is too late.
	registrationTTL = 12 * time.Second
	renewInterval   = 3 * time.Second
)

// Register keeps the node registered while it follows the store. It returns when ctx ends,
// after it has revoked the registration.
func (d *Directory) Register(ctx context.Context) {
	var r registration
	for ctx.Err() == nil {
		if !d.following.isOpen() {
			d.deregister(ctx, r.lease)
			r = registration{}
			d.following.wait(ctx, true)
			d.following.waitFor(ctx, false, d.opts.RegisterAfter)
			continue
		}
		r = d.renewOrRegister(ctx, r)
		d.following.waitFor(ctx, false, renewInterval+rand.N(renewInterval/10))
	}
	d.deregister(ctx, r.lease)
}

// registration is the registration of this node in the store.
type registration struct {
	// lease is 0 without one.
	lease uint64
	// written is set once the store has confirmed the registration under the lease. Until then
	// the lease may be without a key: to renew it would not register the node.
	written bool
}

// deregister revokes the lease of a registration. Lease 0 means that there is none.
func (d *Directory) deregister(ctx context.Context, lease uint64) {
	if lease == 0 {
		return
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := d.opts.Store.Revoke(revokeCtx, lease); err != nil {
		d.opts.Log.WithError(err).Info("node registration not revoked: it expires with its lease")
	}
}

// renewOrRegister renews the lease of a registration, or registers the node under a new one.
func (d *Directory) renewOrRegister(ctx context.Context, r registration) registration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.written {
		err := d.opts.Store.Renew(ctx, r.lease)
		if !errors.Is(err, ErrLeaseEnded) {
			// Without an answer the lease may still be valid; the next call renews it.
			return r
		}
	}
	lease, err := d.opts.Store.Register(ctx, d.opts.Node, registrationTTL)
	if err != nil && ctx.Err() == nil {
		d.opts.Log.WithError(err).Info("node registration failed: trying again")
	}
	return registration{lease: lease, written: err == nil}
}

// gate is a flag whose changes can be awaited. Safe for concurrent use.
type gate struct {
	// mu guards the fields below.
	mu   sync.Mutex
	open bool
	// changed is closed and replaced whenever open changes.
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

// wait returns when the gate has the given state, or ctx ends.
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

// waitFor is wait with a timeout.
func (g *gate) waitFor(ctx context.Context, open bool, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.wait(ctx, open)
}
