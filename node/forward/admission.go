package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobmill/carobmill/policy/fairshare"
)

const (
	// dispatchDelay gathers the results of several attempts into one decision.
	dispatchDelay = 200 * time.Microsecond
	// pollInterval is the time after which the room of waiting requests is examined again
	// although no attempt has ended: a backoff may have ended, or replicas may be silent.
	pollInterval = 5 * time.Millisecond
	// shortageEnd is the time without a waiting request after which a shortage has ended.
	shortageEnd = time.Second
)

// Admission is the decision about one request.
type Admission struct {
	Priority int
	// Account is empty for a request without one.
	Account string
	Cause   fairshare.Cause
	// Waited is the time from the request's arrival in the queue to the decision; 0 for a
	// request that started at once.
	Waited time.Duration
}

// admission decides which requests of this node start while room is short.
type admission struct {
	f *Forwarder
	// queued is the number of waiting requests.
	queued atomic.Int64
	// scheduled is set while a dispatch is scheduled because of results.
	scheduled atomic.Bool

	// mu guards the fields below. It is locked before service.mu.
	mu      sync.Mutex
	queue   fairshare.Queue
	waiters map[*fairshare.Entry]*waiter
	kinds   map[kindKey]*kind
	// work is the processor time of the requests in progress, in seconds.
	work float64
	// active is the number of requests in progress.
	active  int
	polling bool
	// stopped is set when no request may wait any more.
	stopped bool
	// shortSince is when the current shortage began; zero without one. queuedAt is when a
	// request waited last.
	shortSince, queuedAt time.Time
	counts               AdmissionCounts
}

// AdmissionCounts counts the decisions since the start.
type AdmissionCounts struct{ AtOnce, Waited, Refused uint64 }

// waiter is a waiting request.
type waiter struct {
	q     *exchange
	entry *fairshare.Entry
	// decided is closed when the request was admitted or refused; cause is set before.
	decided chan struct{}
	cause   fairshare.Cause
	room    fairshare.Room
}

// ticket is how one request was admitted.
type ticket struct {
	kind       *kind
	priority   int
	cause      fairshare.Cause
	queuedFor  time.Duration
	place      int
	room       fairshare.Room
	retryAfter time.Duration
	// work is the processor time of the request while it is in progress, in seconds.
	work float64
	// unreserved is set from the admission until replicas are reserved.
	unreserved bool
}

func newAdmission(f *Forwarder) *admission {
	return &admission{f: f, waiters: make(map[*fairshare.Entry]*waiter), kinds: make(map[kindKey]*kind)}
}

// applies reports whether requests are admitted by priority and account.
func (a *admission) applies(q *exchange) bool {
	return a.f.opts.FairAdmission || q.view.Index.Accounts.Len() > 0
}

// priority returns the priority of a request: that of its account if it has one.
func (q *exchange) priority() int {
	if accounts := q.view.Index.Accounts; accounts != nil && q.req.Account != "" {
		if holder := accounts.Account(q.req.Account); holder != nil && holder.HasPriority {
			return holder.Priority
		}
	}
	return q.route.Priority
}

// awaitRoom admits the request, at once or when it has room and its turn. It returns false if
// the request is refused. Nothing is reserved or sent before.
func (q *exchange) awaitRoom(ctx context.Context) bool {
	a := q.f.admission
	if !a.applies(q) {
		return true
	}
	if q.checkQuarantine().Refused || q.refusedForStop(time.Now()) {
		// It would be refused after the wait too.
		return false
	}
	q.admission.priority = q.priority()
	now := time.Now()
	w := a.enter(now, q)
	if w != nil {
		a.wait(ctx, w)
		q.admission.queuedFor = time.Since(now)
		q.admission.cause = w.cause
		q.admission.room = w.room
		q.cancelled = w.cause == fairshare.CallerLeft
	}
	if q.f.opts.Admitted != nil {
		q.f.opts.Admitted(Admission{
			Priority: q.admission.priority, Account: q.req.Account, Cause: q.admission.cause, Waited: q.admission.queuedFor,
		})
	}
	if q.admission.cause == fairshare.NotRefused {
		return true
	}
	a.recordRefusal(q)
	return false
}

// enter admits or refuses the request at once, or returns its waiter.
func (a *admission) enter(now time.Time, q *exchange) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.kind(q)
	surplus := a.queue.Arrived(now, q.req.Account)
	if a.queue.Vacant(now, surplus) && a.startable(now, k) {
		a.start(now, q, k)
		a.queue.Started(now)
		a.counts.AtOnce++
		return nil
	}
	if a.stopped {
		q.admission.cause = fairshare.Stopping
		return nil
	}
	entry, displaced, cause := a.queue.Push(now, q.fairRequest(surplus))
	if cause != fairshare.NotRefused {
		q.admission.cause, q.admission.room = cause, k.shortRoom
		return nil
	}
	w := &waiter{q: q, entry: entry, decided: make(chan struct{})}
	a.waiters[entry] = w
	k.add(entry.Level(), 1)
	a.queued.Add(1)
	q.admission.kind, q.admission.place = k, a.queue.Place(entry)
	if displaced != nil {
		a.settle(a.waiters[displaced], fairshare.Displaced)
	}
	a.beginShortage(now, q, k)
	a.dispatch(now)
	a.poll()
	return w
}

// fairRequest returns what the order of requests depends on.
func (q *exchange) fairRequest(surplus bool) fairshare.Request {
	t := fairshare.Timing{
		Arrived: q.req.Arrived, Objective: q.objective, Latency: q.class.usualLatency(),
		Age: q.route.Age(q.req.CallerTimeout), Deadline: q.deadline,
	}
	return fairshare.Request{
		Priority: q.admission.priority, Account: q.req.Account, Surplus: surplus, StartBy: t.StartBy(), ReviewAt: t.ReviewAt(),
	}
}

