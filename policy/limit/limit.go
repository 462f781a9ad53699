package limit

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Params describe a replica and this node's share of it.
type Params struct {
	// MaxInFlight is this owner's share of the requests that the replica runs
	// at once when warm.
	MaxInFlight int
	// ColdInFlight is what the replica bears when cold, from all nodes together.
	ColdInFlight int
	// First is true when this node is the replica's first-ranked owner and the
	// earlier one has left or is confirmed gone.
	First bool
	// TakeoverDelay is how long a new first owner sends nothing to a replica that it alone
	// may use: what the earlier owner had in flight must end first, by its deadline
	// and the time that a cancellation takes. 0 when there was no earlier owner.
	TakeoverDelay time.Duration
	// CancelGrace is how long a cancelled request keeps its place while the
	// replica is not warm: the replica may still be working on it.
	CancelGrace time.Duration
	// HoldDown is how long after a sign of a cold start ObserveWarm is not believed.
	// It exceeds the time that news takes between owners, so that news sent
	// before the replica turned cold has no effect.
	HoldDown time.Duration
	// Exclusive is true for a replica that may turn cold with its connections
	// open and nothing telling. At that moment what is in flight is already too
	// much if it is more than ColdInFlight, so no judgement of its answers can
	// come in time: the first-ranked owner alone sends, never more than
	// ColdInFlight at once, warm or not.
	Exclusive bool
	// ExclusiveGrace replaces CancelGrace while Exclusive is true. Only a deadline
	// or a silent connection ends a request early there, and a replica that has not
	// heard of it may work on for long. 0 takes CancelGrace.
	ExclusiveGrace time.Duration
}

const (
	defaultCancelGrace = 50 * time.Millisecond
	defaultHoldDown    = time.Second
	// waitingPerPlace bounds the requests that wait for each place. A longer queue
	// only ages requests past their deadline.
	waitingPerPlace = 2
	// waitingAlone replaces it at a replica with one owner and few places: there is
	// no other owner's queue, and the same number of places serves all callers.
	waitingAlone = 6
)

type phase int

const (
	// unknown: nothing says whether the replica is cold; used as if it were.
	unknown phase = iota
	// cold: a sign of a cold start was seen.
	cold
	// ramping: latency is normal, the limit grows.
	ramping
	warm
)

// Limiter bounds one owner's requests in flight to one replica.
type Limiter struct {
	params Params
	// share and coldInFlight are MaxInFlight and ColdInFlight as stated, before
	// they are bounded.
	share        int
	coldInFlight int
	phase        phase
	limit        float64
	lastSign     Signal
	// signSeen is true from a sign of a cold start until the replica is warm.
	signSeen bool
	// draining: the replica takes no new work until it says otherwise.
	draining bool
	// lost counts refused or reset connections since the last answer, and
	// pausedUntil is when the next attempt may follow them.
	lost        int
	pausedUntil time.Time
	// coldReports counts reports of a cold start in a row, the first of which came
	// at coldSince.
	coldReports int
	coldSince   time.Time
	// restUntil is the end of Params.TakeoverDelay.
	restUntil time.Time
	// distrustUntil is when ObserveWarm is believed again.
	distrustUntil time.Time
	inFlight      inFlight
	batches       batches
	latency       latency
	// run counts successes at normal latency since the limit last changed.
	run int
	// decreased is when a warm limit last fell.
	decreased time.Time
}

// New returns the limiter of a replica about which nothing is known.
func New(p Params, now time.Time) *Limiter {
	if p.CancelGrace <= 0 {
		p.CancelGrace = defaultCancelGrace
	}
	if p.ExclusiveGrace <= 0 {
		p.ExclusiveGrace = p.CancelGrace
	}
	if p.HoldDown <= 0 {
		p.HoldDown = defaultHoldDown
	}
	l := &Limiter{
		params:       p,
		share:        p.MaxInFlight,
		coldInFlight: p.ColdInFlight,
		restUntil:    now.Add(p.TakeoverDelay),
	}
	l.bound()
	l.limit = l.floor()
	return l
}

// TryAcquire takes a place for one request. It returns REASON_UNSPECIFIED when
// the request may be sent, and Release must follow; otherwise it returns
// REASON_LIMIT, REASON_COLD or REASON_LEAVING and nothing must be sent.
func (l *Limiter) TryAcquire(now time.Time) pb.Reason {
	switch {
	case l.draining:
		return pb.Reason_REASON_LEAVING
	case l.FirstOwnerOnly() && !l.mayUseCold(now):
		return pb.Reason_REASON_COLD
	case l.places(now) >= l.allowed(now):
		return pb.Reason_REASON_LIMIT
	}
	l.inFlight.add(now)
	return pb.Reason_REASON_UNSPECIFIED
}

// SetShare applies a change of ownership. Requests in flight go on. A node that
// is no longer first sends nothing new to a replica that is not warm; one that
// becomes first rests before it uses such a replica. Without a change nothing
// happens, so that owners may state the share as often as they like.
func (l *Limiter) SetShare(now time.Time, maxInFlight int, first bool) {
	if maxInFlight == l.share && first == l.params.First {
		return
	}
	l.share = maxInFlight
	became := first && !l.params.First
	l.params.First = first
	l.bound()
	if became && l.FirstOwnerOnly() {
		l.restUntil = later(l.restUntil, now.Add(l.params.TakeoverDelay))
	}
	if l.phase == warm {
		l.limit = min(l.limit, float64(l.params.MaxInFlight))
		return
	}
	l.limit = l.floor()
	l.run = 0
	if !first && l.phase == ramping {
		l.phase = unknown
	}
}

