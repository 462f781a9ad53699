package node

import (
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/policy/config"
)

// Wrappers holds functions that wrap components of a node. Tests use them to disable a
// safeguard and to verify that a check of a running deployment then fails. No setting enables
// them. A nil function wraps nothing.
type Wrappers struct {
	// Index wraps the function from which entry and owner read the configuration in force.
	Index func(inForce func() *config.Index) func() *config.Index
	// Backend wraps the owner's calls to backend servers.
	Backend func(owner.Backend) owner.Backend
}

// wrappedFleet is a fleet with a wrapped Index method.
type wrappedFleet struct {
	*fleet.Fleet
	index func() *config.Index
}

// Index returns the configuration in force as the wrapper reports it.
func (f wrappedFleet) Index() *config.Index { return f.index() }

func (w Wrappers) wrapFleet(f *fleet.Fleet) wrappedFleet {
	if w.Index == nil {
		return wrappedFleet{Fleet: f, index: f.Index}
	}
	return wrappedFleet{Fleet: f, index: w.Index(f.Index)}
}

func (w Wrappers) wrapBackend(b owner.Backend) owner.Backend {
	if w.Backend == nil {
		return b
	}
	return w.Backend(b)
}
