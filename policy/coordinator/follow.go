package coordinator

import "time"

// followReadShare is the share of the store's reading calls that nodes may use which turn to
// the store at the same time for want of a coordinator.
const followReadShare = 0.25

// minFollowSpread is the least spread: the nodes' own delays differ as much.
const minFollowSpread = time.Second

// StoreLoad is what it costs the store if nodes follow it themselves.
type StoreLoad struct {
	// Pages is the number of calls of a full read.
	Pages int
	// Senders is the number of nodes that one coordinator receives heartbeats from.
	Senders int
	// ReadsPerSecond is what the store accepts from the whole fleet.
	ReadsPerSecond float64
}

// FollowSpread returns the time over which the nodes without a coordinator spread the start
// of following the store; 0 if they need none. peers is the number of coordinators to which
// each node sends heartbeats. Without the spread, nodes that lose all coordinators at once
// overload the store, and the coordinators cannot read it either.
func (t *Table) FollowSpread(load StoreLoad, peers int) time.Duration {
	if load.ReadsPerSecond <= 0 {
		return 0
	}
	nodes := float64(load.Senders) * float64(len(t.peers)) / float64(max(peers, 1))
	calls := nodes * float64(load.Pages)
	spread := time.Duration(calls / (followReadShare * load.ReadsPerSecond) * float64(time.Second))
	if spread < minFollowSpread {
		return 0
	}
	return spread
}
