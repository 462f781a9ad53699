package quota

import (
	"slices"
	"time"
)

const (
	// maxQueueWait bounds how long a request waits for allowance. It covers a report to a
	// manager that does not answer and one to the next.
	maxQueueWait = ReportTimeout + 50*time.Millisecond
	// maxQueue and maxPromises bound the requests of an account that wait at a node, and the
	// places that it has promised to refused callers.
	maxQueue    = 16
	maxPromises = 32
	// replyTime is the usual time from a report to its reply.
	replyTime = 5 * time.Millisecond
)

// Rules by which a request is refused.
const (
	// RuleExhausted: no allowance is due while the request can wait for it.
	RuleExhausted = "no allowance is due in time"
	// RuleYields: more urgent requests use the allowance.
	RuleYields = "more urgent requests go first"
	// RuleLate: the request can no longer be in time, and others can.
	RuleLate = "it can no longer be in time, and others go first"
	// RuleQueueFull: too many requests wait.
	RuleQueueFull = "too many requests wait"
)

// waiter is a request that waits for allowance.
type waiter struct {
	ticket  uint64
	account string
	group   int
	// until is the latest time at which allowance is useful.
	until time.Time
	// granted is set once it has allowance.
	granted bool
}

// enqueue adds a request to the queue of its account, the earliest deadline first.
func (l *Limiter) enqueue(u *usage, name string, key int, until time.Time) *waiter {
	l.nextTicket++
	w := &waiter{ticket: l.nextTicket, account: name, group: key, until: until}
	l.tickets[w.ticket] = w
	u.queue = slices.Insert(u.queue, u.ahead(until), w)
	return w
}

// ahead returns how many waiting requests have an earlier or the same deadline.
func (u *usage) ahead(until time.Time) int {
	n := 0
	for n < len(u.queue) && !u.queue[n].until.After(until) {
		n++
	}
	return n
}

// place returns when the request behind a number of waiting ones and behind the promised
// places can expect allowance.
func (u *usage) place(now time.Time, ahead int, share float64) time.Time {
	u.promises = slices.DeleteFunc(u.promises, now.After)
	at := now
	if u.exhaustedUntil.After(at) {
		at = u.exhaustedUntil
	}
	if rate := u.perSecond(share); rate > 0 {
		at = at.Add(time.Duration(float64(ahead+len(u.promises)) / rate * float64(time.Second)))
	}
	return at.Add(replyTime)
}

// promise returns the time of a place that no other caller has, if there is one before a time.
func (u *usage) promise(now, before time.Time, share float64) (time.Time, bool) {
	at := u.place(now, len(u.queue), share)
	rate := u.perSecond(share)
	if len(u.promises) >= maxPromises || rate <= 0 {
		return at, false
	}
	if n := len(u.promises); n > 0 {
		if next := u.promises[n-1].Add(time.Duration(float64(time.Second) / rate)); next.After(at) {
			at = next
		}
	}
	if at.After(before) {
		return at, false
	}
	u.promises = append(u.promises, at)
	return at, true
}

// distribute gives the allowance of an account to the requests that wait for it.
func (l *Limiter) distribute(u *usage) {
	for len(u.queue) > 0 && l.hasAllowance(u) {
		w := u.queue[0]
		u.queue = u.queue[1:]
		w.granted = true
		l.admit(u, w.group)
	}
}

// retake decides about a request that waits.
func (l *Limiter) retake(now time.Time, u *usage, w *waiter, v Verdict) Verdict {
	if !w.granted && now.Before(w.until) && (!now.Before(u.exhaustedUntil) || !u.place(now, u.ahead(w.until)-1, l.share).After(w.until)) {
		v.Decision, v.Ticket, v.Until = Wait, w.ticket, w.until
		return v
	}
	return l.end(now, u, w, v)
}

// end removes a request that waits, and returns the decision about it.
func (l *Limiter) end(now time.Time, u *usage, w *waiter, v Verdict) Verdict {
	delete(l.tickets, w.ticket)
	if w.granted {
		return v
	}
	u.queue = slices.DeleteFunc(u.queue, func(other *waiter) bool { return other == w })
	if !now.Before(u.orderUntil) && !now.Before(u.exhaustedUntil) {
		v.Decision = Wait
		return v
	}
	v.Decision, v.Rule, v.RetryAfter = Refuse, RuleExhausted, u.refuse(now, l.share)
	u.arrivals++
	return v
}

// GiveUp ends the wait of a request. The decision Wait means that its allowance is unknown.
func (l *Limiter) GiveUp(now time.Time, ticket uint64) Verdict {
	w := l.tickets[ticket]
	if w == nil {
		return Verdict{Decision: Wait, RepliedAt: l.repliedAt}
	}
	u := l.accounts[w.account]
	return l.end(now, u, w, Verdict{Allowance: u.balance, RepliedAt: l.repliedAt})
}
