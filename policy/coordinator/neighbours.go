package coordinator

import (
	"math/rand/v2"
	"time"
)

// unsupportedPause is how long a node is left alone whose release knows no batches.
const unsupportedPause = time.Minute

// Neighbours chooses the nodes of other data centres that send a gather's attempts to the
// replicas next to them. Not safe for concurrent use.
//
// It answers nodes that are cut off from some others: one that has failed gets no batch
// until a heartbeat has reached it, so that each cut costs this node one request.
type Neighbours struct {
	own    Member
	rng    *rand.Rand
	failed map[string]*failure
}

// failure is what is known of a node that has not answered.
type failure struct {
	member  Member
	streak  int
	probeAt time.Time
}

// NewNeighbours returns a choice for a node.
func NewNeighbours(own Member, rng *rand.Rand) *Neighbours {
	return &Neighbours{own: own, rng: rng, failed: make(map[string]*failure)}
}

// Pick returns a node of a data centre that is at least as large as this one, and false
// where none may be used now.
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

// NextProbe returns a node that has failed and is to be sent a heartbeat now. Those that have
// left the fleet are forgotten.
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
			state.probeAt = now.Add(pauseAfter(state.streak))
			return state.member, true
		}
	}
	return Member{}, false
}

// RecordSuccess notes that a node has answered, and reports whether it was out of use.
func (n *Neighbours) RecordSuccess(node string) (again bool) {
	again = n.failed[node] != nil
	delete(n.failed, node)
	return again
}

// RecordFailure notes that a node has not answered, and reports whether it was in use until now.
func (n *Neighbours) RecordFailure(now time.Time, m Member) (first bool) {
	state := n.failed[m.Node]
	if state == nil {
		state = &failure{member: m}
		n.failed[m.Node] = state
		first = true
	} else {
		state.streak++
	}
	state.probeAt = now.Add(pauseAfter(state.streak))
	return first
}

// RecordUnsupported notes that a node's release knows no batches.
func (n *Neighbours) RecordUnsupported(now time.Time, m Member) {
	n.failed[m.Node] = &failure{member: m, probeAt: now.Add(unsupportedPause)}
}
