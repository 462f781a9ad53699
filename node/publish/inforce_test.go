package publish_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/publish"
)

type fleetFunc func() ([]*pb.NodeStatus, error)

func (f fleetFunc) Status(context.Context) ([]*pb.NodeStatus, error) { return f() }

type vmList []platform.VM

func (l vmList) VMs(context.Context) ([]platform.VM, error) { return l, nil }

func node(name string, version uint64) *pb.NodeStatus {
	return &pb.NodeStatus{Node: name, ConfigVersion: version, PlatformReachable: true}
}

func TestAwaitReturnsWhenLastNodeHasVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		f := publish.Await(t.Context(), fleetFunc(func() ([]*pb.NodeStatus, error) {
			if time.Since(start) < 900*time.Millisecond {
				return []*pb.NodeStatus{node("a", 7), node("b", 6)}, nil
			}
			return []*pb.NodeStatus{node("a", 7), node("b", 8)}, nil
		}), nil, 7, 100*time.Millisecond)
		c.Assert(f.Done(), qt.IsTrue)
		c.Assert(f.Elapsed, qt.Equals, 900*time.Millisecond)
	})
}

// One node is cut off, one has the platform down, one counts as dead, and one
// stands only on the VM list. After the time limit the operator sees each with
// the reason; the node that leaves is not waited for.
func TestAwaitListsLaggingNodesWithReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		asked := node("a", 7)
		asked.Members = []*pb.MemberChange{
			{Node: "a", State: pb.MemberState_MEMBER_STATE_ALIVE, ConfigVersion: 7},
			{Node: "dead", State: pb.MemberState_MEMBER_STATE_DEAD, ConfigVersion: 6},
			{Node: "leaving", State: pb.MemberState_MEMBER_STATE_LEAVING, ConfigVersion: 6},
		}
		old := node("old", 6)
		old.PlatformReachable = false
		fleet := fleetFunc(func() ([]*pb.NodeStatus, error) {
			return []*pb.NodeStatus{asked, old, {Node: "cut", Error: "timeout"}}, nil
		})
		vms := vmList{{Name: "a"}, {Name: "far"}, {Name: "stopping", Leaving: true}}
		f := publish.Await(ctx, fleet, vms, 7, time.Second)
		c.Assert(f.Done(), qt.IsFalse)
		c.Assert(f.Elapsed, qt.Equals, 3*time.Second)
		c.Assert(f.Nodes, qt.Equals, 5)
		c.Assert(f.Lagging, qt.DeepEquals, []publish.LaggingNode{
			{Node: "cut", Reason: "cannot be asked: timeout"},
			{Node: "dead", Reason: "counts as dead, version last heard is 6"},
			{Node: "far", Reason: "stands on the platform's VM list, but is unknown to the nodes asked"},
			{Node: "old", Reason: "version in force is 6, the platform is unreachable from it"},
		})
	})
}

func TestAwaitReturnsErrorWhenNoNodeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f := publish.Await(ctx, fleetFunc(func() ([]*pb.NodeStatus, error) {
			return nil, errors.New("refused")
		}), nil, 7, time.Second)
		c.Assert(f.Done(), qt.IsFalse)
		c.Assert(f.Err, qt.ErrorMatches, "refused")
	})
}
