// Package registry holds what replicas say of themselves in the platform's store,
// and decides which of them may be used. It takes records in any order and keeps, by
// key, the newest revision.
package registry

import (
	"slices"
	"strings"
	"time"
)

// Replica is what a replica says of itself.
type Replica struct {
	// ID names one replica; a restart mostly brings a new one. The address does
	// not identify it, since addresses are reused by other services.
	ID string
	// Incarnation tells starts under the same ID apart; it rises.
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining replicas take no new requests.
	Draining bool
	// ColdUntil is when it stops being cold; the zero time when it is warm.
	ColdUntil time.Time
}

// VanishedGrace is how long a replica whose entry vanished during an outage of the
// store stays usable after the store is back. Entries lapse while the store cannot be
// reached; those of live replicas are back within two seconds of its return, says the
// platform's contract. It stays inside the time that a removed replica still serves.
const VanishedGrace = 2 * time.Second

// entry is the newest record of one replica.
type entry struct {
	replica  Replica
	revision uint64
	// goneAt is when a vanished entry counts as gone; zero while it is there.
	goneAt time.Time
	// removed entries remember their revision, so that older news cannot bring
	// them back.
	removed bool
}

// Table is the newest record of each replica. Not safe for concurrent use.
type Table struct {
	entries map[string]*entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*entry)} }

// Put takes a record. Older revisions and older incarnations change nothing.
func (t *Table) Put(r Replica, revision uint64) (changed bool) {
	e := t.entries[r.ID]
	if e == nil {
		t.entries[r.ID] = &entry{replica: r, revision: revision}
		return true
	}
	if revision <= e.revision || r.Incarnation < e.replica.Incarnation {
		return false
	}
	changed = e.removed || !e.goneAt.IsZero() || e.replica != r
	*e = entry{replica: r, revision: revision}
	return changed
}

// Remove takes a tombstone. During or right after an outage of the store (doubtful),
// the replica stays usable for VanishedGrace.
func (t *Table) Remove(now time.Time, id string, revision uint64, doubtful bool) (changed bool) {
	e := t.entries[id]
	if e == nil || e.removed || revision <= e.revision {
		return false
	}
	e.revision = revision
	if doubtful && !e.replica.Draining {
		if e.goneAt.IsZero() {
			e.goneAt = now.Add(VanishedGrace)
		}
		return false
	}
	e.removed = true
	return true
}

// RemoveMissing treats every replica that a complete reading of the store at that
// revision did not list as removed.
func (t *Table) RemoveMissing(now time.Time, listed map[string]bool, revision uint64, doubtful bool) (changed bool) {
	for id, e := range t.entries {
		if !listed[id] && !e.removed && t.Remove(now, id, revision, doubtful) {
			changed = true
		}
	}
	return changed
}

// Expire removes vanished replicas whose grace is over.
func (t *Table) Expire(now time.Time) (changed bool) {
	for _, e := range t.entries {
		if !e.removed && !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			e.removed = true
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire is due; the zero time when no replica has vanished.
func (t *Table) NextExpiry() time.Time {
	var next time.Time
	for _, e := range t.entries {
		if e.removed || e.goneAt.IsZero() {
			continue
		}
		if next.IsZero() || e.goneAt.Before(next) {
			next = e.goneAt
		}
	}
	return next
}

// Usable returns the replicas that may get new requests, by service, in order of ID.
// Those of data centres that are out are left out.
func (t *Table) Usable(out map[string]bool) map[string][]*Replica {
	usable := make(map[string][]*Replica)
	for _, e := range t.entries {
		if e.removed || e.replica.Draining || out[e.replica.DataCentre] {
			continue
		}
		r := e.replica
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
