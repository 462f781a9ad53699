package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// hasMember reports whether another node is among the members of the node.
func (n *testNode) hasMember(other *testNode) bool {
	return slices.ContainsFunc(n.Members(), func(m Member) bool { return m.Name == other.name })
}

// A node starts before its seeds, and the platform's VM list is still empty. The
// node has a configuration but must not be ready before another node answers.
// Otherwise callers would receive answers that come only from the replicas of its
// own data centre. The node must retry until it has joined a seed.
func TestNodeJoinsSeedsThatStartLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.publish(testConfiguration(1))
		c.platform.unlisted["0"], c.platform.unlisted["1"] = true, true
		early := c.start("1", "b", "10.0.0.0")
		time.Sleep(2 * time.Second)
		if ready, why := early.Ready(); ready || early.Index() == nil {
			t.Fatalf("ready %v (%s) without a configuration or before another node answered", ready, why)
		}
		late := c.start("0", "a")
		time.Sleep(3 * time.Second)
		if !early.hasMember(late) || !late.hasMember(early) {
			t.Fatalf("nodes have %d and %d members", len(early.Members()), len(late.Members()))
		}
		if ready, why := early.Ready(); !ready {
			t.Fatalf("not ready: %s", why)
		}
	})
}

// If no seed ever answers, the node must become ready after joinTimeLimit and serve
// what it can.
func TestNodeWithoutPeersIsReadyAfterJoinTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.publish(testConfiguration(1))
		n := c.start("1", "b", "10.0.0.0")
		time.Sleep(joinPropagation + time.Second)
		if ready, why := n.Ready(); !ready {
			t.Fatalf("not ready: %s", why)
		}
	})
}

// Two nodes of a data centre start together and join through members of other data
// centres. At first neither has a record of the other. They must not both use the
// cold replica, which can serve only one request at a time.
func TestNodesThatStartTogetherDoNotBothUseColdReplica(t *testing.T) {
	for gap := time.Duration(0); gap < 400*time.Millisecond; gap += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			c.publish(testConfiguration(1))
			for _, name := range []string{"0", "1", "2", "3"} {
				c.platform.unlisted[name] = true
			}
			c.start("0", "a", "10.0.0.1")
			c.start("1", "a", "10.0.0.0")
			time.Sleep(10 * time.Second)
			nodes := []*testNode{c.start("2", "b", "10.0.0.0")}
			time.Sleep(gap)
			nodes = append(nodes, c.start("3", "b", "10.0.0.1"))
			var user *testNode
			var used time.Time
			for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(oneWay) {
				for _, n := range nodes {
					r := n.replicas()["r-b"]
					if r == nil || !n.MayUseCold(r) {
						continue
					}
					if user != nil && user != n && time.Since(used) < time.Second {
						t.Fatalf("after %v: used by %s and %s", time.Since(start), user.name, n.name)
					}
					user, used = n, time.Now()
				}
			}
			if user == nil {
				t.Fatal("no node used the replica")
			}
		})
	}
}
