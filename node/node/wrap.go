package node

import (
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/policy/config"
)

// Wrappers puts something between the parts of a node, for tests that leave a
// safeguard out and show that a check of whole nodes then fails. No settings lead
// here. Nil functions wrap nothing.
type Wrappers struct {
	// Index wraps the configuration in force as entry and owner read it.
	Index func(inForce func() *config.Index) func() *config.Index
	// Backend wraps the owner's calls to backend servers.
	Backend func(owner.Backend) owner.Backend
}

// indexed is a fleet whose configuration in force is read through Wrappers.
type indexed struct {
	*fleet.Fleet
	index func() *config.Index
}

// Index returns what the wrapper makes of the configuration in force.
func (i indexed) Index() *config.Index { return i.index() }

func (w Wrappers) fleet(f *fleet.Fleet) indexed {
	if w.Index == nil {
		return indexed{Fleet: f, index: f.Index}
	}
	return indexed{Fleet: f, index: w.Index(f.Index)}
}

func (w Wrappers) backend(b owner.Backend) owner.Backend {
	if w.Backend == nil {
		return b
	}
	return w.Backend(b)
}
