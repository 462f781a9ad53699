// Package coordinator decides where a forwarding node sends a caller's request: to
// itself, or to a coordinator, a node on a larger VM that asks the shards and merges
// their parts. Nothing in it does I/O or reads a clock.
//
// The load that it answers: a fleet of some ninety nodes, most of them small, gets one or
// two requests a second each, of dozens of shards. A node that asks the replicas by itself
// sees each of them once in seconds, so its choices and hedges know nothing, and its
// processor takes a good part of the objective. A few large VMs see each replica several
// times a second.
package coordinator

import (
	"hash/fnv"
	"time"
)

const (
	// advantage is how many times a node's own capacity a coordinator has at least. A
	// relayed request costs its sender a third of a small gather; to relay to an equal
	// gains nothing.
	advantage = 2
	// ample capacity in cores, from which a node follows the store from its start on. A
	// quarter of a core bears the gathers of a fleet of ninety nodes: 112 a second over
	// 36 shards at 60 us a shard.
	ample = 0.25
	// gatherWork is the processor time of a gather over 36 shards, 60 us a shard, in
	// seconds of one core.
	gatherWork = 0.0022
	// awayDelay is what a coordinator in another data centre costs in addition: 0.5 ms
	// each way, in seconds.
	awayDelay = 0.001
	// usualOffer is the time to an offer up to which coordinators count as equal, so that
	// a node stays with the one that it uses.
	usualOffer = 3 * time.Millisecond
	// staleDelay and isolatedDelay keep requests from coordinators whose news is old, or
	// that reach no other data centre, while any other can be used, in seconds. When
	// all of a data centre's are isolated, those elsewhere are most likely out of reach,
	// so that unheardDelay keeps requests from those that no heartbeat has reached.
	staleDelay    = 0.2
	isolatedDelay = 0.5
	unheardDelay  = 1.0
	// unprovenDelay keeps requests from coordinators that no heartbeat has reached lately
	// while one has reached another.
	unprovenDelay = 0.005
	// heardFor is the age of an answered heartbeat up to which a coordinator counts as
	// heard of. Heartbeats take 0.3 s.
	heardFor = 1500 * time.Millisecond
	// offerWeight of a new offer in a coordinator's expected delay.
	offerWeight = 0.2
	// spread keeps nodes from all choosing the same one of equal coordinators, and each
	// with its own: a share of the cost, which stays below awayDelay.
	spread = 0.1
	// minPause and maxPause bound how long a coordinator that failed is left alone until
	// it is tried again, by a heartbeat and not by a request.
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
)

// Member is a node that is registered in the platform's store.
type Member struct {
	Node       string
	Address    string
	DataCentre string
	// Capacity in processor cores.
	Capacity float64
}

// Fleet is the registered nodes at a revision of the store.
type Fleet struct {
	Revision uint64
	Members  []Member
}

// CanCoordinateFor reports whether m takes requests of a node of that capacity.
func (m Member) CanCoordinateFor(capacity float64) bool { return m.Capacity >= advantage*capacity }

// FollowsStoreAtStart reports whether a node need not look for a coordinator before it follows the
// store by itself.
func (m Member) FollowsStoreAtStart() bool { return m.Capacity >= ample }

// peer is what is known of one coordinator.
type peer struct {
	member Member
	offer  time.Duration
	// streak is the failures in a row; a coordinator with any gets no request until a
	// heartbeat has reached it.
	streak     int
	pauseUntil time.Time
	// heard is when a heartbeat was answered last, and condition what it told.
	heard     time.Time
	condition Condition
}

// Condition is what a coordinator says of itself.
type Condition struct {
	// Configured: it knows a configuration.
	Configured bool
	// Stale: the store has not answered it for a while. It may not know of a version
	// in force, or of a replica that leaves.
	Stale bool
	// Isolated: it reaches no other data centre.
	Isolated bool
}

// Table is the coordinators that a node may use. Not safe for concurrent use.
type Table struct {
	own      Member
	revision uint64
	peers    map[string]*peer
}

// NewTable returns a table without coordinators.
func NewTable(own Member) *Table {
	return &Table{own: own, peers: make(map[string]*peer)}
}

// Revision of the newest fleet that was taken.
func (t *Table) Revision() uint64 { return t.revision }

// Empty reports whether no node of the fleet may be a coordinator for this one.
func (t *Table) Empty() bool { return len(t.peers) == 0 }

// AllUsable reports whether no coordinator is out of use.
func (t *Table) AllUsable() bool {
	for _, p := range t.peers {
		if p.streak > 0 {
			return false
		}
	}
	return true
}

