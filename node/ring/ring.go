// Package ring keeps a node's most recent decisions in memory, so that operators can find
// out why something happened.
package ring

import (
	"sync"
	"time"
)

// Kind is the type of a decision.
type Kind string

// Kinds of decisions. Packages that do not import ring pass other kinds as strings.
const (
	ReplicaCold     Kind = "replica_cold"
	ReplicaWarm     Kind = "replica_warm"
	ReplicaDraining Kind = "replica_draining"
	BatchUnserved   Kind = "batch_unserved"
	QueryRefused    Kind = "query_refused"
	// RequestQuarantined: a request that crashes backend servers is refused.
	RequestQuarantined Kind = "request_quarantined"
	QueryPartial       Kind = "query_partial"
	Shutdown           Kind = "shutdown"
)

// Decision is an entry of the ring. Subject is the replica, member, version or service that
// the decision is about.
type Decision struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Kind     Kind      `json:"kind"`
	Subject  string    `json:"subject"`
	Detail   string    `json:"detail"`
}

// Ring holds a bounded number of decisions. Safe for concurrent use.
type Ring struct {
	count func(kind string)

	// mu guards the fields below.
	mu sync.Mutex
	// entries[sequence % len] holds the decision with that sequence number. Sequence numbers
	// start at 0.
	entries []Decision
	// next is the sequence number of the next decision.
	next uint64
}

// New returns a ring for size decisions, at least 1. It calls count for each decision
// added.
func New(size int, count func(kind string)) *Ring {
	return &Ring{count: count, entries: make([]Decision, max(size, 1))}
}

// Add records a decision. When the ring is full, it replaces the oldest one.
func (r *Ring) Add(kind Kind, subject, detail string) {
	r.count(string(kind))
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := r.next % uint64(len(r.entries))
	r.entries[slot] = Decision{
		Sequence: r.next,
		Time:     time.Now(),
		Kind:     kind,
		Subject:  subject,
		Detail:   detail,
	}
	r.next++
}

// Decisions returns the decisions about a subject, oldest first. An empty subject selects
// all.
func (r *Ring) Decisions(subject string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.entries))
	first := uint64(0)
	if r.next > size {
		first = r.next - size
	}
	var list []Decision
	for sequence := first; sequence < r.next; sequence++ {
		d := r.entries[sequence%size]
		if subject == "" || d.Subject == subject {
			list = append(list, d)
		}
	}
	return list
}
