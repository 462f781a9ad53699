package admission

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	defaultMaxRunning = 1024
	defaultLowShare   = 0.05
	// maxPriority is the lowest class that is told apart.
	maxPriority = 8
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// refusalWeight makes Pressure follow the last hundred or so queries.
	refusalWeight = 0.02
	// pressureGain shuts hedges and retries off when a fifth is refused;
	// pressureFloor is the part of refusals that counts as none.
	pressureGain  = 5
	pressureFloor = 0.01
	// maxCredit bounds the queries of a lower class admitted in a row for its
	// kept share.
	maxCredit = 4
	// probeAfter is the time without an admitted query after which one is admitted
	// although it is expected to take too long.
	probeAfter = time.Second
)

// Params are a controller's settings; zero values take defaults.
type Params struct {
	// MaxRunning bounds the queries that run at once, whatever their rate.
	MaxRunning int
	// LowShare is the part of admitted queries kept for lower classes while
	// higher ones could take everything.
	LowShare float64
}

// Decision says whether a query runs.
type Decision struct {
	// Reason is REASON_UNSPECIFIED when the query was admitted.
	Reason pb.Reason
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Probe marks a query that was admitted to find out whether the expected time
	// still holds.
	Probe bool
}

// Admitted reports whether the query runs.
func (d Decision) Admitted() bool {
	return d.Reason == pb.Reason_REASON_UNSPECIFIED
}

// Controller admits queries of one service.
type Controller struct {
	params  Params
	running int
	rate    rate
	// credit[p] grows with each admitted query of a class above p.
	credit [maxPriority + 1]float64
	// refusals is the recent part of queries refused for load.
	refusals float64
	// admitted is when a query was admitted last.
	admitted time.Time
}

// New returns a controller without any running query.
func New(p Params) *Controller {
	if p.MaxRunning <= 0 {
		p.MaxRunning = defaultMaxRunning
	}
	if p.LowShare <= 0 {
		p.LowShare = defaultLowShare
	}
	return &Controller{params: p}
}

// Admit decides on a query with that much time left until its deadline, which
// is expected to take that long. An admitted query must be ended by Done.
func (a *Controller) Admit(now time.Time, priority uint32, left, expected time.Duration) Decision {
	a.rate.advance(now, a.running)
	probe := left < expected && a.probes(now)
	if left <= 0 || left < expected && !probe {
		return Decision{Reason: pb.Reason_REASON_DEADLINE_TOO_SHORT, RetryAfter: a.retryAfter(priority)}
	}
	rank := int(min(priority, maxPriority))
	a.rate.seen(rank)
	if !a.fits(rank) {
		a.rate.refused(rank)
		a.refusals += refusalWeight * (1 - a.refusals)
		return Decision{Reason: pb.Reason_REASON_OVERLOAD, RetryAfter: a.retryAfter(priority)}
	}
	a.refusals -= refusalWeight * a.refusals
	a.running++
	a.admitted = now
	a.rate.take()
	for p := rank + 1; p < len(a.credit); p++ {
		a.credit[p] = min(a.credit[p]+a.params.LowShare, maxCredit)
	}
	return Decision{Probe: probe}
}

// probes reports whether a query may be admitted although it is expected to take longer than
// it has. The expected time follows admitted queries only, so that without a probe a second
// a few slow ones would keep all later ones out.
func (a *Controller) probes(now time.Time) bool {
	return !a.admitted.IsZero() && now.Sub(a.admitted) >= probeAfter
}

// Done ends an admitted query. ok is false when load made it miss its deadline
// or lose shards.
func (a *Controller) Done(now time.Time, priority uint32, took time.Duration, ok bool) {
	a.running--
	a.rate.done(int(min(priority, maxPriority)), took, ok)
	a.rate.advance(now, a.running)
}

// Running returns the number of admitted queries that have not ended.
func (a *Controller) Running() int {
	return a.running
}

// Rate returns the queries a second that are admitted now, 0 while there was no
// sign of overload to bound them by.
func (a *Controller) Rate() float64 {
	return a.rate.limit
}

// Pressure returns 0 when nothing is refused for load, rising to 1 when a good
// part is. Budgets for hedges and retries shrink by it.
func (a *Controller) Pressure() float64 {
	if a.refusals < pressureFloor {
		return 0
	}
	return min(1, a.refusals*pressureGain)
}

// fits reports whether a class finds a token. Each class leaves tokens in the
// bucket for the class above it: a higher class finds them at once, takes what
// lower ones would have had, and so displaces them without any queue.
//
// A lower class gets its kept share beyond that; without it, it would starve
// for as long as higher ones use the whole rate.
func (a *Controller) fits(rank int) bool {
	if a.running >= a.params.MaxRunning || !a.rate.has(0, a.running) {
		return false
	}
	if rank == 0 || a.rate.has(rank, a.running) {
		return true
	}
	if a.credit[rank] < 1 {
		return false
	}
	a.credit[rank]--
	return true
}

// retryAfter grows with the part of queries refused and with the class, so that
// returning callers do not keep up the overload.
func (a *Controller) retryAfter(priority uint32) time.Duration {
	wait := a.rate.typical * time.Duration(1+min(priority, maxPriority))
	wait = time.Duration(float64(wait) / max(1-a.refusals, 0.05))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
