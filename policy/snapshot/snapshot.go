// Package snapshot tracks which index snapshots the replicas of a service hold, and
// chooses the snapshot that a query is pinned to. The data comes from replies and may
// be stale. It determines where subrequests are sent, but not which replies may be
// merged. Merging depends on the snapshot named in each reply.
package snapshot

import (
	"sort"
	"time"

	"github.com/carobmill/carobmill/policy/config"
)

// chooseInterval bounds the age of a choice while no reports change. The usability of
// replicas may change in the meantime.
const chooseInterval = 50 * time.Millisecond

// Range is the snapshots that a replica holds, including both ends.
type Range struct {
	Oldest uint64
	Newest uint64
}

// Contains reports whether the range includes the snapshot.
func (r Range) Contains(snapshot uint64) bool {
	return r.Oldest <= snapshot && snapshot <= r.Newest
}

// Holding is the state of one snapshot at one replica.
type Holding int

// The values are ordered, best first.
const (
	// Holds means that the last report included the snapshot.
	Holds Holding = iota
	// Unknown means that the replica has not reported yet.
	Unknown
	// MayHold means that the snapshot is newer than the last report.
	MayHold
	// Dropped means that the replica has only newer snapshots.
	Dropped
)

// Table holds the reported snapshots of one service at one node. It is not safe for
// concurrent use.
type Table struct {
	held     map[string]Range
	revision uint64

	chosen         uint64
	chosenFor      *config.Service
	chosenRevision uint64
	chosenAt       time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{held: make(map[string]Range)}
}

// Update stores the snapshots that a replica reported. It ignores a report without
// snapshots.
func (t *Table) Update(replica string, r Range) {
	if r.Newest == 0 || t.held[replica] == r {
		return
	}
	t.held[replica] = r
	t.revision++
}

// Remove deletes the report of a replica, for example after a restart.
func (t *Table) Remove(replica string) {
	if _, ok := t.held[replica]; !ok {
		return
	}
	delete(t.held, replica)
	t.revision++
}

// Holding returns the state of a snapshot at a replica. For snapshot 0, which means
// any, it returns Unknown.
func (t *Table) Holding(replica string, snapshot uint64) Holding {
	r, ok := t.held[replica]
	switch {
	case snapshot == 0 || !ok:
		return Unknown
	case snapshot > r.Newest:
		return MayHold
	case snapshot < r.Oldest:
		return Dropped
	default:
		return Holds
	}
}

// Choose returns the newest snapshot that a usable replica of every shard holds. If
// there is none, it returns the snapshot that most shards can serve, or 0 without any
// reports. Shards without a usable replica, and shards with a usable replica that has
// not reported, count as able to serve every snapshot.
func (t *Table) Choose(svc *config.Service, usable func(*config.Replica) bool, now time.Time) uint64 {
	unchanged := t.chosenFor == svc && t.chosenRevision == t.revision
	if unchanged && now.Sub(t.chosenAt) < chooseInterval {
		return t.chosen
	}
	t.chosen = t.choose(svc, usable)
	t.chosenFor = svc
	t.chosenRevision = t.revision
	t.chosenAt = now
	return t.chosen
}

func (t *Table) choose(svc *config.Service, usable func(*config.Replica) bool) uint64 {
	var best uint64
	bestMissing := -1
	for _, candidate := range t.candidates(svc) {
		gen := svc.GenerationOf(candidate)
		if gen == nil {
			continue
		}
		missing := t.missing(gen, candidate, usable)
		if missing == 0 {
			return candidate
		}
		if bestMissing < 0 || missing < bestMissing {
			best = candidate
			bestMissing = missing
		}
	}
	return best
}

// candidates returns the distinct newest snapshots of the service's replicas, newest
// first.
func (t *Table) candidates(svc *config.Service) []uint64 {
	added := make(map[uint64]bool)
	var snapshots []uint64
	for _, gen := range svc.Generations {
		for _, shard := range gen.Shards {
			for _, replica := range shard.Replicas {
				newest := t.held[replica.Name].Newest
				if newest == 0 || added[newest] {
					continue
				}
				added[newest] = true
				snapshots = append(snapshots, newest)
			}
		}
	}
	sort.Slice(snapshots, func(i, j int) bool { return snapshots[i] > snapshots[j] })
	return snapshots
}

// missing counts the shards of a generation whose usable replicas cannot serve a
// snapshot.
func (t *Table) missing(gen *config.Generation, snapshot uint64, usable func(*config.Replica) bool) int {
	missing := 0
	for _, shard := range gen.Shards {
		if t.cannotServe(shard, snapshot, usable) {
			missing++
		}
	}
	return missing
}

func (t *Table) cannotServe(shard *config.Shard, snapshot uint64, usable func(*config.Replica) bool) bool {
	reported := false
	for _, replica := range shard.Replicas {
		if !usable(replica) {
			continue
		}
		r, ok := t.held[replica.Name]
		if !ok || r.Contains(snapshot) {
			return false
		}
		reported = true
	}
	return reported
}
