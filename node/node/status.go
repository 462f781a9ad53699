package node

import (
	"context"
	"sort"
	"sync"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/policy/config"
)

// NodeStatus returns the status of this node or, with wholeFleet, of every member that is not
// gone, sorted by name. If the status request to a member fails, the entry holds the error.
func (n *Node) NodeStatus(ctx context.Context, wholeFleet bool) []*pb.NodeStatus {
	list := []*pb.NodeStatus{n.localStatus()}
	if !wholeFleet {
		return list
	}
	var (
		mu      sync.Mutex
		pending sync.WaitGroup
		members = n.fleet.Members()
	)
	for _, m := range members {
		if m.Name == n.settings.GetNode() {
			continue
		}
		pending.Go(func() {
			status := n.memberStatus(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, status)
		})
	}
	pending.Wait()
	sort.Slice(list, func(i, j int) bool { return list[i].GetNode() < list[j].GetNode() })
	return list
}

func (n *Node) memberStatus(ctx context.Context, m fleet.Member) *pb.NodeStatus {
	status, err := n.peers.Status(ctx, m)
	if err != nil {
		return &pb.NodeStatus{
			Node:       m.Name,
			DataCentre: m.DataCentre,
			Boot:       m.Boot,
			Error:      err.Error(),
		}
	}
	return status
}

func (n *Node) localStatus() *pb.NodeStatus {
	ready, reason := n.Ready()
	status := &pb.NodeStatus{
		Node:              n.settings.GetNode(),
		DataCentre:        n.settings.GetDataCentre(),
		Boot:              n.boot,
		Ready:             ready,
		UnreadyReason:     reason,
		PlatformReachable: n.fleet.PlatformReachable(),
		PlatformCalls:     n.platform.Calls(),
		Watcher:           n.fleet.IsWatcher(),
		Members:           memberChanges(n.fleet.Members()),
		Owned:             n.owner.Status(),
	}
	status.MembersAlive = countAlive(status.GetMembers())
	if index := n.fleet.Index(); index != nil {
		status.ConfigVersion = index.Version
		dc := index.DataCentres[status.GetDataCentre()]
		status.DataCentreOut = dc != nil && !dc.InService
	}
	return status
}

func countAlive(members []*pb.MemberChange) uint32 {
	var alive uint32
	for _, m := range members {
		if m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE {
			alive++
		}
	}
	return alive
}

func memberChanges(members []fleet.Member) []*pb.MemberChange {
	list := make([]*pb.MemberChange, 0, len(members))
	for _, m := range members {
		list = append(list, m.Change())
	}
	return list
}

// Index returns the configuration in force, or nil if there is none.
func (n *Node) Index() *config.Index {
	return n.fleet.Index()
}

// Decisions returns the node's recorded decisions, oldest first.
func (n *Node) Decisions() []ring.Decision {
	return n.ring.Decisions("")
}
