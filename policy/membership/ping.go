package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// deadEvery is the interval, in pings, between pings of dead members, which detect
// the end of a partition. A shorter interval would waste pings during the partition.
const deadEvery = 5

// priorityEvery is the interval, in pings, between pings of members with priority.
const priorityEvery = 3

// pingOrder is the order of pings. Each round contains every member of the ping set
// once, in a new random order, which bounds the time between two pings of a member.
type pingOrder struct {
	priority []ID
	live     []ID
	dead     []ID
	pings    int
}

// maxPriority is the maximum number of members with priority. It prevents a burst
// of pings after many reports of suspect or dead members.
const maxPriority = 16

// prioritise adds a member to those that are pinged with priority.
func (o *pingOrder) prioritise(id ID) {
	if len(o.priority) >= maxPriority {
		return
	}
	for _, queued := range o.priority {
		if queued == id {
			return
		}
	}
	o.priority = append(o.priority, id)
}

// PrioritisePing requests a ping of a member with priority, after a call to the
// member has failed.
func (t *Table) PrioritisePing(name string) {
	for _, m := range t.ByName(name) {
		if m.ID() != t.self.ID() {
			t.pingOrder.prioritise(m.ID())
		}
	}
}

// HasPriorityPing reports whether a member is to be pinged with priority.
func (t *Table) HasPriorityPing() bool {
	return len(t.pingOrder.priority) > 0
}

// NextTarget returns the member to ping next, or false when there is none.
//
// Most pings go to members in turn, even while others have priority. In a partition
// all members with priority may be unreachable, and only pings that arrive spread
// changes.
func (t *Table) NextTarget() (Member, bool) {
	o := &t.pingOrder
	o.pings++
	if o.pings%priorityEvery == 0 {
		if m, ok := t.popMatching(&o.priority, Member.pingable); ok {
			return m, true
		}
	}
	if o.pings%deadEvery == 0 {
		if m, ok := t.nextInRound(&o.dead, Member.isDead); ok {
			return m, true
		}
	}
	if m, ok := t.nextInPingSet(&o.live); ok {
		return m, true
	}
	return t.nextInRound(&o.dead, Member.isDead)
}

func (m Member) pingable() bool { return m.State != gone }
func (m Member) isDead() bool   { return m.State == dead }
func (m Member) isLive() bool   { return m.State == alive || m.State == leaving }

// nextInRound returns the next matching member of a round and starts a new round at
// the end of the current one.
func (t *Table) nextInRound(order *[]ID, match func(Member) bool) (Member, bool) {
	if m, ok := t.popMatching(order, match); ok {
		return m, true
	}
	*order = t.shuffled(match)
	return t.popMatching(order, match)
}

// nextInPingSet is nextInRound for the live members of this node's ping set.
func (t *Table) nextInPingSet(order *[]ID) (Member, bool) {
	if m, ok := t.popMatching(order, Member.isLive); ok {
		return m, true
	}
	*order = t.pingSet(t.shuffled(Member.isLive))
	return t.popMatching(order, Member.isLive)
}

// pingSet returns the Params.PingSetSize members with the highest scores for this
// node, in the order of ids.
//
// Without a limit, each node would hold a connection to every other node. The scores
// depend only on names, so a member that joins or leaves replaces at most one member
// of a set. The scores differ between nodes, so that each member is pinged by many
// others and changes reach the whole fleet within a few hops.
func (t *Table) pingSet(ids []ID) []ID {
	if t.params.PingSetSize <= 0 || len(ids) <= t.params.PingSetSize {
		return ids
	}
	scores := make([]uint64, len(ids))
	for i, id := range ids {
		scores[i] = t.score(id)
	}
	ranked := slices.Sorted(slices.Values(scores))
	threshold := ranked[len(ranked)-t.params.PingSetSize]
	var selected []ID
	for i, id := range ids {
		if scores[i] >= threshold {
			selected = append(selected, id)
		}
	}
	return selected
}

// score is the weight of a member in this node's ping set. The zero byte
// distinguishes the pairs ("ab", "c") and ("a", "bc").
func (t *Table) score(id ID) uint64 {
	return xxhash.Sum64String(t.self.Name + "\x00" + id.Name)
}

// popMatching removes members from the head of order until one matches.
func (t *Table) popMatching(order *[]ID, match func(Member) bool) (Member, bool) {
	for len(*order) > 0 {
		id := (*order)[0]
		*order = (*order)[1:]
		if r := t.records[id]; r != nil && match(r.Member) {
			return r.Member, true
		}
	}
	return Member{}, false
}

// shuffled returns the matching members in random order. The order is deterministic
// for a given state of the table's random number generator.
func (t *Table) shuffled(match func(Member) bool) []ID {
	var ids []ID
	for id, r := range t.records {
		if match(r.Member) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].less(ids[j]) })
	t.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// Helpers returns up to n random alive members other than the target. They ping a
// target that did not answer this node, because only the path between the two may
// have failed.
func (t *Table) Helpers(target ID, n int) []Member {
	var helpers []Member
	for _, id := range t.shuffled(func(m Member) bool { return m.State == alive }) {
		if len(helpers) == n {
			break
		}
		if id.Name != target.Name {
			helpers = append(helpers, t.records[id].Member)
		}
	}
	return helpers
}

// PingAnswered records that a boot answered a ping at an address. Only one process
// uses a name and an address at a time, so other boots recorded for either become
// gone.
//
// Call PingAnswered only for an answer. A request may arrive late, so a request of
// an older boot would mark the newer one as gone.
func (t *Table) PingAnswered(now time.Time, id ID, address string) {
	if answering := t.records[id]; answering != nil {
		if answering.State == gone {
			return
		}
		answering.unansweredSince = time.Time{}
	}
	replaced := t.matching(func(r *record) bool {
		sameEndpoint := r.Name == id.Name || r.PeerAddress == address
		return sameEndpoint && r.ID() != id && r.State != gone
	})
	for _, r := range replaced {
		m := r.Member
		m.State = gone
		t.setStateAndGossip(now, r, m, "another boot answered at its name or address")
	}
}

// PingFailed records that the member answered neither this node nor the helpers.
func (t *Table) PingFailed(now time.Time, id ID) {
	r := t.records[id]
	switch {
	case r == nil:
	case r.State == alive:
		m := r.Member
		m.State = suspect
		t.setStateAndGossip(now, r, m, "no answer to pings")
	case r.State == leaving && r.unansweredSince.IsZero():
		r.unansweredSince = now
	}
}

// Tick marks members as dead that have not answered for Params.SuspectTimeout, and
// removes boots that have been gone for Params.GoneRetention.
func (t *Table) Tick(now time.Time) {
	expired := t.matching(func(r *record) bool {
		switch r.State {
		case suspect:
			return now.Sub(r.Since) >= t.params.SuspectTimeout
		case leaving:
			return !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= t.params.SuspectTimeout
		case gone:
			return now.Sub(r.Since) >= t.params.GoneRetention
		default:
			return false
		}
	})
	for _, r := range expired {
		if r.State == gone {
			t.remove(r.ID())
			continue
		}
		// The change is not gossiped: every member that received the suspect state
		// applies the timeout itself.
		m := r.Member
		m.State = dead
		t.setState(now, r, m, "no answer within the suspect timeout")
	}
}

// matching returns the matching records, sorted by ID so that runs are repeatable.
// Only the matching records are sorted, because most calls match few records.
func (t *Table) matching(match func(r *record) bool) []*record {
	var records []*record
	for _, r := range t.records {
		if match(r) {
			records = append(records, r)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID().less(records[j].ID()) })
	return records
}
