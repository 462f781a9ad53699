package fleet

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// The other nodes get no answer from a paused VM and give it no work for a
// while. On waking it still has the old view. It hears that it counts as dead,
// raises its incarnation, and is a member again without a restart.
func TestNodePausedPastEveryTimeoutComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		nodes := w.startEight(sheetOf(1))
		nodes[3].pause()
		others := append(append([]*testNode(nil), nodes[:3]...), nodes[4:]...)
		t.Logf("not alive after %v", w.until(4*time.Second, "the others notice", allKnow(others, 7)))
		time.Sleep(30 * time.Second)
		nodes[3].resume()
		t.Logf("back after %v", w.until(10*time.Second, "all nodes know each other again", allKnow(nodes, 8)))
		for _, m := range nodes[0].Members() {
			if m.State != pb.MemberState_MEMBER_STATE_ALIVE {
				t.Fatalf("%+v", m)
			}
		}
	})
}

// Two data centres lose the other two. Each side stops waiting for the other
// within two seconds and keeps its owners. When the network heals no owner of
// either side changes for a moment, and nobody is stormed with pulls.
func TestPartitionIsNoticedAndHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		nodes := w.startEight(sheetOf(1))
		w.split(func(a, b *testNode) bool { return (a.dc < "c") != (b.dc < "c") })
		t.Logf("noticed after %v", w.until(2*time.Second, "each side sees itself only", allKnow(nodes, 4)))
		w.cutPlatform(nodes[4:])
		w.publish(sheetOf(2))
		w.until(2*time.Second, "version 2 on the platform's side", allAt(nodes[:4], 2))
		time.Sleep(5 * time.Minute)
		if !allAt(nodes[4:], 1)() {
			t.Fatal("a change crossed the partition")
		}
		w.split(nil)
		healed := w.until(10*time.Second, "all nodes know each other", func() bool {
			for _, n := range nodes {
				if got := len(n.view.Load().candidates[n.dc]); got != 2 {
					t.Fatalf("node %s moved ownership of its own side to %d nodes", n.name, got)
				}
			}
			return allKnow(nodes, 8)() && allAt(nodes, 2)()
		})
		t.Logf("healed after %v", healed)
		for _, n := range nodes[4:] {
			if pulls := n.Stats().Pulls; pulls > 4 {
				t.Fatalf("node %s pulled %d times", n.name, pulls)
			}
		}
	})
}

// A call to a peer fails. The peer is pinged at once, not when its turn comes.
func TestFailedCallHasThePeerPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.pingIntervalMs = 4000
		w.publish(sheetOf(1))
		nodes := w.fleetOfEight()
		w.until(30*time.Second, "all nodes know each other", allKnow(nodes, 8))
		nodes[7].kill()
		nodes[0].ReportCallFailure("7")
		took := w.until(500*time.Millisecond, "suspected", allKnow(nodes[:1], 7))
		t.Logf("suspected after %v", took)
	})
}

// Messages of another fleet, another protocol or without bounds are refused.
func TestForeignMessagesAreRefused(t *testing.T) {
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
		t.Fatalf("%d refused", got)
	}
}

// A VM was cut off until the platform no longer listed it, and others took over
// what it held. It learns of that, and goes on under a new boot that holds
// nothing.
func TestNodeCalledGoneRejoinsAsANewBoot(t *testing.T) {
	f := New(Options{Settings: &pb.Settings{Node: "0", Fleet: "test"}, Boot: 1})
	env := f.Envelope()
	gone := f.Self().Change()
	gone.State = pb.MemberState_MEMBER_STATE_GONE
	env.Changes = []*pb.MemberChange{gone}
	if err := f.Receive(env); err != nil {
		t.Fatal(err)
	}
	if self := f.Self(); self.Boot == 1 || self.State != pb.MemberState_MEMBER_STATE_ALIVE {
		t.Fatalf("%+v", self)
	}
}

// Two parts of the fleet started from seeds that do not know each other. The
// platform's VM list names nodes that one part has never heard of, which is
// enough for the parts to meet.
func TestPartsThatNeverMetFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.publish(sheetOf(1))
		w.setPlatformDown(true)
		var nodes []*testNode
		for i := range 8 {
			nodes = append(nodes, w.start(nodesName(i), string(rune('a'+i/2)), "10.0.0."+nodesName(i/4*4)))
		}
		w.until(10*time.Second, "each part knows itself", allKnow(nodes, 4))
		w.setPlatformDown(false)
		t.Logf("met after %v", w.until(40*time.Second, "all nodes know each other", allKnow(nodes, 8)))
	})
}
