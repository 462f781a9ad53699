package relay

import (
	"context"
	"sync"
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
)

// state is what heartbeats tell.
type state struct {
	unavailable   bool
	condition     coordinator.Condition
	fleetRevision uint64
}

// news wakes waiting heartbeats when the state changes. It looks once for all of them,
// and only while any wait: each wake-up costs processor time, and a coordinator has
// some twenty senders.
type news struct {
	look func() state

	// mu guards the fields below.
	mu      sync.Mutex
	waiters map[chan state]state
	looking bool
}

// await returns the state once it differs from what is known, or when ctx ends.
func (n *news) await(ctx context.Context, known state) state {
	changed := make(chan state, 1)
	n.mu.Lock()
	if n.waiters == nil {
		n.waiters = make(map[chan state]state)
	}
	n.waiters[changed] = known
	if !n.looking {
		n.looking = true
		go n.run()
	}
	n.mu.Unlock()
	select {
	case s := <-changed:
		return s
	case <-ctx.Done():
		n.mu.Lock()
		delete(n.waiters, changed)
		n.mu.Unlock()
		return known
	}
}

// run looks until nobody waits.
func (n *news) run() {
	ticker := time.NewTicker(newsEvery)
	defer ticker.Stop()
	for range ticker.C {
		if !n.tell(n.look()) {
			return
		}
	}
}

// tell wakes those who know another state, and reports whether anybody is left.
func (n *news) tell(s state) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for changed, known := range n.waiters {
		if known != s {
			changed <- s
			delete(n.waiters, changed)
		}
	}
	n.looking = len(n.waiters) > 0
	return n.looking
}
