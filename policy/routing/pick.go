package routing

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

const (
	// stragglerFactor is the latency of a straggler as a multiple of the median of
	// the preferred replicas of its shard.
	stragglerFactor = 3
	// probeShare is the share of picks that probe a straggler, and probePause the
	// minimum time between two probes. Each probe delays one query or causes a hedge.
	probeShare = 0.002
	probePause = 200 * time.Millisecond
	// warmUpPause is the minimum time between two warm-up copies to a cold replica,
	// divided by the slots of its limit.
	warmUpPause = 50 * time.Millisecond
	// coldShare is the share of picks that probe a cold replica, multiplied by the
	// slots of its limit. coldPause is the minimum time between two probes, divided
	// by these slots. It exceeds warmUpPause, so that no query waits for a cold
	// replica while warm-up copies can be sent.
	coldShare = 0.02
	coldPause = 100 * time.Millisecond
	// unavailablePause is the minimum time between two probes of a lost or draining
	// replica. The owner refuses the probes until the replica is available again.
	unavailablePause = time.Second
)

// tier ranks the candidates. A replica is chosen from the lowest tier that has any.
type tier int

const (
	preferred tier = iota
	straggler
	refusing
	cold
	lost
	draining
)

type choice struct {
	replica *config.Replica
	stats   *replica
	tier    tier
}

// Pick chooses one of the candidates, which are untried replicas of one shard that
// may hold the snapshot. It ignores candidates that are out of service, and returns nil
// if no candidate remains.
func (t *Table) Pick(candidates []*config.Replica, now time.Time) *config.Replica {
	t.choices = t.choices[:0]
	best := draining
	for _, candidate := range candidates {
		if !candidate.InService {
			continue
		}
		stats := t.replica(candidate.Name)
		c := choice{replica: candidate, stats: stats, tier: stats.tier(now)}
		t.choices = append(t.choices, c)
		best = min(best, c.tier)
	}
	if len(t.choices) == 0 {
		return nil
	}
	if best == preferred {
		t.markStragglers()
		if c := t.probe(now); c != nil {
			c.stats.lastProbe = now
			return c.replica
		}
	}
	return t.twoChoices(best, now).replica
}

// PickHedge chooses a candidate for a hedge. It returns nil if every candidate is
// slow, cold, full or refusing, because a hedge to such a replica does not help.
func (t *Table) PickHedge(candidates []*config.Replica, now time.Time) *config.Replica {
	t.choices = t.choices[:0]
	for _, candidate := range candidates {
		stats := t.replica(candidate.Name)
		if candidate.InService && stats.acceptsExtra(now) {
			t.choices = append(t.choices, choice{replica: candidate, stats: stats})
		}
	}
	t.markStragglers()
	for i := range t.choices {
		if t.choices[i].tier == preferred {
			return t.twoChoices(preferred, now).replica
		}
	}
	return nil
}

// PickWarmUp returns a cold candidate that may receive a copy of a subrequest now, or
// nil.
func (t *Table) PickWarmUp(candidates []*config.Replica, now time.Time) *config.Replica {
	for _, candidate := range candidates {
		stats := t.replica(candidate.Name)
		if candidate.InService && stats.tier(now) == cold && stats.acceptsWarmUp(now) {
			return candidate
		}
	}
	return nil
}

// AnyCold reports whether any replica was last reported cold. If there is none, the
// caller need not check the candidates of each shard.
func (t *Table) AnyCold() bool {
	return t.cold > 0
}

// acceptsWarmUp reports whether the replica may receive a warm-up copy now. Its owner
// refuses copies above its limit and each refusal lengthens the pause, so many nodes
// together send little more than the replica accepts.
func (r *replica) acceptsWarmUp(now time.Time) bool {
	slots := max(r.limit, 1)
	if r.inFlight >= slots || now.Before(r.pausedUntil) {
		return false
	}
	return now.Sub(r.lastProbe) >= warmUpPause/time.Duration(slots)
}

// tier returns the tier of the replica. It does not detect stragglers, which requires
// a comparison with other replicas.
func (r *replica) tier(now time.Time) tier {
	switch {
	case r.state == pb.ReplicaState_REPLICA_STATE_DRAINING:
		return draining
	case r.state == pb.ReplicaState_REPLICA_STATE_LOST:
		return lost
	case r.state == pb.ReplicaState_REPLICA_STATE_COLD:
		return cold
	case now.Before(r.pausedUntil):
		return refusing
	default:
		return preferred
	}
}

