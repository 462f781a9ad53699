package upgrade

import (
	"slices"
	"time"

	"github.com/carobmill/carobmill/policy/registry"
)

// Bound limits the requests that all nodes together send to a version before it is judged.
type Bound struct {
	// Share is the share of the service's requests since the order, and Slack a number of
	// requests in addition.
	Share, Slack float64
	// GrantTTL is how long a gate acts on a grant for a trial without another one. After that,
	// the leader may have ended the trial without this node's knowledge.
	GrantTTL time.Duration
}

const (
	// canaryPart, loadPart and confirmPart are the parts of the bound that a version may
	// have received by the end of those phases. Most of it is for the load phase, which finds
	// what the canary phase finds, and faults under load too. The remainder covers attempts
	// that nodes do not count: those of nodes that restarted, and one of rounding at each.
	canaryPart  = 0.15
	loadPart    = 0.82
	confirmPart = 0.92
	// maxLoadShare bounds the share of requests that the load phase sends to the new
	// version, so that the old version's answers of the same time remain for comparison.
	maxLoadShare = 2.0 / 3
)

// Grant is a leader's instruction to a gate.
type Grant struct {
	Service string
	// Order is the revision of the order, and Term that of the leader.
	Order, Term uint64
	// Phase is the phase to act by. With Inquire set, the gate keeps its phase and only
	// reports: a new leader has yet to learn how far its predecessor came.
	Phase   Phase
	Inquire bool
	// Trial holds the IDs of the new version's replicas that receive requests in the phases
	// before the shift.
	Trial []string
}

// Gate decides which versions of one service the attempts of one node may use while the
// service is upgraded, and collects the answers of both versions. Not safe for concurrent
// use.
type Gate struct {
	order Order
	bound Bound
	// offset, 0 to 1, is added to this node's part of the bound before the part is rounded
	// down. Spread evenly over the nodes, it keeps the sum of the parts.
	offset float64
	// witnessed is set if the node followed the store when the order was written. A node
	// that has started since may have used its part of the slack before.
	witnessed bool
	// orderedAt is the earliest time at which the order may have been written.
	orderedAt time.Time

	term      uint64
	phase     Phase
	grantedAt time.Time

	// added is the number of usable new replicas. trial holds the IDs of those on trial.
	added int
	trial []string
	// credit accumulates the share of requests that a load phase sends to the new version,
	// until it is worth one request. It begins at offset, so that the nodes do not send their
	// first ones at the same moment.
	credit float64
	// replaces is set if the service has had replicas of another version.
	replaces bool

	requests, exposed int
	samples           map[sampleKey]*Sample
}

// NewGate returns the gate of an order. orderedAt is the earliest time at which it may have been
// written, as far as the node knows.
func NewGate(orderedAt time.Time, o Order, b Bound, offset float64, witnessed bool) *Gate {
	return &Gate{
		order: o, bound: b, offset: offset, witnessed: witnessed, orderedAt: orderedAt, credit: offset,
		samples: make(map[sampleKey]*Sample),
	}
}

// Order returns the order that the gate carries out.
func (g *Gate) Order() Order { return g.order }

// Phase returns the granted phase.
func (g *Gate) Phase() Phase { return g.phase }

// IsNew reports whether a replica has the version of the order.
func (g *Gate) IsNew(r *registry.Replica) bool { return r.Version == g.order.Version }

// SetReplicas replaces the usable replicas of the service.
func (g *Gate) SetReplicas(replicas []*registry.Replica) {
	g.added = 0
	for _, r := range replicas {
		if g.IsNew(r) {
			g.added++
		} else {
			g.replaces = true
		}
	}
}

// Apply applies a grant and reports whether the gate accepts it. A leader of an earlier term
// is not accepted, and a phase is not taken back.
func (g *Gate) Apply(now time.Time, grant Grant) bool {
	if grant.Order != g.order.Revision || grant.Term < g.term {
		return false
	}
	g.term = grant.Term
	if grant.Inquire {
		return true
	}
	if grant.Phase >= g.phase {
		g.phase, g.trial = grant.Phase, grant.Trial
	}
	g.grantedAt = now
	return true
}

// Choice states which version an attempt uses.
type Choice struct {
	// New is set for the new version.
	New bool
	// Fallback is set if the old version may be used when the new one has no usable replica.
	Fallback bool
}

