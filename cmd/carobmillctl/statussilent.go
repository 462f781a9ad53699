package main

import (
	"fmt"
	"sort"
	"text/tabwriter"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// maxSilentRows bounds the silent services that are listed, those of most nodes first.
const maxSilentRows = 20

// printSilentServices prints the services whose usable replicas are all silent, with the
// number of nodes that find them so and the name of one.
func (inv *invocation) printSilentServices(list []*pb.NodeStatus) {
	nodes := make(map[string][]string)
	for _, n := range list {
		for _, service := range n.GetSilentServices() {
			nodes[service] = append(nodes[service], n.GetNode())
		}
	}
	if len(nodes) == 0 {
		return
	}
	services := make([]string, 0, len(nodes))
	for service := range nodes {
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool {
		a, b := services[i], services[j]
		if len(nodes[a]) != len(nodes[b]) {
			return len(nodes[a]) > len(nodes[b])
		}
		return a < b
	})
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SILENT SERVICE\tNODES\tONE OF THEM")
	for _, service := range services[:min(len(services), maxSilentRows)] {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", service, len(nodes[service]), nodes[service][0])
	}
	_ = w.Flush()
	if more := len(services) - maxSilentRows; more > 0 {
		inv.printf("and %d services\n", more)
	}
}
