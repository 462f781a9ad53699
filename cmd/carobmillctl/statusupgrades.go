package main

import (
	"fmt"
	"sort"
	"text/tabwriter"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// upgradeSummary aggregates the upgrade of one service over the nodes.
type upgradeSummary struct {
	status *pb.UpgradeStatus
	// phases counts the nodes by the phase that they act by.
	phases            map[string]int
	requests, exposed uint64
}

// printUpgrades prints the services that operators move to another version.
func (inv *invocation) printUpgrades(list []*pb.NodeStatus) {
	summaries := summariseUpgrades(list)
	if len(summaries) == 0 {
		return
	}
	services := make([]string, 0, len(summaries))
	for service := range summaries {
		services = append(services, service)
	}
	sort.Strings(services)
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "UPGRADE\tTO VERSION\tSTATE\tLEADER\tPHASES\tREQUESTS\tTO NEW VERSION")
	for _, service := range services {
		s := summaries[service]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", service, s.status.GetVersion(), s.status.GetState(),
			orDash(s.status.GetLeader()), s.phaseList(), s.requests, s.exposed)
	}
	_ = w.Flush()
}

func summariseUpgrades(list []*pb.NodeStatus) map[string]*upgradeSummary {
	summaries := make(map[string]*upgradeSummary)
	for _, n := range list {
		for _, u := range n.GetUpgrades() {
			s := summaries[u.GetService()]
			if s == nil {
				s = &upgradeSummary{status: u, phases: make(map[string]int)}
				summaries[u.GetService()] = s
			}
			if u.GetPhase() != "" {
				s.phases[u.GetPhase()]++
			}
			s.requests, s.exposed = s.requests+u.GetRequests(), s.exposed+u.GetExposed()
		}
	}
	return summaries
}

// phaseList returns the phases with their numbers of nodes.
func (s *upgradeSummary) phaseList() string {
	names := make([]string, 0, len(s.phases))
	for name := range s.phases {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s on %d", name, s.phases[name])
	}
	return orDash(text)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
