package main

import (
	"fmt"
	"sort"
	"text/tabwriter"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// feedSummary aggregates the nodes that follow the platform's store in the same way.
type feedSummary struct {
	// feed is the node through which they follow it; empty for those that do so themselves.
	feed   string
	nodes  int
	oldest time.Duration
}

// printFeeds prints through which nodes others follow the platform's store, and the age of the
// store's last answer at the node where it is oldest. It prints nothing if every node follows
// the store itself.
func (inv *invocation) printFeeds(list []*pb.NodeStatus) {
	byFeed := make(map[string]*feedSummary)
	for _, n := range list {
		if n.GetError() != "" || n.GetFeed() == "" && n.GetStoreAgeUs() == 0 {
			continue
		}
		s := byFeed[n.GetFeed()]
		if s == nil {
			s = &feedSummary{feed: n.GetFeed()}
			byFeed[s.feed] = s
		}
		s.nodes++
		s.oldest = max(s.oldest, time.Duration(n.GetStoreAgeUs())*time.Microsecond)
	}
	if len(byFeed) == 0 || len(byFeed) == 1 && byFeed[""] != nil {
		return
	}
	summaries := make([]*feedSummary, 0, len(byFeed))
	for _, s := range byFeed {
		summaries = append(summaries, s)
	}
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].feed < summaries[j].feed })
	inv.printf("\n")
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STORE FOLLOWED THROUGH\tNODES\tOLDEST ANSWER")
	for _, s := range summaries {
		name := s.feed
		if name == "" {
			name = "(itself)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f s\n", name, s.nodes, s.oldest.Seconds())
	}
	_ = w.Flush()
}
