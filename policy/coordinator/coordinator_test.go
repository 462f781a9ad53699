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

// newFleet returns five data centres with two large VMs each, and the given members.
func newFleet(others ...coordinator.Member) coordinator.Fleet {
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

func newTable(node string, capacity float64, f coordinator.Fleet) *coordinator.Table {
	t := coordinator.NewTable(coordinator.Member{Node: node, DataCentre: "a", Capacity: capacity})
	t.Update(f)
	return t
}

func pick(t *coordinator.Table) (coordinator.Member, bool) {
	m, _, ok := t.Pick(now, nil)
	return m, ok
}

// Small nodes must all relay within their data centre, in similar numbers to each
// coordinator, and must not switch between coordinators.
func TestSmallNodesSpreadOverLocalCoordinators(t *testing.T) {
	c := qt.New(t)
	used := make(map[string]int)
	for i := range 80 {
		table := newTable(fmt.Sprintf("n%d", i), small, newFleet())
		first, ok := pick(table)
		c.Assert(ok, qt.IsTrue)
		c.Assert(first.DataCentre, qt.Equals, "a")
		table.RecordOffer(first.Node, 2*time.Millisecond)
		again, _ := pick(table)
		c.Assert(again, qt.Equals, first)
		used[first.Node]++
	}
	c.Assert(used["a0"] >= 25 && used["a1"] >= 25, qt.IsTrue, qt.Commentf("%v", used))
}

// A node must not relay to nodes of its own size: that saves nothing.
func TestEqualNodesDoNotRelay(t *testing.T) {
	c := qt.New(t)
	table := newTable("n", large, newFleet())
	_, ok := pick(table)
	c.Assert(ok, qt.IsFalse)
	c.Assert(table.Empty(), qt.IsTrue)
}

// When all coordinators of a data centre fail, requests must go to coordinators elsewhere
// and not to small nodes. A failed coordinator must receive no request before it answers a
// heartbeat, and probes must back off.
func TestFailedCoordinatorIsSkippedUntilAHeartbeat(t *testing.T) {
	c := qt.New(t)
	table := newTable("n", small, newFleet(coordinator.Member{Node: "other", DataCentre: "a", Capacity: small}))
	table.RecordFailure(now, "a0")
	table.RecordFailure(now, "a1")
	to, ok := pick(table)
	c.Assert(ok, qt.IsTrue)
	c.Assert(to.Capacity, qt.Equals, large)
	c.Assert(to.DataCentre, qt.Not(qt.Equals), "a")

	probes := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		if due, ok := table.NextProbe(at); ok {
			probes++
			table.RecordFailure(at, due.Node)
		}
	}
	c.Assert(probes >= 10 && probes <= 20, qt.IsTrue, qt.Commentf("%d probes of two coordinators in 10 s", probes))
	c.Assert(table.RecordHeartbeat(now, "a0", coordinator.Condition{Configured: true}), qt.IsTrue)
	to, _ = pick(table)
	c.Assert(to.Node, qt.Equals, "a0")
}

// Stale local coordinators must yield to current ones in other data centres. Isolated local
// coordinators must be preferred to those that cannot be reached, until one elsewhere
// answers a heartbeat.
func TestPickPrefersCoordinatorsInBetterCondition(t *testing.T) {
	c := qt.New(t)
	table := newTable("n", small, newFleet())
	for _, node := range []string{"a0", "a1"} {
		table.RecordHeartbeat(now, node, coordinator.Condition{Configured: true, Stale: true})
	}
	to, _ := pick(table)
	c.Assert(to.DataCentre, qt.Not(qt.Equals), "a")
	c.Assert(table.Connection(now), qt.Equals, coordinator.Connection{Serving: true})

	for _, node := range []string{"a0", "a1"} {
		table.RecordHeartbeat(now, node, coordinator.Condition{Configured: true, Isolated: true})
	}
	to, _ = pick(table)
	c.Assert(to.DataCentre, qt.Equals, "a")
	c.Assert(table.Connection(now), qt.Equals, coordinator.Connection{})
	due, ok := table.NextProbe(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(due.DataCentre, qt.Not(qt.Equals), "a")
	table.RecordHeartbeat(now, due.Node, coordinator.Condition{Configured: true})
	to, _ = pick(table)
	c.Assert(to, qt.Equals, due)
}

// An older fleet that arrives late must not restore a coordinator that has left.
func TestOlderFleetIsIgnored(t *testing.T) {
	c := qt.New(t)
	table := newTable("n", small, newFleet())
	c.Assert(table.Update(coordinator.Fleet{Revision: 9}), qt.IsTrue)
	c.Assert(table.Update(newFleet()), qt.IsFalse)
	_, ok := pick(table)
	c.Assert(ok, qt.IsFalse)
}

// Shares by capacity must add up to the whole fleet, or the nodes together exceed its limits.
func TestSharesFollowCapacity(t *testing.T) {
	c := qt.New(t)
	f := newFleet(coordinator.Member{Node: "s", Capacity: small})
	sum := 0.0
	for _, m := range f.Members {
		sum += 1 / f.SizeFor(m)
	}
	c.Assert(sum > 0.999 && sum < 1.001, qt.IsTrue, qt.Commentf("%f", sum))
	c.Assert(f.SizeFor(f.Members[1]) < 11, qt.IsTrue)
	newcomer := coordinator.Member{Node: "new", Capacity: large}
	c.Assert(f.SizeFor(newcomer) > 11, qt.IsTrue, qt.Commentf("an unregistered node must count itself"))
}

// A registration can be revoked while its node still runs. The node must count for a while:
// otherwise the remaining nodes also spend its share of the budgets.
func TestRemovedRegistrationCountsDuringGracePeriod(t *testing.T) {
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
