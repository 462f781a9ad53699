package limit

import "time"

// Signal is an event that concerns a replica's state, other than a normal answer.
type Signal int

const (
	// SignalRefused means that a connection was refused or could not be opened.
	SignalRefused Signal = iota + 1
	// SignalReset means that the replica closed an open connection, idle or in use.
	SignalReset
	// SignalIncarnation means that the replica reports a new incarnation.
	SignalIncarnation
	// SignalShed means that the replica shed a request because of overload.
	SignalShed
	// SignalColdReport means that the replica or another owner reports a cold start.
	SignalColdReport
	// SignalSlow means that coldSlowRun answers in a row took far longer than the
	// reference latency.
	SignalSlow
	// SignalDraining means that the replica accepts no new requests.
	SignalDraining
	// SignalServing means that a draining replica accepts requests again. It counts
	// as cold, whatever it reports.
	SignalServing
	// SignalReachable means that a connection could be opened again. The replica is
	// no longer lost, but stays cold until successes show that it is warm.
	SignalReachable
)

// String returns the name shown to operators.
func (s Signal) String() string {
	names := [...]string{
		"none", "connection refused", "connection reset", "new incarnation", "shed",
		"cold report", "slow", "draining", "serving again", "reachable again",
	}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

const (
	// lostAfter is the number of consecutive failed connections after which the
	// replica counts as lost.
	lostAfter = 3
	// firstBackoff doubles up to maxBackoff between attempts at a lost replica.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// Reports of a cold start are rejected once more than maxColdReports have arrived
	// in a row and coldReportPeriod has passed since the first. The number alone would
	// reject true reports of a cold replica that answers often. The period alone would
	// reject the reports of a replica that is polled rarely.
	maxColdReports   = 64
	coldReportPeriod = 15 * time.Second
)

// Observe applies a signal. Any single signal of a cold start drops the limit,
// because each of them may be late or lost. A limit that is too low for a second
// costs little; an overload makes a cold replica fail.
func (l *Limiter) Observe(now time.Time, signal Signal) {
	switch signal {
	case SignalDraining:
		l.draining = true
	case SignalServing:
		if l.draining {
			l.draining = false
			l.dropToFloor(now, signal)
		}
	case SignalReachable:
		l.failedConnections = 0
		l.backoffUntil = now
	case SignalRefused, SignalReset:
		l.connectionFailed(now)
		l.coldReports = 0
		l.dropToFloor(now, signal)
	case SignalIncarnation:
		// The drain and the cold reports of the earlier incarnation do not apply to
		// the new one.
		l.draining = false
		l.coldReports = 0
		l.dropToFloor(now, signal)
	case SignalColdReport:
		if l.acceptColdReport(now) {
			l.dropToFloor(now, signal)
		}
	case SignalShed, SignalSlow:
		l.dropToFloor(now, signal)
	}
}

// connectionFailed counts at most one failure per backoff, because a restart closes
// all open connections at once.
func (l *Limiter) connectionFailed(now time.Time) {
	if now.Before(l.backoffUntil) {
		return
	}
	l.failedConnections++
	l.backoffUntil = now.Add(backoff(l.failedConnections))
}

// acceptColdReport counts a report of a cold start and reports whether it is
// accepted. Without a bound, a replica whose report is stuck would stay at the
// floor forever despite answers at normal latency. Growth still requires successes
// at normal latency.
func (l *Limiter) acceptColdReport(now time.Time) bool {
	if l.coldReports == 0 {
		l.coldSince = now
	}
	l.coldReports++
	return l.coldReports <= maxColdReports || now.Sub(l.coldSince) < coldReportPeriod
}

// LastSignal returns the signal that last dropped the limit, or 0 if none did.
func (l *Limiter) LastSignal() Signal { return l.lastSignal }

func (l *Limiter) dropToFloor(now time.Time, signal Signal) {
	l.lastSignal = signal
	l.phase = cold
	l.coldSignalled = true
	l.limit = l.floor()
	l.normalRun = 0
	l.latency.reset()
	l.ignoreWarmUntil = now.Add(l.params.HoldDown)
}

func backoff(failures int) time.Duration {
	if failures < lostAfter {
		return firstBackoff
	}
	return min(firstBackoff<<min(failures-lostAfter+1, 10), maxBackoff)
}
