package coordinator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/coordinator"
)

func neighbours() *coordinator.Neighbours {
	own := coordinator.Member{Node: "a0", DataCentre: "a", Capacity: large}
	return coordinator.NewNeighbours(own, rand.New(rand.NewPCG(1, 2)))
}

// Batches must be spread over the large nodes of a data centre, and small ones get none.
func TestBatchesSpreadOverLargeNeighbours(t *testing.T) {
	c := qt.New(t)
	n := neighbours()
	fleet := newFleet(coordinator.Member{Node: "small", DataCentre: "b", Capacity: small})
	used := make(map[string]int)
	for range 200 {
		m, ok := n.Pick(fleet, "b")
		c.Assert(ok, qt.IsTrue)
		used[m.Node]++
	}
	c.Assert(used["b0"] > 70 && used["b1"] > 70 && used["small"] == 0, qt.IsTrue, qt.Commentf("%v", used))
	_, ok := n.Pick(fleet, "z")
	c.Assert(ok, qt.IsFalse)
}

// A failed node must receive no batch before it answers a heartbeat: each attempt would cost
// a request.
func TestFailedNeighbourIsUsedAfterAHeartbeat(t *testing.T) {
	c := qt.New(t)
	n := neighbours()
	fleet := newFleet()
	b0, b1 := fleet.Members[2], fleet.Members[3]
	c.Assert(n.RecordFailure(now, b0), qt.IsTrue)
	c.Assert(n.RecordFailure(now, b0), qt.IsFalse)
	later := now.Add(time.Hour)
	for range 20 {
		m, ok := n.Pick(fleet, "b")
		c.Assert(ok, qt.IsTrue)
		c.Assert(m, qt.Equals, b1)
	}
	_, due := n.NextProbe(now, fleet)
	c.Assert(due, qt.IsFalse)
	m, due := n.NextProbe(later, fleet)
	c.Assert(due, qt.IsTrue)
	c.Assert(m, qt.Equals, b0)
	_, due = n.NextProbe(later, fleet)
	c.Assert(due, qt.IsFalse, qt.Commentf("second probe within the backoff"))
	n.RecordFailure(later, b1)
	_, ok := n.Pick(fleet, "b")
	c.Assert(ok, qt.IsFalse)
	c.Assert(n.RecordSuccess(b0.Node), qt.IsTrue)
	m, _ = n.Pick(fleet, "b")
	c.Assert(m, qt.Equals, b0)
}

// Nodes that have left the fleet must be removed and receive no heartbeats.
func TestNeighbourThatLeftTheFleetIsRemoved(t *testing.T) {
	c := qt.New(t)
	n := neighbours()
	fleet := newFleet()
	n.RecordFailure(now, fleet.Members[2])
	n.RecordUnsupported(now, fleet.Members[3])
	_, due := n.NextProbe(now.Add(time.Hour), coordinator.Fleet{})
	c.Assert(due, qt.IsFalse)
	_, ok := n.Pick(fleet, "b")
	c.Assert(ok, qt.IsTrue)
}
