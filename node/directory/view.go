package directory

import (
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/policy/upgrade"
)

// View is the configuration and the usable replicas at one moment. Immutable.
type View struct {
	Index *route.Index
	// Replicas holds those that may get new requests, by service.
	Replicas map[string][]*registry.Replica
	// Revision is the store's revision that the view reflects, and At when the view was
	// made.
	Revision uint64
	At       time.Time
	// Upgrades holds the upgrades that operators have ordered, by service.
	Upgrades map[string]Upgrade
}

// Upgrade is what the store holds about the upgrade of a service.
type Upgrade struct {
	upgrade.Record
	// Witnessed is set if this node followed the store when the order was written.
	Witnessed bool
	// OrderedAt is the earliest time at which the order may have been written, as far as this
	// node knows. Nodes see an order up to a watch interval late. Zero if the node has not learned
	// of the order from a watch.
	OrderedAt time.Time
}

// state collects the store's records. Only the goroutine of Directory.Run uses it.
type state struct {
	replicas *registry.Table
	// excluded maps record names to the data centres that they exclude.
	excluded map[string]string
	// exclusionRevisions and configRevision prevent older records from overwriting newer
	// ones.
	exclusionRevisions map[string]uint64
	configRevision     uint64
	index              *route.Index
	nodes              *coordinator.Registrations
	// upgrades holds the records of AreaUpgrades by service.
	upgrades map[string]*upgradeRecords
	// versions remembers which versions each service has run, and heldUntil is the end of the
	// first hold in the newest view; zero without one.
	versions  *upgrade.Versions
	heldUntil time.Time
	revision  uint64
	// changedAfter is the time after which the records that are being applied were written.
	changedAfter time.Time
	// newest is the highest revision of the applied records, which a read in progress may apply
	// ahead of revision.
	newest uint64
	// journal holds the records of all areas but that of the replicas.
	journal *journal
}

func newState() *state {
	return &state{
		replicas:           registry.NewTable(),
		excluded:           make(map[string]string),
		exclusionRevisions: make(map[string]uint64),
		nodes:              coordinator.NewRegistrations(),
		upgrades:           make(map[string]*upgradeRecords),
		versions:           upgrade.NewVersions(),
		journal:            newJournal(),
	}
}

func (s *state) view(now time.Time) *View {
	excluded := make(map[string]bool, len(s.excluded))
	for _, name := range s.excluded {
		excluded[name] = true
	}
	upgrades := s.upgradeViews()
	replicas := s.replicas.Usable(excluded, func(r *registry.Replica) bool {
		return upgrades[r.Service].Excludes(r.Version)
	})
	s.holdNewVersions(now, replicas, upgrades)
	return &View{
		Index:    s.index,
		Upgrades: upgrades,
		Replicas: replicas,
		Revision: s.revision,
		At:       now,
	}
}

// apply applies one record and reports whether the view changes. afterOutage means that
// records may be missing only because replicas could not renew them during an outage of
// the store.
func (s *state) apply(now time.Time, r Record, afterOutage bool) bool {
	switch r.Area {
	case AreaReplicas:
		return s.applyReplica(now, r, afterOutage)
	case AreaNodes:
		return s.applyNode(now, r)
	case AreaOperators:
		return s.applyOperators(r)
	case AreaUpgrades:
		return s.applyUpgrade(r)
	}
	return false
}

func (s *state) applyReplica(now time.Time, r Record, afterOutage bool) bool {
	if r.Removed {
		return s.replicas.Remove(now, r.Name, r.Revision, afterOutage)
	}
	if r.Replica == nil {
		// A record that cannot be decoded replaces the replica's earlier record.
		return s.replicas.Remove(now, r.Name, r.Revision, false)
	}
	replica := *r.Replica
	if r.ColdRemaining > 0 {
		replica.ColdUntil = now.Add(r.ColdRemaining)
	}
	return s.replicas.Put(replica, r.Revision)
}

func (s *state) applyNode(now time.Time, r Record) bool {
	if r.Removed || r.Node == nil {
		s.nodes.Remove(now, r.Name, r.Revision)
		return false
	}
	return s.nodes.Put(r.Name, *r.Node, r.Revision)
}

func (s *state) applyOperators(r Record) bool {
	if r.Configuration != nil {
		if s.index != nil && (r.Configuration.Version <= s.index.Version || r.Revision <= s.configRevision) {
			return false
		}
		s.index = route.NewIndex(r.Configuration)
		s.configRevision = r.Revision
		return true
	}
	if r.Revision <= s.exclusionRevisions[r.Name] {
		return false
	}
	if r.Removed {
		_, wasExcluded := s.excluded[r.Name]
		s.exclusionRevisions[r.Name] = r.Revision
		delete(s.excluded, r.Name)
		return wasExcluded
	}
	if r.ExcludedDataCentre == "" {
		return false
	}
	s.exclusionRevisions[r.Name] = r.Revision
	_, wasExcluded := s.excluded[r.Name]
	s.excluded[r.Name] = r.ExcludedDataCentre
	return !wasExcluded
}

// removeUnlistedExclusions ends the exclusions that a full read of the operators' area
// did not list at a revision.
func (s *state) removeUnlistedExclusions(listed map[string]bool, revision uint64) (changed bool) {
	for key := range s.excluded {
		if !listed[key] && s.exclusionRevisions[key] <= revision {
			delete(s.excluded, key)
			changed = true
		}
	}
	return changed
}
