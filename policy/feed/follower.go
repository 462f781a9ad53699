package feed

import (
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// maxSearch is how long a follower without a current feed asks others before it follows the
	// store itself. Nodes spread this over minSpread at least, and over more where they would
	// otherwise use more than readShare of the calls that the store accepts.
	maxSearch = time.Second
	minSpread = 500 * time.Millisecond
	readShare = 0.5
	// quickTimeout bounds a question that does not wait, searchPause is the time between two
	// questions of a search, and transferTime what an answer may take beyond the wait.
	quickTimeout = 300 * time.Millisecond
	searchPause  = 100 * time.Millisecond
	transferTime = 200 * time.Millisecond
	// minReturnDelay and maxReturnDelay bound the time after which a node that follows the
	// store itself asks a feed again, before jitter.
	minReturnDelay = 2 * time.Second
	maxReturnDelay = 10 * time.Second
	// stableAfter is how long a node must have followed a feed for the next return to be as
	// quick as the first.
	stableAfter = 30 * time.Second
)

// Step is what a follower does next: it calls the store, or asks a feed.
type Step struct {
	// Store is set if the node calls the store itself.
	Store bool
	// From is the feed to ask, Wait how long it may hold the question, and Timeout when the
	// question fails.
	From          coordinator.Member
	Wait, Timeout time.Duration
	// Pause is the time before the step.
	Pause time.Duration
}

// Limits are the settings of a Tracker.
type Limits struct {
	// Bound is the time within which updates must take effect; 0 for none.
	Bound time.Duration
	// ReadsPerSecond is what the store accepts from all nodes.
	ReadsPerSecond float64
	// Random returns a number from 0 to 1.
	Random func() float64
}

// Tracker chooses what a follower does next. Not safe for concurrent use.
type Tracker struct {
	own    coordinator.Member
	limits Limits
	// current is the feed in use; empty without one. joined is when the node took a feed after
	// it had followed the store itself.
	current string
	joined  time.Time
	// storeAt is when a node that searches a current feed follows the store itself; zero without a search. tried is
	// the number of questions since the search began.
	storeAt time.Time
	tried   int
	// alone is set while the node follows the store itself. returnAt is when it asks a feed
	// again, or the preferred feed if it uses another one, and returnDelay the time between two
	// such questions. unanswered is set if the store did not answer the node's last call.
	alone       bool
	returnAt    time.Time
	returnDelay time.Duration
	unanswered  bool
}

// NewTracker returns a tracker of a node that has just read the store.
func NewTracker(own coordinator.Member, limits Limits) *Tracker {
	return &Tracker{own: own, limits: limits}
}

// Feed returns the feed in use; empty while the node follows the store itself.
func (t *Tracker) Feed() string {
	if t.alone {
		return ""
	}
	return t.current
}

// Next returns the next step. lastAnswer is the time of the store's last answer, as passed on.
func (t *Tracker) Next(now, lastAnswer time.Time, p *Plan) Step {
	switch {
	case t.alone:
		return t.nextAlone(now, p)
	case t.storeAt.IsZero() && t.current != "" && t.current != p.Feeds[0].Node && !now.Before(t.returnAt):
		return Step{From: t.home(p), Timeout: quickTimeout}
	case t.storeAt.IsZero():
		left := MaxAge(t.limits.Bound) - now.Sub(lastAnswer)
		wait := max(min(Wait(t.limits.Bound), left-transferTime), 0)
		return Step{From: t.preferred(p), Wait: wait, Timeout: max(min(wait+ageMargin, left), quickTimeout)}
	case !now.Before(t.storeAt):
		t.alone, t.current, t.tried = true, "", 0
		t.returnDelay = min(max(2*t.returnDelay, minReturnDelay), maxReturnDelay)
		t.postponeReturn(now)
		return Step{Store: true}
	}
	left := t.storeAt.Sub(now)
	step := Step{From: t.candidate(p), Timeout: min(quickTimeout, left)}
	if t.tried > 0 {
		step.Pause = min(searchPause, left)
	}
	return step
}

