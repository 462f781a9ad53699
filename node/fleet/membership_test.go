package fleet

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// A node that is paused until the other nodes mark it dead must become alive again
// after it resumes. It receives its own state, increases its incarnation and
// refutes the state without a restart.
func TestDeadNodeIsAliveAgainAfterResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.startReadyFleet(testConfiguration(1))
		nodes[3].pause()
		others := append(append([]*testNode(nil), nodes[:3]...), nodes[4:]...)
		t.Logf("marked not alive after %v", c.waitFor(4*time.Second, "the other nodes see 7 alive members", allSeeAlive(others, 7)))
		time.Sleep(30 * time.Second)
		nodes[3].resume()
		t.Logf("alive again after %v", c.waitFor(10*time.Second, "all nodes see 8 alive members again", allSeeAlive(nodes, 8)))
		for _, m := range nodes[0].Members() {
			if m.State != pb.MemberState_MEMBER_STATE_ALIVE {
				t.Fatalf("member is not alive after the resume: %+v", m)
			}
		}
	})
}

// Each side of a partition must detect it within two seconds and keep its own
// owners. When the partition ends, ownership within a side must not change
// temporarily, and nodes must not pull excessively.
func TestPartitionIsDetectedAndHealsWithoutOwnershipChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.startReadyFleet(testConfiguration(1))
		c.partition(func(a, b *testNode) bool { return (a.dc < "c") != (b.dc < "c") })
		t.Logf("detected after %v", c.waitFor(2*time.Second, "each side sees only its own members as alive", allSeeAlive(nodes, 4)))
		c.disconnectFromPlatform(nodes[4:])
		c.publish(testConfiguration(2))
		c.waitFor(2*time.Second, "version 2 on the side with the platform", allAtVersion(nodes[:4], 2))
		time.Sleep(5 * time.Minute)
		if !allAtVersion(nodes[4:], 1)() {
			t.Fatal("a change crossed the partition")
		}
		c.partition(nil)
		healed := c.waitFor(10*time.Second, "all nodes see 8 alive members", func() bool {
			for _, n := range nodes {
				if got := len(n.view.Load().candidates[n.dc]); got != 2 {
					t.Fatalf("node %s has %d candidates in its data centre, want 2", n.name, got)
				}
			}
			return allSeeAlive(nodes, 8)() && allAtVersion(nodes, 2)()
		})
		t.Logf("healed after %v", healed)
		for _, n := range nodes[4:] {
			if pulls := n.Stats().Pulls; pulls > 4 {
				t.Fatalf("node %s pulled %d times", n.name, pulls)
			}
		}
	})
}

// After a failed call, the peer must be pinged immediately instead of at its turn.
func TestFailedCallTriggersImmediatePing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.pingIntervalMs = 4000
		c.publish(testConfiguration(1))
		nodes := c.startEightNodes()
		c.waitFor(30*time.Second, "all nodes see 8 alive members", allSeeAlive(nodes, 8))
		nodes[7].kill()
		nodes[0].ReportCallFailure("7")
		took := c.waitFor(500*time.Millisecond, "node 7 is not alive", allSeeAlive(nodes[:1], 7))
		t.Logf("suspected after %v", took)
	})
}

// Messages of another fleet, of another protocol version or with too many changes
// must be rejected.
func TestMismatchedOrOversizedMessagesAreRejected(t *testing.T) {
	f := New(Options{Settings: &pb.Settings{Node: "0", Fleet: "test"}})
	env := f.Envelope()
	env.Fleet = "other"
	var fleetErr *NameMismatchError
	if err := f.Receive(env); !errors.As(err, &fleetErr) {
		t.Fatal(err)
	}
	env = f.Envelope()
	env.Protocol = 9
	var protocolErr *ProtocolMismatchError
	if err := f.Receive(env); !errors.As(err, &protocolErr) {
		t.Fatal(err)
	}
	env = f.Envelope()
	env.Changes = make([]*pb.MemberChange, 5000)
	if err := f.Receive(env); !errors.Is(err, ErrTooLarge) {
		t.Fatal(err)
	}
	if got := f.Stats().Refused; got != 3 {
		t.Fatalf("%d messages rejected, want 3", got)
	}
}

// A node whose boot was marked gone must rejoin with a new boot number. Other nodes
// may have taken over the replicas of the old boot.
func TestNodeMarkedGoneRejoinsWithNewBoot(t *testing.T) {
	f := New(Options{Settings: &pb.Settings{Node: "0", Fleet: "test"}, Boot: 1})
	env := f.Envelope()
	gone := f.Self().Change()
	gone.State = pb.MemberState_MEMBER_STATE_GONE
	env.Changes = []*pb.MemberChange{gone}
	if err := f.Receive(env); err != nil {
		t.Fatal(err)
	}
	if self := f.Self(); self.Boot == 1 || self.State != pb.MemberState_MEMBER_STATE_ALIVE {
		t.Fatalf("unexpected own entry after being marked gone: %+v", self)
	}
}

// Two parts of the fleet that started from separate seeds must merge when the
// platform's VM list names nodes of the other part.
func TestSeparateFleetPartsMergeThroughVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.publish(testConfiguration(1))
		c.setPlatformDown(true)
		var nodes []*testNode
		for i := range 8 {
			nodes = append(nodes, c.start(nodeName(i), string(rune('a'+i/2)), "10.0.0."+nodeName(i/4*4)))
		}
		c.waitFor(10*time.Second, "each part sees its own 4 members as alive", allSeeAlive(nodes, 4))
		c.setPlatformDown(false)
		t.Logf("merged after %v", c.waitFor(40*time.Second, "all nodes see 8 alive members", allSeeAlive(nodes, 8)))
	})
}
