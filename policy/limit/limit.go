package limit

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Params describe a replica and this node's share of it.
type Params struct {
	// MaxInFlight is this owner's share of the requests that a warm replica runs
	// concurrently.
	MaxInFlight int
	// ColdInFlight is the number of concurrent requests that a cold replica can
	// serve, over all nodes.
	ColdInFlight int
	// First is true when this node is the replica's first-ranked owner and the
	// earlier first-ranked owner has left or is confirmed gone.
	First bool
	// TakeoverDelay is how long a new first owner sends nothing to a replica that
	// only the first owner may use. Within this time the requests of the earlier
	// owner must end: their deadline plus the time that a cancellation takes. 0 if
	// there was no earlier owner.
	TakeoverDelay time.Duration
	// CancelGrace is how long a cancelled request occupies its slot while the
	// replica is not warm, because the replica may still work on it.
	CancelGrace time.Duration
	// HoldDown is how long ObserveWarm is ignored after a signal of a cold start. It
	// must exceed the time that a report takes between owners, so that a report sent
	// before the replica turned cold has no effect.
	HoldDown time.Duration
	// Exclusive is true for a replica that may turn cold with open connections and
	// without any signal. More than ColdInFlight requests in flight at that moment
	// overload it before any answer can show the cold start. So only the
	// first-ranked owner sends, and never more than ColdInFlight at once, warm or
	// not.
	Exclusive bool
	// ExclusiveGrace replaces CancelGrace while Exclusive is true. There, requests
	// end early only on a deadline or a silent connection, and a replica that has
	// not received the cancellation may work on for long. 0 means CancelGrace.
	ExclusiveGrace time.Duration
}

const (
	defaultCancelGrace = 50 * time.Millisecond
	defaultHoldDown    = time.Second
	// queuedPerSlot bounds the requests queued per slot. In a longer queue, requests
	// exceed their deadline.
	queuedPerSlot = 2
	// queuedPerSlotExclusive replaces queuedPerSlot for an exclusive replica. There
	// is no other owner's queue, and its few slots serve all callers.
	queuedPerSlotExclusive = 6
)

type phase int

const (
	// unknown: the initial phase, and the phase of an owner that loses the first rank
	// while ramping. Treated like cold.
	unknown phase = iota
	// cold: a signal of a cold start was seen.
	cold
	// ramping: latency is normal, the limit grows.
	ramping
	warm
)

// Limiter bounds one owner's requests in flight to one replica.
type Limiter struct {
	params Params
	// share and coldInFlight are the configured MaxInFlight and ColdInFlight, before
	// applyBounds.
	share        int
	coldInFlight int
	phase        phase
	limit        float64
	lastSignal   Signal
	// coldSignalled is true from a signal of a cold start until the replica is warm.
	coldSignalled bool
	// draining is true while the replica accepts no new requests.
	draining bool
	// failedConnections counts refused or reset connections since the last answer.
	// The next attempt may follow at backoffUntil.
	failedConnections int
	backoffUntil      time.Time
	// coldReports counts consecutive reports of a cold start, the first of which
	// arrived at coldSince.
	coldReports int
	coldSince   time.Time
	// takeoverUntil is the end of Params.TakeoverDelay.
	takeoverUntil time.Time
	// ignoreWarmUntil is the end of Params.HoldDown.
	ignoreWarmUntil time.Time
	inFlight        inFlight
	batches         batches
	latency         latency
	// normalRun counts consecutive successes at normal latency.
	normalRun int
	// decreasedAt is when the limit of a warm replica was last decreased.
	decreasedAt time.Time
}

// New returns the limiter of a replica whose state is unknown.
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
		params:        p,
		share:         p.MaxInFlight,
		coldInFlight:  p.ColdInFlight,
		takeoverUntil: now.Add(p.TakeoverDelay),
	}
	l.applyBounds()
	l.limit = l.floor()
	return l
}

// TryAcquire acquires a slot for one request. It returns REASON_UNSPECIFIED when
// the request may be sent; Release must follow. Otherwise it returns REASON_LIMIT,
// REASON_COLD or REASON_LEAVING, and the request must not be sent.
func (l *Limiter) TryAcquire(now time.Time) pb.Reason {
	switch {
	case l.draining:
		return pb.Reason_REASON_LEAVING
	case l.FirstOwnerOnly() && !l.mayUseCold(now):
		return pb.Reason_REASON_COLD
	case l.occupied(now) >= l.effectiveLimit(now):
		return pb.Reason_REASON_LIMIT
	}
	l.inFlight.add(now)
	return pb.Reason_REASON_UNSPECIFIED
}

// SetShare applies a change of ownership. Requests in flight continue. While
// FirstOwnerOnly is true, a node that is no longer first sends nothing new, and a node
// that becomes first waits for TakeoverDelay. A call without a change has no effect.
func (l *Limiter) SetShare(now time.Time, maxInFlight int, first bool) {
	if maxInFlight == l.share && first == l.params.First {
		return
	}
	l.share = maxInFlight
	becomesFirst := first && !l.params.First
	l.params.First = first
	l.applyBounds()
	if becomesFirst && l.FirstOwnerOnly() {
		l.takeoverUntil = later(l.takeoverUntil, now.Add(l.params.TakeoverDelay))
	}
	if l.phase == warm {
		l.limit = min(l.limit, float64(l.params.MaxInFlight))
		return
	}
	l.limit = l.floor()
	l.normalRun = 0
	if !first && l.phase == ramping {
		l.phase = unknown
	}
}

