package main

import (
	"fmt"
	"sort"
	"text/tabwriter"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// observationSummary aggregates the exchange of observations over the nodes of one collector.
type observationSummary struct {
	collector, dataCentre string
	// nodes counts the nodes that use the collector, and distrusting those of them that use no
	// received observation.
	nodes, distrusting int
	status             pb.ObservationStatus
}

// printObservations prints the exchange of observations of replicas by collector.
func (inv *invocation) printObservations(list []*pb.NodeStatus) {
	summaries := summariseObservations(list)
	if len(summaries) == 0 {
		return
	}
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "OBSERVATIONS\tCOLLECTOR\tNODES\tEXCHANGES\tFAILED\tSENT\tRECEIVED\tUSED\tREJECTED\tOLDEST\tDISTRUSTING")
	for _, s := range summaries {
		o := &s.status
		age := (time.Duration(o.GetAgeUs()) * time.Microsecond).Round(time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d\n",
			s.dataCentre, s.collector, s.nodes, o.GetExchanges(), o.GetFailures(), o.GetSent(), o.GetReceived(), o.GetUsed(),
			o.GetRejected(), age, s.distrusting)
	}
	_ = w.Flush()
}

// summariseObservations returns the collectors by data centre and name.
func summariseObservations(list []*pb.NodeStatus) []*observationSummary {
	byCollector := make(map[string]*observationSummary)
	var summaries []*observationSummary
	for _, n := range list {
		o := n.GetObservations()
		if o == nil {
			continue
		}
		key := n.GetDataCentre() + "\x00" + n.GetObservationCollector()
		s := byCollector[key]
		if s == nil {
			s = &observationSummary{collector: n.GetObservationCollector(), dataCentre: n.GetDataCentre()}
			byCollector[key] = s
			summaries = append(summaries, s)
		}
		s.add(o)
	}
	sort.Slice(summaries, func(i, j int) bool {
		a, b := summaries[i], summaries[j]
		if a.dataCentre != b.dataCentre {
			return a.dataCentre < b.dataCentre
		}
		return a.collector < b.collector
	})
	return summaries
}

// add adds the counts of a node.
func (s *observationSummary) add(o *pb.ObservationStatus) {
	s.nodes++
	if o.GetDistrusted() {
		s.distrusting++
	}
	t := &s.status
	t.Exchanges, t.Failures = t.Exchanges+o.GetExchanges(), t.Failures+o.GetFailures()
	t.Sent, t.Received, t.Used = t.Sent+o.GetSent(), t.Received+o.GetReceived(), t.Used+o.GetUsed()
	t.Rejected += o.GetRejected()
	t.AgeUs = max(t.AgeUs, o.GetAgeUs())
}
