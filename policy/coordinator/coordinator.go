// Package coordinator selects the node that handles a forwarded request: the receiving
// node itself, or a coordinator. A coordinator is a node on a larger VM that queries the
// shards and merges their parts. The package does no I/O and reads no clock.
//
// In a large fleet of small nodes, each node receives one or two requests a second, and
// each request covers dozens of shards. A small node that queries the replicas directly
// sends each of them a request only every few seconds. Its latency estimates are then
// stale, and a gather uses a large share of the objective as processor time. A coordinator
// sends requests to each replica several times a second.
package coordinator

import (
	"hash/fnv"
	"time"
)

const (
	// minCapacityRatio is the least ratio of a coordinator's capacity to that of the node
	// that uses it. Relaying a request costs the sender a third of a small gather, so
	// relaying to a node of equal size saves nothing.
	minCapacityRatio = 2
	// minFollowerCores is the capacity in cores from which a node follows the store at
	// start. A quarter of a core handles the gathers of a fleet of ninety nodes: 112 a
	// second over 36 shards, at 60 us a shard.
	minFollowerCores = 0.25
	// gatherCoreSeconds is the processor time of a gather over 36 shards, at 60 us a shard.
	gatherCoreSeconds = 0.0022
	// remotePenaltySeconds is the round trip to a coordinator in another data centre, 0.5 ms
	// each way.
	remotePenaltySeconds = 0.001
	// baselineOffer is the shortest offered delay that affects the choice. Coordinators
	// with shorter offers count as equal, so that a node does not switch between them.
	baselineOffer = 3 * time.Millisecond
	// stalePenaltySeconds and isolatedPenaltySeconds rank stale and isolated coordinators
	// behind all others. When the coordinators of the own data centre are isolated, those
	// elsewhere are probably unreachable. unreachedPenaltySeconds then ranks coordinators
	// without a recent heartbeat last.
	stalePenaltySeconds     = 0.2
	isolatedPenaltySeconds  = 0.5
	unreachedPenaltySeconds = 1.0
	// unconfirmedPenaltySeconds makes a node prefer coordinators with a recent heartbeat.
	unconfirmedPenaltySeconds = 0.005
	// heartbeatFreshFor is the age up to which an answered heartbeat shows that the
	// coordinator is reachable. A coordinator may hold a heartbeat for 0.3 s before it
	// answers.
	heartbeatFreshFor = 1500 * time.Millisecond
	// offerWeight is the EWMA weight of a new offer.
	offerWeight = 0.2
	// rankSpread is the largest share that the rank adds to the cost. The rank distributes
	// nodes over equal coordinators, and makes each node stay with one of them. The added
	// cost stays below remotePenaltySeconds.
	rankSpread = 0.1
	// minBackoff and maxBackoff bound the time before a failed coordinator is probed. The
	// probe is a heartbeat, so that no request is spent on it.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Member is a node registered in the platform's store.
type Member struct {
	Node       string
	Address    string
	DataCentre string
	// Capacity is in processor cores.
	Capacity float64
}

// Fleet is the set of registered nodes at one revision of the store.
type Fleet struct {
	Revision uint64
	Members  []Member
}

// CanCoordinateFor reports whether m accepts requests from a node of the given capacity.
func (m Member) CanCoordinateFor(capacity float64) bool {
	return m.Capacity >= minCapacityRatio*capacity
}

// FollowsStoreAtStart reports whether the node follows the store at start, without first
// looking for a coordinator.
func (m Member) FollowsStoreAtStart() bool { return m.Capacity >= minFollowerCores }

// peer is the state of one coordinator.
type peer struct {
	member Member
	offer  time.Duration
	// failures is the number of consecutive failures. A coordinator with failures receives
	// no request until it answers a heartbeat.
	failures int
	probeAt  time.Time
	// lastHeartbeat is the time of the last answered heartbeat, and condition its content.
	lastHeartbeat time.Time
	condition     Condition
}

// Condition is the state that a coordinator reports in its heartbeat answers.
type Condition struct {
	// Configured is true when the coordinator has a configuration.
	Configured bool
	// Stale is true when the store does not answer the coordinator. The coordinator may
	// then miss a configuration version or the removal of a replica.
	Stale bool
	// Isolated is true when the coordinator reaches no other data centre.
	Isolated bool
}

// Table holds the coordinators that a node may use. Not safe for concurrent use.
type Table struct {
	own      Member
	revision uint64
	peers    map[string]*peer
}

// NewTable returns a table without coordinators.
func NewTable(own Member) *Table {
	return &Table{own: own, peers: make(map[string]*peer)}
}

// Revision returns the revision of the current fleet.
func (t *Table) Revision() uint64 { return t.revision }

// Empty reports whether no node of the fleet can coordinate for this one.
func (t *Table) Empty() bool { return len(t.peers) == 0 }

// AllUsable reports whether no coordinator has failures.
func (t *Table) AllUsable() bool {
	for _, p := range t.peers {
		if p.failures > 0 {
			return false
		}
	}
	return true
}

// Update replaces the fleet if f is newer, and reports whether it did.
func (t *Table) Update(f Fleet) bool {
	if f.Revision <= t.revision {
		return false
	}
	t.revision = f.Revision
	peers := make(map[string]*peer, len(f.Members))
	for _, m := range f.Members {
		if m.Node == t.own.Node || !m.CanCoordinateFor(t.own.Capacity) {
			continue
		}
		p := t.peers[m.Node]
		if p == nil || p.member.Address != m.Address {
			p = &peer{}
		}
		p.member = m
		peers[m.Node] = p
	}
	t.peers = peers
	return true
}

// Pick returns the coordinator with the lowest expected delay, and its condition. It
// skips the coordinators in tried and those with failures. ok is false when none is left.
func (t *Table) Pick(now time.Time, tried map[string]bool) (m Member, c Condition, ok bool) {
	isolated := t.Isolated(now)
	var best *peer
	var bestCost float64
	for _, p := range t.peers {
		if p.failures > 0 || tried[p.member.Node] {
			continue
		}
		cost := t.cost(p)
		switch {
		case p.hasFreshHeartbeat(now):
		case isolated:
			cost += unreachedPenaltySeconds
		default:
			cost += unconfirmedPenaltySeconds
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

func (p *peer) hasFreshHeartbeat(now time.Time) bool {
	return p.failures == 0 && now.Sub(p.lastHeartbeat) <= heartbeatFreshFor
}

// Isolated reports whether a reachable coordinator of the own data centre reports that it
// reaches no other data centre.
func (t *Table) Isolated(now time.Time) bool {
	for _, p := range t.peers {
		if p.member.DataCentre == t.own.DataCentre && p.hasFreshHeartbeat(now) && p.condition.Isolated {
			return true
		}
	}
	return false
}

func (t *Table) cost(p *peer) float64 {
	cost := gatherCoreSeconds/p.member.Capacity + max(p.offer, baselineOffer).Seconds()
	if p.member.DataCentre != t.own.DataCentre {
		cost += remotePenaltySeconds
	}
	cost *= 1 + rankSpread*rank(t.own.Node, p.member.Node)
	if p.condition.Stale {
		cost += stalePenaltySeconds
	}
	if p.condition.Isolated {
		cost += isolatedPenaltySeconds
	}
	return cost
}

// rank returns a number from 0 to 1 that is fixed for a pair of nodes.
func rank(a, b string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a + "\x00" + b))
	return float64(h.Sum32()) / (1 << 32)
}

// NextProbe returns a coordinator that needs a heartbeat now: one with failures whose
// backoff has ended, or, while the own data centre is isolated, one without a recent
// heartbeat.
func (t *Table) NextProbe(now time.Time) (Member, bool) {
	isolated := t.Isolated(now)
	var next *peer
	for _, p := range t.peers {
		needsProbe := p.failures > 0 || isolated && !p.hasFreshHeartbeat(now)
		if !needsProbe || now.Before(p.probeAt) {
			continue
		}
		if next == nil || p.probeAt.Before(next.probeAt) {
			next = p
		}
	}
	if next == nil {
		return Member{}, false
	}
	return next.member, true
}

// RecordOffer records the delay after which a coordinator offered to accept a request.
func (t *Table) RecordOffer(node string, after time.Duration) {
	if p := t.peers[node]; p != nil {
		p.offer += time.Duration(offerWeight * float64(after-p.offer))
	}
}

// RecordHeartbeat records an answered heartbeat, and reports whether the coordinator had
// failures before it.
func (t *Table) RecordHeartbeat(now time.Time, node string, c Condition) (recovered bool) {
	p := t.peers[node]
	if p == nil {
		return false
	}
	recovered = p.failures > 0
	p.failures, p.lastHeartbeat, p.condition = 0, now, c
	return recovered
}

// RecordFailure records that a coordinator did not answer or refused a request, and
// reports whether this is its first failure since the last heartbeat.
func (t *Table) RecordFailure(now time.Time, node string) (first bool) {
	p := t.peers[node]
	if p == nil {
		return false
	}
	first = p.failures == 0
	p.probeAt = now.Add(backoffAfter(p.failures))
	p.failures++
	return first
}

// backoffAfter returns the time before the next probe, for the number of earlier failures.
func backoffAfter(failures int) time.Duration {
	const doublings = 5
	return min(minBackoff<<min(failures, doublings), maxBackoff)
}

// LastHeartbeat returns the time of the last heartbeat that any coordinator answered.
func (t *Table) LastHeartbeat() time.Time {
	var last time.Time
	for _, p := range t.peers {
		if p.lastHeartbeat.After(last) {
			last = p.lastHeartbeat
		}
	}
	return last
}

// Connection is the state of a node's connection to its coordinators.
type Connection struct {
	// Current is true when a reachable coordinator is neither stale nor isolated.
	Current bool
	// Serving is true when a reachable coordinator is configured and not isolated.
	Serving bool
}

// Connection returns the current state of the connection to the coordinators.
func (t *Table) Connection(now time.Time) Connection {
	var c Connection
	for _, p := range t.peers {
		if !p.hasFreshHeartbeat(now) || p.condition.Isolated {
			continue
		}
		c.Current = c.Current || !p.condition.Stale
		c.Serving = c.Serving || p.condition.Configured
	}
	return c
}
