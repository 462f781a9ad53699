package membership

import (
	"math"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Outcome is what Apply made of a change.
type Outcome int

const (
	// Ignored is older than what is known, or of no use.
	Ignored Outcome = iota
	// Applied was taken in and passed on.
	Applied
	// Refuted called this node suspected or dead; the node raised its
	// incarnation and says so.
	Refuted
	// DeclaredGone called this boot of this node gone. That is final, so the
	// node has to Rejoin with a new boot.
	DeclaredGone
)

// Apply takes in one change that a message carried.
func (t *Table) Apply(now time.Time, change *pb.MemberChange) Outcome {
	m := fromChange(change)
	if m.Name == "" || m.State < alive || m.State > gone {
		return Ignored
	}
	if m.ID() == t.self.ID() {
		return t.applySelf(m)
	}
	if m.Name == t.self.Name && m.State != gone {
		// Another boot of this VM. Which of the two is the older one shows only
		// in who answers the pings of others: a VM that was paused until it was
		// replaced would otherwise condemn its successor on waking.
		return Ignored
	}
	r := t.records[m.ID()]
	if r == nil {
		return t.applyNew(now, m)
	}
	if !supersedes(m, r.Member) {
		t.noteVersion(r, m)
		return Ignored
	}
	if m.ConfigVersion < r.ConfigVersion {
		m.ConfigVersion = r.ConfigVersion
	}
	if m.State == dead && r.State != dead {
		return t.applyDeath(now, r, m)
	}
	if m.State == suspect {
		t.rounds.urge(m.ID())
	}
	t.set(now, r, m, "told by a member")
	return Applied
}

// applyDeath turns news of a death into a suspicion, and has the member pinged.
//
// When a partition heals, each side hears from the other that its own members
// are dead. Taken at its word, ownership of every replica would move away and
// back within a second. Suspected members keep it, and have the suspect timeout
// to refute.
func (t *Table) applyDeath(now time.Time, r *record, m Member) Outcome {
	t.rounds.urge(m.ID())
	switch r.State {
	case leaving:
		m.State = leaving
		if r.missed.IsZero() {
			r.missed = now
		}
	default:
		m.State = suspect
	}
	if m.State == r.State && m.Incarnation == r.Incarnation {
		return Ignored
	}
	t.set(now, r, m, "called dead by a member")
	return Applied
}

// supersedes reports whether news replaces what is known of the same boot.
// Gone is final: nothing may bring back a boot whose rights others took over.
func supersedes(news, known Member) bool {
	switch {
	case known.State == gone:
		return false
	case news.State == gone:
		return true
	case news.Incarnation != known.Incarnation:
		return news.Incarnation > known.Incarnation
	default:
		return news.State > known.State
	}
}

// applySelf answers news about this boot.
//
// A node that was paused or cut off is called dead by others. If it stayed
// silent it would get no work again although it runs; a higher incarnation,
// which only the node itself may raise, overrides every older report.
func (t *Table) applySelf(m Member) Outcome {
	switch {
	case t.self.State == gone:
		return Ignored
	case m.State == gone:
		return DeclaredGone
	case m.Incarnation == math.MaxUint64:
		// No node gets there by refuting reports; a faulty peer that sent it
		// would make the next incarnation wrap to 0, and this node look old.
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

// applyNew adds a boot not known before. A boot that is gone is remembered too:
// its late news must not make it a member.
func (t *Table) applyNew(now time.Time, m Member) Outcome {
	if len(t.records) >= t.params.MaxMembers && !t.evictGone() {
		return Ignored
	}
	r := &record{known: now}
	t.records[m.ID()] = r
	t.set(now, r, m, "told by a member")
	if m.State != gone {
		t.probeFirst(m)
	}
	return Applied
}

// probeFirst puts a new boot at the head of the ping order when another boot of
// the same name is known, so that its answer settles which of them is running.
func (t *Table) probeFirst(m Member) {
	if len(t.ByName(m.Name)) > 1 {
		t.rounds.urge(m.ID())
	}
}

// evictGone drops the boot that has been gone longest. False when there is none.
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
	t.forget(oldest.ID())
	return true
}

func (t *Table) forget(id ID) {
	delete(t.records, id)
	t.queue.remove(id)
}

// noteVersion keeps the highest configuration version heard of a member.
func (t *Table) noteVersion(r *record, m Member) {
	if m.ConfigVersion > r.ConfigVersion {
		r.ConfigVersion = m.ConfigVersion
	}
}

// UpdateConfigVersion notes the configuration version that a member sent itself.
func (t *Table) UpdateConfigVersion(id ID, version uint64) {
	if r := t.records[id]; r != nil && version > r.ConfigVersion {
		r.ConfigVersion = version
	}
}
