package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

func TestChangeIsInForceOnEightNodesWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.startReadyFleet(testConfiguration(1))
		c.publish(testConfiguration(2))
		t.Logf("in force after %v", c.waitFor(2*time.Second, "version 2 everywhere", allAtVersion(nodes, 2)))
	})
}

// The nodes of two data centres cannot reach the platform. They must receive the
// new version by gossip and pull it from other nodes.
func TestChangeReachesNodesDisconnectedFromPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.startReadyFleet(testConfiguration(1))
		c.disconnectFromPlatform(nodes[:4])
		time.Sleep(time.Minute)
		c.publish(testConfiguration(2))
		t.Logf("in force after %v", c.waitFor(2*time.Second, "version 2 everywhere", allAtVersion(nodes, 2)))
		c.waitFor(2*time.Second, "node 0 pulls", func() bool { return nodes[0].Stats().Pulls > 0 })
	})
}

// The platform fails over to an outdated copy while all nodes but one restart. A
// restarted node must not put the outdated version in force, but pull the current
// version from the remaining node.
func TestRestartedNodesDoNotUseOutdatedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.publish(testConfiguration(6))
		stale := c.platform.entry
		nodes := c.startReadyFleet(testConfiguration(7))
		c.platform.setStaleEntry(c, &stale)
		for i, n := range nodes[1:] {
			n.kill()
			nodes[i+1] = c.start(n.name, n.dc, "10.0.0.0", "10.0.0.1", "10.0.0.2")
		}
		lowest := uint64(7)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			for _, n := range nodes {
				if v := n.configVersion(); v != 0 {
					lowest = min(lowest, v)
				}
			}
		}
		if lowest != 7 || !allAtVersion(nodes, 7)() {
			t.Fatalf("lowest version in force is %d, want 7 on all nodes", lowest)
		}
		if c.callsPerSecond(10*time.Second) > 30 {
			t.Fatal("more than 30 platform calls per second while the platform returns outdated data")
		}
	})
}

// A node that starts during an outage of the platform must pull the configuration
// from its peers. If all nodes start during the outage, no peer has a
// configuration, and the nodes must not become ready.
func TestNodeStartsDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.startReadyFleet(testConfiguration(3))
		c.setPlatformDown(true)
		nodes[5].kill()
		nodes[5] = c.start("5", "c", "10.0.0.0", "10.0.0.1")
		t.Logf("in force after %v", c.waitFor(2*time.Second, "version 3 at the new node", allAtVersion(nodes, 3)))
		for i, n := range nodes {
			n.kill()
			nodes[i] = nil
		}
		for i := range nodes {
			nodes[i] = c.start(nodeName(i), string(rune('a'+i/2%4)), "10.0.0.0", "10.0.0.1")
		}
		if rate := c.callsPerSecond(time.Minute); rate > 8 {
			t.Fatalf("8 nodes without a configuration make %.1f platform calls per second, want at most 8", rate)
		}
		if ready, reason := nodes[0].Ready(); ready || reason != "no configuration is in force" {
			t.Fatalf("ready %v: %s", ready, reason)
		}
		c.setPlatformDown(false)
		c.waitFor(5*time.Second, "version 3 everywhere", allAtVersion(nodes, 3))
	})
}

// During a long outage of the platform, the configuration must stay in force and
// all members must stay alive. Nodes must not overload the platform, and a change
// after the outage must be in force within 15 s.
func TestConfigurationAndMembersSurviveLongPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.pingIntervalMs = 2000
		c.publish(testConfiguration(1))
		nodes := c.startEightNodes()
		c.waitFor(10*time.Second, "all nodes start", func() bool { return allAtVersion(nodes, 1)() && allSeeAlive(nodes, 8)() })
		before := c.callsPerSecond(10 * time.Minute)
		c.setPlatformDown(true)
		during := c.callsPerSecond(3 * time.Hour)
		if !allAtVersion(nodes, 1)() || !allSeeAlive(nodes, 8)() {
			t.Fatal("the configuration or the members changed during the outage")
		}
		if nodes[0].PlatformReachable() {
			t.Fatal("the node does not report the outage")
		}
		c.setPlatformDown(false)
		c.publish(testConfiguration(2))
		took := c.waitFor(15*time.Second, "version 2 everywhere", allAtVersion(nodes, 2))
		t.Logf("platform calls per second by 8 nodes: %.2f before the outage, %.2f during it; change in force %v after it", before, during, took)
		if before > 2 || during > 4 {
			t.Fatalf("too many platform calls per second: %.2f before the outage, %.2f during it", before, during)
		}
	})
}

// Nodes of a data centre that is out of service must report the reason and not be
// ready, but must answer requests. They must be ready again when the data centre is
// back in service.
func TestNodesOfOutOfServiceDataCentreAreNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.startReadyFleet(testConfiguration(1))
		out := testConfiguration(2)
		out.Sheet.DataCentres[1].State = pb.Lifecycle_LIFECYCLE_OUT
		c.publish(out)
		c.waitFor(2*time.Second, "version 2 everywhere", allAtVersion(nodes, 2))
		for _, n := range nodes {
			ready, reason := n.Ready()
			if ready != (n.dc != "b") || !ready && reason != "data centre b is out of service" {
				t.Fatalf("node %s in %s: ready %v: %s", n.name, n.dc, ready, reason)
			}
			if n.Index().Replicas["r-b"].InService {
				t.Fatal("replica r-b is still in service")
			}
		}
		if _, err := nodes[2].HandleGossip(t.Context(), &pb.GossipRequest{Envelope: nodes[0].Envelope()}); err != nil {
			t.Fatal(err)
		}
		c.publish(testConfiguration(3))
		c.waitFor(2*time.Second, "version 3 everywhere", allAtVersion(nodes, 3))
		if ready, reason := nodes[2].Ready(); !ready {
			t.Fatal(reason)
		}
	})
}

// The platform is restored from a backup with a lower revision. A watch past the
// earlier revision would not return, so the read after each long poll must find the
// next change.
func TestChangeIsInForceAfterPlatformRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for version := range uint64(9) {
			c.publish(testConfiguration(version + 1))
		}
		nodes := c.startEightNodes()
		c.waitFor(5*time.Second, "all nodes start", func() bool { return allAtVersion(nodes, 9)() && allSeeAlive(nodes, 8)() })
		time.Sleep(time.Minute)
		if nodes[0].hasEvent("platform unreachable carobmill/test/configuration ") || !nodes[0].PlatformReachable() {
			t.Fatal("a long poll without a change was reported as an outage")
		}
		c.restoreFromBackup(testConfiguration(10))
		t.Logf("in force after %v", c.waitFor(watchTimeout+time.Second, "version 10 everywhere", allAtVersion(nodes, 10)))
	})
}
