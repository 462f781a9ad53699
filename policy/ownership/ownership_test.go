package ownership

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func nodesNamed(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%03d", i)
	}
	return names
}

// fleetSizes are numbers of nodes and of replicas.
var fleetSizes = []struct{ nodes, replicas int }{{2, 50}, {8, 200}, {94, 437}, {750, 3500}}

// replicasPerNode returns the mean and the maximum number of replicas that a node owns.
func replicasPerNode(nodes []string, replicas, owners int) (mean, most float64) {
	load := make(map[string]int)
	for r := range replicas {
		for _, name := range Rank(fmt.Sprint("replica-", r), nodes)[:owners] {
			load[name]++
		}
	}
	for _, n := range load {
		most = max(most, float64(n))
	}
	return float64(replicas*owners) / float64(len(nodes)), most
}

func TestOwnershipSpreadsEvenly(t *testing.T) {
	c := qt.New(t)
	for _, size := range fleetSizes {
		mean, most := replicasPerNode(nodesNamed(size.nodes), size.replicas, 2)
		t.Logf("%d nodes, %d replicas, 2 owners: mean %.1f, maximum %.0f, ratio %.2f",
			size.nodes, size.replicas, mean, most, most/mean)
		// With few replicas per node, the standard deviation of a random assignment
		// is about sqrt(mean), so the limit is higher.
		c.Check(most/mean < 1.3 || mean < 20 && most/mean < 2.3, qt.IsTrue)
	}
}

func TestRemovingANodeMovesOnlyItsReplicas(t *testing.T) {
	c := qt.New(t)
	for _, size := range fleetSizes[1:] {
		nodes := nodesNamed(size.nodes)
		without := nodes[1:]
		moved, owned := 0, 0
		for r := range size.replicas {
			replica := fmt.Sprint("replica-", r)
			before, after := Rank(replica, nodes)[:2], Rank(replica, without)[:2]
			if slices.Contains(before, nodes[0]) {
				owned++
			} else if !slices.Equal(before, after) {
				moved++
			}
		}
		t.Logf("%d nodes: %d of %d replicas change owners without one node", size.nodes, owned, size.replicas)
		c.Check(moved, qt.Equals, 0)
	}
}

// Guards against more connections than the backend server accepts while the member
// tables of old and new owners differ.
func TestConnectionSharesStayWithinTheLimitWhenViewsDiffer(t *testing.T) {
	c := qt.New(t)
	nodes := nodesNamed(8)
	for _, limit := range []int{25, 30, 50, 110} {
		for owners := 1; owners <= 4; owners++ {
			for r := range 200 {
				replica := fmt.Sprint("replica-", r)
				holders := make(map[string]bool)
				for _, view := range [][]string{nodes, nodes[1:]} {
					for _, name := range Rank(replica, view)[:owners] {
						holders[name] = true
					}
				}
				sum := len(holders) * ConnectionShare(limit, owners)
				if sum > limit {
					c.Fatalf("%s: %d owners hold %d connections, limit %d", replica, len(holders), sum, limit)
				}
			}
		}
	}
}

func TestGroupsAreBalancedAndStable(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct{ nodes, size, groups, mostMoved int }{
		{8, 0, 1, 0},
		{8, 4, 2, 3},
		{94, 10, 8, 20},
		{750, 47, 8, 40},
	} {
		nodes := nodesNamed(tc.nodes)
		before := Groups(nodes, tc.size)
		c.Assert(before, qt.HasLen, tc.groups)
		of := make(map[string]int)
		fewest, most := tc.nodes, 0
		for g, names := range before {
			fewest, most = min(fewest, len(names)), max(most, len(names))
			for _, name := range names {
				of[name] = g
			}
		}
		moved := 0
		for g, names := range Groups(nodes[1:], tc.size) {
			for _, name := range names {
				if of[name] != g {
					moved++
				}
			}
		}
		t.Logf("%d nodes, group size %d: %d groups of %d to %d, %d nodes move without one node",
			tc.nodes, tc.size, len(before), fewest, most, moved)
		c.Check(len(of), qt.Equals, tc.nodes)
		c.Check(most <= (tc.nodes+tc.groups-1)/tc.groups, qt.IsTrue)
		c.Check(fewest*2 >= most, qt.IsTrue)
		c.Check(moved <= tc.mostMoved, qt.IsTrue)
	}
}
