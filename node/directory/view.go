package directory

import (
	"time"

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
	nodes          fleetSize
	revision       uint64
}

func newState() *state {
	return &state{
		replicas:     registry.NewTable(),
		out:          make(map[string]string),
		outRevisions: make(map[string]uint64),
		nodes:        fleetSize{last: make(map[string]time.Time)},
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
		return s.nodes.take(now, r)
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
	if r.ColdLeft > 0 {
		replica.ColdUntil = now.Add(r.ColdLeft)
	}
	return s.replicas.Put(replica, r.Revision)
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
	if r.DataCentreOut == "" {
		return false
	}
	s.outRevisions[r.Name] = r.Revision
	_, was := s.out[r.Name]
	s.out[r.Name] = r.DataCentreOut
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

const (
	// rememberNode is how long a node counts after its registration has vanished.
	// A registration can be revoked while its node works on, and budgets that are
	// divided by too few nodes would exceed the fleet's bound.
	rememberNode = 25 * time.Second
	// assumedNodes stands in for the number of nodes while none is known.
	assumedNodes = 16
)

// fleetSize counts the fleet's nodes.
type fleetSize struct {
	// last is when a node was last known to be registered; the zero time while it is.
	last map[string]time.Time
}

func (f *fleetSize) take(now time.Time, r Record) bool {
	if !r.Removed {
		f.last[r.Name] = time.Time{}
		return true
	}
	if at, known := f.last[r.Name]; known && at.IsZero() {
		f.last[r.Name] = now
	}
	return false
}

// keep marks those that a complete reading did not list as vanished.
func (f *fleetSize) keep(now time.Time, listed map[string]bool) {
	for name, at := range f.last {
		if !listed[name] && at.IsZero() {
			f.last[name] = now
		}
	}
}

func (f *fleetSize) count(now time.Time) int {
	n := 0
	for name, at := range f.last {
		if !at.IsZero() && now.Sub(at) > rememberNode {
			delete(f.last, name)
			continue
		}
		n++
	}
	if n == 0 {
		return assumedNodes
	}
	return n
}
