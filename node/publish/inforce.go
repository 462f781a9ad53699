package publish

import (
	"context"
	"fmt"
	"sort"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/work"
)

// Fleet answers for all nodes that the node asked knows.
type Fleet interface {
	Status(ctx context.Context) ([]*pb.NodeStatus, error)
}

// LaggingNode is a node that does not have a version in force, and why.
type LaggingNode struct {
	Node   string
	Reason string
}

// RolloutStatus says how far a version has spread.
type RolloutStatus struct {
	Version uint64
	// Nodes that are known, and those of them that lag, in order of their names.
	Nodes   int
	Lagging []LaggingNode
	// Elapsed is the time until the last node had it, or until the time limit.
	Elapsed time.Duration
	// Err is set when no node could be asked.
	Err error
}

// Done reports whether every node known has the version in force.
func (f RolloutStatus) Done() bool {
	return f.Err == nil && f.Nodes > 0 && len(f.Lagging) == 0
}

// HighestInForce is the highest version that any node has in force.
func HighestInForce(nodes []*pb.NodeStatus) uint64 {
	var highest uint64
	for _, n := range nodes {
		highest = max(highest, n.GetConfigVersion())
	}
	return highest
}

// Await asks the fleet until every node known has the version in force or ctx
// ends. The VM list names nodes that the fleet itself may not know, such as the
// far side of a partition; it may be nil. The fleet is asked again after the
// time every; 0 is 200 ms.
func Await(ctx context.Context, fleet Fleet, vms platform.VMList, version uint64, every time.Duration) RolloutStatus {
	start := time.Now()
	if every == 0 {
		every = defaultPause
	}
	var last RolloutStatus
	for {
		now := ask(ctx, fleet, vms, version)
		// A question cut short by the time limit tells less than the one before.
		if ctx.Err() == nil || last.Version == 0 {
			last = now
		}
		last.Elapsed = time.Since(start)
		if last.Done() {
			return last
		}
		if !work.Sleep(ctx, every) {
			last.Elapsed = time.Since(start)
			return last
		}
	}
}

func ask(ctx context.Context, fleet Fleet, vms platform.VMList, version uint64) RolloutStatus {
	f := RolloutStatus{Version: version}
	nodes, err := fleet.Status(ctx)
	if err != nil {
		f.Err = err
		return f
	}
	reasons := make(map[string]string)
	for _, n := range nodes {
		reasons[n.GetNode()] = reason(n, version)
	}
	for _, n := range nodes {
		addMembers(reasons, n.GetMembers(), version)
	}
	addVMs(ctx, reasons, vms)
	f.Nodes = len(reasons)
	for node, why := range reasons {
		if why != "" {
			f.Lagging = append(f.Lagging, LaggingNode{Node: node, Reason: why})
		}
	}
	sort.Slice(f.Lagging, func(i, j int) bool { return f.Lagging[i].Node < f.Lagging[j].Node })
	return f
}

// reason says why a node lags; empty when it does not.
func reason(n *pb.NodeStatus, version uint64) string {
	switch {
	case n.GetError() != "":
		return "cannot be asked: " + n.GetError()
	case n.GetConfigVersion() >= version:
		return ""
	}
	why := fmt.Sprintf("version in force is %d", n.GetConfigVersion())
	if !n.GetPlatformReachable() {
		why += ", the platform is unreachable from it"
	}
	if n.GetUnreadyReason() != "" {
		why += ", unready: " + n.GetUnreadyReason()
	}
	return why
}

// addMembers adds members that no status stands for. Members that leave or are
// gone get no work and need no configuration.
func addMembers(reasons map[string]string, members []*pb.MemberChange, version uint64) {
	for _, m := range members {
		if _, ok := reasons[m.GetNode()]; ok {
			continue
		}
		switch m.GetState() {
		case pb.MemberState_MEMBER_STATE_LEAVING, pb.MemberState_MEMBER_STATE_GONE:
			continue
		case pb.MemberState_MEMBER_STATE_DEAD:
			reasons[m.GetNode()] = fmt.Sprintf("counts as dead, version last heard is %d", m.GetConfigVersion())
		default:
			if m.GetConfigVersion() < version {
				reasons[m.GetNode()] = fmt.Sprintf("did not answer, version last heard is %d", m.GetConfigVersion())
			}
		}
	}
}

func addVMs(ctx context.Context, reasons map[string]string, list platform.VMList) {
	if list == nil {
		return
	}
	vms, err := list.VMs(ctx)
	if err != nil {
		return
	}
	for _, vm := range vms {
		if _, ok := reasons[vm.Name]; !ok && !vm.Leaving {
			reasons[vm.Name] = "stands on the platform's VM list, but is unknown to the nodes asked"
		}
	}
}
