// Package upstream chooses the replica of one service that a request goes to, from
// what this node has seen of each: answers, latency, failures and requests that are
// still out. Nothing in it does I/O or reads a clock.
package upstream

import (
	"math/rand/v2"
	"time"

	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// failureCost is how much a failure costs in units of the usual latency: a
	// retry and the wait before it, and a part of the extra-request budget.
	failureCost = 8
	// stalledAfter is the multiple of a class's usual latency after which a
	// request that is still out tells that its replica stands still.
	stalledAfter = 2.0
	// queueCost is the share of the usual latency that each request in flight from
	// this node adds.
	queueCost = 0.5
	// awayCost is added for a replica in another data centre, since bytes between data
	// centres are dear. A replica next door that stands still, or has four requests of
	// this node, costs more.
	awayCost = 2.0
	// crowdedFrom is the slowness from which a replica counts as having more to do than
	// it can.
	crowdedFrom = 3.0
	// jitter spreads the choices of many nodes that see the same.
	jitter = 0.25
	// coldCost is how much slower a replica is expected to be while it is cold.
	coldCost = 1.6
)

// State is what this node knows of one replica.
type State struct {
	Replica *registry.Replica

	slowness   slowness
	failures   float64
	failedAt   time.Time
	streak     int
	pauseUntil time.Time
	// gone is set once another replica answered at the address. The registry may not
	// tell for as long as the store is away, and each further request there would
	// arrive at a replica of another service and count against that one's budget for
	// retries. Only a newer record of the replica ends it.
	gone bool
	out  []attempt
	cold bucket
}

// attempt is a request that is out at a replica.
type attempt struct {
	id    uint64
	sent  time.Time
	usual time.Duration
}

// Balancer is what this node knows of one service. Not safe for concurrent use.
type Balancer struct {
	rng    *rand.Rand
	states map[string]*State
	usable []*State
	usual  map[string]*usual
	nextID uint64
}

// NewBalancer returns an empty set.
func NewBalancer(rng *rand.Rand) *Balancer {
	return &Balancer{rng: rng, states: make(map[string]*State), usual: make(map[string]*usual)}
}

// SetReplicas replaces the usable replicas. What is known of those that stay is kept; a new
// incarnation starts anew.
func (s *Balancer) SetReplicas(replicas []*registry.Replica) {
	kept := make(map[string]*State, len(replicas))
	s.usable = s.usable[:0]
	for _, r := range replicas {
		st := s.states[r.ID]
		if st == nil || st.restarted(r) {
			st = &State{slowness: newSlowness()}
		}
		st.Replica = r
		kept[r.ID] = st
		s.usable = append(s.usable, st)
	}
	s.states = kept
}

// restarted reports whether a record tells of another start of the replica than the
// one that is known.
func (st *State) restarted(r *registry.Replica) bool {
	return st.Replica.Incarnation != r.Incarnation || st.Replica.Address != r.Address
}

// Request describes what a replica is chosen for.
type Request struct {
	// Class groups requests of like work.
	Class string
	// DataCentre of this node.
	DataCentre string
	// Tried replicas get no second attempt of the same request.
	Tried func(id string) bool
	// Unreachable data centres get nothing; may be nil.
	Unreachable map[string]bool
	// MaxInFlightPerReplica is how many requests this node may have out at one replica.
	MaxInFlightPerReplica int
	// ColdPerSecond is this node's part of the rate that a cold replica bears;
	// negative when there is no bound.
	ColdPerSecond float64
	// Optional is set for a request that need not be sent: it goes to no replica that
	// rests, is cold or stands still.
	Optional bool
}

// bears reports whether the replica may get one more request now. A request that need
// not be sent goes to none that is cold or at a standstill.
func (st *State) bears(now time.Time, q Request) bool {
	if len(st.out) >= st.room(now, q) {
		return false
	}
	if q.Optional && st.stalled(now) {
		return false
	}
	if q.ColdPerSecond < 0 || !st.isCold(now) {
		return true
	}
	return !q.Optional && st.cold.has(now, q.ColdPerSecond)
}

