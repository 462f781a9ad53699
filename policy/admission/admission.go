package admission

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	defaultMaxRunning = 1024
	defaultLowShare   = 0.05
	// maxPriority is the lowest priority class. Larger priorities are counted in this
	// class.
	maxPriority = 8
	// minRetryAfter and maxRetryAfter bound the delay that a refused caller receives.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// refusalWeight is the weight of one query in the moving average of refusals, which
	// covers the last hundred queries or so.
	refusalWeight = 0.02
	// Pressure reaches 1 when 1/pressureGain of the queries is refused. It is 0 while
	// the refused share is below pressureFloor.
	pressureGain  = 5
	pressureFloor = 0.01
	// maxCredit bounds the consecutive queries of a lower class that are admitted
	// from its reserved share.
	maxCredit = 4
	// probeInterval is the time without an admitted query after which one query is
	// admitted even though its expected latency exceeds its remaining time.
	probeInterval = time.Second
)

// Params are the settings of a Controller. Zero values take defaults.
type Params struct {
	// MaxRunning bounds the number of concurrent queries, independent of the rate
	// limit.
	MaxRunning int
	// LowShare is the share of admitted queries that is reserved for lower classes
	// while higher classes could use the whole rate.
	LowShare float64
}

// Decision is the result of an admission check.
type Decision struct {
	// Reason is REASON_UNSPECIFIED if the query is admitted.
	Reason pb.Reason
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Probe marks a query that is admitted to check whether the expected latency is
	// still accurate.
	Probe bool
}

// Admitted reports whether the query may run.
func (d Decision) Admitted() bool {
	return d.Reason == pb.Reason_REASON_UNSPECIFIED
}

// Controller admits the queries of one service.
type Controller struct {
	params  Params
	running int
	rate    rate
	// credit[p] grows with each admitted query of a class above p.
	credit [maxPriority + 1]float64
	// refusalRate is the moving average of the share of queries refused for overload.
	refusalRate float64
	// lastAdmitted is the time of the last admission.
	lastAdmitted time.Time
}

// New returns a Controller with no running queries.
func New(p Params) *Controller {
	if p.MaxRunning <= 0 {
		p.MaxRunning = defaultMaxRunning
	}
	if p.LowShare <= 0 {
		p.LowShare = defaultLowShare
	}
	return &Controller{params: p}
}

// Admit decides whether to run a query that has the remaining time until its deadline
// and the expected latency. The caller must call Done for each admitted query.
func (a *Controller) Admit(now time.Time, priority uint32, remaining, expected time.Duration) Decision {
	a.rate.advance(now, a.running)
	probe := remaining < expected && a.mayProbe(now)
	if remaining <= 0 || remaining < expected && !probe {
		return Decision{Reason: pb.Reason_REASON_DEADLINE_TOO_SHORT, RetryAfter: a.retryAfter(priority)}
	}
	class := int(min(priority, maxPriority))
	a.rate.observeClass(class)
	if !a.hasCapacity(class) {
		a.rate.countRefusal(class)
		a.refusalRate += refusalWeight * (1 - a.refusalRate)
		return Decision{Reason: pb.Reason_REASON_OVERLOAD, RetryAfter: a.retryAfter(priority)}
	}
	a.refusalRate -= refusalWeight * a.refusalRate
	a.running++
	a.lastAdmitted = now
	a.rate.takeToken()
	for p := class + 1; p < len(a.credit); p++ {
		a.credit[p] = min(a.credit[p]+a.params.LowShare, maxCredit)
	}
	return Decision{Probe: probe}
}

// mayProbe reports whether a query may be admitted although its expected latency
// exceeds its remaining time. The expected latency is updated by admitted queries
// only, so without probes a few slow queries would cause all later ones to be
// refused.
func (a *Controller) mayProbe(now time.Time) bool {
	return !a.lastAdmitted.IsZero() && now.Sub(a.lastAdmitted) >= probeInterval
}

// Done ends an admitted query. ok is false if overload made the query miss its
// deadline or lose shards.
func (a *Controller) Done(now time.Time, priority uint32, latency time.Duration, ok bool) {
	a.running--
	a.rate.done(int(min(priority, maxPriority)), latency, ok)
	a.rate.advance(now, a.running)
}

// Running returns the number of admitted queries that have not ended.
func (a *Controller) Running() int {
	return a.running
}

// Rate returns the current rate limit in queries per second. It is 0, which means
// unlimited, until overload is first detected.
func (a *Controller) Rate() float64 {
	return a.rate.limit
}

// Pressure returns a value between 0 and 1 that rises with the share of queries
// refused for overload. Hedge and retry budgets shrink as it rises.
func (a *Controller) Pressure() float64 {
	if a.refusalRate < pressureFloor {
		return 0
	}
	return min(1, a.refusalRate*pressureGain)
}

// hasCapacity reports whether a query of the class may run. Each class leaves tokens
// in the bucket for the classes above it. A higher class can use these tokens
// immediately, so it displaces lower classes without a queue.
//
// A lower class may also spend credit from its reserved share, and hasCapacity then
// consumes that credit. Without the share, the class would starve while higher classes
// use the whole rate.
func (a *Controller) hasCapacity(class int) bool {
	if a.running >= a.params.MaxRunning || !a.rate.hasToken(0, a.running) {
		return false
	}
	if class == 0 || a.rate.hasToken(class, a.running) {
		return true
	}
	if a.credit[class] < 1 {
		return false
	}
	a.credit[class]--
	return true
}

// retryAfter returns the time after which a caller may retry a refused query. It is
// longer for lower classes, and rises with the share of refused queries, so that
// retrying callers do not prolong the overload.
func (a *Controller) retryAfter(priority uint32) time.Duration {
	wait := a.rate.latency * time.Duration(1+min(priority, maxPriority))
	wait = time.Duration(float64(wait) / max(1-a.refusalRate, 0.05))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
