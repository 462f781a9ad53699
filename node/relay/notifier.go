package relay

import (
	"context"
	"sync"
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
)

// heartbeatState is the state that heartbeat responses report.
type heartbeatState struct {
	unavailable   bool
	condition     coordinator.Condition
	fleetRevision uint64
}

// stateNotifier wakes waiting heartbeats when the state changes. One goroutine polls the
// state for all of them, and only while any wait: polling in each heartbeat would cost
// processor time for each sender.
type stateNotifier struct {
	read func() heartbeatState

	// mu guards the fields below.
	mu      sync.Mutex
	waiters map[chan heartbeatState]heartbeatState
	polling bool
}

// await returns the state once it differs from last, or last when ctx ends.
func (n *stateNotifier) await(ctx context.Context, last heartbeatState) heartbeatState {
	changed := make(chan heartbeatState, 1)
	n.mu.Lock()
	if n.waiters == nil {
		n.waiters = make(map[chan heartbeatState]heartbeatState)
	}
	n.waiters[changed] = last
	if !n.polling {
		n.polling = true
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
		return last
	}
}

// run polls the state until no heartbeat waits.
func (n *stateNotifier) run() {
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !n.notify(n.read()) {
			return
		}
	}
}

// notify wakes the heartbeats whose last state differs from s, and reports whether any
// still wait.
func (n *stateNotifier) notify(s heartbeatState) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for changed, last := range n.waiters {
		if last != s {
			changed <- s
			delete(n.waiters, changed)
		}
	}
	n.polling = len(n.waiters) > 0
	return n.polling
}
