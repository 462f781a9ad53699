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

// TestNeighboursShareBatches guards against one node that gets all batches of others, and
// against small VMs that get any.
func TestNeighboursShareBatches(t *testing.T) {
	c := qt.New(t)
	n := neighbours()
	fleet := grown(coordinator.Member{Node: "small", DataCentre: "b", Capacity: small})
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

// TestFailedNeighbourIsUsedAfterAHeartbeat guards against a node that is cut off and costs
// a request each time that it is tried again.
func TestFailedNeighbourIsUsedAfterAHeartbeat(t *testing.T) {
	c := qt.New(t)
	n := neighbours()
	fleet := grown()
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
	c.Assert(due, qt.IsFalse, qt.Commentf("one heartbeat at a time"))
	n.RecordFailure(later, b1)
	_, ok := n.Pick(fleet, "b")
	c.Assert(ok, qt.IsFalse)
	c.Assert(n.RecordSuccess(b0.Node), qt.IsTrue)
	m, _ = n.Pick(fleet, "b")
	c.Assert(m, qt.Equals, b0)
}

// TestNeighbourThatLeftIsForgotten guards against heartbeats to nodes that are gone.
func TestNeighbourThatLeftIsForgotten(t *testing.T) {
	c := qt.New(t)
	n := neighbours()
	fleet := grown()
	n.RecordFailure(now, fleet.Members[2])
	n.RecordUnsupported(now, fleet.Members[3])
	_, due := n.NextProbe(now.Add(time.Hour), coordinator.Fleet{})
	c.Assert(due, qt.IsFalse)
	_, ok := n.Pick(fleet, "b")
	c.Assert(ok, qt.IsTrue)
}
