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

// record is a member with what only this node knows of it.
type record struct {
	Member
	// missed is when a leaving member first did not answer; zero when it does.
	missed time.Time
	// known is when this node first heard of the boot.
	known time.Time
}

// Table is one node's view of the fleet. It is not safe for concurrent use.
type Table struct {
	self    Member
	params  Params
	rng     *rand.Rand
	records map[ID]*record
	queue   queue
	rounds  rounds
	// transitions since the last Transitions call.
	transitions []Transition
	// version rises with each change that others can see.
	version uint64
}

// New returns the table of a node that has just started. The node announces
// itself with its first messages.
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

// Version rises whenever a member, its state or its address changes.
func (t *Table) Version() uint64 {
	return t.version
}

// SetConfigVersion notes the configuration version in force at this node.
func (t *Table) SetConfigVersion(version uint64) {
	t.self.ConfigVersion = version
}

// Members returns every member that is not gone, this node included, by name
// and boot.
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

// Lookup returns the member of that identity, gone or not.
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

// ByName returns the boots of a node that are not gone. There is more than one
// only until a ping shows which of them is running.
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

// Transitions returns the changes of state since the last call.
func (t *Table) Transitions() []Transition {
	taken := t.transitions
	t.transitions = nil
	return taken
}

// Leave announces that this node shuts down: it gets no new work from now on.
func (t *Table) Leave() {
	t.announce(leaving)
}

// FinishLeave announces that this node has finished its work and ends. It is the last
// thing that a node says.
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

// Rejoin gives this node a new identity after others counted its boot as gone,
// as happens to a VM that was cut off until the platform no longer listed it.
// Whatever the old boot held has lapsed.
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

// set takes a new state of a record and passes it on.
func (t *Table) set(now time.Time, r *record, m Member, cause string) {
	t.note(now, r, m, cause)
	t.queue.add(m.ID())
}

// note takes a new state of a record.
func (t *Table) note(now time.Time, r *record, m Member, cause string) {
	from := r.State
	m.Since = r.Since
	if from != m.State {
		m.Since = now
		t.transitions = append(t.transitions, Transition{Member: m, From: from, Cause: cause})
	}
	r.Member = m
	t.version++
}