// markStragglers moves stragglers out of the preferred tier. It compares them with
// the lower median of the preferred candidates, so that one fast replica among equals
// makes no other a straggler, and the slower of two replicas is detected.
func (t *Table) markStragglers() {
	fastest, slowest, n := 0.0, 0.0, 0
	for i := range t.choices {
		c := &t.choices[i]
		if c.tier != preferred || c.stats.latency == 0 {
			continue
		}
		if n == 0 || c.stats.latency < fastest {
			fastest = c.stats.latency
		}
		slowest = max(slowest, c.stats.latency)
		n++
	}
	if n < 2 || slowest <= stragglerFactor*fastest {
		return
	}
	bound := stragglerFactor * t.median((n-1)/2)
	for i := range t.choices {
		c := &t.choices[i]
		if c.tier == preferred && c.stats.latency > bound {
			c.tier = straggler
		}
	}
}

// median returns the latency of the given rank among the preferred candidates. It is
// called only when latencies differ widely. The quadratic cost is small because a
// shard has few replicas.
func (t *Table) median(rank int) float64 {
	for i := range t.choices {
		c := &t.choices[i]
		if c.tier != preferred || c.stats.latency == 0 {
			continue
		}
		lower, equal := 0, 0
		for j := range t.choices {
			other := &t.choices[j]
			switch {
			case other.tier != preferred || other.stats.latency == 0:
			case other.stats.latency < c.stats.latency:
				lower++
			case other.stats.latency == c.stats.latency:
				equal++
			}
		}
		if lower <= rank && rank < lower+equal {
			return c.stats.latency
		}
	}
	return 0
}

// probe returns a candidate outside the preferred tier that receives this request as a
// probe, or nil. Probes detect a recovery, and a cold replica needs requests to warm up.
func (t *Table) probe(now time.Time) *choice {
	for i := range t.choices {
		c := &t.choices[i]
		share, pause := c.probeLimits()
		if share == 0 || c.stats.inFlight > 0 && c.tier != cold {
			continue
		}
		if now.Sub(c.stats.lastProbe) < pause || now.Before(c.stats.pausedUntil) {
			continue
		}
		if t.rng.Float64() < share {
			return c
		}
	}
	return nil
}

// probeLimits returns the share of picks that may probe a candidate, and the minimum
// time between two probes.
func (c *choice) probeLimits() (share float64, pause time.Duration) {
	slots := max(c.stats.limit, 1)
	switch c.tier {
	case straggler:
		return probeShare, probePause
	case cold:
		if c.stats.inFlight >= slots {
			return 0, 0
		}
		return coldShare * float64(slots), coldPause / time.Duration(slots)
	case lost, draining:
		return coldShare, unavailablePause
	default:
		return 0, 0
	}
}

// twoChoices selects two candidates of a tier at random and returns the one with the
// lower expected wait. If every node always chose the best candidate, the whole fleet
// would send to one replica between two reports.
func (t *Table) twoChoices(in tier, now time.Time) *choice {
	n := 0
	for i := range t.choices {
		if t.choices[i].tier == in {
			t.choices[n], t.choices[i] = t.choices[i], t.choices[n]
			n++
		}
	}
	if n == 1 {
		return &t.choices[0]
	}
	i := t.rng.IntN(n)
	j := t.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := &t.choices[i], &t.choices[j]
	if b.stats.cost(now) < a.stats.cost(now) {
		return b
	}
	return a
}

// cost returns the expected wait behind the requests in flight. The latency decays
// with the time since the last answer. Without the decay, a replica with one slow
// answer would lose every comparison, receive no further requests and stay unused.
func (r *replica) cost(now time.Time) float64 {
	latency := r.latency
	if latency == 0 {
		latency = float64(firstLatency)
	}
	if idle := now.Sub(r.updatedAt); idle > 0 && !r.updatedAt.IsZero() {
		latency /= 1 + float64(idle)/float64(staleAfter)
	}
	return latency * float64(1+r.load(now))
}
