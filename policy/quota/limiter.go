package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// reportInterval is the time between two reports without urgent demand.
	reportInterval = 200 * time.Millisecond
	// urgentInterval is the least time between two reports.
	urgentInterval = 10 * time.Millisecond
	// ReportTimeout bounds the wait for the reply to a report.
	ReportTimeout = 200 * time.Millisecond
	// reserveTime is the time for which the reserve of an account lasts.
	reserveTime = 400 * time.Millisecond
	// minReserve is the least reserve of an account with requests.
	minReserve = 1.0
	// inactiveAfter is the time without a request after which an account has no reserve.
	inactiveAfter = 5 * time.Second
	// minExhausted is the least time for which an account counts as exhausted after it was
	// not granted what was due. It bounds the reports about accounts over their caps.
	minExhausted = 50 * time.Millisecond
	// maxRetryAfter bounds the delay that a refused caller gets.
	maxRetryAfter = 5 * time.Second
	// rateWeight is the EWMA weight of a new sample of a rate.
	rateWeight = 0.2
	// minProbeBackoff and maxProbeBackoff bound the time before a failed manager is probed.
	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 4 * time.Second
)

// Decision is what becomes of a request.
type Decision int

// Decisions.
const (
	// Admit: the request has allowance.
	Admit Decision = iota
	// Wait: the request may have allowance after the next reply.
	Wait
	// Refuse: the cap is used up.
	Refuse
)

// Verdict is the decision about one request.
type Verdict struct {
	Decision Decision
	// Ticket and Until are set with Wait: the ticket is that of the next Ask for the request,
	// which waits until then at most.
	Ticket uint64
	Until  time.Time
	// RetryAfter is the time after which a refused caller may have allowance. Promised is set
	// if the caller can then be in time and no other caller has the place.
	RetryAfter time.Duration
	Promised   bool
	// Rule states why a request is refused.
	Rule string
	// Allowance is what the node held before the request, negative if it had admitted
	// requests in advance. RepliedAt is the time of the manager's last reply; zero before it.
	Allowance float64
	RepliedAt time.Time
}

// Limiter admits the requests of one node. Not safe for concurrent use.
type Limiter struct {
	bound Bound
	own   coordinator.Member
	share float64
	// managers holds the other nodes of the fleet by rank, the first choice first, up to this
	// node.
	managers []coordinator.Member
	failed   map[string]*failedManager
	accounts map[string]*usage
	// reportedAt is the time of the last report, and urgent is set if the next one is due
	// before reportInterval.
	reportedAt, repliedAt time.Time
	urgent                bool
	// queuedAt is when the next allowance is expected for which requests wait; zero if none
	// waits for a known time.
	queuedAt   time.Time
	tickets    map[uint64]*waiter
	nextTicket uint64
	// inFlight is set between Report and its Apply or Fail.
	inFlight bool
}

// failedManager is the state of a manager that did not answer.
type failedManager struct {
	repeats int
	probeAt time.Time
}

// usage is the state of one account at this node.
type usage struct {
	cap account.Cap
	// balance is the allowance that is left; negative if requests were admitted in advance.
	balance float64
	// queue holds the requests that wait for allowance, the earliest deadline first.
	queue []*waiter
	// promises holds the times of the places that refused callers were promised.
	promises []time.Time
	groups   map[int]*group
	// orderUntil is when allowance no longer goes by the order of groups.
	orderUntil time.Time
	// demand and granted are rates in requests per second.
	demand, granted float64
	// arrivals is the number of requests since the last report.
	arrivals int
	seenAt   time.Time
	// exhaustedUntil is when the manager expects allowance again.
	exhaustedUntil time.Time
	grantedAt      time.Time
	// nextReturn is when the caller that is refused next may return.
	nextReturn time.Time
}

