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

// One node does not answer, one cannot reach the platform, one is dead, and one is only
// on the VM list. At the time limit each is listed with its reason. Nodes that are leaving
// are not listed.
func TestAwaitListsLaggingNodesWithReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		queried := node("a", 7)
		queried.Members = []*pb.MemberChange{
			{Node: "a", State: pb.MemberState_MEMBER_STATE_ALIVE, ConfigVersion: 7},
			{Node: "dead", State: pb.MemberState_MEMBER_STATE_DEAD, ConfigVersion: 6},
			{Node: "leaving", State: pb.MemberState_MEMBER_STATE_LEAVING, ConfigVersion: 6},
		}
		old := node("old", 6)
		old.PlatformReachable = false
		fleet := fleetFunc(func() ([]*pb.NodeStatus, error) {
			return []*pb.NodeStatus{queried, old, {Node: "cut", Error: "timeout"}}, nil
		})
		vms := vmList{{Name: "a"}, {Name: "far"}, {Name: "stopping", Leaving: true}}
		f := publish.Await(ctx, fleet, vms, 7, time.Second)
		c.Assert(f.Done(), qt.IsFalse)
		c.Assert(f.Elapsed, qt.Equals, 3*time.Second)
		c.Assert(f.Nodes, qt.Equals, 5)
		c.Assert(f.Lagging, qt.DeepEquals, []publish.LaggingNode{
			{Node: "cut", Reason: "cannot be asked: timeout"},
			{Node: "dead", Reason: "member is dead, last reported version is 6"},
			{Node: "far", Reason: "on the platform's VM list, but unknown to the queried nodes"},
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
