package limit

import "time"

// Result is how a request to the replica ended.
type Result int

const (
	// ResultOK means that the replica answered in full.
	ResultOK Result = iota
	// ResultError means that the replica answered with an error of its own.
	ResultError
	// ResultTimeout means that the deadline passed without an answer.
	ResultTimeout
	// ResultCancelled means that the node cancelled the request, for instance the
	// loser of a hedge.
	ResultCancelled
	// ResultShed means that the replica shed the request because of overload.
	ResultShed
	// ResultConnectionFailed means that the connection was refused or reset. A
	// request on a silent connection is ResultCancelled if newer connections work,
	// because only that connection failed.
	ResultConnectionFailed
	// ResultNotSent means that the request was cancelled before anything was sent.
	ResultNotSent
)

// Sample is the outcome of one request.
type Sample struct {
	// Latency is the time from TryAcquire to the end of the request, and for
	// ObserveMedian to the answer that completes the first half.
	Latency time.Duration
	Result  Result
	// PeerLatency is the typical latency of the shard's other warm replicas for
	// requests of the same class, 0 when unknown.
	PeerLatency time.Duration
	// ReportsCold is true when the replica reports in its answer that it is cold.
	ReportsCold bool
	// Items is the number of subrequests, as passed to SetBatchSize. 0 and 1 mean a
	// single request.
	Items int
	// MedianObserved is true when ObserveMedian was called for the request.
	MedianObserved bool
}

const (
	// rampAfter is the number of consecutive successes at normal latency after which
	// the limit of a cold replica starts to grow.
	rampAfter = 8
	// rampAfterNoReference replaces rampAfter while there is no reference latency.
	rampAfterNoReference = 24
	// decreaseFactor is applied to the limit of a warm replica on a slow answer.
	decreaseFactor = 0.8
)

// Release ends a request that TryAcquire admitted.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.batches.extra -= max(s.Items-1, 0)
	if s.MedianObserved {
		l.releaseMeasured(now, s)
		return
	}
	l.inFlight.remove(now.Add(-s.Latency))
	l.observeOutcome(now, s)
}

func (l *Limiter) observeOutcome(now time.Time, s Sample) {
	switch s.Result {
	case ResultShed:
		l.failedConnections = 0
		l.Observe(now, SignalShed)
	case ResultConnectionFailed:
		l.Observe(now, SignalReset)
	case ResultCancelled, ResultTimeout:
		l.observeAbandoned(now, s)
	case ResultError:
		l.failedConnections = 0
		l.normalRun = 0
	case ResultOK:
		l.failedConnections = 0
		l.observeSuccess(now, s)
	case ResultNotSent:
	}
}

// observeAbandoned handles a request without an answer. Its latency is a lower
// bound, which can show that the replica is slow but not that it is fast. The
// replica may work on the request until the cancellation arrives. While only the
// first owner may use the replica, the request therefore occupies its slot for a
// grace period.
func (l *Limiter) observeAbandoned(now time.Time, s Sample) {
	l.holdSlots(now, s)
	if l.latency.countSlow(s) {
		l.observeSlow(now, s)
	}
}

func (l *Limiter) observeSuccess(now time.Time, s Sample) {
	if !s.ReportsCold {
		l.coldReports = 0
	} else if l.acceptColdReport(now) {
		l.latency.observe(now, s)
		l.dropToFloor(now, SignalColdReport)
		return
	}
	normal := l.latency.observe(now, s)
	if !normal {
		l.observeSlow(now, s)
		return
	}
	l.normalRun++
	if l.phase == warm {
		l.raiseWarm()
		return
	}
	l.raiseCold(s)
}

// observeSlow stops growth after an answer above normal latency. coldSlowRun slow
// answers in a row are a signal of a cold start; fewer may be stragglers. The limit of
// a warm replica decreases only for requests sent after its last decrease. Otherwise
// all requests sent under the old limit would decrease it again.
func (l *Limiter) observeSlow(now time.Time, s Sample) {
	l.normalRun = 0
	if l.latency.slowRun >= coldSlowRun {
		l.Observe(now, SignalSlow)
		return
	}
	if l.phase != warm {
		l.limit = l.floor()
		return
	}
	if now.Sub(l.decreasedAt) < s.Latency {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, l.limit*decreaseFactor)
}

// raiseCold grows the limit of a replica that is not warm yet. After a run of
// successes at the floor, each success adds one slot, which doubles the limit in
// each round trip. The replica is warm once the limit is the full share and
// rampAfter + MaxInFlight successes in a row had normal latency.
func (l *Limiter) raiseCold(s Sample) {
	if !l.params.First {
		return
	}
	if l.phase != ramping {
		need := rampAfter
		if !l.latency.hasReference(s) {
			need = rampAfterNoReference
		}
		if l.normalRun < need {
			return
		}
		l.phase = ramping
		l.latency.adoptProvisional()
	}
	l.limit = min(l.limit+1, float64(l.params.MaxInFlight))
	if l.limit >= float64(l.params.MaxInFlight) && l.normalRun >= rampAfter+l.params.MaxInFlight {
		l.becomeWarm()
	}
}

// raiseWarm adds one slot in about one round trip at the full limit.
func (l *Limiter) raiseWarm() {
	l.limit = min(l.limit+1/l.limit, float64(l.params.MaxInFlight))
}
