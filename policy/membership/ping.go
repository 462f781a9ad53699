package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// deadEvery makes each deadEvery-th ping go to a dead member, so that a healed
// partition is noticed without half of all pings being wasted during one.
const deadEvery = 5

// urgentEvery makes each urgentEvery-th ping go to an urgent member.
const urgentEvery = 3

// rounds is the order of pings: each member of the set once a round, in a new random order
// each round, which bounds the time between two pings of one member.
type rounds struct {
	urgent []ID
	living []ID
	dead   []ID
	count  int
}

// maxUrgent bounds the members at the head of the ping order, so that much bad
// news at once does not become a stampede of pings.
const maxUrgent = 16

// urge puts a member at the head of the ping order.
func (r *rounds) urge(id ID) {
	if len(r.urgent) >= maxUrgent {
		return
	}
	for _, queued := range r.urgent {
		if queued == id {
			return
		}
	}
	r.urgent = append(r.urgent, id)
}

// PrioritisePing has a member pinged next: a call to it failed.
func (t *Table) PrioritisePing(name string) {
	for _, m := range t.ByName(name) {
		if m.ID() != t.self.ID() {
			t.rounds.urge(m.ID())
		}
	}
}

// HasPriorityPing reports whether the next target was urged.
func (t *Table) HasPriorityPing() bool {
	return len(t.rounds.urgent) > 0
}

// NextTarget returns the member to ping next, or false when there is none.
//
// Most pings go to members in turn even while others are urgent. In a partition
// all urgent members are cut off, and news travels only with pings that arrive.
func (t *Table) NextTarget() (Member, bool) {
	r := &t.rounds
	r.count++
	if r.count%urgentEvery == 0 {
		if m, ok := t.take(&r.urgent, Member.pingable); ok {
			return m, true
		}
	}
	if r.count%deadEvery == 0 {
		if m, ok := t.fromRound(&r.dead, Member.isDead); ok {
			return m, true
		}
	}
	if m, ok := t.fromPingSet(&r.living); ok {
		return m, true
	}
	return t.fromRound(&r.dead, Member.isDead)
}

func (m Member) pingable() bool { return m.State != gone }
func (m Member) isDead() bool   { return m.State == dead }
func (m Member) isLiving() bool { return m.State == alive || m.State == leaving }

// fromRound takes the next fitting member of a round and starts a new round
// when it is used up.
func (t *Table) fromRound(order *[]ID, fits func(Member) bool) (Member, bool) {
	if m, ok := t.take(order, fits); ok {
		return m, true
	}
	*order = t.shuffled(fits)
	return t.take(order, fits)
}

// fromPingSet is fromRound for the living members of this node's ping set.
func (t *Table) fromPingSet(order *[]ID) (Member, bool) {
	if m, ok := t.take(order, Member.isLiving); ok {
		return m, true
	}
	*order = t.pingSet(t.shuffled(Member.isLiving))
	return t.take(order, Member.isLiving)
}

// pingSet keeps the members that this node pings, in their order: those with the
// highest scores for it, PingSet of them.
//
// A node that pinged all members would hold a connection with each of them. In a
// random subset of this size each member is still pinged by about as many others
// and as often: with 64 of 750 nobody by fewer than some 40. The choice follows
// from the names, so that it stays while members come and go, and differs from node
// to node, so that news crosses the fleet in a few steps.
func (t *Table) pingSet(ids []ID) []ID {
	if t.params.PingSetSize <= 0 || len(ids) <= t.params.PingSetSize {
		return ids
	}
	scores := make([]uint64, len(ids))
	for i, id := range ids {
		scores[i] = t.score(id)
	}
	ranked := slices.Sorted(slices.Values(scores))
	least := ranked[len(ranked)-t.params.PingSetSize]
	var chosen []ID
	for i, id := range ids {
		if scores[i] >= least {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// score is the weight of a member in this node's ping set. The zero byte keeps
// the pairs ("ab", "c") and ("a", "bc") apart.
func (t *Table) score(id ID) uint64 {
	return xxhash.Sum64String(t.self.Name + "\x00" + id.Name)
}

// take removes members from the head of order until one fits.
func (t *Table) take(order *[]ID, fits func(Member) bool) (Member, bool) {
	for len(*order) > 0 {
		id := (*order)[0]
		*order = (*order)[1:]
		if r := t.records[id]; r != nil && fits(r.Member) {
			return r.Member, true
		}
	}
	return Member{}, false
}

// shuffled returns the fitting members in a random order that depends only on
// the table's random numbers.
func (t *Table) shuffled(fits func(Member) bool) []ID {
	var ids []ID
	for id, r := range t.records {
		if fits(r.Member) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].less(ids[j]) })
	t.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// Helpers returns up to n random living members other than the target, to ping
// it when it did not answer this node: the path between the two may be broken
// while the target runs.
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

// PingAnswered notes that a boot answered a ping at an address. One process holds
// a name and an address at a time, so any other boot known there is gone.
//
// That this comes from an answer matters: a late request of the older boot, or
// third-hand news, must never condemn the newer one.
func (t *Table) PingAnswered(now time.Time, id ID, address string) {
	if known := t.records[id]; known != nil {
		if known.State == gone {
			return
		}
		known.missed = time.Time{}
	}
	replaced := t.matching(func(r *record) bool {
		samePlace := r.Name == id.Name || r.PeerAddress == address
		return samePlace && r.ID() != id && r.State != gone
	})
	for _, r := range replaced {
		m := r.Member
		m.State = gone
		t.set(now, r, m, "another boot answered in its place")
	}
}

// PingFailed notes that neither this node nor its helpers got an answer from
// the member.
func (t *Table) PingFailed(now time.Time, id ID) {
	r := t.records[id]
	switch {
	case r == nil:
	case r.State == alive:
		m := r.Member
		m.State = suspect
		t.set(now, r, m, "no answer to pings")
	case r.State == leaving && r.missed.IsZero():
		r.missed = now
	}
}

// Tick lets members that do not answer die when their time is up, and forgets
// boots that have been gone for long.
func (t *Table) Tick(now time.Time) {
	overdue := t.matching(func(r *record) bool {
		switch r.State {
		case suspect:
			return now.Sub(r.Since) >= t.params.SuspectTimeout
		case leaving:
			return !r.missed.IsZero() && now.Sub(r.missed) >= t.params.SuspectTimeout
		case gone:
			return now.Sub(r.Since) >= t.params.GoneRetention
		default:
			return false
		}
	})
	for _, r := range overdue {
		if r.State == gone {
			t.forget(r.ID())
			continue
		}
		// Each member that heard of the suspicion counts the time itself, so this
		// starts no second wave of news.
		m := r.Member
		m.State = dead
		t.note(now, r, m, "no answer for too long")
	}
}

// matching returns the records that fit, by identity, so that runs are
// repeatable. Most calls match few of many records, so only those are sorted.
func (t *Table) matching(fits func(r *record) bool) []*record {
	var records []*record
	for _, r := range t.records {
		if fits(r) {
			records = append(records, r)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID().less(records[j].ID()) })
	return records
}
