// Package registry holds the records by which replicas register in the platform's
// store, and selects the replicas that may be used. It accepts records in any order and
// keeps the newest revision for each key.
package registry

import (
	"slices"
	"strings"
	"time"
)

// Replica is the record of one replica.
type Replica struct {
	// ID identifies the replica. A restarted replica usually has a new ID. The address
	// is not an identifier, because other services reuse addresses.
	ID string
	// Incarnation distinguishes starts under the same ID and increases.
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	// Version is that of the replica's software.
	Version string
	// Slots is the number of requests that the replica runs concurrently.
	Slots int
	// Draining replicas accept no new requests.
	Draining bool
	// ColdUntil is the end of the cold start; the zero time for a warm replica.
	ColdUntil time.Time
}

// VanishedGrace is how long a replica stays usable after its entry was removed during or
// right after an outage of the store. Entries expire while the store cannot be reached. By
// the platform's contract, live replicas register again within two seconds after the
// outage. The grace period is shorter than the time for which a removed replica still
// serves.
const VanishedGrace = 2 * time.Second

// entry is the newest record of one replica.
type entry struct {
	replica  Replica
	revision uint64
	// expiresAt is the end of the grace period of a vanished entry, else the zero time.
	expiresAt time.Time
	// removed entries keep their revision, so that an older record does not restore
	// them.
	removed bool
}

// Table holds the newest record of each replica. Not safe for concurrent use.
type Table struct {
	entries map[string]*entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*entry)} }

// Put applies a record. A record is ignored if its revision is not higher than the
// entry's or its incarnation is lower.
func (t *Table) Put(r Replica, revision uint64) (changed bool) {
	e := t.entries[r.ID]
	if e == nil {
		t.entries[r.ID] = &entry{replica: r, revision: revision}
		return true
	}
	if revision <= e.revision || r.Incarnation < e.replica.Incarnation {
		return false
	}
	changed = e.removed || !e.expiresAt.IsZero() || e.replica != r
	*e = entry{replica: r, revision: revision}
	return changed
}

// Remove applies the removal of an entry. During or right after an outage of the store
// (duringOutage), a replica that is not draining stays usable for VanishedGrace.
func (t *Table) Remove(now time.Time, id string, revision uint64, duringOutage bool) (changed bool) {
	e := t.entries[id]
	if e == nil {
		// Other nodes that know the replica learn its removal from this one.
		t.entries[id] = &entry{replica: Replica{ID: id}, revision: revision, removed: true}
		return false
	}
	if revision <= e.revision {
		return false
	}
	e.revision = revision
	if e.removed {
		return false
	}
	if duringOutage && !e.replica.Draining {
		if e.expiresAt.IsZero() {
			e.expiresAt = now.Add(VanishedGrace)
		}
		return false
	}
	e.removed = true
	return true
}

// RemoveMissing removes every replica that a complete read of the store at the given
// revision did not list.
func (t *Table) RemoveMissing(now time.Time, listed map[string]bool, revision uint64, duringOutage bool) (changed bool) {
	for id, e := range t.entries {
		if !listed[id] && !e.removed && t.Remove(now, id, revision, duringOutage) {
			changed = true
		}
	}
	return changed
}

// Change is the newest record of a replica, or its removal.
type Change struct {
	Replica  Replica
	Revision uint64
	Removed  bool
}

// IDs returns the replicas that the store lists, in any order.
func (t *Table) IDs() []string {
	ids := make([]string, 0, len(t.entries))
	for id, e := range t.entries {
		if !e.removed && e.expiresAt.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// ChangesAfter returns the records and removals after a revision. A vanished replica counts as
// removed.
func (t *Table) ChangesAfter(revision uint64) []Change {
	var changes []Change
	for _, e := range t.entries {
		if e.revision > revision {
			changes = append(changes, Change{Replica: e.replica, Revision: e.revision, Removed: e.removed || !e.expiresAt.IsZero()})
		}
	}
	return changes
}

// Expire removes the vanished replicas whose grace period has ended.
func (t *Table) Expire(now time.Time) (changed bool) {
	for _, e := range t.entries {
		if !e.removed && !e.expiresAt.IsZero() && !now.Before(e.expiresAt) {
			e.removed = true
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire must run next; the zero time if no entry has vanished.
func (t *Table) NextExpiry() time.Time {
	var next time.Time
	for _, e := range t.entries {
		if e.removed || e.expiresAt.IsZero() {
			continue
		}
		if next.IsZero() || e.expiresAt.Before(next) {
			next = e.expiresAt
		}
	}
	return next
}

// Usable returns the replicas that may receive new requests, by service, sorted by ID.
// It excludes the replicas of disabled data centres, and those for which excludes is true.
func (t *Table) Usable(disabled map[string]bool, excludes func(*Replica) bool) map[string][]*Replica {
	usable := make(map[string][]*Replica)
	for _, e := range t.entries {
		r := e.replica
		if e.removed || r.Draining || disabled[r.DataCentre] || excludes(&r) {
			continue
		}
		usable[r.Service] = append(usable[r.Service], &r)
	}
	for _, replicas := range usable {
		slices.SortFunc(replicas, func(a, b *Replica) int { return strings.Compare(a.ID, b.ID) })
	}
	return usable
}

// Len returns the number of replicas that are not removed.
func (t *Table) Len() int {
	n := 0
	for _, e := range t.entries {
		if !e.removed {
			n++
		}
	}
	return n
}
