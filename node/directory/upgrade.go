package directory

import (
	"slices"
	"time"

	"github.com/carobmill/carobmill/policy/registry"
)

// upgradeRecords holds the records about the upgrade of one service.
type upgradeRecords struct {
	current Upgrade
	// revisions are those of the newest records by kind, also of removed ones. They prevent
	// older records from overwriting newer ones.
	revisions map[UpgradeRecord]uint64
}

// applyUpgrade applies a record of AreaUpgrades. Of a status or leader that cannot be decoded
// the revision is kept: without it, no node could write the next one.
func (s *state) applyUpgrade(r Record) bool {
	u := s.upgrades[r.Name]
	if u == nil {
		u = &upgradeRecords{revisions: make(map[UpgradeRecord]uint64)}
		s.upgrades[r.Name] = u
	}
	if r.Revision <= u.revisions[r.Upgrade] {
		return false
	}
	u.revisions[r.Upgrade] = r.Revision
	before := u.current
	switch r.Upgrade {
	case UpgradeOrder:
		u.current.Order = valueOrZero(r.Order)
		// Since an earlier revision, this node has known of no order that it could have
		// spent a part of the exposure bound on.
		u.current.Witnessed = s.revision != 0 && r.Revision > s.revision
		u.current.OrderedAt = s.changedAfter
	case UpgradeStatus:
		u.current.Status = valueOrZero(r.Status)
		if !r.Removed {
			u.current.Status.Revision = r.Revision
		}
	case UpgradeLeader:
		u.current.Leader = valueOrZero(r.Leader)
		if !r.Removed {
			u.current.Leader.Term = r.Revision
		}
	}
	return u.current != before
}

func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// upgradeViews returns the upgrades that have an order.
func (s *state) upgradeViews() map[string]Upgrade {
	views := make(map[string]Upgrade)
	for service, u := range s.upgrades {
		if u.current.Order.Revision != 0 {
			views[service] = u.current
		}
	}
	return views
}

// listedUpgrades holds the services whose records of each kind a full read has listed.
type listedUpgrades map[UpgradeRecord]map[string]bool

func (l listedUpgrades) add(r Record) {
	if l[r.Upgrade] == nil {
		l[r.Upgrade] = make(map[string]bool)
	}
	l[r.Upgrade][r.Name] = true
}

// removeUnlistedUpgrades removes the records that a full read at a revision did not list.
func (s *state) removeUnlistedUpgrades(listed listedUpgrades, revision uint64) (changed bool) {
	for service := range s.upgrades {
		for _, kind := range []UpgradeRecord{UpgradeOrder, UpgradeStatus, UpgradeLeader} {
			if !listed[kind][service] {
				removed := Record{Area: AreaUpgrades, Name: service, Upgrade: kind, Revision: revision, Removed: true}
				changed = s.applyUpgrade(removed) || changed
			}
		}
	}
	return changed
}

// holdNewVersions removes the replicas of versions that may receive no requests yet, as long
// as their service has others. A service with an order has a gate for that.
func (s *state) holdNewVersions(now time.Time, replicas map[string][]*registry.Replica, upgrades map[string]Upgrade) {
	s.heldUntil = time.Time{}
	for service, usable := range replicas {
		versions := make(map[string]int)
		for _, r := range usable {
			versions[r.Version]++
		}
		s.versions.Observe(now, service, versions)
		end := s.versions.HeldUntil(now, service)
		if _, ordered := upgrades[service]; ordered || end.IsZero() {
			continue
		}
		if s.heldUntil.IsZero() || end.Before(s.heldUntil) {
			s.heldUntil = end
		}
		allowed := slices.DeleteFunc(slices.Clone(usable), func(r *registry.Replica) bool {
			return s.versions.Held(now, service, r.Version)
		})
		if len(allowed) > 0 {
			replicas[service] = allowed
		}
	}
}

// holdEnded reports whether a hold of the newest view has ended.
func (s *state) holdEnded(now time.Time) bool {
	return !s.heldUntil.IsZero() && !now.Before(s.heldUntil)
}
