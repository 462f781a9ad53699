package main

import (
	"fmt"
	"sort"
	"text/tabwriter"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// maxAccountRows bounds the accounts that are listed, those with most requests first.
const maxAccountRows = 20

// accountSummary aggregates the use of one account over the nodes.
type accountSummary struct {
	name              string
	rate, burst       float64
	demand            float64
	admitted, refused uint64
	// nodes and exhausted count the nodes with requests of the account, and those that refuse
	// them.
	nodes, exhausted int
}

// printAccounts prints the client accounts with a usage cap and requests.
func (inv *invocation) printAccounts(list []*pb.NodeStatus) {
	summaries := summariseAccounts(list)
	if len(summaries) == 0 {
		return
	}
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ACCOUNT\tCAP\tREQUESTS/S\tADMITTED\tREFUSED\tNODES\tREFUSING")
	for _, s := range summaries[:min(len(summaries), maxAccountRows)] {
		_, _ = fmt.Fprintf(w, "%s\t%g/s and %g\t%.1f\t%d\t%d\t%d\t%d\n",
			s.name, s.rate, s.burst, s.demand, s.admitted, s.refused, s.nodes, s.exhausted)
	}
	_ = w.Flush()
	if more := len(summaries) - maxAccountRows; more > 0 {
		inv.printf("and %d accounts with fewer requests\n", more)
	}
}

// summariseAccounts returns the accounts, those with most requests per second first.
func summariseAccounts(list []*pb.NodeStatus) []*accountSummary {
	byName := make(map[string]*accountSummary)
	var summaries []*accountSummary
	for _, n := range list {
		for _, a := range n.GetAccounts() {
			s := byName[a.GetAccount()]
			if s == nil {
				s = &accountSummary{name: a.GetAccount(), rate: a.GetRate(), burst: a.GetBurst()}
				byName[s.name] = s
				summaries = append(summaries, s)
			}
			s.demand += a.GetDemand()
			s.admitted, s.refused = s.admitted+a.GetAdmitted(), s.refused+a.GetRefused()
			s.nodes++
			if a.GetExhausted() {
				s.exhausted++
			}
		}
	}
	sort.Slice(summaries, func(i, j int) bool {
		a, b := summaries[i], summaries[j]
		if a.demand != b.demand {
			return a.demand > b.demand
		}
		return a.name < b.name
	})
	return summaries
}
