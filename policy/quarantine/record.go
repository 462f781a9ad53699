package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// MaxRecords bounds the records of one message between nodes.
const MaxRecords = 8

// Record is what a node knows about one request, as exchanged between nodes.
type Record struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	Answers     []Answer
	// RefusedUntil is the end of the quarantine; zero if there is none.
	RefusedUntil time.Time
}

// Key returns the key of a name in a Crash: of a service, or of one start of a replica.
func Key(name string, incarnation int64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	for shift := 0; shift < 64; shift += 8 {
		h.Write([]byte{byte(incarnation >> shift)})
	}
	return h.Sum64()
}

// Records returns the records of the given requests, as far as they are in the table.
func (t *Table) Records(of []Fingerprint) []Record {
	var list []Record
	for _, f := range of {
		if e := t.entries[f]; e != nil {
			list = append(list, e.record(f))
		}
	}
	return list
}

// Newest returns the records of up to n requests, those that changed last.
func (t *Table) Newest(now time.Time, n int) []Record {
	t.Expire(now)
	order := make([]Fingerprint, 0, len(t.entries))
	for f := range t.entries {
		order = append(order, f)
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		return cmp.Or(t.entries[b].updatedAt.Compare(t.entries[a].updatedAt), slices.Compare(a[:], b[:]))
	})
	return t.Records(order[:min(n, len(order))])
}

func (e *entry) record(f Fingerprint) Record {
	return Record{
		Fingerprint: f, Crashes: slices.Clone(e.crashes), Answers: slices.Clone(e.answers), RefusedUntil: e.refusedUntil,
	}
}

// Merged lists the requests whose entries a merge changed.
type Merged struct {
	// Changed holds all of them. Proven holds those that are quarantined because of the crashes
	// of both nodes, and Reported those that the other node had quarantined.
	Changed, Proven, Reported []Fingerprint
}

// Merge adds the records of another node. Records beyond MaxRecords, crashes and answers
// beyond MaxCrashes, and those that are older than Duration are ignored; times in the future
// count as now.
func (t *Table) Merge(now time.Time, records []Record) Merged {
	var m Merged
	for _, r := range records[:min(len(records), MaxRecords)] {
		t.mergeRecord(now, r, &m)
	}
	return m
}

func (t *Table) mergeRecord(now time.Time, r Record, m *Merged) {
	e := t.entries[r.Fingerprint]
	if e == nil {
		e = &entry{updatedAt: now}
	}
	changed := t.mergeEvidence(now, r, e)
	reported := r.RefusedUntil.After(now) && !now.Before(e.refusedUntil)
	if !changed && !reported {
		return
	}
	e.updatedAt = now
	if t.entries[r.Fingerprint] == nil {
		t.add(now, r.Fingerprint, e)
	}
	m.Changed = append(m.Changed, r.Fingerprint)
	switch {
	case reported:
		t.quarantine(now, r.Fingerprint, e, earlier(r.RefusedUntil, now.Add(Duration)))
		m.Reported = append(m.Reported, r.Fingerprint)
	case t.quarantineIfProven(now, r.Fingerprint, e):
		m.Proven = append(m.Proven, r.Fingerprint)
	}
}

// mergeEvidence adds the answers and crashes of a record, and reports whether the crashes of
// the entry changed.
func (t *Table) mergeEvidence(now time.Time, r Record, e *entry) (changed bool) {
	recent := func(at time.Time) bool { return now.Sub(at) < Duration }
	e.forget(now)
	for _, a := range r.Answers[:min(len(r.Answers), MaxCrashes)] {
		a.At = earlier(a.At, now)
		if recent(a.At) && e.addAnswer(a) {
			changed = true
		}
	}
	for _, c := range r.Crashes[:min(len(r.Crashes), MaxCrashes)] {
		c.At = earlier(c.At, now)
		if recent(c.At) && !t.explained(now, r.Fingerprint, c.Replica) && e.addCrash(c) {
			changed = true
		}
	}
	return changed
}
