package limit

import "time"

const (
	// normalFactor is how far over the reference a latency is still normal.
	normalFactor = 2
	// farFactor is how far over the reference a latency is a sign.
	farFactor = 4
	// overdueFactor is how far over the reference a request in flight holds new
	// ones back.
	overdueFactor = 3
	// slowRunCold is the number of far latencies in a row that make a replica
	// count as cold. Single ones are random stragglers: at 1% of requests, three
	// in a row come once in a million.
	slowRunCold = 3
	// improving is the part of the best latency below which a new one says that
	// the replica is still warming up.
	improving = 0.7
	// bestAging lets the best latency rise, a part each second, so that a replica
	// that got slower for good does not count as cold for ever.
	bestAging = 0.002
	// siblingsWeight lets the siblings' latency fall slowly, because classes
	// differ in cost.
	siblingsWeight = 0.05
)

// latency judges answers against the replica's siblings and its own best.
type latency struct {
	// best is the replica's own best latency, kept over restarts.
	best time.Duration
	at   time.Time
	// siblings is the highest recent latency of the siblings.
	siblings time.Duration
	slowRun  int
	// trial is an early latency since the last sign, used as a reference while
	// there is no other.
	trial time.Duration
}

// observe adds an answer and reports whether its latency was normal.
func (l *latency) observe(now time.Time, s Sample) bool {
	l.age(now)
	l.hearSiblings(s.PeerLatency)
	if l.slow(s) {
		return false
	}
	reference := l.reference(s)
	if reference == 0 {
		return l.steady(s.Latency)
	}
	if s.Latency > normalFactor*reference {
		return false
	}
	if l.best == 0 || s.Latency < l.best {
		l.best = s.Latency
	}
	return true
}

// slow reports whether the latency is far from the reference, a sign of a cold
// start, and counts how many in a row were. A request that was given up would
// have taken longer: at the latency where hedges win, waiting for a far one would
// hide a cold replica behind its hedges for ever.
func (l *latency) slow(s Sample) bool {
	reference := l.reference(s)
	factor := time.Duration(farFactor)
	if s.Result != ResultOK {
		factor = normalFactor
	}
	if reference == 0 || s.Latency <= factor*reference {
		if s.Result == ResultOK {
			l.slowRun = 0
		}
		return false
	}
	l.slowRun++
	return true
}

// overdue is the time after which a request in flight is late for any class, 0
// when nothing is known.
func (l *latency) overdue() time.Duration {
	return overdueFactor * max(l.siblings, l.best)
}

// reference is the more lenient of the siblings' typical latency and the
// replica's own best. Queries that are slow everywhere do not count against one
// replica; a replica in a distant data centre is compared with itself.
func (l *latency) reference(s Sample) time.Duration {
	return max(s.PeerLatency, l.best)
}

// steady judges without a reference: a replica that still gets faster is still
// warming up. The trial stays where it is until it is clearly beaten, so that
// many small steps count as well as a large one.
func (l *latency) steady(d time.Duration) bool {
	if l.trial == 0 || d < time.Duration(improving*float64(l.trial)) {
		l.trial = d
		return false
	}
	return d <= normalFactor*l.trial
}

// adoptTrial makes the trial the replica's own best when there was none.
func (l *latency) adoptTrial() {
	if l.best == 0 {
		l.best = l.trial
	}
}

func (l *latency) age(now time.Time) {
	if !l.at.IsZero() {
		l.best += time.Duration(bestAging * now.Sub(l.at).Seconds() * float64(l.best))
	}
	l.at = now
}

func (l *latency) hearSiblings(d time.Duration) {
	switch {
	case d == 0:
	case d > l.siblings:
		l.siblings = d
	default:
		l.siblings -= time.Duration(siblingsWeight * float64(l.siblings-d))
	}
}

// comparable reports whether there is a reference to judge an answer by.
func (l *latency) comparable(s Sample) bool {
	return l.reference(s) > 0
}

// restart begins a new judgement after a sign; the best latency stays, because
// it is what a warm replica must reach again.
func (l *latency) restart() {
	l.slowRun = 0
	l.trial = 0
}
