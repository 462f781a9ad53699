package fairshare

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rate of starts.
	rateWindow = 500 * time.Millisecond
	// minRateStarts is the least weight of recent starts from which the rate is known.
	minRateStarts = 4.0
	// minRetryAfter and maxRetryAfter bound the delay that a refused caller gets.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second
)

// rate is the recent rate of starts.
type rate struct {
	// weight is the number of starts at the time at, each reduced by its age.
	weight float64
	at     time.Time
}

func (r *rate) record(now time.Time) {
	r.weight = r.current(now) + 1
	r.at = now
}

func (r *rate) current(now time.Time) float64 {
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(rateWindow))
}

// perSecond returns the rate; 0 if it is unknown.
func (r *rate) perSecond(now time.Time) float64 {
	if w := r.current(now); w >= minRateStarts {
		return w / rateWindow.Seconds()
	}
	return 0
}

// expectedWait returns the time until a request at a place of its account starts; 0 if the rate
// of starts is unknown. Requests of other accounts count as ahead as far as they have no more
// turns than the request.
func (q *Queue) expectedWait(now time.Time, f *flow, place int) time.Duration {
	perSecond := q.rate.perSecond(now)
	if perSecond == 0 {
		return 0
	}
	ahead, higher := place, 0
	for _, other := range f.level.flows {
		if other != f {
			ahead += min(len(other.entries), place+1)
		}
	}
	for _, l := range q.levels {
		if l.priority < f.level.priority {
			higher += l.size
		}
	}
	wait := float64(higher+ahead) / perSecond
	if higher > 0 {
		wait = min(wait, float64(ahead+1)/(perSecond*q.minShare(now, f.level)))
	}
	return time.Duration(wait * float64(time.Second))
}

// Place returns how many requests start before a waiting one: those of higher priorities, and
// those of its own priority that are ahead.
func (q *Queue) Place(e *Entry) int {
	n := q.Waiting(e.Level())
	for _, other := range e.flow.level.flows {
		for i, o := range other.entries {
			if other == e.flow && o == e {
				break
			}
			if other == e.flow || other.tag+float64(i) <= e.flow.tag {
				n++
			}
		}
	}
	return n
}

// RetryAfter returns the delay after which the caller of a refused request may return. The
// callers of a priority return one after the other at the rate of starts, after those of higher
// priorities.
func (q *Queue) RetryAfter(now time.Time, priority int) time.Duration {
	own := q.level(priority)
	at := now.Add(minRetryAfter)
	for _, l := range q.levels {
		if l.priority <= priority && l.nextReturn.After(at) {
			at = l.nextReturn
		}
	}
	step := maxRetryAfter / MaxWaiting
	if perSecond := q.rate.perSecond(now); perSecond > 0 {
		step = time.Duration(float64(time.Second) / perSecond)
		at = later(at, now.Add(time.Duration(q.size)*step))
	}
	if at.After(now.Add(maxRetryAfter)) {
		// The promises are used up: callers return spread over the second half of the bound.
		at = now.Add(maxRetryAfter / 2)
	}
	own.nextReturn = at.Add(step)
	return at.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
