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

// Fleet returns the status of all nodes that the queried node lists.
type Fleet interface {
	Status(ctx context.Context) ([]*pb.NodeStatus, error)
}

// LaggingNode is a node that does not have a version in force, with the reason.
type LaggingNode struct {
	Node   string
	Reason string
}

// RolloutStatus describes which nodes have a version in force.
type RolloutStatus struct {
	Version uint64
	// Nodes is the number of known nodes. Lagging lists those that do not have the
	// version in force, sorted by name.
	Nodes   int
	Lagging []LaggingNode
	// Elapsed is the time until the last node had the version in force, or until the
	// context ended.
	Elapsed time.Duration
	// Err is set if no node could be queried.
	Err error
}

// Done reports whether every known node has the version in force.
func (s RolloutStatus) Done() bool {
	return s.Err == nil && s.Nodes > 0 && len(s.Lagging) == 0
}

// HighestInForce returns the highest version that any node has in force.
func HighestInForce(nodes []*pb.NodeStatus) uint64 {
	var highest uint64
	for _, n := range nodes {
		highest = max(highest, n.GetConfigVersion())
	}
	return highest
}

// Await queries the fleet until every known node has the version in force or ctx ends.
// The VM list adds nodes that the fleet may not list, such as those on the other side of
// a network partition, and may be nil. An interval of 0 selects 200 ms between queries.
func Await(ctx context.Context, fleet Fleet, vms platform.VMList, version uint64, interval time.Duration) RolloutStatus {
	start := time.Now()
	if interval == 0 {
		interval = defaultPause
	}
	var last RolloutStatus
	for {
		current := queryFleet(ctx, fleet, vms, version)
		// A query cut off by the end of ctx is incomplete, so the previous result, if any,
		// is returned.
		if ctx.Err() == nil || last.Version == 0 {
			last = current
		}
		last.Elapsed = time.Since(start)
		if last.Done() {
			return last
		}
		if !work.Sleep(ctx, interval) {
			last.Elapsed = time.Since(start)
			return last
		}
	}
}

func queryFleet(ctx context.Context, fleet Fleet, vms platform.VMList, version uint64) RolloutStatus {
	s := RolloutStatus{Version: version}
	nodes, err := fleet.Status(ctx)
	if err != nil {
		s.Err = err
		return s
	}
	reasons := make(map[string]string)
	for _, n := range nodes {
		reasons[n.GetNode()] = lagReason(n, version)
	}
	for _, n := range nodes {
		addMembers(reasons, n.GetMembers(), version)
	}
	addVMs(ctx, reasons, vms)
	s.Nodes = len(reasons)
	for node, why := range reasons {
		if why != "" {
			s.Lagging = append(s.Lagging, LaggingNode{Node: node, Reason: why})
		}
	}
	sort.Slice(s.Lagging, func(i, j int) bool { return s.Lagging[i].Node < s.Lagging[j].Node })
	return s
}

// lagReason returns why a node does not have the version in force, or an empty string if
// it has.
func lagReason(n *pb.NodeStatus, version uint64) string {
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

// addMembers adds the members without a status. Members that are leaving or gone receive
// no requests and need no configuration.
func addMembers(reasons map[string]string, members []*pb.MemberChange, version uint64) {
	for _, m := range members {
		if _, ok := reasons[m.GetNode()]; ok {
			continue
		}
		switch m.GetState() {
		case pb.MemberState_MEMBER_STATE_LEAVING, pb.MemberState_MEMBER_STATE_GONE:
			continue
		case pb.MemberState_MEMBER_STATE_DEAD:
			reasons[m.GetNode()] = fmt.Sprintf("member is dead, last reported version is %d", m.GetConfigVersion())
		default:
			if m.GetConfigVersion() < version {
				reasons[m.GetNode()] = fmt.Sprintf("did not answer, last reported version is %d", m.GetConfigVersion())
			}
		}
	}
}

// addVMs adds the VMs that are neither leaving nor listed by the queried nodes.
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
			reasons[vm.Name] = "on the platform's VM list, but unknown to the queried nodes"
		}
	}
}