// usualLatency returns the time that most first attempts of the route take.
func (c *class) usualLatency() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latencies.At(latencyQuantile)
}

// wait waits for the decision about a request.
func (a *admission) wait(ctx context.Context, w *waiter) {
	next := w.entry.ReviewAt
	if now := time.Now(); !next.After(now) || next.After(w.entry.StartBy) {
		next = w.entry.StartBy
	}
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	for {
		select {
		case <-w.decided:
			return
		case <-ctx.Done():
			a.refuse(w, fairshare.CallerLeft)
		case <-timer.C:
			a.review(w)
			// A timer counts as due at the time to start, not before it.
			timer.Reset(max(time.Until(w.entry.StartBy), 0) + time.Microsecond)
		}
	}
}

// review refuses a waiting request that will not start in time.
func (a *admission) review(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiters[w.entry] != w {
		return
	}
	if cause := a.queue.Review(time.Now(), w.entry); cause != fairshare.NotRefused {
		a.settle(w, cause)
	}
}

// refuse refuses a waiting request.
func (a *admission) refuse(w *waiter, cause fairshare.Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiters[w.entry] == w {
		a.queue.Remove(w.entry)
		a.settle(w, cause)
	}
}

// settle ends the wait of a request that is no longer in the queue. The caller holds a.mu.
func (a *admission) settle(w *waiter, cause fairshare.Cause) {
	k := w.q.admission.kind
	delete(a.waiters, w.entry)
	k.add(w.entry.Level(), -1)
	a.queued.Add(-1)
	w.cause, w.room = cause, k.shortRoom
	close(w.decided)
}

// turnOf is what decides whether a waiting request can start, apart from its time to start.
type turnOf struct {
	kind  *kind
	level int
	turn  fairshare.Turn
}

// dispatch starts the waiting requests that have room, in their order. The caller holds a.mu.
func (a *admission) dispatch(now time.Time) {
	a.refuseOutlasting(now)
	for _, k := range a.kinds {
		if k.waiting > 0 {
			k.observe(now)
		}
	}
	startable := make(map[turnOf]bool)
	for {
		// Each start changes the room.
		clear(startable)
		e := a.queue.Next(now, func(e *fairshare.Entry, t fairshare.Turn) bool {
			k := a.waiters[e].q.admission.kind
			of := turnOf{k, e.Level(), t}
			ok, known := startable[of]
			if !known {
				ok = a.hasRoom(k, k.shortRoom, t.Reserve) && (t.Due || !a.blocked(k, e.Level()))
				startable[of] = ok
			}
			return ok
		})
		if e == nil {
			break
		}
		w := a.waiters[e]
		// The request's goroutine reads its ticket as soon as the wait has ended.
		a.start(now, w.q, w.q.admission.kind)
		a.counts.Waited++
		a.settle(w, fairshare.NotRefused)
	}
	if a.queue.Len() > 0 {
		a.queuedAt = now
	}
}

// start counts a request as admitted. The caller holds a.mu.
func (a *admission) start(now time.Time, q *exchange, k *kind) {
	q.admission.kind, q.admission.unreserved = k, true
	k.unreserved++
	a.active++
	q.admission.work = k.work()
	a.work += q.admission.work
	a.endShortage(now)
}

// reserved records that the request has reserved its replicas, or needs none.
func (a *admission) reserved(q *exchange) {
	if q.admission.kind == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clearUnreserved(q)
}

func (a *admission) clearUnreserved(q *exchange) {
	if q.admission.unreserved {
		q.admission.unreserved = false
		q.admission.kind.unreserved--
	}
}

// end records the end of an admitted request.
func (a *admission) end(q *exchange) {
	if q.admission.kind == nil {
		return
	}
	a.mu.Lock()
	a.clearUnreserved(q)
	a.work = max(a.work-q.admission.work, 0)
	a.active--
	a.mu.Unlock()
	a.roomChanged()
}

// roomChanged starts waiting requests soon after an attempt or a request has ended.
func (a *admission) roomChanged() {
	if a.queued.Load() == 0 || !a.scheduled.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(dispatchDelay, func() {
		a.scheduled.Store(false)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.dispatch(time.Now())
	})
}

// poll examines the room again until no request waits. The caller holds a.mu.
func (a *admission) poll() {
	if a.polling || a.queue.Len() == 0 {
		return
	}
	a.polling = true
	time.AfterFunc(pollInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.polling = false
		a.dispatch(time.Now())
		a.poll()
	})
}

// yields reports whether an attempt beyond the first of a shard has to wait for first attempts
// of a higher priority at the same service.
func (a *admission) yields(q *exchange, shard int) bool {
	if a.queued.Load() == 0 || q.admission.kind == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range a.kinds {
		if k.waitsAbove(q.admission.priority) && k.uses(q.names[shard]) {
			return true
		}
	}
	return false
}

// refuseOutlasting refuses the waiting requests that may not end any more before this node stops.
// The caller holds a.mu.
func (a *admission) refuseOutlasting(now time.Time) {
	if a.f.stop.Load() == nil {
		return
	}
	for e, w := range a.waiters {
		if w.q.outlastsNode(now) {
			a.queue.Remove(e)
			a.settle(w, fairshare.Stopping)
		}
	}
}

// RefuseWaiting refuses all waiting requests, before the node stops. From then on, none waits.
func (f *Forwarder) RefuseWaiting() {
	a := f.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for e, w := range a.waiters {
		a.queue.Remove(e)
		a.settle(w, fairshare.Stopping)
	}
}
