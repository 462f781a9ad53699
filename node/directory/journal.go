package directory

import (
	"cmp"
	"slices"
)

// maxTombstones bounds the removed records in a journal.
const maxTombstones = 4096

// journal holds the newest record of each key outside AreaReplicas, as the store holds it, for
// the nodes that follow the store through this one.
type journal struct {
	records map[string]StoredRecord
	removed int
}

func newJournal() *journal { return &journal{records: make(map[string]StoredRecord)} }

// put adds a record unless it holds a newer one.
func (j *journal) put(r StoredRecord) {
	before, ok := j.records[r.Key]
	if ok && r.Revision <= before.Revision {
		return
	}
	if before.Removed {
		j.removed--
	}
	if r.Removed {
		j.removed++
		r.Value = nil
	}
	j.records[r.Key] = r
}

// after returns the records and removals after a revision.
func (j *journal) after(revision uint64) []StoredRecord {
	var changes []StoredRecord
	for _, r := range j.records {
		if r.Revision > revision {
			changes = append(changes, r)
		}
	}
	slices.SortFunc(changes, func(a, b StoredRecord) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// removeUnlisted removes the records that a complete read at a revision did not list.
func (j *journal) removeUnlisted(listed map[string]bool, revision uint64) {
	for key, r := range j.records {
		if !listed[key] && !r.Removed {
			j.put(StoredRecord{Key: key, Revision: revision, Removed: true})
		}
	}
}

// prune forgets the oldest removals if there are too many, and returns the newest revision of
// those; 0 if it forgets none.
func (j *journal) prune() (revision uint64) {
	if j.removed <= maxTombstones {
		return 0
	}
	var tombstones []StoredRecord
	for _, r := range j.records {
		if r.Removed {
			tombstones = append(tombstones, r)
		}
	}
	slices.SortFunc(tombstones, func(a, b StoredRecord) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range tombstones[:len(tombstones)/2] {
		delete(j.records, r.Key)
		j.removed--
		revision = r.Revision
	}
	return revision
}
