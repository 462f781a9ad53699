package membership

import (
	"math"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Outcome is the result of Apply.
type Outcome int

const (
	// Ignored means that the change is invalid, does not supersede the record, or
	// concerns a new boot that the table does not accept.
	Ignored Outcome = iota
	// Applied means that the record was updated and the change queued for gossip.
	Applied
	// Refuted means that the change would supersede this node's own entry. The node
	// set a higher incarnation and queued its entry for gossip.
	Refuted
	// DeclaredGone means that the change reported this boot of this node as gone.
	// That state is final, so the node must call Rejoin with a new boot number.
	DeclaredGone
)

// Apply applies one change from a message.
func (t *Table) Apply(now time.Time, change *pb.MemberChange) Outcome {
	m := fromChange(change)
	if m.Name == "" || m.State < alive || m.State > gone {
		return Ignored
	}
	if m.ID() == t.self.ID() {
		return t.applySelf(m)
	}
	if m.Name == t.self.Name && m.State != gone {
		// The change describes another boot of this VM. Boots have no order, so
		// only the answers to pings of other nodes show which one runs. Without
		// this case, a VM that resumes after its replacement could mark the
		// replacement as gone.
		return Ignored
	}
	r := t.records[m.ID()]
	if r == nil {
		return t.applyNew(now, m)
	}
	if !supersedes(m, r.Member) {
		t.raiseConfigVersion(r, m)
		return Ignored
	}
	if m.ConfigVersion < r.ConfigVersion {
		m.ConfigVersion = r.ConfigVersion
	}
	if m.State == dead && r.State != dead {
		return t.applyDead(now, r, m)
	}
	if m.State == suspect {
		t.pingOrder.prioritise(m.ID())
	}
	t.setStateAndGossip(now, r, m, "reported by a member")
	return Applied
}

// applyDead applies a report that a member is dead. The member becomes suspect, or
// stays leaving, and is pinged with priority.
//
// When a partition heals, each side reports the members of the other side as dead.
// If those reports were applied as they are, ownership of all replicas would move
// and return within a second. A suspect member keeps its ownership and can refute
// the report within the suspect timeout.
func (t *Table) applyDead(now time.Time, r *record, m Member) Outcome {
	t.pingOrder.prioritise(m.ID())
	switch r.State {
	case leaving:
		m.State = leaving
		if r.unansweredSince.IsZero() {
			r.unansweredSince = now
		}
	default:
		m.State = suspect
	}
	if m.State == r.State && m.Incarnation == r.Incarnation {
		return Ignored
	}
	t.setStateAndGossip(now, r, m, "reported dead by a member")
	return Applied
}

// supersedes reports whether an update replaces the current entry of the same boot.
// The state gone is final, because other nodes may have acquired the replicas of
// that boot.
func supersedes(update, current Member) bool {
	switch {
	case current.State == gone:
		return false
	case update.State == gone:
		return true
	case update.Incarnation != current.Incarnation:
		return update.Incarnation > current.Incarnation
	default:
		return update.State > current.State
	}
}

// applySelf applies a change of this boot.
//
// Other nodes report a node that was paused or partitioned as dead. Without a
// refutation the node would receive no work again. A higher incarnation, which only
// the node itself sets, supersedes all earlier reports.
func (t *Table) applySelf(m Member) Outcome {
	switch {
	case t.self.State == gone:
		return Ignored
	case m.State == gone:
		return DeclaredGone
	case m.Incarnation == math.MaxUint64:
		// Only a faulty peer sends this incarnation. Incrementing it would wrap
		// to 0, and other nodes would ignore all further changes of this node.
		return Ignored
	case m.Incarnation < t.self.Incarnation:
		return Ignored
	case m.Incarnation == t.self.Incarnation && m.State <= t.self.State:
		return Ignored
	}
	t.self.Incarnation = m.Incarnation + 1
	t.version++
	t.queue.add(t.self.ID())
	return Refuted
}

// applyNew adds a record for a new boot. A gone boot is recorded too, so that a late
// change cannot add it as a member.
func (t *Table) applyNew(now time.Time, m Member) Outcome {
	if len(t.records) >= t.params.MaxMembers && !t.evictGone() {
		return Ignored
	}
	r := &record{firstSeen: now}
	t.records[m.ID()] = r
	t.setStateAndGossip(now, r, m, "reported by a member")
	if m.State != gone {
		t.prioritiseIfDuplicate(m)
	}
	return Applied
}

// prioritiseIfDuplicate pings a new boot with priority when the table has another boot
// of the same name. The answer shows which of them is running.
func (t *Table) prioritiseIfDuplicate(m Member) {
	if len(t.ByName(m.Name)) > 1 {
		t.pingOrder.prioritise(m.ID())
	}
}

// evictGone removes the boot that has been gone longest. It returns false when no
// boot is gone.
func (t *Table) evictGone() bool {
	var oldest *record
	for _, r := range t.records {
		if r.State == gone && (oldest == nil || r.Since.Before(oldest.Since)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	t.remove(oldest.ID())
	return true
}

func (t *Table) remove(id ID) {
	delete(t.records, id)
	t.queue.remove(id)
}

// raiseConfigVersion updates the highest configuration version reported for a member.
func (t *Table) raiseConfigVersion(r *record, m Member) {
	if m.ConfigVersion > r.ConfigVersion {
		r.ConfigVersion = m.ConfigVersion
	}
}

// UpdateConfigVersion records the configuration version that a member reports in
// its own message. A lower version is ignored.
func (t *Table) UpdateConfigVersion(id ID, version uint64) {
	if r := t.records[id]; r != nil && version > r.ConfigVersion {
		r.ConfigVersion = version
	}
}
