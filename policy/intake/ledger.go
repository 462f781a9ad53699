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
	// Sending: an answer that the caller has not read completely.
	Sending
	// Idle: between two requests.
	Idle
)

// Holder is a connection of a caller, or a request from another node, that holds memory.
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
	// closed holders take no more memory. evicted is set for those that were closed in favour
	// of others.
	closed, evicted bool
}

// Held returns the memory of the holder's request in bytes.
func (h *Holder) Held() int64 {
	if h.connection && !h.closed {
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
	// EvictedIdle and EvictedIncomplete count connections that were closed in favour of
	// others, Refused those that were closed when they were opened, and Rejected the requests
	// that found no memory.
	EvictedIdle, EvictedIncomplete, Refused, Rejected uint64
}

// Ledger counts what callers make a node hold. Not safe for concurrent use. Times must not
// decrease from call to call.
type Ledger struct {
	limits Limits
	counts Counts
	// stalled holds the holders that wait for their callers, in the phases Receiving and
	// Sending, and idle those in the phase Idle. Both begin with the earliest.
	stalled, idle *list.List
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, stalled: list.New(), idle: list.New()}
}

// Counts returns what the ledger has counted.
func (l *Ledger) Counts() Counts { return l.counts }

// Open adds a connection. If there is no room, evicted is the connection to close for it, or
// ok is false if there is none.
func (l *Ledger) Open(now time.Time, owner any) (h, evicted *Holder, ok bool) {
	if l.limits.Connections > 0 && l.counts.Connections >= l.limits.Connections {
		evicted = l.connectionVictim(now)
		if evicted == nil {
			l.counts.Refused++
			return nil, nil, false
		}
		l.evict(evicted)
	}
	h = &Holder{Owner: owner, connection: true, held: ConnectionCost}
	l.counts.Connections++
	l.counts.Memory += h.held
	l.enter(h, Receiving, now)
	return h, evicted, true
}

// OpenRequest adds a request that came from another node and is complete.
func (l *Ledger) OpenRequest() *Holder { return &Holder{phase: Serving} }

// connectionVictim returns the connection to close for a new one: the oldest one that has
// waited for its caller for longer than patience, then the one that has been idle for
// longest, then the oldest one that waits for its caller. A request that is complete is not
// interrupted.
func (l *Ledger) connectionVictim(now time.Time) *Holder {
	stalled := first(l.stalled)
	if stalled != nil && now.Sub(stalled.since) > patience {
		return stalled
	}
	if idle := first(l.idle); idle != nil {
		return idle
	}
	return stalled
}

func first(holders *list.List) *Holder {
	if e := holders.Front(); e != nil {
		return e.Value.(*Holder)
	}
	return nil
}

// Take adds memory to a holder before it is used. ok is false if there is no room; evicted
// are the holders to close for it.
func (l *Ledger) Take(h *Holder, size int64, now time.Time) (evicted []*Holder, ok bool) {
	if h.closed {
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

// SetPhase begins a phase. It returns false if the holder is closed.
func (l *Ledger) SetPhase(h *Holder, p Phase, now time.Time) bool {
	if h.closed {
		return false
	}
	l.enter(h, p, now)
	return true
}

func (l *Ledger) enter(h *Holder, p Phase, now time.Time) {
	l.leave(h)
	h.phase, h.since = p, now
	switch p {
	case Receiving, Sending:
		h.element = l.stalled.PushBack(h)
	case Idle:
		h.element = l.idle.PushBack(h)
	case Serving:
	}
}

func (l *Ledger) leave(h *Holder) {
	if h.element == nil {
		return
	}
	if h.phase == Idle {
		l.idle.Remove(h.element)
	} else {
		l.stalled.Remove(h.element)
	}
	h.element = nil
}

func (l *Ledger) evict(h *Holder) {
	if h.phase == Idle {
		l.counts.EvictedIdle++
	} else {
		l.counts.EvictedIncomplete++
	}
	l.Close(h)
	h.evicted = true
}

// Close removes a holder. Closing it again has no effect.
func (l *Ledger) Close(h *Holder) {
	if h.closed {
		return
	}
	h.closed = true
	l.leave(h)
	l.counts.Memory -= h.held
	h.held = 0
	if h.connection {
		l.counts.Connections--
	}
}