// SetColdLimits applies a change of ColdInFlight and Exclusive. Requests in flight
// continue. A call without a change has no effect.
func (l *Limiter) SetColdLimits(coldInFlight int, exclusive bool) {
	if coldInFlight == l.coldInFlight && exclusive == l.params.Exclusive {
		return
	}
	l.coldInFlight = coldInFlight
	l.params.Exclusive = exclusive
	l.applyBounds()
	l.limit = min(l.limit, float64(l.params.MaxInFlight))
	if l.phase != warm {
		l.limit = l.floor()
		l.normalRun = 0
	}
}

// ObserveWarm applies a report of the replica's first owner that the replica is
// warm. Another owner starts with one request in flight, and its limit grows on its
// own successes. A first owner ignores the report and relies on its own successes.
func (l *Limiter) ObserveWarm(now time.Time) {
	if l.params.First || l.phase == warm || now.Before(l.ignoreWarmUntil) {
		return
	}
	l.becomeWarm()
	// The first owner can reach the replica, so this owner must not report it lost.
	l.failedConnections = 0
	l.limit = 1
	l.normalRun = 0
}

func (l *Limiter) becomeWarm() {
	l.phase = warm
	l.coldSignalled = false
}

// State returns the state that this owner reports to the others. It is UNSPECIFIED
// while the owner has seen neither a signal of a cold start nor enough successes.
// Reported as COLD, such a replica would lose its limit at the other owners.
func (l *Limiter) State() pb.ReplicaState {
	switch {
	case l.draining:
		return pb.ReplicaState_REPLICA_STATE_DRAINING
	case l.failedConnections >= lostAfter:
		return pb.ReplicaState_REPLICA_STATE_LOST
	case l.phase == warm:
		return pb.ReplicaState_REPLICA_STATE_WARM
	case l.coldSignalled:
		return pb.ReplicaState_REPLICA_STATE_COLD
	default:
		return pb.ReplicaState_REPLICA_STATE_UNSPECIFIED
	}
}

// MayQueue reports whether a request that TryAcquire refused with REASON_LIMIT may
// join the owner's queue of that length. Only a warm replica without slow or
// overdue requests has a queue: otherwise the shard's next replica answers sooner.
func (l *Limiter) MayQueue(now time.Time, queued int) bool {
	if l.params.Exclusive {
		undisturbed := l.params.First && l.phase == warm && !l.overdue(now) && l.latency.slowRun == 0
		return undisturbed && queued < queuedPerSlotExclusive*int(l.limit)
	}
	return l.phase == warm && l.effectiveLimit(now) == int(l.limit) && queued < queuedPerSlot*int(l.limit)
}

// RunToCompletion reports whether a request whose caller no longer waits should run
// to its end instead of being cancelled. A replica that is not warm needs the
// request to warm up, and its latency shows the progress. With cancellation, hedges
// would win every race and the replica would stay cold. An exclusive replica always
// needs this, because the state of a cancelled request is unknown when a cold start
// begins.
func (l *Limiter) RunToCompletion() bool {
	return l.FirstOwnerOnly()
}

// InFlight returns the number of requests in flight. A batch counts as one, and
// cancelled requests that still occupy a slot are not counted.
func (l *Limiter) InFlight() int {
	return len(l.inFlight.started) + l.batches.measured
}

// Limit returns the concurrency limit, or 0 while the replica is draining or only
// another owner may use it. TryAcquire may allow less: during a takeover delay or a
// backoff, after a slow answer, and while a request is overdue.
func (l *Limiter) Limit() int {
	if l.draining || (l.FirstOwnerOnly() && !l.params.First) {
		return 0
	}
	return int(l.limit)
}

// Draining reports whether the replica accepts no new requests.
func (l *Limiter) Draining() bool {
	return l.draining
}

// FirstOwnerOnly reports whether only the first owner may use the replica. A
// cancelled request then counts until its grace period has passed.
func (l *Limiter) FirstOwnerOnly() bool {
	return l.params.Exclusive || l.phase != warm
}

func (l *Limiter) mayUseCold(now time.Time) bool {
	return l.params.First && !now.Before(l.takeoverUntil) && !now.Before(l.backoffUntil)
}

// occupied returns the number of occupied slots. At a replica for the first owner
// only, cancelled requests and each subrequest of a batch count as well.
func (l *Limiter) occupied(now time.Time) int {
	n := l.InFlight()
	if l.FirstOwnerOnly() {
		n += l.inFlight.heldAt(now) + l.batches.extra
	}
	return n
}

// effectiveLimit is the limit, reduced while the replica may have turned cold with
// open connections. Without the reduction, its owners would fill their whole share
// before enough slow answers arrive. An overdue request reduces the limit to the
// floor. A slow answer reduces it to one request until an answer is normal.
func (l *Limiter) effectiveLimit(now time.Time) int {
	limit := int(l.limit)
	if l.overdue(now) {
		return min(limit, int(l.floor()))
	}
	if l.latency.slowRun > 0 {
		return min(limit, 1)
	}
	return limit
}

// overdue reports whether the oldest request in flight is late whatever its class.
func (l *Limiter) overdue(now time.Time) bool {
	after := l.latency.overdue()
	oldest, ok := l.inFlight.oldest()
	return ok && after > 0 && now.Sub(oldest) > after
}

// floor is this owner's limit for a cold replica.
func (l *Limiter) floor() float64 {
	if !l.params.First {
		return 0
	}
	return float64(l.params.ColdInFlight)
}

// applyBounds derives the limits in params from the configured values.
func (l *Limiter) applyBounds() {
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
