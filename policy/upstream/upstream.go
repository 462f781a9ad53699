// Package upstream selects the replica of a service that receives a request. The
// selection uses this node's observations of each replica: answers, latency, failures
// and requests in flight. The package does no I/O and reads no clock.
package upstream

import (
	"math/rand/v2"
	"time"

	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// failureCost is the cost of a failure as a multiple of the baseline latency: a
	// retry, the backoff before it, and a part of the budget for extra requests.
	failureCost = 8
	// stalledAfter is the multiple of a class's baseline latency after which a request
	// in flight indicates that its replica has stalled.
	stalledAfter = 2.0
	// queueCost is the fraction of the baseline latency that each request in flight
	// from this node adds.
	queueCost = 0.5
	// remoteCost is added for a replica in another data centre, because traffic between
	// data centres is expensive. A remote replica costs as much as a local one with four
	// requests of this node in flight, and less than a local one that has stalled.
	remoteCost = 2.0
	// overloadedFrom is the slowness from which a replica counts as overloaded.
	overloadedFrom = 3.0
	// jitter spreads the choices of nodes that have the same observations.
	jitter = 0.25
	// minColdSlowness is the minimum slowness assumed for a cold replica.
	minColdSlowness = 1.6
)

// State holds this node's observations of one replica.
type State struct {
	Replica *registry.Replica

	slowness slowness
	// failures is the failure rate at failedAt.
	failures      float64
	failedAt      time.Time
	failuresInRow int
	// answeredAt is the time of the last answer; zero without one since the last failure.
	answeredAt   time.Time
	backoffUntil time.Time
	// addressReused is set once another replica answered at the address. The registry
	// may list the old record as long as the store is unavailable. A further request
	// would arrive at a replica of another service and use up that service's retry
	// budget. A record with another incarnation or address clears it.
	addressReused bool
	inFlight      []attempt
	coldRate      rateLimiter
	silence       silence
	// unconnectable is set while no connection could be opened at the last attempt.
	unconnectable bool
	// observed is what other nodes have observed.
	observed Observed
	// load is the newest report of the replica, reported at loadAt.
	load   load.Report
	loadAt time.Time
	pace   load.Pace
}

// attempt is a request in flight at a replica.
type attempt struct {
	id       uint64
	sent     time.Time
	baseline time.Duration
	// relayed is set if another node sends the attempt.
	relayed bool
}

// Balancer selects among the replicas of one service. Not safe for concurrent use.
type Balancer struct {
	rng       *rand.Rand
	states    map[string]*State
	usable    []*State
	baselines map[string]*baseline
	sent      rate
	nextID    uint64
	// probeAt and requiredProbeAt are the times of the last probes while all replicas were
	// silent, by any request and by one that needed an answer.
	probeAt, requiredProbeAt time.Time
	regimes                  load.Regimes
	trust                    *load.Trust
}

// NewBalancer returns a balancer without replicas.
func NewBalancer(rng *rand.Rand) *Balancer {
	return &Balancer{
		rng: rng, states: make(map[string]*State), baselines: make(map[string]*baseline), trust: new(load.Trust),
	}
}

// ShareTrust makes the balancer use, and learn, the trust in load reports that it shares with
// the balancers of the node's other services.
func (b *Balancer) ShareTrust(t *load.Trust) { b.trust = t }

// SetReplicas replaces the usable replicas. The state of a replica that stays is kept;
// a new incarnation or address starts with a new state.
func (b *Balancer) SetReplicas(replicas []*registry.Replica) {
	kept := make(map[string]*State, len(replicas))
	b.usable = b.usable[:0]
	for _, r := range replicas {
		st := b.states[r.ID]
		if st == nil || st.restarted(r) {
			st = &State{slowness: newSlowness()}
		}
		st.Replica = r
		kept[r.ID] = st
		b.usable = append(b.usable, st)
	}
	b.states = kept
}

// restarted reports whether the record belongs to another start of the replica than
// the current one.
func (st *State) restarted(r *registry.Replica) bool {
	return st.Replica.Incarnation != r.Incarnation || st.Replica.Address != r.Address
}

// Request describes the request for which a replica is selected.
type Request struct {
	// Class groups requests of similar cost.
	Class string
	// DataCentre of this node.
	DataCentre string
	// Tried reports whether a replica had an attempt of this request before. Such a
	// replica is not selected; may be nil.
	Tried func(id string) bool
	// Eligible reports whether a replica may be selected; may be nil.
	Eligible func(r *registry.Replica) bool
	// Unreachable data centres are excluded; may be nil.
	Unreachable map[string]bool
	// MaxInFlightPerReplica bounds this node's requests in flight at one replica.
	MaxInFlightPerReplica int
	// ColdPerSecond is this node's part of the rate that a cold replica can serve;
	// negative for no bound.
	ColdPerSecond float64
	// Optional is set for a request that is not required, such as a hedge. Such a
	// request goes to no replica that backs off or has stalled, and to no cold one
	// unless ColdPerSecond is negative.
	Optional bool
}

