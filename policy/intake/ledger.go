package intake

import (
	"container/list"
	"time"
)

// patience is how long a request may be incomplete before it is rejected in favour of
// another. Without it, many simultaneous uploads would reject each other and none would
// finish.
const patience = time.Second

// Phase is what a connection does.
type Phase int

// Phases.
const (
	// Receiving: no request, or one that is incomplete.
	Receiving Phase = iota
	// Serving: a complete request.
	Serving
	// Idle: between two requests.
	Idle
)

// Holder is a connection of a caller that holds memory.
type Holder struct {
	// Owner identifies the holder to the user of the ledger.
	Owner any

	phase Phase
	// since is when the phase began.
	since time.Time
	// held is the memory in bytes, with that of the connection.
	held       int64
	connection bool
	// element is the holder's place in the list of its phase; nil without one.
	element *list.Element
	evicted bool
}

// Held returns the memory of the holder's request in bytes.
func (h *Holder) Held() int64 {
	if h.connection && !h.evicted {
		return h.held - ConnectionCost
	}
	return h.held
}

// Evicted reports whether the holder has been evicted. It holds nothing then.
func (h *Holder) Evicted() bool { return h.evicted }

// Phase returns the phase of the holder.
func (h *Holder) Phase() Phase { return h.phase }

// Counts is what a ledger has counted.
type Counts struct {
	Connections int
	// Memory is in bytes.
	Memory int64
	// Evicted counts requests that were rejected in favour of others, and Rejected those that
	// found no memory.
	Evicted, Rejected uint64
}

// Ledger counts what callers make a node hold. Not safe for concurrent use. Times must not
// decrease from call to call.
type Ledger struct {
	limits Limits
	counts Counts
	// stalled holds the holders that wait for their callers, the earliest first.
	stalled *list.List
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, stalled: list.New()}
}

// Counts returns what the ledger has counted.
func (l *Ledger) Counts() Counts { return l.counts }

// Open adds a connection.
func (l *Ledger) Open(now time.Time, owner any) *Holder {
	h := &Holder{Owner: owner, connection: true, held: ConnectionCost}
	l.counts.Connections++
	l.counts.Memory += h.held
	l.enter(h, Receiving, now)
	return h
}

// Take adds memory to a holder before it is used. ok is false if there is no room; evicted
// are the holders to close for it.
func (l *Ledger) Take(h *Holder, size int64, now time.Time) (evicted []*Holder, ok bool) {
	if h.evicted {
		return nil, false
	}
	missing := l.counts.Memory + size - l.room(h, size)
	if missing > 0 {
		evicted, ok = l.memoryVictims(h, missing, now)
		if !ok {
			l.counts.Rejected++
			return nil, false
		}
		for _, victim := range evicted {
			l.evict(victim)
		}
	}
	h.held += size
	l.counts.Memory += size
	return evicted, true
}

// room returns how much all holders may hold once a holder has taken more.
func (l *Ledger) room(h *Holder, size int64) int64 {
	if l.limits.Memory == 0 {
		return l.counts.Memory + size
	}
	if h.Held()+size <= OrdinaryRequest {
		return l.limits.Memory
	}
	return int64(float64(l.limits.Memory) * LargeShare)
}

// memoryVictims returns the holders to close so that the missing memory is released: those
// that have waited for their callers for longest, and for longer than patience. ok is false
// if they hold too little.
func (l *Ledger) memoryVictims(except *Holder, missing int64, now time.Time) (victims []*Holder, ok bool) {
	for e := l.stalled.Front(); e != nil && missing > 0; e = e.Next() {
		h := e.Value.(*Holder)
		if now.Sub(h.since) <= patience {
			break
		}
		if h != except && h.Held() > 0 {
			victims = append(victims, h)
			missing -= h.held
		}
	}
	return victims, missing <= 0
}

// Shrink releases what a holder's request holds beyond a size, and returns what it holds then.
func (l *Ledger) Shrink(h *Holder, size int64) int64 {
	if excess := h.Held() - size; excess > 0 {
		h.held -= excess
		l.counts.Memory -= excess
	}
	return h.Held()
}

// SetPhase begins a phase. It returns false if the holder has been evicted.
func (l *Ledger) SetPhase(h *Holder, p Phase, now time.Time) bool {
	if h.evicted {
		return false
	}
	l.enter(h, p, now)
	return true
}

func (l *Ledger) enter(h *Holder, p Phase, now time.Time) {
	l.leave(h)
	h.phase, h.since = p, now
	switch p {
	case Receiving:
		h.element = l.stalled.PushBack(h)
	case Serving, Idle:
	}
}

func (l *Ledger) leave(h *Holder) {
	if h.element == nil {
		return
	}
	l.stalled.Remove(h.element)
	h.element = nil
}

func (l *Ledger) evict(h *Holder) {
	l.counts.Evicted++
	l.Close(h)
	h.evicted = true
}

// Close removes a holder. Closing it again has no effect.
func (l *Ledger) Close(h *Holder) {
	if h.evicted {
		return
	}
	l.leave(h)
	l.counts.Memory -= h.held
	h.held = 0
	if h.connection {
		l.counts.Connections--
		h.connection = false
	}
}
