package directory

import (
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
)

// View is what is known at one moment. Immutable.
type View struct {
	Index *route.Index
	// Replicas that may get new requests, by service.
	Replicas map[string][]*registry.Replica
	// Revision of the store that the view reflects, and when it was heard of.
	Revision uint64
	At       time.Time
}

// state is what the follower collects. Only its goroutine uses it.
type state struct {
	replicas *registry.Table
	// out maps the keys of data centres that are out to their names.
	out map[string]string
	// outRevisions and configRevision keep older records from undoing newer ones.
	outRevisions   map[string]uint64
	configRevision uint64
	index          *route.Index
	nodes          *coordinator.Registrations
	revision       uint64
}

func newState() *state {
	return &state{
		replicas:     registry.NewTable(),
		out:          make(map[string]string),
		outRevisions: make(map[string]uint64),
		nodes:        coordinator.NewRegistrations(),
	}
}

func (s *state) view(now time.Time) *View {
	out := make(map[string]bool, len(s.out))
	for _, name := range s.out {
		out[name] = true
	}
	return &View{
		Index:    s.index,
		Replicas: s.replicas.Usable(out),
		Revision: s.revision,
		At:       now,
	}
}

// take applies one record and reports whether the view changes. doubtful says that
// entries may have vanished because the store was away.
func (s *state) take(now time.Time, r Record, doubtful bool) bool {
	switch r.Area {
	case AreaReplicas:
		return s.takeReplica(now, r, doubtful)
	case AreaNodes:
		return s.takeNode(now, r)
	case AreaOperators:
		return s.takeOperators(r)
	}
	return false
}

func (s *state) takeReplica(now time.Time, r Record, doubtful bool) bool {
	if r.Removed {
		return s.replicas.Remove(now, r.Name, r.Revision, doubtful)
	}
	if r.Replica == nil {
		// Unreadable: it names no replica to use, so what it said before is void.
		return s.replicas.Remove(now, r.Name, r.Revision, false)
	}
	replica := *r.Replica
	if r.ColdRemaining > 0 {
		replica.ColdUntil = now.Add(r.ColdRemaining)
	}
	return s.replicas.Put(replica, r.Revision)
}

func (s *state) takeNode(now time.Time, r Record) bool {
	if r.Removed || r.Node == nil {
		s.nodes.Remove(now, r.Name, r.Revision)
		return false
	}
	return s.nodes.Put(r.Name, *r.Node, r.Revision)
}

func (s *state) takeOperators(r Record) bool {
	if r.Configuration != nil {
		if s.index != nil && (r.Configuration.Version <= s.index.Version || r.Revision <= s.configRevision) {
			return false
		}
		s.index = route.NewIndex(r.Configuration)
		s.configRevision = r.Revision
		return true
	}
	if r.Revision <= s.outRevisions[r.Name] {
		return false
	}
	if r.Removed {
		_, was := s.out[r.Name]
		s.outRevisions[r.Name] = r.Revision
		delete(s.out, r.Name)
		return was
	}
	if r.ExcludedDataCentre == "" {
		return false
	}
	s.outRevisions[r.Name] = r.Revision
	_, was := s.out[r.Name]
	s.out[r.Name] = r.ExcludedDataCentre
	return !was
}

// keepOut ends what a complete reading of the operators' area did not list.
func (s *state) keepOut(listed map[string]bool) (changed bool) {
	for key := range s.out {
		if !listed[key] {
			delete(s.out, key)
			changed = true
		}
	}
	return changed
}
