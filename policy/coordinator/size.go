package coordinator

import "time"

const (
	// registrationGrace is how long a node counts after its registration is removed. A
	// registration can be revoked while its node still runs. Budgets divided among too
	// few nodes would exceed the limit of the fleet.
	registrationGrace = 25 * time.Second
	// DefaultFleetSize is the assumed size of a fleet whose members are not available.
	DefaultFleetSize = 16
)

// registration is the state of one node of the fleet.
type registration struct {
	member Member
	// removedAt is when the registration was removed; zero while it exists.
	removedAt time.Time
}

// Registrations collects the nodes of the fleet from the store's records, by record name.
// Not safe for concurrent use.
type Registrations struct {
	nodes    map[string]*registration
	revision uint64
}

// NewRegistrations returns an empty collection.
func NewRegistrations() *Registrations {
	return &Registrations{nodes: make(map[string]*registration)}
}

// Put adds or replaces the record of a node, and reports whether the fleet changes.
func (r *Registrations) Put(name string, m Member, revision uint64) bool {
	r.revision = max(r.revision, revision)
	previous := r.nodes[name]
	r.nodes[name] = &registration{member: m}
	return previous == nil || previous.member != m || !previous.removedAt.IsZero()
}

// Remove records the removal of a registration.
func (r *Registrations) Remove(now time.Time, name string, revision uint64) {
	r.revision = max(r.revision, revision)
	if n := r.nodes[name]; n != nil && n.removedAt.IsZero() {
		n.removedAt = now
	}
}

// RemoveUnlisted removes the registrations that are missing from a complete listing.
func (r *Registrations) RemoveUnlisted(now time.Time, listed map[string]bool, revision uint64) {
	for name := range r.nodes {
		if !listed[name] {
			r.Remove(now, name, revision)
		}
	}
}

// Fleet returns the registered nodes, and those whose registration was removed within
// registrationGrace.
func (r *Registrations) Fleet(now time.Time) Fleet {
	f := Fleet{Revision: r.revision}
	for name, n := range r.nodes {
		if !n.removedAt.IsZero() && now.Sub(n.removedAt) > registrationGrace {
			delete(r.nodes, name)
			continue
		}
		f.Members = append(f.Members, n.member)
	}
	return f
}

// SizeFor returns the capacity of the fleet divided by that of the node, at least 1.
// The node's share of a fleet-wide limit is the limit divided by this number. A node that
// is not a member yet counts in addition. The result is DefaultFleetSize if the fleet has
// no members or the node has no capacity.
func (f Fleet) SizeFor(own Member) float64 {
	if own.Capacity <= 0 || len(f.Members) == 0 {
		return DefaultFleetSize
	}
	sum, listed := 0.0, false
	for _, m := range f.Members {
		sum += m.Capacity
		listed = listed || m.Node == own.Node
	}
	if !listed {
		sum += own.Capacity
	}
	return max(1, sum/own.Capacity)
}
