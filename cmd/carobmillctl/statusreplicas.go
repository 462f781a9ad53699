package main

import (
	"fmt"
	"sort"
	"text/tabwriter"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/rule"
)

// replicaView is a replica with the views of its owners, ordered by rank.
type replicaView struct {
	service string
	replica string
	owners  []ownerView
}

type ownerView struct {
	node  string
	owned *pb.OwnedReplica
}

func (inv *invocation) printReplicas(list []*pb.NodeStatus, all bool) {
	views := replicaViews(list)
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tREPLICA\tOWNER\tRANK\tSTATE\tIN FLIGHT\tLIMIT\tCONNECTIONS\tSNAPSHOTS")
	shown := 0
	for _, v := range views {
		if !all && v.warm() {
			continue
		}
		shown++
		for _, o := range v.owners {
			status := o.owned.GetNews()
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d/%d\t%d-%d\n", v.service, v.replica, o.node,
				o.owned.GetRank(), replicaState(status), status.GetInFlight(), status.GetLimit(),
				o.owned.GetConnections(), o.owned.GetConnectionLimit(), status.GetOldestSnapshot(), status.GetNewestSnapshot())
		}
	}
	if shown > 0 {
		_ = w.Flush()
	}
	inv.printf("%d replicas with an owner, %d listed", len(views), shown)
	if !all {
		inv.printf(" (-replicas lists them all)")
	}
	inv.printf("\n")
}

func replicaViews(list []*pb.NodeStatus) []*replicaView {
	byName := make(map[string]*replicaView)
	var views []*replicaView
	for _, n := range list {
		for _, owned := range n.GetOwned() {
			v := byName[owned.GetReplica()]
			if v == nil {
				v = &replicaView{service: owned.GetService(), replica: owned.GetReplica()}
				byName[owned.GetReplica()] = v
				views = append(views, v)
			}
			v.owners = append(v.owners, ownerView{node: n.GetNode(), owned: owned})
		}
	}
	for _, v := range views {
		sort.Slice(v.owners, func(i, j int) bool { return v.owners[i].owned.GetRank() < v.owners[j].owned.GetRank() })
	}
	sort.Slice(views, func(i, j int) bool { return views[i].replica < views[j].replica })
	return views
}

// warm reports whether every owner reports the replica as warm or has not reported its
// state yet.
func (v *replicaView) warm() bool {
	for _, o := range v.owners {
		state := o.owned.GetNews().GetState()
		if state != pb.ReplicaState_REPLICA_STATE_WARM && state != pb.ReplicaState_REPLICA_STATE_UNSPECIFIED {
			return false
		}
	}
	return true
}

func replicaState(status *pb.ReplicaNews) string {
	if status.GetState() == pb.ReplicaState_REPLICA_STATE_UNSPECIFIED {
		return "unknown"
	}
	return rule.ShortName(status.GetState().Descriptor().Values().ByNumber(status.GetState().Number()))
}
