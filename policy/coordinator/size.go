package coordinator

import "time"

const (
	// rememberFor is how long a node counts after its registration has vanished. A
	// registration can be revoked while its node works on, and budgets that are divided
	// among too few nodes would exceed the fleet's bound.
	rememberFor = 25 * time.Second
	// DefaultFleetSize stands in for the size of the fleet while no node is known.
	DefaultFleetSize = 16
)

// registration is what is known of one node of the fleet.
type registration struct {
	member Member
	// vanished is when the node was last known to be registered; the zero time while
	// it is.
	vanished time.Time
}

// Registrations collects the fleet's nodes from the store's records, by record name.
// Not safe for concurrent use.
type Registrations struct {
	nodes    map[string]*registration
	revision uint64
}

// NewRegistrations returns none.
func NewRegistrations() *Registrations {
	return &Registrations{nodes: make(map[string]*registration)}
}

// Put takes the record of a registered node and reports whether it tells anything new.
func (r *Registrations) Put(name string, m Member, revision uint64) bool {
	r.revision = max(r.revision, revision)
	before := r.nodes[name]
	r.nodes[name] = &registration{member: m}
	return before == nil || before.member != m || !before.vanished.IsZero()
}

// Remove notes that a registration has vanished.
func (r *Registrations) Remove(now time.Time, name string, revision uint64) {
	r.revision = max(r.revision, revision)
	if n := r.nodes[name]; n != nil && n.vanished.IsZero() {
		n.vanished = now
	}
}

// RemoveUnlisted marks those that a complete reading did not list as vanished.
func (r *Registrations) RemoveUnlisted(now time.Time, listed map[string]bool, revision uint64) {
	for name := range r.nodes {
		if !listed[name] {
			r.Remove(now, name, revision)
		}
	}
}

// Fleet returns the nodes that count now, those whose registration vanished a short
// while ago among them.
func (r *Registrations) Fleet(now time.Time) Fleet {
	f := Fleet{Revision: r.revision}
	for name, n := range r.nodes {
		if !n.vanished.IsZero() && now.Sub(n.vanished) > rememberFor {
			delete(r.nodes, name)
			continue
		}
		f.Members = append(f.Members, n.member)
	}
	return f
}

// SizeFor returns the fleet's capacity in units of a node's own: the number by which it
// divides what the fleet may do together. Nodes of unequal size take unequal shares.
func (f Fleet) SizeFor(own Member) float64 {
	if own.Capacity <= 0 || len(f.Members) == 0 {
		return DefaultFleetSize
	}
	sum, known := 0.0, false
	for _, m := range f.Members {
		sum += m.Capacity
		known = known || m.Node == own.Node
	}
	if !known {
		sum += own.Capacity
	}
	return max(1, sum/own.Capacity)
}
