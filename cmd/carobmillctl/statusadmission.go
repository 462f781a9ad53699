package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// maxRoomColumn bounds the services that are listed for a node, those with least room first.
const maxRoomColumn = 3

// printAdmission prints the nodes that admit requests by priority and account.
func (inv *invocation) printAdmission(list []*pb.NodeStatus) {
	if !slices.ContainsFunc(list, func(n *pb.NodeStatus) bool { return n.GetAdmission() != nil }) {
		return
	}
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ADMISSION\tSHORT FOR\tWAITING\tAT ONCE\tWAITED\tREFUSED\tLEAST ROOM")
	for _, n := range list {
		if a := n.GetAdmission(); a != nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", n.GetNode(), shortFor(a), waitingColumn(a),
				a.GetAtOnce(), a.GetWaited(), a.GetRefused(), roomColumn(n.GetRooms()))
		}
	}
	_ = w.Flush()
}

func shortFor(a *pb.AdmissionStatus) string {
	if a.GetShortMs() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f s", float64(a.GetShortMs())/1000)
}

// waitingColumn lists the waiting requests by priority.
func waitingColumn(a *pb.AdmissionStatus) string {
	if len(a.GetWaiting()) == 0 {
		return "-"
	}
	parts := make([]string, 0, len(a.GetWaiting()))
	for _, w := range a.GetWaiting() {
		parts = append(parts, fmt.Sprintf("priority %d: %d", w.GetPriority(), w.GetRequests()))
	}
	return strings.Join(parts, ", ")
}

// roomColumn lists the services with least room, with their places and with the replicas that
// are usable but do not answer in about the usual time.
func roomColumn(rooms []*pb.ServiceRoom) string {
	if len(rooms) == 0 {
		return "-"
	}
	sorted := slices.Clone(rooms)
	slices.SortStableFunc(sorted, func(a, b *pb.ServiceRoom) int { return cmp.Compare(a.GetFree(), b.GetFree()) })
	parts := make([]string, 0, maxRoomColumn)
	for _, r := range sorted[:min(len(sorted), maxRoomColumn)] {
		part := fmt.Sprintf("%s %d/%d", r.GetService(), r.GetFree(), r.GetPlaces())
		if slow := r.GetUsable() - min(r.GetResponsive(), r.GetUsable()); slow > 0 {
			part += fmt.Sprintf(" (%d of %d slow)", slow, r.GetUsable())
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}
