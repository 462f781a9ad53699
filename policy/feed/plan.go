// Package feed decides how the nodes of a large fleet follow the platform's store with few
// calls: a few nodes of each data centre, the feeds, follow the store themselves, and the
// others, the followers, learn its changes from them. The package does no I/O and reads no
// clock.
package feed

import (
	"hash/fnv"
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// maxDirectNodes is the largest number of registered nodes that all follow the store
	// themselves.
	maxDirectNodes = 16
	// feedsPerDataCentre is 2, so that the loss of a feed leaves another one.
	feedsPerDataCentre = 2
	// maxWait is how long a watch of a feed, or a question to it, waits for a change.
	maxWait = 2 * time.Second
	// minWait is the shortest wait with which following through feeds saves calls.
	minWait = 500 * time.Millisecond
	// reactionTime is the part of the bound on updates that follows a wait: ageMargin, the
	// search for another feed and a call to the store.
	reactionTime = 3 * time.Second
	// ageMargin is how much older than the wait the store's last answer may be.
	ageMargin = 700 * time.Millisecond
	// takeoverMargin is how much longer than the wait a feed waits for a watch of its partner.
	// A slow store takes 250 ms to answer.
	takeoverMargin = 300 * time.Millisecond
)

// Role is the way in which a node follows the store.
type Role int

// Roles.
const (
	// Direct nodes follow the store by themselves, as all nodes of a small fleet do.
	Direct Role = iota
	// Feed nodes follow the store, in turns with the other feed of their data centre.
	Feed
	// Follower nodes follow the store through a feed.
	Follower
)

// Plan is what the registered nodes mean for one of them.
type Plan struct {
	Role Role
	// Feeds are the feeds of the node's data centre except the node itself, the preferred one
	// first. Others are the feeds of the other data centres.
	Feeds, Others []coordinator.Member
	// First is set on the feed that ranks first in its data centre.
	First bool
	// Nodes is the number of registered nodes.
	Nodes int
}

// NewPlan returns the plan of a node. relied is set if another node relies on it, and bound is
// the time within which updates must take effect, 0 for no bound.
func NewPlan(own coordinator.Member, fleet coordinator.Fleet, relied bool, bound time.Duration) Plan {
	p := Plan{Nodes: len(fleet.Members)}
	if len(fleet.Members) <= maxDirectNodes || relied || Wait(bound) == 0 {
		return p
	}
	isFeed := false
	count := make(map[string]int)
	for _, m := range fleet.Ranked() {
		rank := count[m.DataCentre]
		if rank >= feedsPerDataCentre {
			continue
		}
		count[m.DataCentre]++
		switch {
		case m.Node == own.Node:
			isFeed, p.First = true, rank == 0
		case m.DataCentre == own.DataCentre:
			p.Feeds = append(p.Feeds, m)
		default:
			p.Others = append(p.Others, m)
		}
	}
	switch {
	case isFeed:
		p.Role = Feed
	case len(p.Feeds) > 0:
		p.Role = Follower
		if len(p.Feeds) > 1 && hash(own.Node)%2 == 1 {
			p.Feeds[0], p.Feeds[1] = p.Feeds[1], p.Feeds[0]
		}
	}
	return p
}

// Wait returns how long a watch of a feed, or a question to it, waits for a change; 0 if the
// bound on updates leaves no time for following through feeds.
func Wait(bound time.Duration) time.Duration {
	if bound == 0 {
		return maxWait
	}
	if wait := min(maxWait, bound-reactionTime); wait >= minWait {
		return wait
	}
	return 0
}

// MaxAge returns the age of the store's last answer from which a node looks for another feed.
func MaxAge(bound time.Duration) time.Duration { return Wait(bound) + ageMargin }

// TakeoverAge returns the age of the store's last answer from which a feed takes the turn of
// its partner.
func TakeoverAge(bound time.Duration) time.Duration { return Wait(bound) + takeoverMargin }

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