// Update takes a fleet unless a newer one is known, and reports whether it was taken.
func (t *Table) Update(f Fleet) bool {
	if f.Revision <= t.revision {
		return false
	}
	t.revision = f.Revision
	kept := make(map[string]*peer, len(f.Members))
	for _, m := range f.Members {
		if m.Node == t.own.Node || !m.CanCoordinateFor(t.own.Capacity) {
			continue
		}
		p := t.peers[m.Node]
		if p == nil || p.member.Address != m.Address {
			p = &peer{}
		}
		p.member = m
		kept[m.Node] = p
	}
	t.peers = kept
	return true
}

// Pick returns the coordinator expected to answer first, and its condition. Tried ones
// are left out.
func (t *Table) Pick(now time.Time, tried map[string]bool) (m Member, c Condition, ok bool) {
	isolated := t.Isolated(now)
	var best *peer
	var bestCost float64
	for _, p := range t.peers {
		if p.streak > 0 || tried[p.member.Node] {
			continue
		}
		cost := t.cost(p)
		switch {
		case p.heardOf(now):
		case isolated:
			cost += unheardDelay
		default:
			cost += unprovenDelay
		}
		if best == nil || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	if best == nil {
		return Member{}, Condition{}, false
	}
	return best.member, best.condition, true
}

func (p *peer) heardOf(now time.Time) bool {
	return p.streak == 0 && now.Sub(p.heard) <= heardFor
}

// Isolated reports whether a coordinator of the own data centre says that it reaches no
// other one.
func (t *Table) Isolated(now time.Time) bool {
	for _, p := range t.peers {
		if p.member.DataCentre == t.own.DataCentre && p.heardOf(now) && p.condition.Isolated {
			return true
		}
	}
	return false
}

func (t *Table) cost(p *peer) float64 {
	cost := gatherWork/p.member.Capacity + max(p.offer, usualOffer).Seconds()
	if p.member.DataCentre != t.own.DataCentre {
		cost += awayDelay
	}
	cost *= 1 + spread*rank(t.own.Node, p.member.Node)
	if p.condition.Stale {
		cost += staleDelay
	}
	if p.condition.Isolated {
		cost += isolatedDelay
	}
	return cost
}

// rank is a number from 0 to 1 that is fixed for a pair of nodes.
func rank(a, b string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a + "\x00" + b))
	return float64(h.Sum32()) / (1 << 32)
}

// NextProbe returns a coordinator to which a heartbeat is to be sent although it is not in
// use: one that failed, or, while the own data centre's are isolated, one that was not
// heard of.
func (t *Table) NextProbe(now time.Time) (Member, bool) {
	isolated := t.Isolated(now)
	var due *peer
	for _, p := range t.peers {
		waits := p.streak > 0 || isolated && !p.heardOf(now)
		if !waits || now.Before(p.pauseUntil) {
			continue
		}
		if due == nil || p.pauseUntil.Before(due.pauseUntil) {
			due = p
		}
	}
	if due == nil {
		return Member{}, false
	}
	return due.member, true
}

// RecordOffer notes that a coordinator offered to take a request after that time.
func (t *Table) RecordOffer(node string, after time.Duration) {
	if p := t.peers[node]; p != nil {
		p.offer += time.Duration(offerWeight * float64(after-p.offer))
	}
}

// RecordHeartbeat notes that a heartbeat was answered, and reports whether the coordinator was
// out of use until now.
func (t *Table) RecordHeartbeat(now time.Time, node string, c Condition) (again bool) {
	p := t.peers[node]
	if p == nil {
		return false
	}
	again = p.streak > 0
	p.streak, p.heard, p.condition = 0, now, c
	return again
}

// RecordFailure notes that a coordinator did not answer, or would not take a request, and
// reports whether it was in use until now.
func (t *Table) RecordFailure(now time.Time, node string) (first bool) {
	p := t.peers[node]
	if p == nil {
		return false
	}
	first = p.streak == 0
	p.pauseUntil = now.Add(pauseAfter(p.streak))
	p.streak++
	return first
}

// pauseAfter is how long a node that failed is left alone after as many failures before.
func pauseAfter(failures int) time.Duration {
	const doublings = 5
	return min(minPause<<min(failures, doublings), maxPause)
}

// LastHeartbeat returns when a heartbeat was answered last, by any coordinator.
func (t *Table) LastHeartbeat() time.Time {
	var last time.Time
	for _, p := range t.peers {
		if p.heard.After(last) {
			last = p.heard
		}
	}
	return last
}

// Connection is how a node stands with its coordinators.
type Connection struct {
	// Current: one was heard of whose news is new and that is not isolated.
	Current bool
	// Serving: one was heard of that can answer requests.
	Serving bool
}

// Connection returns how the node stands with its coordinators.
func (t *Table) Connection(now time.Time) Connection {
	var c Connection
	for _, p := range t.peers {
		if !p.heardOf(now) || p.condition.Isolated {
			continue
		}
		c.Current = c.Current || !p.condition.Stale
		c.Serving = c.Serving || p.condition.Configured
	}
	return c
}
