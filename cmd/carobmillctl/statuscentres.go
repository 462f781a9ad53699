package main

import (
	"fmt"
	"sort"
	"text/tabwriter"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// dataCentreSummary aggregates the nodes and replicas of one data centre.
type dataCentreSummary struct {
	name  string
	nodes int
	ready int
	// unreachable counts the nodes whose status could not be queried.
	unreachable  int
	outOfService bool
	// replicas maps the names of replicas to their states.
	replicas map[string]pb.ReplicaState
}

func (inv *invocation) printDataCentres(list []*pb.NodeStatus) {
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DATA CENTRE\tSTATE\tNODES\tREADY\tNO STATUS\tREPLICAS\tCOLD\tDRAINING\tLOST")
	for _, dc := range summariseDataCentres(list) {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", dc.name, dataCentreState(dc.outOfService), dc.nodes, dc.ready, dc.unreachable,
			len(dc.replicas), dc.count(pb.ReplicaState_REPLICA_STATE_COLD),
			dc.count(pb.ReplicaState_REPLICA_STATE_DRAINING), dc.count(pb.ReplicaState_REPLICA_STATE_LOST))
	}
	_ = w.Flush()
}

func summariseDataCentres(list []*pb.NodeStatus) []*dataCentreSummary {
	byName := make(map[string]*dataCentreSummary)
	var summaries []*dataCentreSummary
	for _, n := range list {
		dc := byName[n.GetDataCentre()]
		if dc == nil {
			dc = &dataCentreSummary{name: n.GetDataCentre(), replicas: make(map[string]pb.ReplicaState)}
			byName[dc.name] = dc
			summaries = append(summaries, dc)
		}
		dc.add(n)
	}
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].name < summaries[j].name })
	return summaries
}

// add includes the status of one node. If several owners report a replica, the state
// reported by the owner of rank 0 is used.
func (dc *dataCentreSummary) add(n *pb.NodeStatus) {
	dc.nodes++
	if n.GetError() != "" {
		dc.unreachable++
		return
	}
	if n.GetReady() {
		dc.ready++
	}
	dc.outOfService = dc.outOfService || n.GetDataCentreOut()
	for _, owned := range n.GetOwned() {
		if _, ok := dc.replicas[owned.GetReplica()]; !ok || owned.GetRank() == 0 {
			dc.replicas[owned.GetReplica()] = owned.GetNews().GetState()
		}
	}
}

func (dc *dataCentreSummary) count(state pb.ReplicaState) int {
	count := 0
	for _, s := range dc.replicas {
		if s == state {
			count++
		}
	}
	return count
}

func dataCentreState(outOfService bool) string {
	if outOfService {
		return "out"
	}
	return "in service"
}
