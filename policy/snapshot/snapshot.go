// Package snapshot knows which index snapshots the replicas of a service hold
// and chooses the one that a query is pinned to. Knowledge comes from replies
// and lags, so it decides where to ask, never what may be merged: that is
// decided by what a reply names.
package snapshot

import (
	"sort"
	"time"

	"github.com/carobmill/carobmill/policy/config"
)

// chooseInterval bounds how often the choice is worked out again while nothing
// new is learned; usability of replicas may change meanwhile.
const chooseInterval = 50 * time.Millisecond

// Range is the snapshots that a replica holds, both ends included.
type Range struct {
	Oldest uint64
	Newest uint64
}

// Contains tells whether the range holds a snapshot.
func (r Range) Contains(snapshot uint64) bool {
	return r.Oldest <= snapshot && snapshot <= r.Newest
}

// Holding is what is known of one replica and one snapshot.
type Holding int

// The states of knowledge, best first.
const (
	// Holds means that the last news named the snapshot.
	Holds Holding = iota
	// Unknown means that there was no news of the replica yet.
	Unknown
	// MayHold means that the snapshot is newer than the last news.
	MayHold
	// Dropped means that the replica has only newer snapshots.
	Dropped
)

// Table is the knowledge of one service at one node. Not safe for concurrent
// use.
type Table struct {
	held     map[string]Range
	revision uint64

	chosen         uint64
	chosenFor      *config.Service
	chosenRevision uint64
	chosenAt       time.Time
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{held: make(map[string]Range)}
}

// Update takes in what a replica said it holds. News without snapshots is
// ignored.
func (t *Table) Update(replica string, r Range) {
	if r.Newest == 0 || t.held[replica] == r {
		return
	}
	t.held[replica] = r
	t.revision++
}

// Remove drops what is known of a replica, for example because it restarted.
func (t *Table) Remove(replica string) {
	if _, known := t.held[replica]; !known {
		return
	}
	delete(t.held, replica)
	t.revision++
}

// Holding tells what is known of a replica and a snapshot. Snapshot 0 stands
// for any.
func (t *Table) Holding(replica string, snapshot uint64) Holding {
	r, known := t.held[replica]
	switch {
	case snapshot == 0 || !known:
		return Unknown
	case snapshot > r.Newest:
		return MayHold
	case snapshot < r.Oldest:
		return Dropped
	default:
		return Holds
	}
}

// Choose returns the newest snapshot that some usable replica of every shard
// holds. When there is none it returns the snapshot that most shards can serve,
// and 0 when nothing is known yet. Shards of which nothing is known, and shards
// without a usable replica, do not stand in the way.
func (t *Table) Choose(svc *config.Service, usable func(*config.Replica) bool, now time.Time) uint64 {
	fresh := t.chosenFor == svc && t.chosenRevision == t.revision
	if fresh && now.Sub(t.chosenAt) < chooseInterval {
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

// candidates returns the distinct newest snapshots of a service's replicas, the
// newest first.
func (t *Table) candidates(svc *config.Service) []uint64 {
	seen := make(map[uint64]bool)
	var list []uint64
	for _, gen := range svc.Generations {
		for _, shard := range gen.Shards {
			for _, replica := range shard.Replicas {
				newest := t.held[replica.Name].Newest
				if newest == 0 || seen[newest] {
					continue
				}
				seen[newest] = true
				list = append(list, newest)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] > list[j] })
	return list
}

// missing counts the shards of a generation that are known to be unable to
// serve a snapshot.
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
	known := false
	for _, replica := range shard.Replicas {
		if !usable(replica) {
			continue
		}
		r, ok := t.held[replica.Name]
		if !ok || r.Contains(snapshot) {
			return false
		}
		known = true
	}
	return known
}
