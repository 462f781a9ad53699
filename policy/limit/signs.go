package limit

import "time"

// Signal is something seen of a replica outside an ordinary answer.
type Signal int

const (
	// SignalRefused means that a connection was refused or could not be opened.
	SignalRefused Signal = iota + 1
	// SignalReset means that an open connection, idle or in use, was closed by the replica.
	SignalReset
	// SignalIncarnation means that the replica names another incarnation than before.
	SignalIncarnation
	// SignalShed means that the replica refused a request for its load.
	SignalShed
	// SignalColdReport means that the replica or another owner reports a cold start.
	SignalColdReport
	// SignalSlow means that latency is far from that of its siblings.
	SignalSlow
	// SignalDraining means that the replica takes no new work.
	SignalDraining
	// SignalServing means that a replica that was draining takes work again. It comes back
	// cold, whatever it says.
	SignalServing
	// SignalReachable means that a connection could be opened again. The replica
	// is no longer lost, but cold until shown otherwise.
	SignalReachable
)

// String names the sign for operators.
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
	// lostAfter is the number of failed connections in a row after which the
	// replica counts as lost.
	lostAfter = 3
	// firstBackoff doubles up to maxBackoff between attempts at a lost replica.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// reportPatience is the number of reports of a cold start in a row that are
	// believed whatever the latency, and reportTime how long they are at the least.
	// Either alone would fail: a replica that is polled rarely gives few reports in
	// that time, and one that is warmed up quickly gives many while it is cold.
	reportPatience = 64
	reportTime     = 15 * time.Second
)

// Observe applies a sign. Each sign of a cold start is enough alone to drop the
// limit: they lag or get lost singly, and a limit that is too low for a second
// costs little against a replica that falls over.
func (l *Limiter) Observe(now time.Time, sign Signal) {
	switch sign {
	case SignalDraining:
		l.draining = true
	case SignalServing:
		if l.draining {
			l.draining = false
			l.chill(now, sign)
		}
	case SignalReachable:
		l.lost = 0
		l.pausedUntil = now
	case SignalRefused, SignalReset:
		l.connectionFailed(now)
		l.coldReports = 0
		l.chill(now, sign)
	case SignalIncarnation:
		// A new incarnation has no part in the drain of the earlier one, and its
		// reports are its own: what the earlier one repeated does not make them
		// stale.
		l.draining = false
		l.coldReports = 0
		l.chill(now, sign)
	case SignalColdReport:
		if l.believeColdReport(now) {
			l.chill(now, sign)
		}
	case SignalShed, SignalSlow:
		l.chill(now, sign)
	}
}

// connectionFailed counts failures once in each pause, because a restart closes
// all open connections together.
func (l *Limiter) connectionFailed(now time.Time) {
	if now.Before(l.pausedUntil) {
		return
	}
	l.lost++
	l.pausedUntil = now.Add(backoff(l.lost))
}

// believeColdReport trusts reports of a cold start up to a number in a row, and
// for some time. Reports can be stuck: a replica that answers at normal latency
// all the while would otherwise stay at the floor for ever. Growth still needs
// successes at normal latency.
func (l *Limiter) believeColdReport(now time.Time) bool {
	if l.coldReports == 0 {
		l.coldSince = now
	}
	l.coldReports++
	return l.coldReports <= reportPatience || now.Sub(l.coldSince) < reportTime
}

// LastSignal returns the sign that last dropped the limit, 0 when none did.
func (l *Limiter) LastSignal() Signal { return l.lastSign }

// chill drops the limit to the cold floor.
func (l *Limiter) chill(now time.Time, why Signal) {
	l.lastSign = why
	l.phase = cold
	l.signSeen = true
	l.limit = l.floor()
	l.run = 0
	l.latency.restart()
	l.distrustUntil = now.Add(l.params.HoldDown)
}

func backoff(failures int) time.Duration {
	if failures < lostAfter {
		return firstBackoff
	}
	return min(firstBackoff<<min(failures-lostAfter+1, 10), maxBackoff)
}
