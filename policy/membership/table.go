package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	alive   = pb.MemberState_MEMBER_STATE_ALIVE
	suspect = pb.MemberState_MEMBER_STATE_SUSPECT
	leaving = pb.MemberState_MEMBER_STATE_LEAVING
	dead    = pb.MemberState_MEMBER_STATE_DEAD
	gone    = pb.MemberState_MEMBER_STATE_GONE
)

// record is a member with data that is local to this node.
type record struct {
	Member
	// unansweredSince is when a leaving member first failed to answer, zero while it
	// answers.
	unansweredSince time.Time
	// firstSeen is when this node added the record.
	firstSeen time.Time
}

// Table is one node's view of the fleet. It is not safe for concurrent use.
type Table struct {
	self      Member
	params    Params
	rng       *rand.Rand
	records   map[ID]*record
	queue     gossipQueue
	pingOrder pingOrder
	// transitions are those since the last call of Transitions.
	transitions []Transition
	// version increases with each change of a member, see Version.
	version uint64
}

// New returns the table of a node that starts. The node's own entry is queued for
// its first messages.
func New(self Member, params Params, rng *rand.Rand) *Table {
	self.State = alive
	self.Incarnation = 1
	t := &Table{
		self:    self,
		params:  params,
		rng:     rng,
		records: make(map[ID]*record),
	}
	t.queue.add(t.self.ID())
	return t
}

// Self returns the node's own entry.
func (t *Table) Self() Member {
	return t.self
}

// Version returns a number that increases whenever a member, its state or its address
// changes.
func (t *Table) Version() uint64 {
	return t.version
}

// SetConfigVersion records the configuration version in force at this node.
func (t *Table) SetConfigVersion(version uint64) {
	t.self.ConfigVersion = version
}

// Members returns all members that are not gone, including this node, sorted by name
// and boot number.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.records)+1)
	members = append(members, t.self)
	for _, r := range t.records {
		if r.State != gone {
			members = append(members, r.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID().less(members[j].ID()) })
	return members
}

// Lookup returns the member with the given ID, also when it is gone.
func (t *Table) Lookup(id ID) (Member, bool) {
	if id == t.self.ID() {
		return t.self, true
	}
	r := t.records[id]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// ByName returns the boots of a node that are not gone, sorted by boot number. There
// may be several until the answer to a ping shows which one is running.
func (t *Table) ByName(name string) []Member {
	var members []Member
	if t.self.Name == name {
		members = append(members, t.self)
	}
	for id, r := range t.records {
		if id.Name == name && r.State != gone {
			members = append(members, r.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Boot < members[j].Boot })
	return members
}

// Transitions returns the state changes since the last call.
func (t *Table) Transitions() []Transition {
	transitions := t.transitions
	t.transitions = nil
	return transitions
}

// Leave announces that this node is shutting down and accepts no new work.
func (t *Table) Leave() {
	t.announce(leaving)
}

// FinishLeave announces that this node has finished its work and exits. Call it last:
// the announced state is final.
func (t *Table) FinishLeave() {
	t.announce(gone)
}

func (t *Table) announce(state pb.MemberState) {
	if t.self.State >= state {
		return
	}
	t.self.Incarnation++
	t.self.State = state
	t.version++
	t.queue.add(t.self.ID())
}

// Rejoin gives this node a new boot number after others marked its boot as gone, for
// example because it was partitioned until the platform no longer listed its VM.
// Claims and grants of the old boot are void.
func (t *Table) Rejoin(boot uint64) {
	old := t.self
	old.State = gone
	t.records[old.ID()] = &record{Member: old}
	t.self.Boot = boot
	t.self.Incarnation = 1
	t.self.State = alive
	t.version++
	t.queue.add(t.self.ID())
}

// setStateAndGossip updates a record and queues the change for gossip.
func (t *Table) setStateAndGossip(now time.Time, r *record, m Member, cause string) {
	t.setState(now, r, m, cause)
	t.queue.add(m.ID())
}

// setState updates a record and adds a transition if the state changes.
func (t *Table) setState(now time.Time, r *record, m Member, cause string) {
	from := r.State
	m.Since = r.Since
	if from != m.State {
		m.Since = now
		t.transitions = append(t.transitions, Transition{Member: m, From: from, Cause: cause})
	}
	r.Member = m
	t.version++
}
