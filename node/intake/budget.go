// Package intake accepts callers' connections and reads their requests within the memory and
// the descriptors of the node. policy/intake decides; this package does the I/O.
package intake

import (
	"sync"
	"time"

	policy "github.com/carobmill/carobmill/policy/intake"
)

// Budget is what all callers may make a node hold together. Safe for concurrent use.
type Budget struct {
	// mu guards the ledger and its holders. No other lock is taken and nothing blocks while it
	// is held.
	mu     sync.Mutex
	ledger *policy.Ledger
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(l policy.Limits) *Budget { return &Budget{ledger: policy.NewLedger(l)} }

// Report sets the gauges of the budget.
func (b *Budget) Report(set func(name string, value float64)) {
	b.mu.Lock()
	c := b.ledger.Counts()
	b.mu.Unlock()
	set("caller_connections", float64(c.Connections))
	set("caller_memory_bytes", float64(c.Memory))
	set("caller_connections_refused", float64(c.Refused))
	set("caller_connections_evicted_idle", float64(c.EvictedIdle))
	set("caller_connections_evicted_incomplete", float64(c.EvictedIncomplete))
	set("caller_requests_without_memory", float64(c.Rejected))
}

// Reserve returns a reservation for a request that came from another node.
func (b *Budget) Reserve() *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Reservation{budget: b, holder: b.ledger.OpenRequest()}
}

// admit adds a connection. It returns false if there is no room.
func (b *Budget) admit(c *Conn) bool {
	b.mu.Lock()
	h, evicted, ok := b.ledger.Open(time.Now(), c)
	b.mu.Unlock()
	if evicted != nil {
		evicted.Owner.(*Conn).interrupt()
	}
	c.reservation = &Reservation{budget: b, holder: h}
	return ok
}

// Reservation is the part of a budget that one request holds.
type Reservation struct {
	budget *Budget
	holder *policy.Holder
}

// Take adds memory in bytes before it is used. It returns false if the budget has no room.
func (r *Reservation) Take(size int64) bool {
	if size <= 0 {
		return true
	}
	r.budget.mu.Lock()
	evicted, ok := r.budget.ledger.Take(r.holder, size, time.Now())
	r.budget.mu.Unlock()
	for _, h := range evicted {
		h.Owner.(*Conn).interrupt()
	}
	return ok
}

// adjust changes what the request holds to a size. It returns false if the budget has no
// room.
func (r *Reservation) adjust(size int64) bool {
	return r.Take(size - r.shrink(size))
}

// shrink releases what the request holds beyond a size, and returns what it holds then.
func (r *Reservation) shrink(size int64) int64 {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.budget.ledger.Shrink(r.holder, size)
}

// Release ends a reservation.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.ledger.Close(r.holder)
}

// setPhase begins a phase. It returns false if the connection is closed or has been evicted.
func (r *Reservation) setPhase(p policy.Phase) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.budget.ledger.SetPhase(r.holder, p, time.Now())
}

// evicted reports whether the connection has been evicted.
func (r *Reservation) evicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.holder.Evicted()
}
