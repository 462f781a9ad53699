package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// coldReplicaUser calls MayUseCold for the data centre's cold replica every 20 ms
// on each node, for the duration d. It fails the test if two nodes get permission
// within 300 ms, the maximum duration of a request. It returns the last node with
// permission, or nil if that permission is older than a second.
func coldReplicaUser(t *testing.T, nodes []*testNode, d time.Duration) *testNode {
	t.Helper()
	var user *testNode
	var used time.Time
	for start := time.Now(); time.Since(start) < d; time.Sleep(20 * time.Millisecond) {
		for _, n := range nodes {
			index := n.Index()
			if index == nil || n.isPaused() || !n.MayUseCold(index.Replicas["r-"+n.dc]) {
				continue
			}
			if user != nil && user != n && time.Since(used) < 300*time.Millisecond {
				t.Fatalf("node %s may use the cold replica %v after node %s did", n.name, time.Since(used), user.name)
			}
			user, used = n, time.Now()
		}
	}
	if time.Since(used) > time.Second {
		return nil
	}
	return user
}

// startWithColdReplica starts 8 nodes. It returns the nodes, and of the two nodes
// of data centre a the one that may use the cold replica (first) and the other one
// (second).
func startWithColdReplica(t *testing.T, c *cluster) (nodes []*testNode, first, second *testNode) {
	c.publish(testConfiguration(1))
	nodes = c.startEightNodes()
	c.waitFor(5*time.Second, "all nodes start", func() bool { return allAtVersion(nodes, 1)() && allSeeAlive(nodes, 8)() })
	first, second = coldReplicaUser(t, nodes[:2], time.Second), nodes[0]
	if first == nil {
		t.Fatal("no node may use the cold replica")
	}
	if first == second {
		second = nodes[1]
	}
	return nodes, first, second
}

// An owner that resumes after another owner has taken over must not send to the
// cold replica. Otherwise both send to the replica and overload it.
func TestResumedOwnerDoesNotSendToColdReplicaAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		_, first, second := startWithColdReplica(t, c)
		first.pause()
		took := c.waitFor(5*time.Second, "the other owner takes over", func() bool {
			return second.MayUseCold(second.Index().Replicas["r-a"])
		})
		t.Logf("taken over after %v", took)
		first.resume()
		if first.MayUseCold(first.Index().Replicas["r-a"]) {
			t.Fatal("the owner may still use the cold replica after it resumes")
		}
		if got := coldReplicaUser(t, []*testNode{first, second}, 6*time.Second); got != first {
			t.Fatal("the first owner does not use the replica again")
		}
	})
}

// While a data centre is partitioned, its nodes reach the backend server but not
// each other. They must not both use the cold replica.
func TestColdReplicaHasOneUserInPartitionedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes, first, second := startWithColdReplica(t, c)
		c.partition(func(a, b *testNode) bool { return a.dc == "a" && b.dc == "a" })
		if got := coldReplicaUser(t, nodes[:2], 20*time.Second); got == nil {
			t.Fatal("no node may use the cold replica")
		}
		c.partition(nil)
		if got := coldReplicaUser(t, nodes[:2], 10*time.Second); got != first {
			t.Fatalf("after the partition the replica is used by %v, want %s (other owner: %s)", got, first.name, second.name)
		}
	})
}

// A leaving owner stops using the cold replica when it announces its leave. The
// other owner takes over when requests in flight have ended, before the shutdown
// ends.
func TestOtherOwnerTakesOverColdReplicaFromLeavingOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes, first, second := startWithColdReplica(t, c)
		go first.Leave(t.Context())
		if got := coldReplicaUser(t, nodes[:2], 2*time.Second); got != second {
			t.Fatal("the other owner did not take over")
		}
		if ready, reason := first.Ready(); ready || reason != "the node is shutting down" {
			t.Fatalf("ready %v: %s", ready, reason)
		}
	})
}

// A VM is replaced: its process ends without an announcement, and another boot
// starts under the same name. When the new boot answers pings, the previous boot
// must count as gone, so that the new boot can use the cold replica.
func TestNewBootOfReplacedVMUsesColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes, first, second := startWithColdReplica(t, c)
		first.kill()
		time.Sleep(500 * time.Millisecond)
		newBoot := c.start(first.name, first.dc, "10.0.0.2", "10.0.0.3")
		if got := coldReplicaUser(t, []*testNode{newBoot, second}, 8*time.Second); got != newBoot {
			t.Fatal("the new boot does not use the cold replica")
		}
		for _, m := range nodes[4].Members() {
			if m.Name == first.name && (m.Boot != newBoot.Self().Boot || m.State != pb.MemberState_MEMBER_STATE_ALIVE) {
				t.Fatalf("unexpected member entry after the replacement: %+v", m)
			}
		}
	})
}

// An owner is lost during an outage of the platform. The other owner lacks its
// consent, so the cold replica must stay unused, and an event must be recorded,
// until the platform confirms the lost owner gone.
func TestColdReplicaIsUnusedUntilLostOwnerIsConfirmedGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		_, first, second := startWithColdReplica(t, c)
		time.Sleep(3 * time.Minute)
		coldReplicaUser(t, []*testNode{first}, time.Second)
		c.setPlatformDown(true)
		second.kill()
		r := first.Index().Replicas["r-a"]
		for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(100 * time.Millisecond) {
			if first.MayUseCold(r) && time.Since(start) > 2*time.Second {
				t.Fatal("the replica is used without consent")
			}
		}
		c.setPlatformDown(false)
		took := c.waitFor(time.Minute, "the replica is used again", func() bool { return first.MayUseCold(r) })
		t.Logf("used %v after the end of the outage", took)
		if !first.hasEvent("cold replica rests r-a no consent from " + second.name) {
			t.Fatalf("no event for the blocked replica: %q", first.events)
		}
	})
}
