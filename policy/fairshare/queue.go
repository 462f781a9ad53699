package fairshare

import (
	"slices"
	"time"
)

const (
	// equalShare is the minimum share of a priority that is not the highest, as a part of an equal
	// share, and servedShare as a part of its share of the requests. Callers need every kind of
	// request served at least a quarter as often as the mean; the rest covers requests that end
	// late and turns that pass while none waits.
	equalShare  = 0.25
	servedShare = 0.4
	// reserveFrom is the share of recent requests of a priority that were refused from which
	// lower ones leave it a place.
	reserveFrom = 0.02
	// surplusReserve is the number of places that a surplus request leaves to others.
	surplusReserve = 2
	// shortageEnd is the time without a waiting request after which surplus requests start as
	// others.
	shortageEnd = time.Second
	// maxCredit bounds the starts that a priority may catch up with, and those that count in
	// advance.
	maxCredit = 4.0
	// MaxWaiting bounds the waiting requests of each priority.
	MaxWaiting = 256
)

// Entry is a waiting request.
type Entry struct {
	Request
	// Since is when the request began to wait.
	Since time.Time
	flow  *flow
}

// Turn is under which conditions a request may start.
type Turn struct {
	// Due is set for a request that is due to the minimum share of its priority.
	Due bool
	// Reserve is the number of places that the request has to leave to others: to higher
	// priorities, and for a surplus request to all. At a node with few places, they would
	// otherwise seldom find one in time.
	Reserve int
}

// Level returns the priority at which the request waits.
func (e *Entry) Level() int { return e.flow.level.priority }

// Queue orders the waiting requests of one node. Not safe for concurrent use.
type Queue struct {
	// levels are the priorities, the most urgent first.
	levels []*level
	size   int
	rate   rate
	usages map[string]*usage
	total  usage
	// shortAt is when a request that is no surplus had to wait last.
	shortAt time.Time
}

// level holds the requests of one priority.
type level struct {
	priority int
	size     int
	// credit is the number of starts that are due to the minimum share. Every start of the level
	// counts, so that higher priorities give way only where the level would get less.
	credit float64
	// virtual is the start tag of the request that was started last.
	virtual float64
	flows   map[string]*flow
	// arrivals is the rate of requests.
	arrivals rate
	// missed is the rate of requests that were refused because they could not start in time.
	missed rate
	// nextReturn is when the caller that is refused next may return.
	nextReturn time.Time
}

// flow holds the waiting requests of one account in a priority, the earliest deadline first.
type flow struct {
	level   *level
	account string
	entries []*Entry
	// tag is the start tag of the first request. The one of an idle account is the earliest tag
	// of its next request.
	tag float64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Vacant reports whether a request that has room may start without a turn: none waits, and for a
// surplus request, none had to wait lately.
func (q *Queue) Vacant(now time.Time, surplus bool) bool {
	return q.size == 0 && (!surplus || now.Sub(q.shortAt) >= shortageEnd)
}

// Waiting returns the number of waiting requests of higher priority than a given one.
func (q *Queue) Waiting(above int) int {
	n := 0
	for _, l := range q.levels {
		if l.priority < above {
			n += l.size
		}
	}
	return n
}

// level returns the level of a priority, which is created if there is none.
func (q *Queue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return l.priority - p })
	if !ok {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority, flows: make(map[string]*flow)})
	}
	return q.levels[i]
}

// Push adds a request. It returns the cause if the request is refused, and the entry whose
// place it took, if any.
func (q *Queue) Push(now time.Time, r Request) (e, displaced *Entry, cause Cause) {
	l := q.level(r.Priority)
	if r.Surplus {
		l = q.levels[len(q.levels)-1]
	} else {
		l.arrivals.record(now)
		q.shortAt = now
	}
	if now.After(r.StartBy) {
		l.missed.record(now)
		return nil, nil, TooLate
	}
	f := l.flow(r.Account)
	if q.expectedWait(now, f, f.position(r.StartBy)) > r.StartBy.Sub(now) {
		l.missed.record(now)
		return nil, nil, NoTurn
	}
	if l.size >= MaxWaiting {
		longest := l.longest()
		if len(longest.entries) <= len(f.entries)+1 {
			return nil, nil, QueueFull
		}
		displaced = longest.entries[len(longest.entries)-1]
		q.Remove(displaced)
	}
	e = &Entry{Request: r, Since: now, flow: f}
	if len(f.entries) == 0 {
		f.tag = max(f.tag, l.virtual)
	}
	f.entries = slices.Insert(f.entries, f.position(r.StartBy), e)
	l.size++
	q.size++
	return e, displaced, NotRefused
}