// NewLimiter returns the limiter of a node that knows no other node yet.
func NewLimiter(b Bound, own coordinator.Member) *Limiter {
	return &Limiter{
		bound: b, own: own, share: 1.0 / coordinator.DefaultFleetSize,
		failed: make(map[string]*failedManager), accounts: make(map[string]*usage), tickets: make(map[uint64]*waiter),
	}
}

// SetFleet sets the registered nodes. Every node ranks them alike: larger ones come first.
func (l *Limiter) SetFleet(f coordinator.Fleet) {
	l.share = 1 / f.SizeFor(l.own)
	l.managers = l.managers[:0]
	for _, m := range f.Ranked() {
		if m.Node != l.own.Node && coordinator.RanksBefore(m, l.own) {
			l.managers = append(l.managers, m)
		}
	}
	for node := range l.failed {
		if !slices.ContainsFunc(l.managers, func(m coordinator.Member) bool { return m.Node == node }) {
			delete(l.failed, node)
		}
	}
}

// Take decides about a request of an account. After Wait, the caller calls Take with the
// ticket when Apply, Fail or Return has been called, and GiveUp at the time of the verdict.
func (l *Limiter) Take(now time.Time, name string, limit account.Cap, ask Ask) Verdict {
	if !limit.Limited() {
		return Verdict{}
	}
	u := l.usage(name)
	u.cap, u.seenAt = limit, now
	u.balance = min(u.balance, max(limit.Burst, minReserve))
	v := Verdict{Allowance: u.balance, RepliedAt: l.repliedAt}
	if ask.Ticket != 0 {
		if w := l.tickets[ask.Ticket]; w != nil {
			return l.retake(now, u, w, v)
		}
	}
	key := ask.group()
	u.record(now, key)
	// What the node holds beyond its advance is what the more urgent requests have left.
	entitled := u.entitled(now, key, l.share) || u.balance >= 1
	switch {
	case entitled && l.hasAllowance(u):
		l.admit(u, key)
		// Half of the advance remains for requests that arrive during the report.
		l.urgent = l.urgent || u.balance < -l.advance(limit)/2
	case !entitled:
		v.Decision, v.Rule, v.RetryAfter = Refuse, RuleYields, u.refuse(now, l.share)
		if key == lateGroup {
			v.Rule = RuleLate
		}
		u.arrivals++
	case now.Before(u.exhaustedUntil):
		return l.takeExhausted(now, u, name, ask, v)
	default:
		until := now.Add(maxQueueWait)
		if now.Before(u.orderUntil) {
			until = ask.until(now)
		}
		w := l.enqueue(u, name, key, until)
		v.Decision, v.Ticket, v.Until = Wait, w.ticket, w.until
		l.urgent = true
	}
	return v
}

// takeExhausted decides about a request while the account has no allowance. It waits for
// allowance that is due while the request can still be in time.
func (l *Limiter) takeExhausted(now time.Time, u *usage, name string, ask Ask, v Verdict) Verdict {
	until := ask.until(now)
	if len(u.queue) < maxQueue && !u.place(now, u.ahead(until), l.share).After(until) {
		w := l.enqueue(u, name, ask.group(), until)
		v.Decision, v.Ticket, v.Until = Wait, w.ticket, w.until
		l.expectAllowance(u)
		return v
	}
	u.arrivals++
	v.Decision, v.Rule = Refuse, RuleExhausted
	if len(u.queue) >= maxQueue {
		v.Rule = RuleQueueFull
	}
	if slack := ask.slack(); ask.Objective > 0 && slack > 0 {
		if at, ok := u.promise(now, now.Add(slack), l.share); ok {
			v.RetryAfter, v.Promised = at.Sub(now), true
			return v
		}
	}
	v.RetryAfter = u.refuse(now, l.share)
	return v
}

// hasAllowance reports whether a request of the account may be admitted.
func (l *Limiter) hasAllowance(u *usage) bool { return u.balance-1 >= -l.advance(u.cap) }

// admit takes the allowance of a request of a group.
func (l *Limiter) admit(u *usage, key int) {
	u.balance--
	u.arrivals++
	if g := u.groups[key]; g != nil {
		g.credit = max(g.credit-1, -1)
	}
}