// Choose returns the version of the next attempt. extra is set for all attempts of a shard
// other than its first. size is the size of the fleet in units of this node's capacity.
func (g *Gate) Choose(now time.Time, extra bool, size float64) Choice {
	if !g.replaces {
		return Choice{New: true, Fallback: true}
	}
	granted := now.Sub(g.grantedAt) <= g.bound.GrantTTL
	switch g.phase {
	case Canary:
		return Choice{New: granted && !extra && g.affords(now, size), Fallback: true}
	case Load, Confirm:
		if !granted || extra || g.added == 0 {
			return Choice{}
		}
		share := min(maxLoadShare, float64(len(g.trial))/float64(g.added))
		g.credit = min(g.credit+share, 1+share)
		return Choice{New: g.credit >= 1 && g.affords(now, size), Fallback: true}
	case Shift:
		return Choice{New: granted, Fallback: true}
	case Close:
		// Without a leader nobody completes the upgrade, and the old replicas keep serving.
		return Choice{New: true, Fallback: !granted}
	case Done:
		return Choice{New: true}
	}
	return Choice{}
}

// affords reports whether this node's part of the bound allows another request to the new
// version.
func (g *Gate) affords(now time.Time, size float64) bool {
	return float64(g.exposed+1) <= g.allowed(now, size)+g.offset
}

// allowed returns how many requests this node may have sent to the new version by now.
func (g *Gate) allowed(now time.Time, size float64) float64 {
	slack := 0.0
	if g.witnessed {
		slack = g.bound.Slack / max(size, 1)
	}
	share := g.bound.Share * float64(g.requests)
	if g.phase == Canary {
		// The slack is spent evenly over the phase, so that a fault that begins later is
		// seen too.
		spent := float64(now.Sub(g.orderedAt)) / float64(LoadAt(g.order.Period))
		return canaryPart * (share + slack*min(1, spent))
	}
	if g.phase == Confirm {
		return confirmPart * (share + slack)
	}
	return loadPart * (share + slack)
}

// Eligible reports whether a replica may receive an attempt of a choice.
func (g *Gate) Eligible(r *registry.Replica, toNew bool) bool {
	if g.IsNew(r) != toNew {
		return false
	}
	return !toNew || !g.replaces || g.phase >= Shift || slices.Contains(g.trial, r.ID)
}

// Forbids reports whether the granted phase excludes a replica at every node.
func (g *Gate) Forbids(r *registry.Replica) bool {
	switch g.phase {
	case Close, Done:
		return !g.IsNew(r)
	case Revert:
		return g.IsNew(r)
	}
	return false
}

// Sent records an attempt at a replica. extra is as in Choose.
func (g *Gate) Sent(r *registry.Replica, extra bool) {
	if !extra {
		g.requests++
	}
	if !g.IsNew(r) {
		return
	}
	g.exposed++
	if g.phase == Load || g.phase == Confirm {
		g.credit--
	}
}

// Undo takes back a recorded attempt that was not sent.
func (g *Gate) Undo(r *registry.Replica, extra bool) {
	if !extra {
		g.requests--
	}
	if g.IsNew(r) {
		g.exposed--
	}
}

// Result is the end of an attempt.
type Result struct {
	Route   string
	Replica *registry.Replica
	// Answered is set if the replica has answered, and Failed if the answer is a failure
	// of its own. Other ends, such as a lost connection, say nothing about the version.
	Answered, Failed bool
	Took             time.Duration
}

// Ended records the end of an attempt.
func (g *Gate) Ended(now time.Time, r Result) {
	key := sampleKey{phase: g.phase, route: r.Route}
	if g.IsNew(r.Replica) {
		key.replica = r.Replica.ID
		if g.phase < Shift && !slices.Contains(g.trial, r.Replica.ID) {
			// The attempt was sent in the phase before.
			key.phase = max(g.phase-1, Canary)
		}
	}
	if !r.Answered {
		return
	}
	s := g.samples[key]
	if s == nil {
		s = &Sample{Phase: key.phase, Route: r.Route, Replica: key.replica}
		g.samples[key] = s
	}
	s.add(r, now.Before(r.Replica.ColdUntil))
}

// Report is the state of a gate.
type Report struct {
	Order, Term uint64
	Phase       Phase
	// Elapsed is the longest time since the order that agrees with what this node knows.
	Elapsed time.Duration
	// Requests counts this node's requests to the service since it saw the order, and Exposed its
	// attempts at the new version.
	Requests, Exposed int
	// Trial holds the replicas on trial.
	Trial []string
	// OldInFlight counts its attempts in flight at replicas of other versions.
	OldInFlight int
	Samples     []Sample
}

// Report returns the current state. oldInFlight is the number of this node's attempts in
// flight at replicas of other versions.
func (g *Gate) Report(now time.Time, oldInFlight int) Report {
	r := Report{
		Order: g.order.Revision, Term: g.term, Phase: g.phase, Elapsed: now.Sub(g.orderedAt),
		Trial: g.trial, Requests: g.requests, Exposed: g.exposed, OldInFlight: oldInFlight,
		Samples: make([]Sample, 0, len(g.samples)),
	}
	for _, s := range g.samples {
		r.Samples = append(r.Samples, *s)
	}
	return r
}
