package admission

import (
	"math"
	"time"
)

const (
	// A window lasts at least minWindow and includes at least minWindowQueries
	// completed queries. A window with fewer queries ends after maxWindow.
	minWindow        = 100 * time.Millisecond
	minWindowQueries = 10
	maxWindow        = time.Second
	// A window without any completed query is a stall if it lasts stallFactor times
	// the average latency and at least stallRunning queries are running.
	stallFactor  = 4
	stallRunning = 10
	// overloadRatio is the latency, as a multiple of the unloaded latency, above
	// which queries are assumed to queue.
	overloadRatio = 1.6
	// severeFactor times overloadRatio is the load at which every node reduces its
	// rate.
	severeFactor = 1.5
	// unloadedRatio is the latency, as a multiple of the unloaded latency, below
	// which no queries are assumed to queue.
	unloadedRatio = 1.25
	// drainFactor is the share of the delivered rate that is admitted while queues
	// drain. The rate is multiplied by growthPerSecond each second while queues are
	// short. fastGrowthPerSecond applies while there are no queues or the highest class is
	// refused. While queries are refused, the rate grows up to headroomFactor times the
	// best rate of recent windows. Otherwise it is at least headroomFactor times the
	// delivered rate.
	drainFactor         = 0.9
	growthPerSecond     = 1.15
	fastGrowthPerSecond = 2
	headroomFactor      = 1.25
	// In overload the rate is reduced to no less than peakShare of the best rate of
	// recent windows. Failed queries end long after their admission, so the delivered
	// rate of a window with failures is far below the capacity of the backend
	// servers. The best rate is multiplied by peakDecay after each window.
	peakShare = 0.7
	peakDecay = 0.97
	// minRate is in queries per second. It keeps some queries running, so that a node
	// detects a recovery of the service.
	minRate = 1
	// maxFailureRatio is the share of failed queries above which a window is
	// overloaded, if at least minFailures queries failed.
	maxFailureRatio = 0.05
	minFailures     = 3
	// The bucket holds the tokens of burstTime at the current rate, but at least
	// minBurst tokens. Each class may use the share classReserve of the tokens that the
	// class above may use.
	burstTime    = 50 * time.Millisecond
	minBurst     = 16
	classReserve = 0.4
	// runningFactor and runningSpare bound the number of concurrent queries relative
	// to the number expected from the rate and the unloaded latency. This limit
	// applies before a rise in latency is observed. classSpare is reserved for each
	// higher class.
	runningFactor = 2
	runningSpare  = 8
	classSpare    = 2
	// When the rate falls below rebaseRate of its value at the start of a decline,
	// the load must have fallen to rebaseGain of its value. Otherwise the latency is
	// not caused by load.
	rebaseRate = 0.5
	rebaseGain = 0.8
)

// rate is a token bucket whose refill rate follows the rate that the backend servers
// deliver. A concurrency limit alone is too coarse when several nodes share backend
// servers that run only a few queries at once.
type rate struct {
	// limit is in queries per second. It is 0, which means unlimited, until overload
	// is first detected.
	limit  float64
	tokens float64
	// peakRate is the best rate delivered in recent windows.
	peakRate  float64
	updatedAt time.Time
	// latency is the moving average of the query latency over all classes.
	latency time.Duration
	classes [maxPriority + 1]classLatency

	// The following fields count the current window.
	windowStart                 time.Time
	completed, failed, refusals int
	// highestRefused is true if a query of the highest class was refused.
	highestRefused bool
	// highestClass is the most urgent class observed so far, which has the smallest
	// number.
	highestClass int
	classSeen    bool
	load         loadRatio
	// decline holds the rate and load at the start of a decline of the rate.
	decline struct {
		rate, load float64
	}
}

func (r *rate) takeToken() {
	if r.limit > 0 {
		r.tokens--
	}
}

// countRefusal counts a query refused for overload.
func (r *rate) countRefusal(class int) {
	r.refusals++
	r.highestRefused = r.highestRefused || class == r.highestClass
}

// observeClass updates the highest class.
func (r *rate) observeClass(class int) {
	if !r.classSeen || class < r.highestClass {
		r.highestClass = class
	}
	r.classSeen = true
}