// expectAllowance makes a report due when the account is expected to have allowance.
func (l *Limiter) expectAllowance(u *usage) {
	if l.queuedAt.IsZero() || u.exhaustedUntil.Before(l.queuedAt) {
		l.queuedAt = u.exhaustedUntil
	}
}

// Return gives back the allowance of a request that was admitted and did not run. It reports
// whether a request that waits has received it.
func (l *Limiter) Return(name string) (granted bool) {
	u := l.accounts[name]
	if u == nil {
		return false
	}
	u.balance++
	waiting := len(u.queue)
	l.distribute(u)
	return len(u.queue) < waiting
}

// advance returns how many requests of an account this node may admit in advance.
func (l *Limiter) advance(limit account.Cap) float64 {
	return advancePart * l.share * l.bound.tolerance(limit.Rate, limit.Burst)
}

func (l *Limiter) usage(name string) *usage {
	u := l.accounts[name]
	if u == nil {
		u = &usage{groups: make(map[int]*group)}
		l.accounts[name] = u
	}
	return u
}

// refuse returns when a refused caller may have allowance. Callers that are refused one
// after the other get times that follow each other at the rate of the node's grants.
func (u *usage) refuse(now time.Time, share float64) time.Duration {
	rate := u.perSecond(share)
	at := now
	for _, t := range []time.Time{u.exhaustedUntil, u.nextReturn} {
		if t.After(at) {
			at = t
		}
	}
	// Requests that yield are refused although no report states when allowance is due.
	after := min(max(at.Sub(now), minExhausted), maxRetryAfter)
	if rate > 0 {
		u.nextReturn = now.Add(after + time.Duration(float64(time.Second)/rate))
	}
	return after
}

// NextReport returns when Report is due.
func (l *Limiter) NextReport() time.Time {
	earliest, latest := l.reportedAt.Add(urgentInterval), l.reportedAt.Add(reportInterval)
	switch {
	case l.urgent:
		return earliest
	case l.queuedAt.IsZero() || l.queuedAt.After(latest):
		return latest
	case l.queuedAt.Before(earliest):
		return earliest
	}
	return l.queuedAt
}

// Urgent reports whether the next report does not wait for reportInterval.
func (l *Limiter) Urgent() bool { return l.urgent || !l.queuedAt.IsZero() }

// Report returns the report that is due at now, and the manager that receives it, which may
// be this node. ok is false if none is due or the last one is in flight.
func (l *Limiter) Report(now time.Time, version uint64) (to coordinator.Member, r Report, ok bool) {
	if l.inFlight || now.Before(l.NextReport()) {
		return to, r, false
	}
	r = Report{Node: l.own.Node, Version: version, Share: l.share}
	elapsed := now.Sub(l.reportedAt)
	for name, u := range l.accounts {
		u.updateDemand(elapsed)
		switch inactive := now.Sub(u.seenAt) > inactiveAfter; {
		case inactive && u.balance >= 0 && len(u.queue) == 0:
			delete(l.accounts, name)
		default:
			if d := u.request(name, inactive); d.Due > 0 || d.Reserve > 0 {
				r.Demands = append(r.Demands, d)
			}
		}
	}
	slices.SortFunc(r.Demands, func(a, b Demand) int { return strings.Compare(a.Account, b.Account) })
	l.reportedAt, l.urgent, l.queuedAt, l.inFlight = now, false, time.Time{}, true
	return l.manager(), r, true
}

func (u *usage) updateDemand(elapsed time.Duration) {
	// A short interval between two urgent reports says little about the rate.
	weight := rateWeight * min(1, float64(elapsed)/float64(reportInterval))
	u.demand += weight * (float64(u.arrivals)/max(elapsed, urgentInterval).Seconds() - u.demand)
	u.arrivals = 0
}

