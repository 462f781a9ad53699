package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/coordinator"
)

var now = time.Unix(1000, 0)

const (
	large = 0.8
	small = 0.192
)

// grown is a fleet of five data centres with two large VMs each, and what else is named.
func grown(others ...coordinator.Member) coordinator.Fleet {
	f := coordinator.Fleet{Revision: 7, Members: others}
	for _, dc := range []string{"a", "b", "c", "d", "e"} {
		for i := range 2 {
			f.Members = append(f.Members, coordinator.Member{
				Node: fmt.Sprintf("%s%d", dc, i), Address: dc, DataCentre: dc, Capacity: large,
			})
		}
	}
	return f
}

func table(node string, capacity float64, f coordinator.Fleet) *coordinator.Table {
	t := coordinator.NewTable(coordinator.Member{Node: node, DataCentre: "a", Capacity: capacity})
	t.Update(f)
	return t
}

func pick(t *coordinator.Table) (coordinator.Member, bool) {
	m, _, ok := t.Pick(now, nil)
	return m, ok
}

// Eighty small nodes get a few requests a second each. All go to the large ones of the
// own data centre, about as many to each, and a node stays with its own.
func TestSmallNodesSpreadOverTheLargeOnesNextDoor(t *testing.T) {
	c := qt.New(t)
	used := make(map[string]int)
	for i := range 80 {
		tab := table(fmt.Sprintf("n%d", i), small, grown())
		first, ok := pick(tab)
		c.Assert(ok, qt.IsTrue)
		c.Assert(first.DataCentre, qt.Equals, "a")
		tab.RecordOffer(first.Node, 2*time.Millisecond)
		again, _ := pick(tab)
		c.Assert(again, qt.Equals, first)
		used[first.Node]++
	}
	c.Assert(used["a0"] >= 25 && used["a1"] >= 25, qt.IsTrue, qt.Commentf("%v", used))
}

// Nodes of one size gain nothing from each other: each asks the shards itself.
func TestEqualNodesDoNotRelay(t *testing.T) {
	c := qt.New(t)
	tab := table("n", large, grown())
	_, ok := pick(tab)
	c.Assert(ok, qt.IsFalse)
	c.Assert(tab.Empty(), qt.IsTrue)
}

// Both large VMs of a data centre die at once. Its callers' requests go to those of
// another one, a millisecond away, and not to the small ones. A dead one gets no request
// until a heartbeat has reached it, and heartbeats come ever more seldom.
func TestDeadCoordinatorsAreLeftUntilAHeartbeatReachesThem(t *testing.T) {
	c := qt.New(t)
	tab := table("n", small, grown(coordinator.Member{Node: "other", DataCentre: "a", Capacity: small}))
	tab.RecordFailure(now, "a0")
	tab.RecordFailure(now, "a1")
	to, ok := pick(tab)
	c.Assert(ok, qt.IsTrue)
	c.Assert(to.Capacity, qt.Equals, large)
	c.Assert(to.DataCentre, qt.Not(qt.Equals), "a")

	trials := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		if due, ok := tab.NextProbe(at); ok {
			trials++
			tab.RecordFailure(at, due.Node)
		}
	}
	c.Assert(trials >= 10 && trials <= 20, qt.IsTrue, qt.Commentf("%d trials of two in 10 s", trials))
	c.Assert(tab.RecordHeartbeat(now, "a0", coordinator.Condition{Configured: true}), qt.IsTrue)
	to, _ = pick(tab)
	c.Assert(to.Node, qt.Equals, "a0")
}

// The store turns the coordinators next door away: those of other data centres, whose
// news is new, get the requests. A data centre is cut off: its coordinators say so, and
// get its requests all the same, since those elsewhere cannot be reached; as soon as a
// heartbeat has reached one of them it is used.
func TestConditionsOrderTheCoordinators(t *testing.T) {
	c := qt.New(t)
	tab := table("n", small, grown())
	for _, node := range []string{"a0", "a1"} {
		tab.RecordHeartbeat(now, node, coordinator.Condition{Configured: true, Stale: true})
	}
	to, _ := pick(tab)
	c.Assert(to.DataCentre, qt.Not(qt.Equals), "a")
	c.Assert(tab.Connection(now), qt.Equals, coordinator.Connection{Serving: true})

	for _, node := range []string{"a0", "a1"} {
		tab.RecordHeartbeat(now, node, coordinator.Condition{Configured: true, Isolated: true})
	}
	to, _ = pick(tab)
	c.Assert(to.DataCentre, qt.Equals, "a")
	c.Assert(tab.Connection(now), qt.Equals, coordinator.Connection{})
	due, ok := tab.NextProbe(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(due.DataCentre, qt.Not(qt.Equals), "a")
	tab.RecordHeartbeat(now, due.Node, coordinator.Condition{Configured: true})
	to, _ = pick(tab)
	c.Assert(to, qt.Equals, due)
}

// News of the fleet comes by several ways. What is older than what is known does not
// bring back a coordinator that has left.
func TestOlderFleetChangesNothing(t *testing.T) {
	c := qt.New(t)
	tab := table("n", small, grown())
	c.Assert(tab.Update(coordinator.Fleet{Revision: 9}), qt.IsTrue)
	c.Assert(tab.Update(grown()), qt.IsFalse)
	_, ok := pick(tab)
	c.Assert(ok, qt.IsFalse)
}

// A fleet shares budgets and connections by capacity, so that parts of unequal nodes add
// up to the whole and not more.
func TestUnequalNodesTakeUnequalShares(t *testing.T) {
	c := qt.New(t)
	f := grown(coordinator.Member{Node: "s", Capacity: small})
	sum := 0.0
	for _, m := range f.Members {
		sum += 1 / f.SizeFor(m)
	}
	c.Assert(sum > 0.999 && sum < 1.001, qt.IsTrue, qt.Commentf("%f", sum))
	c.Assert(f.SizeFor(f.Members[1]) < 11, qt.IsTrue)
	newcomer := coordinator.Member{Node: "new", Capacity: large}
	c.Assert(f.SizeFor(newcomer) > 11, qt.IsTrue, qt.Commentf("a node counts itself"))
}

// Registrations are revoked while their nodes work on. They count for a while, since the
// others would else spend their parts of the budgets too.
func TestVanishedNodesCountForAWhile(t *testing.T) {
	c := qt.New(t)
	r := coordinator.NewRegistrations()
	for i := range 8 {
		name := fmt.Sprintf("n%d", i)
		r.Put(name, coordinator.Member{Node: name, Capacity: 0.4}, uint64(i+1))
	}
	own := coordinator.Member{Node: "n0", Capacity: 0.4}
	for i := 1; i < 8; i++ {
		r.Remove(now, fmt.Sprintf("n%d", i), uint64(20+i))
	}
	c.Assert(r.Fleet(now.Add(20*time.Second)).SizeFor(own) > 7.99, qt.IsTrue)
	c.Assert(r.Fleet(now.Add(26*time.Second)).SizeFor(own), qt.Equals, 1.0)
	c.Assert(r.Fleet(now).Revision, qt.Equals, uint64(27))
}
