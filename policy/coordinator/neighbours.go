package coordinator

import (
	"math/rand/v2"
	"time"
)

// unsupportedBackoff is the time before a node without support for batches is probed.
const unsupportedBackoff = time.Minute

// Neighbours selects the nodes of other data centres that send a gather's attempts to
// replicas in their data centre. Not safe for concurrent use.
//
// A failed node receives no batch until it answers a heartbeat. Without this rule, each
// retry of an unreachable node costs a request.
type Neighbours struct {
	own    Member
	rng    *rand.Rand
	failed map[string]*failedNode
}

// failedNode is the state of a node that did not answer.
type failedNode struct {
	member  Member
	repeats int
	probeAt time.Time
}

// NewNeighbours returns a selection without failed nodes.
func NewNeighbours(own Member, rng *rand.Rand) *Neighbours {
	return &Neighbours{own: own, rng: rng, failed: make(map[string]*failedNode)}
}

// Pick returns a random node of the data centre that is at least as large as this one, or
// false when none is usable.
func (n *Neighbours) Pick(f Fleet, dataCentre string) (Member, bool) {
	var picked Member
	found := 0
	for _, m := range f.Members {
		if m.DataCentre != dataCentre || m.Capacity < n.own.Capacity || n.failed[m.Node] != nil {
			continue
		}
		found++
		if n.rng.IntN(found) == 0 {
			picked = m
		}
	}
	return picked, found > 0
}

// NextProbe returns a failed node that needs a heartbeat now, and schedules the next
// heartbeat to it. It removes failed nodes that have left the fleet.
func (n *Neighbours) NextProbe(now time.Time, f Fleet) (Member, bool) {
	members := make(map[string]bool, len(f.Members))
	for _, m := range f.Members {
		members[m.Node] = true
	}
	for name, state := range n.failed {
		switch {
		case !members[name]:
			delete(n.failed, name)
		case !now.Before(state.probeAt):
			state.probeAt = now.Add(backoffAfter(state.repeats))
			return state.member, true
		}
	}
	return Member{}, false
}

// RecordSuccess records an answer of a node, and reports whether the node had failed.
func (n *Neighbours) RecordSuccess(node string) (recovered bool) {
	recovered = n.failed[node] != nil
	delete(n.failed, node)
	return recovered
}

// RecordFailure records a missing answer, and reports whether this is the node's first
// failure since its last answer.
func (n *Neighbours) RecordFailure(now time.Time, m Member) (first bool) {
	state := n.failed[m.Node]
	if state == nil {
		state = &failedNode{member: m}
		n.failed[m.Node] = state
		first = true
	} else {
		state.repeats++
	}
	state.probeAt = now.Add(backoffAfter(state.repeats))
	return first
}

// RecordUnsupported records that the release of a node does not support batches.
func (n *Neighbours) RecordUnsupported(now time.Time, m Member) {
	n.failed[m.Node] = &failedNode{member: m, probeAt: now.Add(unsupportedBackoff)}
}