// request returns the demand of an account.
func (u *usage) request(name string, inactive bool) Demand {
	d := Demand{
		Account: name, Rate: u.cap.Rate, Burst: u.cap.Burst,
		Due: max(0, -u.balance) + float64(len(u.queue)), Held: max(0, u.balance),
	}
	if !inactive {
		d.Reserve = max(0, max(minReserve, u.demand*reserveTime.Seconds())-d.Held)
	}
	return d
}

// manager returns the first usable node in rank.
func (l *Limiter) manager() coordinator.Member {
	for _, m := range l.managers {
		if l.failed[m.Node] == nil {
			return m
		}
	}
	return l.own
}

// Apply applies the reply to a report.
func (l *Limiter) Apply(now time.Time, from string, r *Report, reply *Reply) {
	if reply.Unavailable || len(reply.Grants) != len(r.Demands) {
		l.Fail(now, from)
		return
	}
	l.inFlight, l.repliedAt = false, now
	for i := range r.Demands {
		d, g := &r.Demands[i], reply.Grants[i]
		u := l.accounts[d.Account]
		if u == nil {
			continue
		}
		u.balance += g.Allowance
		u.updateGranted(now, g.Allowance)
		if g.Allowance < d.Due {
			u.exhaustedUntil = now.Add(max(g.Wait, minExhausted))
			u.orderUntil = now.Add(orderFor)
		}
		l.distribute(u)
		switch {
		case len(u.queue) == 0:
		case now.Before(u.exhaustedUntil):
			l.expectAllowance(u)
		default:
			l.urgent = true
		}
	}
}

func (u *usage) updateGranted(now time.Time, allowance float64) {
	if elapsed := now.Sub(u.grantedAt); !u.grantedAt.IsZero() && elapsed > 0 {
		weight := min(1, rateWeight*float64(elapsed)/float64(reportInterval))
		u.granted += weight * (allowance/elapsed.Seconds() - u.granted)
	}
	u.grantedAt = now
}

// Fail records that a manager did not answer a report. The next report goes to the next
// manager in rank.
func (l *Limiter) Fail(now time.Time, manager string) {
	l.inFlight = false
	l.urgent = true
	l.recordFailure(now, manager)
}

func (l *Limiter) recordFailure(now time.Time, manager string) {
	f := l.failed[manager]
	if f == nil {
		f = &failedManager{}
		l.failed[manager] = f
	} else {
		f.repeats++
	}
	const doublings = 3
	f.probeAt = now.Add(min(minProbeBackoff<<min(f.repeats, doublings), maxProbeBackoff))
}

// Probe returns a failed manager that is to be probed now. It is not returned again before
// its backoff has ended.
func (l *Limiter) Probe(now time.Time) (coordinator.Member, bool) {
	for _, m := range l.managers {
		if f := l.failed[m.Node]; f != nil && !now.Before(f.probeAt) {
			l.recordFailure(now, m.Node)
			return m, true
		}
	}
	return coordinator.Member{}, false
}

// Recover records that a failed manager is available again.
func (l *Limiter) Recover(manager string) { delete(l.failed, manager) }

// Manager returns the name of the node that this node reports to.
func (l *Limiter) Manager() string { return l.manager().Node }

// Use is the state of one account at this node, for operators.
type Use struct {
	Account string
	Cap     account.Cap
	// Allowance is what the node holds, and Demand the rate of its requests per second.
	Allowance, Demand float64
	// Exhausted is set if the node refuses requests of the account.
	Exhausted bool
}

// Uses returns the accounts with requests at this node, by name.
func (l *Limiter) Uses(now time.Time) []Use {
	uses := make([]Use, 0, len(l.accounts))
	for name, u := range l.accounts {
		uses = append(uses, Use{
			Account: name, Cap: u.cap, Allowance: u.balance, Demand: u.demand,
			Exhausted: u.balance < 1 && now.Before(u.exhaustedUntil),
		})
	}
	slices.SortFunc(uses, func(a, b Use) int { return strings.Compare(a.Account, b.Account) })
	return uses
}
