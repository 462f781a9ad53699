package limit

import "time"

const (
	// normalFactor is the highest multiple of the reference latency that is normal.
	normalFactor = 2
	// slowLatencyFactor is the multiple of the reference latency above which an
	// answer counts as slow.
	slowLatencyFactor = 4
	// overdueFactor is the multiple of the reference latency after which a request
	// in flight reduces the limit for new ones.
	overdueFactor = 3
	// coldSlowRun is the number of consecutive slow answers that indicate a cold
	// start. Fewer may be random stragglers.
	coldSlowRun = 3
	// improvedRatio is the fraction of the provisional reference below which a new
	// latency shows that the replica is still warming up.
	improvedRatio = 0.7
	// bestAgingPerSecond is the fraction by which the best latency rises each
	// second. Without it, a replica that became permanently slower would count as
	// cold forever.
	bestAgingPerSecond = 0.002
	// peerWeight is the weight of a new sample when the peers' latency falls. It is
	// low because the classes of requests differ in cost.
	peerWeight = 0.05
)

// latency compares answers with the latency of the replica's peers, the other
// replicas of its shard, and with the replica's own best latency.
type latency struct {
	// best is the replica's own best latency. It is retained when the replica restarts.
	best   time.Duration
	agedAt time.Time
	// peers is a decaying maximum of the peers' latency.
	peers   time.Duration
	slowRun int
	// provisional is an early latency since the last signal, used as the reference
	// while there is no other.
	provisional time.Duration
}

// observe adds an answer and reports whether its latency was normal.
func (l *latency) observe(now time.Time, s Sample) bool {
	l.age(now)
	l.observePeers(s.PeerLatency)
	if l.countSlow(s) {
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

// countSlow reports whether the latency is slow, and counts consecutive slow
// answers. The latency of an abandoned request is a lower bound, so a lower factor
// applies. With the higher one, hedges would end each request before it counts as
// slow and would hide a cold replica.
func (l *latency) countSlow(s Sample) bool {
	reference := l.reference(s)
	factor := time.Duration(slowLatencyFactor)
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

// overdue returns the age at which a request in flight is late whatever its class,
// or 0 without a reference.
func (l *latency) overdue() time.Duration {
	return overdueFactor * max(l.peers, l.best)
}

// reference returns the higher of the peers' typical latency and the replica's own
// best. The peers' latency covers queries that are slow at every replica. The own
// best covers a replica in a distant data centre.
func (l *latency) reference(s Sample) time.Duration {
	return max(s.PeerLatency, l.best)
}

// steady reports whether a latency without a reference is normal. A replica whose
// latency still improves is still warming up. The provisional reference changes
// only on a clear improvement, so that many small improvements count like a large
// one.
func (l *latency) steady(d time.Duration) bool {
	if l.provisional == 0 || d < time.Duration(improvedRatio*float64(l.provisional)) {
		l.provisional = d
		return false
	}
	return d <= normalFactor*l.provisional
}

// adoptProvisional makes the provisional reference the replica's own best if there
// is none.
func (l *latency) adoptProvisional() {
	if l.best == 0 {
		l.best = l.provisional
	}
}

func (l *latency) age(now time.Time) {
	if !l.agedAt.IsZero() {
		l.best += time.Duration(bestAgingPerSecond * now.Sub(l.agedAt).Seconds() * float64(l.best))
	}
	l.agedAt = now
}

func (l *latency) observePeers(d time.Duration) {
	switch {
	case d == 0:
	case d > l.peers:
		l.peers = d
	default:
		l.peers -= time.Duration(peerWeight * float64(l.peers-d))
	}
}

func (l *latency) hasReference(s Sample) bool {
	return l.reference(s) > 0
}

// reset discards the observations before a signal of a cold start. The best latency
// stays, because a warm replica must reach it again.
func (l *latency) reset() {
	l.slowRun = 0
	l.provisional = 0
}
