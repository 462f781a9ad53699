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
	// ResultCancelled means that the node gave the request up, for instance the loser of
	// a hedge.
	ResultCancelled
	// ResultShed means that the replica refused the request for its load.
	ResultShed
	// ResultConnectionFailed means that the connection was refused or reset. A silent
	// connection that newer ones disprove is ResultCancelled: it says nothing
	// about the replica.
	ResultConnectionFailed
	// ResultNotSent means that the request was given up before anything was sent.
	ResultNotSent
)

// Sample is the outcome of one request.
type Sample struct {
	// Latency from TryAcquire to the end.
	Latency time.Duration
	Result  Result
	// PeerLatency is the typical latency of the shard's other warm replicas for
	// requests of the same class, 0 when unknown.
	PeerLatency time.Duration
	// ReportsCold is true when the answer says that the replica is cold.
	ReportsCold bool
	// Items is how many subrequests the request carried, as told to SetBatchSize; 0 and 1
	// are a single one.
	Items int
	// MedianObserved is true when MedianObserved has judged the request before.
	MedianObserved bool
}

const (
	// confirmRun is how many successes at normal latency in a row a cold replica
	// needs before its limit first grows.
	confirmRun = 8
	// unknownRun replaces confirmRun while there is no latency to compare with.
	unknownRun = 24
	// slowFactor is how much the limit of a warm replica falls when its answers
	// queue.
	slowFactor = 0.8
)

// Release ends a request that TryAcquire let through.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.batches.extra -= max(s.Items-1, 0)
	if s.MedianObserved {
		l.releaseAnswered(now, s)
		return
	}
	l.inFlight.remove(now.Add(-s.Latency))
	l.judge(now, s)
}

// judge takes in how a request ended.
func (l *Limiter) judge(now time.Time, s Sample) {
	switch s.Result {
	case ResultShed:
		l.lost = 0
		l.Observe(now, SignalShed)
	case ResultConnectionFailed:
		l.Observe(now, SignalReset)
	case ResultCancelled, ResultTimeout:
		l.abandoned(now, s)
	case ResultError:
		l.lost = 0
		l.run = 0
	case ResultOK:
		l.lost = 0
		l.succeeded(now, s)
	case ResultNotSent:
	}
}

// abandoned handles a request without an answer. Its latency is a lower bound,
// so it can show that the replica is slow but never that it is fast. Until the
// replica has noticed the cancellation it may still work on the request; a
// replica that is not warm therefore gets no other in its place for a while.
func (l *Limiter) abandoned(now time.Time, s Sample) {
	l.holdCancelled(now, s)
	if l.latency.slow(s) {
		l.answeredSlowly(now, s)
	}
}

func (l *Limiter) succeeded(now time.Time, s Sample) {
	if !s.ReportsCold {
		l.coldReports = 0
	} else if l.believeColdReport(now) {
		l.latency.observe(now, s)
		l.chill(now, SignalColdReport)
		return
	}
	normal := l.latency.observe(now, s)
	if !normal {
		l.answeredSlowly(now, s)
		return
	}
	l.run++
	if l.phase == warm {
		l.raiseWarm()
		return
	}
	l.raiseCold(s)
}

// answeredSlowly stops growth. Several answers in a row that are far from the
// siblings' are a sign of a cold start; one alone is a straggler.
func (l *Limiter) answeredSlowly(now time.Time, s Sample) {
	l.run = 0
	if l.latency.slowRun >= slowRunCold {
		l.Observe(now, SignalSlow)
		return
	}
	if l.phase != warm {
		l.limit = l.floor()
		return
	}
	if now.Sub(l.decreased) < s.Latency {
		return
	}
	l.decreased = now
	l.limit = max(1, l.limit*slowFactor)
}

// raiseCold grows the limit of a replica at normal latency: first a run of
// successes at the floor, then one more place for each success, which doubles
// the limit in each round trip. The replica is warm at its full share.
func (l *Limiter) raiseCold(s Sample) {
	if !l.params.First {
		return
	}
	if l.phase != ramping {
		need := confirmRun
		if !l.latency.comparable(s) {
			need = unknownRun
		}
		if l.run < need {
			return
		}
		l.phase = ramping
		l.latency.adoptTrial()
	}
	l.limit = min(l.limit+1, float64(l.params.MaxInFlight))
	if l.limit >= float64(l.params.MaxInFlight) && l.run >= confirmRun+l.params.MaxInFlight {
		l.becomeWarm()
	}
}

func (l *Limiter) raiseWarm() {
	l.limit = min(l.limit+1/l.limit, float64(l.params.MaxInFlight))
}