// SetCold applies a change of what the replica bears when cold and of
// Params.Exclusive. Requests in flight go on. Without a change nothing happens.
func (l *Limiter) SetCold(coldInFlight int, exclusive bool) {
	if coldInFlight == l.coldInFlight && exclusive == l.params.Exclusive {
		return
	}
	l.coldInFlight = coldInFlight
	l.params.Exclusive = exclusive
	l.bound()
	l.limit = min(l.limit, float64(l.params.MaxInFlight))
	if l.phase != warm {
		l.limit = l.floor()
		l.run = 0
	}
}

// ObserveWarm says that the replica's first owner found it warm. Another owner starts
// with one request in flight and grows on its own successes. A first owner
// relies on its own successes only.
func (l *Limiter) ObserveWarm(now time.Time) {
	if l.params.First || l.phase == warm || now.Before(l.distrustUntil) {
		return
	}
	l.becomeWarm()
	// The first owner reaches the replica, so this one must not call it lost.
	l.lost = 0
	l.limit = 1
	l.run = 0
}

func (l *Limiter) becomeWarm() {
	l.phase = warm
	l.signSeen = false
}

// State returns what this owner tells others. It is UNSPECIFIED while the owner
// has seen neither a sign of a cold start nor enough successes, which must not
// make other owners drop a limit they have earned.
func (l *Limiter) State() pb.ReplicaState {
	switch {
	case l.draining:
		return pb.ReplicaState_REPLICA_STATE_DRAINING
	case l.lost >= lostAfter:
		return pb.ReplicaState_REPLICA_STATE_LOST
	case l.phase == warm:
		return pb.ReplicaState_REPLICA_STATE_WARM
	case l.signSeen:
		return pb.ReplicaState_REPLICA_STATE_COLD
	default:
		return pb.ReplicaState_REPLICA_STATE_UNSPECIFIED
	}
}

// MayQueue reports whether a request that TryAcquire refused with REASON_LIMIT may
// wait at the owner behind that many others. Waiting is for a warm replica at its
// full pace: at any other, the shard's next replica answers sooner.
func (l *Limiter) MayQueue(now time.Time, waiting int) bool {
	if l.params.Exclusive {
		fullPace := l.params.First && l.phase == warm && !l.overdue(now) && l.latency.slowRun == 0
		return fullPace && waiting < waitingAlone*int(l.limit)
	}
	return l.phase == warm && l.allowed(now) == int(l.limit) && waiting < waitingPerPlace*int(l.limit)
}

// RunToCompletion reports whether a request that nobody waits for any more should run
// to its end at the replica. A replica that is not warm needs it to warm up, its
// latency shows how far it is, and its place is free only when it has ended. With
// cancellation, hedges would win every race and the replica would stay cold. One
// with silent cold starts needs it always: which state a cancelled request is in
// when one begins, nobody knows.
func (l *Limiter) RunToCompletion() bool {
	return l.FirstOwnerOnly()
}

// InFlight returns the requests in flight, a batch as one, without cancelled ones
// that still keep a place.
func (l *Limiter) InFlight() int {
	return len(l.inFlight.started) + l.batches.answering
}

// Limit returns how many requests may be in flight now.
func (l *Limiter) Limit() int {
	if l.draining || (l.FirstOwnerOnly() && !l.params.First) {
		return 0
	}
	return int(l.limit)
}

// Draining reports whether the replica takes no new work.
func (l *Limiter) Draining() bool {
	return l.draining
}

// FirstOwnerOnly reports whether the replica must be used as a cold one is: by its
// first owner alone, with each request counted until the replica is rid of it.
func (l *Limiter) FirstOwnerOnly() bool {
	return l.params.Exclusive || l.phase != warm
}

func (l *Limiter) mayUseCold(now time.Time) bool {
	return l.params.First && !now.Before(l.restUntil) && !now.Before(l.pausedUntil)
}

// places returns the places taken. Unless the replica is known to bear them,
// cancelled requests count, and each subrequest of a batch.
func (l *Limiter) places(now time.Time) int {
	taken := l.InFlight()
	if l.FirstOwnerOnly() {
		taken += l.inFlight.heldAt(now) + l.batches.extra
	}
	return taken
}

// allowed is the limit, or less while there is a suspicion that the replica has
// turned cold without closing its connections. Its owners would otherwise fill
// their whole share before enough slow answers have come. An overdue request
// holds new ones back; after a slow answer one at a time may show whether the
// next is normal.
func (l *Limiter) allowed(now time.Time) int {
	limit := int(l.limit)
	if l.overdue(now) {
		return min(limit, int(l.floor()))
	}
	if l.latency.slowRun > 0 {
		return min(limit, 1)
	}
	return limit
}

// overdue reports whether a request in flight is late for any class.
func (l *Limiter) overdue(now time.Time) bool {
	after := l.latency.overdue()
	oldest, ok := l.inFlight.oldest()
	return ok && after > 0 && now.Sub(oldest) > after
}

// floor is what a cold replica gets from this owner.
func (l *Limiter) floor() float64 {
	if !l.params.First {
		return 0
	}
	return float64(l.params.ColdInFlight)
}

func (l *Limiter) bound() {
	l.params.MaxInFlight = max(l.share, 1)
	l.params.ColdInFlight = min(max(l.coldInFlight, 1), l.params.MaxInFlight)
	if l.params.Exclusive {
		l.params.MaxInFlight = l.params.ColdInFlight
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