// accepts reports whether the replica may receive one more request now.
func (b *Balancer) accepts(now time.Time, st *State, q Request) bool {
	if len(st.inFlight) >= b.maxInFlight(now, st, q) {
		return false
	}
	if q.Optional && st.stalled(now) {
		return false
	}
	if q.ColdPerSecond < 0 || !st.isCold(now) {
		return true
	}
	return !q.Optional && st.coldRate.allows(now, q.ColdPerSecond)
}

// Pick returns the replica with the lowest expected cost, or nil if none may be used. If
// all others are excluded, Pick returns the replica whose backoff ends first, since a
// request that may fail is better than none. That replica must have no request of this
// node in flight, and the request must not be optional.
func (b *Balancer) Pick(now time.Time, q Request) *State {
	var best, fallback *State
	var bestCost float64
	var fallbackUntil time.Time
	for _, st := range b.usable {
		if st.addressReused || q.Unreachable[st.Replica.DataCentre] || q.Tried != nil && q.Tried(st.Replica.ID) {
			continue
		}
		if q.Eligible != nil && !q.Eligible(st.Replica) {
			continue
		}
		if !b.accepts(now, st, q) {
			continue
		}
		if now.Before(st.backoffUntil) {
			if !q.Optional && (fallback == nil || st.backoffUntil.Before(fallbackUntil)) && len(st.inFlight) == 0 {
				fallback, fallbackUntil = st, st.backoffUntil
			}
			continue
		}
		cost := b.cost(now, st, q)
		if best == nil || cost < bestCost {
			best, bestCost = st, cost
		}
	}
	if best == nil {
		best = fallback
	}
	return best
}

// maxInFlight bounds this node's requests in flight at the replica. An overloaded
// replica gets half of the bound, rounded up. Its queue then stays within the latency
// objective, and the excess requests are refused at once.
func (b *Balancer) maxInFlight(now time.Time, st *State, q Request) int {
	if st.slowness.at(now)*b.Pace(now, st) < overloadedFrom {
		return q.MaxInFlightPerReplica
	}
	return (q.MaxInFlightPerReplica + 1) / 2
}

func (st *State) isCold(now time.Time) bool {
	return now.Before(st.Replica.ColdUntil)
}

// cost estimates the cost of a request at a replica as a multiple of the baseline
// latency. The expected pace counts squared: otherwise a local replica whose VM is 2.5 times
// slower costs less than a remote one, keeps its requests, and delays gathered answers.
func (b *Balancer) cost(now time.Time, st *State, q Request) float64 {
	pace := b.Pace(now, st)
	slow := st.slowness.at(now) * pace * pace
	if st.isCold(now) {
		slow = max(slow, minColdSlowness)
	}
	cost := slow * (1 + queueCost*float64(len(st.inFlight)))
	for _, a := range st.inFlight {
		if age := float64(now.Sub(a.sent)) / float64(a.baseline); age > stalledAfter {
			cost += age
		}
	}
	cost += st.observedCost(now)
	if st.Replica.DataCentre != q.DataCentre {
		cost += remoteCost
	}
	cost *= 1 - b.familiarDiscount(now, st)
	return cost * (1 + jitter*(b.rng.Float64()-0.5))
}

// stalled reports whether a request has been in flight for more than twice stalledAfter,
// so that the replica has stalled or ended.
func (st *State) stalled(now time.Time) bool {
	for _, a := range st.inFlight {
		if now.Sub(a.sent) > time.Duration(2*stalledAfter*float64(a.baseline)) {
			return true
		}
	}
	return false
}

// InFlight returns the number of attempts in flight at the replicas for which of is true.
func (b *Balancer) InFlight(of func(r *registry.Replica) bool) int {
	n := 0
	for _, st := range b.usable {
		if of(st.Replica) {
			n += len(st.inFlight)
		}
	}
	return n
}

// ForEachPending calls f for each attempt that has been in flight for longer than age.
func (b *Balancer) ForEachPending(now time.Time, age time.Duration, f func(r *registry.Replica)) {
	for _, st := range b.usable {
		for _, a := range st.inFlight {
			if now.Sub(a.sent) > age {
				f(st.Replica)
			}
		}
	}
}

// BaselineLatency returns the latency of a class at this service without overload.
func (b *Balancer) BaselineLatency(class string) time.Duration {
	if base := b.baselines[class]; base != nil {
		return max(base.latency, minBaseline)
	}
	return defaultBaseline
}

// RecordSent records an attempt at the picked replica and returns its handle for Done or
// UndoSent.
func (b *Balancer) RecordSent(now time.Time, st *State, q Request) uint64 {
	b.nextID++
	b.sent.record(now)
	st.inFlight = append(st.inFlight, attempt{id: b.nextID, sent: now, baseline: b.BaselineLatency(q.Class)})
	if st.isCold(now) && q.ColdPerSecond >= 0 {
		st.coldRate.take(now, q.ColdPerSecond)
	}
	return b.nextID
}

// UndoSent removes a recorded attempt that was not sent.
func (b *Balancer) UndoSent(st *State, handle uint64) {
	st.remove(handle)
}