// Remove removes a waiting request, and reports whether it was waiting.
func (q *Queue) Remove(e *Entry) bool {
	f := e.flow
	i := slices.Index(f.entries, e)
	if i < 0 {
		return false
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	f.level.size--
	q.size--
	return true
}

// Review returns the cause if a waiting request is to be refused now: it can no longer start in
// time, or will not by its place. Such a request leaves the queue.
func (q *Queue) Review(now time.Time, e *Entry) Cause {
	place := slices.Index(e.flow.entries, e)
	cause := NotRefused
	switch {
	case place < 0:
	case now.After(e.StartBy):
		cause = Expired
	case q.expectedWait(now, e.flow, place) > e.StartBy.Sub(now):
		cause = NoTurn
	}
	if cause != NotRefused {
		q.Remove(e)
		e.flow.level.missed.record(now)
	}
	return cause
}

// Next removes and returns the request that starts next among those for which startable is true;
// nil if there is none. A request whose time to start has passed is skipped.
func (q *Queue) Next(now time.Time, startable func(e *Entry, t Turn) bool) *Entry {
	for _, l := range slices.Backward(q.levels) {
		if l.credit < 1 || l.size == 0 {
			continue
		}
		if e := q.start(now, l, Turn{Due: true}, startable); e != nil {
			return e
		}
	}
	var turn Turn
	for i, l := range q.levels {
		e := q.start(now, l, turn, startable)
		if e == nil {
			if l.missed.current(now) > reserveFrom*l.arrivals.current(now) {
				turn.Reserve = 1
			}
			continue
		}
		for _, lower := range q.levels[i+1:] {
			lower.earn(q.minShare(now, lower))
		}
		return e
	}
	return nil
}

// minShare returns the minimum share of a level in the starts.
func (q *Queue) minShare(now time.Time, l *level) float64 {
	waiting, arrivals := 0, 0.0
	for _, other := range q.levels {
		if other.size > 0 {
			waiting++
			arrivals += other.arrivals.current(now)
		}
	}
	share := equalShare / float64(max(waiting, 1))
	if arrivals > 0 {
		share = max(share, servedShare*l.arrivals.current(now)/arrivals)
	}
	return share
}

// earn adds to the credit of a level with waiting requests.
func (l *level) earn(credit float64) {
	l.credit = min(l.credit+credit, maxCredit)
	if l.size == 0 {
		l.credit = min(l.credit, 0)
	}
}

// start removes and returns the next request of a level.
func (q *Queue) start(now time.Time, l *level, turn Turn, startable func(e *Entry, t Turn) bool) *Entry {
	var best *Entry
	for _, f := range l.flows {
		if len(f.entries) == 0 {
			l.dropIdle(f)
			continue
		}
		if best != nil && !f.before(best.flow) {
			continue
		}
		if e := f.first(now, turn, startable); e != nil {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	f := best.flow
	q.Remove(best)
	l.virtual = max(l.virtual, f.tag)
	f.tag++
	l.credit = max(l.credit-1, -maxCredit)
	q.rate.record(now)
	return best
}

// first returns the first request of a flow that can start now.
func (f *flow) first(now time.Time, turn Turn, startable func(e *Entry, t Turn) bool) *Entry {
	for _, e := range f.entries {
		t := turn
		if e.Surplus {
			t = Turn{Reserve: turn.Reserve + surplusReserve}
		}
		if !now.After(e.StartBy) && startable(e, t) {
			return e
		}
	}
	return nil
}

// before orders flows by tag. Equal tags are ordered by deadline, so that the order does not
// depend on the names of accounts.
func (f *flow) before(other *flow) bool {
	if f.tag != other.tag {
		return f.tag < other.tag
	}
	a, b := f.entries[0].StartBy, other.entries[0].StartBy
	if !a.Equal(b) {
		return a.Before(b)
	}
	return f.account < other.account
}

// Started records a request that started without waiting.
func (q *Queue) Started(now time.Time) { q.rate.record(now) }

func (l *level) flow(account string) *flow {
	f := l.flows[account]
	if f == nil {
		f = &flow{level: l, account: account}
		l.flows[account] = f
	}
	return f
}

// dropIdle deletes an account without waiting requests once it has no more than its share.
func (l *level) dropIdle(f *flow) {
	if f.tag <= l.virtual {
		delete(l.flows, f.account)
	}
}

// longest returns the flow with the most waiting requests.
func (l *level) longest() *flow {
	var longest *flow
	for _, f := range l.flows {
		if longest == nil || len(f.entries) > len(longest.entries) ||
			len(f.entries) == len(longest.entries) && f.account < longest.account {
			longest = f
		}
	}
	return longest
}

// position returns the place in the flow of a request that has to start by a time.
func (f *flow) position(by time.Time) int {
	i, _ := slices.BinarySearchFunc(f.entries, by, func(e *Entry, by time.Time) int {
		if e.StartBy.After(by) {
			return 1
		}
		return -1
	})
	return i
}