// Pick returns the replica expected to answer first, or nil when none may be used.
// Replicas that rest after failures come last: one of them is tried when no other is
// left, since a request that may fail is better than one that is given up.
func (s *Balancer) Pick(now time.Time, q Request) *State {
	var best, resting *State
	var bestCost float64
	var restingUntil time.Time
	for _, st := range s.usable {
		if st.gone || q.Unreachable[st.Replica.DataCentre] || q.Tried != nil && q.Tried(st.Replica.ID) {
			continue
		}
		if !st.bears(now, q) {
			continue
		}
		if now.Before(st.pauseUntil) {
			if !q.Optional && (resting == nil || st.pauseUntil.Before(restingUntil)) && len(st.out) == 0 {
				resting, restingUntil = st, st.pauseUntil
			}
			continue
		}
		cost := s.cost(now, st, q)
		if best == nil || cost < bestCost {
			best, bestCost = st, cost
		}
	}
	if best == nil {
		best = resting
	}
	return best
}

// room is how many requests of this node the replica may have out. Half of the places at a
// replica that takes several times the usual keep its queue inside the objective while
// callers ask for more than it can serve; the rest is refused at once.
func (st *State) room(now time.Time, q Request) int {
	if st.slowness.at(now) < crowdedFrom {
		return q.MaxInFlightPerReplica
	}
	return (q.MaxInFlightPerReplica + 1) / 2
}

func (st *State) isCold(now time.Time) bool {
	return now.Before(st.Replica.ColdUntil)
}

// cost estimates the latency at a replica in units of the class's usual one.
func (s *Balancer) cost(now time.Time, st *State, q Request) float64 {
	slow := st.slowness.at(now)
	if st.isCold(now) {
		slow = max(slow, coldCost)
	}
	cost := slow * (1 + queueCost*float64(len(st.out)))
	for _, a := range st.out {
		if age := float64(now.Sub(a.sent)) / float64(a.usual); age > stalledAfter {
			cost += age
		}
	}
	cost += failureCost * st.failureRate(now)
	if st.Replica.DataCentre != q.DataCentre {
		cost += awayCost
	}
	return cost * (1 + jitter*(s.rng.Float64()-0.5))
}

// stalled reports whether a request has been out for so long that the replica stands
// still or is gone.
func (st *State) stalled(now time.Time) bool {
	for _, a := range st.out {
		if now.Sub(a.sent) > time.Duration(2*stalledAfter*float64(a.usual)) {
			return true
		}
	}
	return false
}

// ForEachPending calls f for each attempt that has been out for longer than age.
func (s *Balancer) ForEachPending(now time.Time, age time.Duration, f func(r *registry.Replica)) {
	for _, st := range s.usable {
		for _, a := range st.out {
			if now.Sub(a.sent) > age {
				f(st.Replica)
			}
		}
	}
}

// BaselineLatency returns the usual latency of a class at this service.
func (s *Balancer) BaselineLatency(class string) time.Duration {
	if u := s.usual[class]; u != nil {
		return max(u.latency, minUsual)
	}
	return defaultUsual
}

// RecordSent counts a request that goes to the picked replica and returns its handle for
// Done or UndoSent.
func (s *Balancer) RecordSent(now time.Time, st *State, q Request) uint64 {
	s.nextID++
	st.out = append(st.out, attempt{id: s.nextID, sent: now, usual: s.BaselineLatency(q.Class)})
	if st.isCold(now) && q.ColdPerSecond >= 0 {
		st.cold.take(now, q.ColdPerSecond)
	}
	return s.nextID
}

// UndoSent takes a request back that was not sent after all.
func (s *Balancer) UndoSent(st *State, handle uint64) {
	st.remove(handle)
}