// hasToken reports whether the bucket has a token for the class and the number of
// concurrent queries is below the limit of the class.
func (r *rate) hasToken(class, running int) bool {
	if float64(running) >= r.runningBound(class) {
		return false
	}
	reserved := r.burst() * (1 - math.Pow(classReserve, float64(class)))
	return r.limit == 0 || r.tokens >= min(1+reserved, r.burst())
}

// runningBound returns the concurrency limit for a query of the class.
func (r *rate) runningBound(class int) float64 {
	admitted := r.limit
	if admitted == 0 {
		admitted = r.peakRate
	}
	expected := admitted * r.latency.Seconds() / max(r.load.value, 1)
	bound := runningFactor*expected + runningSpare - classSpare*float64(class)
	return max(bound, 1)
}

func (r *rate) burst() float64 {
	return max(minBurst, r.limit*burstTime.Seconds())
}

// done counts a completed query.
func (r *rate) done(class int, latency time.Duration, ok bool) {
	r.completed++
	if !ok {
		r.failed++
	}
	r.latency += time.Duration(latencyWeight * float64(latency-r.latency))
	r.load.observe(r.classes[class].observe(latency))
}

// advance refills the bucket and adjusts the rate at the end of a window.
func (r *rate) advance(now time.Time, running int) {
	if r.updatedAt.IsZero() {
		r.updatedAt, r.windowStart = now, now
	}
	r.tokens = min(r.burst(), r.tokens+r.limit*now.Sub(r.updatedAt).Seconds())
	r.updatedAt = now
	elapsed := now.Sub(r.windowStart)
	full := elapsed >= minWindow && r.completed >= minWindowQueries
	stalled := r.completed == 0 && running >= stallRunning && elapsed >= max(minWindow, stallFactor*r.latency)
	idle := r.completed+running == 0
	if !full && !stalled && (elapsed < maxWindow || idle) {
		return
	}
	r.adjust(elapsed, stalled)
	r.windowStart = now
	r.completed, r.failed, r.refusals = 0, 0, 0
	r.highestRefused = false
}

func (r *rate) adjust(elapsed time.Duration, stalled bool) {
	delivered := float64(r.completed-r.failed) / elapsed.Seconds()
	r.peakRate = max(delivered, r.peakRate*peakDecay)
	overloaded := stalled || r.load.value > overloadRatio
	if r.failed >= minFailures && float64(r.failed) > maxFailureRatio*float64(r.completed) {
		overloaded = true
	}
	switch {
	case overloaded:
		r.decrease(delivered)
	case r.limit > 0 && r.refusals > 0:
		r.decline.rate = 0
		r.increase(elapsed)
	case r.limit > 0:
		r.decline.rate = 0
		r.limit = max(r.limit, headroomFactor*delivered)
	}
}

func (r *rate) increase(elapsed time.Duration) {
	factor := growthPerSecond
	if r.highestRefused || r.load.value < unloadedRatio {
		factor = fastGrowthPerSecond
	}
	increased := r.limit * math.Pow(factor, min(elapsed, maxWindow).Seconds())
	r.limit = max(r.limit, min(increased, max(headroomFactor*r.peakRate, minRate)))
}

// decrease reduces the rate to drainFactor times the delivered rate, so that queues
// drain, but not below peakShare of the best rate of recent windows. If latency stays
// high after the rate has halved, load is not the cause: the service has become
// slower. Its current latency then becomes the new unloaded latency. Otherwise the
// rate would fall until no queries are served.
func (r *rate) decrease(delivered float64) {
	// Nodes share the backend servers but do not exchange their rates. A node that
	// refuses queries of its highest class holds its rate, so that nodes which still
	// serve lower classes reduce theirs first. Under severe overload all nodes reduce
	// their rates.
	if r.highestRefused && r.load.value < severeFactor*overloadRatio && r.limit > 0 {
		return
	}
	target := max(minRate, peakShare*r.peakRate, drainFactor*delivered)
	if r.limit == 0 {
		r.limit = target
		r.tokens = r.burst()
	}
	if r.decline.rate == 0 {
		r.decline.rate = r.limit
		r.decline.load = r.load.value
	}
	r.limit = min(r.limit, target)
	if r.limit < rebaseRate*r.decline.rate && r.load.value > rebaseGain*r.decline.load {
		r.rebase()
	}
}

func (r *rate) rebase() {
	for i := range r.classes {
		r.classes[i].unloaded = r.classes[i].recent
	}
	r.load.value = 1
	r.decline.rate = 0
}