// nextAlone alternates between the store and a question to a feed. While the store does not
// answer this node, the question waits for the feed's next answer of the store, which also spares the store.
func (t *Tracker) nextAlone(now time.Time, p *Plan) Step {
	if now.Before(t.returnAt) && !t.unanswered {
		return Step{Store: true}
	}
	step := Step{From: t.candidate(p), Timeout: quickTimeout}
	if t.unanswered {
		step.Wait = Wait(t.limits.Bound)
		step.Timeout += step.Wait
	}
	return step
}

// preferred returns the feed in use, or the preferred one if the node uses none or one that is
// no feed any more.
func (t *Tracker) preferred(p *Plan) coordinator.Member {
	for _, list := range [][]coordinator.Member{p.Feeds, p.Others} {
		for _, m := range list {
			if m.Node == t.current {
				return m
			}
		}
	}
	return p.Feeds[0]
}

// home returns the feed to which a node tries to return that uses another one.
func (t *Tracker) home(p *Plan) coordinator.Member {
	if m := p.Feeds[t.tried%len(p.Feeds)]; m.Node != t.current {
		return m
	}
	return p.Feeds[0]
}

// candidate returns the feed that a search asks next: the other ones of the own data centre, then
// those of other data centres from a different one for each node, then the one in use.
func (t *Tracker) candidate(p *Plan) coordinator.Member {
	var list, last []coordinator.Member
	for _, m := range p.Feeds {
		if m.Node == t.current {
			last = append(last, m)
		} else {
			list = append(list, m)
		}
	}
	first := int(hash(t.own.Node))
	for i := range p.Others {
		list = append(list, p.Others[(first+i)%len(p.Others)])
	}
	list = append(list, last...)
	return list[t.tried%len(list)]
}

// Accepts reports whether a view of an age is current enough to follow the feed that gave it.
// A node that follows the store itself returns only to a feed that is well within the limit.
func (t *Tracker) Accepts(age time.Duration) bool {
	if t.alone {
		return age <= TakeoverAge(t.limits.Bound)
	}
	return age <= MaxAge(t.limits.Bound)
}

// Succeeded records that a feed has answered with a current view. taken is set if the node did
// not use it before.
func (t *Tracker) Succeeded(now time.Time, from string) (taken bool) {
	taken = t.alone || t.current != from
	if t.alone {
		t.joined = now
	} else if now.Sub(t.joined) > stableAfter {
		t.returnDelay = 0
	}
	if taken {
		t.returnAt = now.Add(time.Duration((0.5 + t.limits.Random()) * float64(maxReturnDelay)))
	}
	t.alone, t.unanswered, t.current = false, false, from
	t.storeAt, t.tried = time.Time{}, 0
	return taken
}

// Failed records that a feed has given no answer or none with a current view. left is set if
// the node followed that feed until now.
func (t *Tracker) Failed(now time.Time, from string, p *Plan) (left bool) {
	t.tried++
	switch {
	case t.alone && t.unanswered:
		t.unanswered = false
		t.postponeReturn(now)
		return false
	case t.alone, t.storeAt.IsZero() && t.current != "" && from != t.current:
		t.returnDelay = min(max(2*t.returnDelay, minReturnDelay), maxReturnDelay)
		t.postponeReturn(now)
		return false
	case !t.storeAt.IsZero():
		return false
	}
	t.tried, t.current = 0, from
	spread := minSpread
	if t.limits.ReadsPerSecond > 0 {
		needed := float64(p.Nodes) / (readShare * t.limits.ReadsPerSecond)
		spread = max(spread, time.Duration(needed*float64(time.Second)))
	}
	first := max(maxSearch-spread, 0)
	t.storeAt = now.Add(first + time.Duration(t.limits.Random()*float64(spread)))
	return true
}

// StoreFailed records that the store did not answer a node that follows it itself.
func (t *Tracker) StoreFailed() { t.unanswered = true }

func (t *Tracker) postponeReturn(now time.Time) {
	jitter := 0.5 + t.limits.Random()
	t.returnAt = now.Add(time.Duration(jitter * float64(t.returnDelay)))
}
