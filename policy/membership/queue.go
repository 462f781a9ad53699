package membership

import (
	"math"
	"sort"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// gossipQueue holds the members whose changes are still gossiped, with the number of
// messages that have carried each.
type gossipQueue struct {
	sendCounts map[ID]int
}

// add queues a member. The count of a member that is already queued restarts at 0.
func (q *gossipQueue) add(id ID) {
	if q.sendCounts == nil {
		q.sendCounts = make(map[ID]int)
	}
	q.sendCounts[id] = 0
}

func (q *gossipQueue) remove(id ID) {
	delete(q.sendCounts, id)
}

// Pending returns the number of members whose changes are still gossiped.
func (t *Table) Pending() int {
	return len(t.queue.sendCounts)
}

// Changes returns the changes for the next message, least sent first and at most
// Params.MaxChanges, and counts them as sent. A change is dropped after
// Params.RetransmitFactor x log10(fleet size) messages. By then it has reached every
// reachable member with high probability; pings repair the remaining differences.
func (t *Table) Changes() []*pb.MemberChange {
	if len(t.queue.sendCounts) == 0 {
		return nil
	}
	ids := make([]ID, 0, len(t.queue.sendCounts))
	for id := range t.queue.sendCounts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := ids[i], ids[j]
		if t.queue.sendCounts[a] != t.queue.sendCounts[b] {
			return t.queue.sendCounts[a] < t.queue.sendCounts[b]
		}
		return a.less(b)
	})
	if len(ids) > t.params.MaxChanges {
		ids = ids[:t.params.MaxChanges]
	}
	limit := t.retransmitLimit()
	changes := make([]*pb.MemberChange, 0, len(ids))
	for _, id := range ids {
		if m, ok := t.Lookup(id); ok {
			changes = append(changes, m.Change())
		}
		t.queue.sendCounts[id]++
		if t.queue.sendCounts[id] >= limit {
			delete(t.queue.sendCounts, id)
		}
	}
	return changes
}

// MarkUnsent decrements the send counts of changes whose message received no answer.
// Without it, changes would be dropped from the queue before they arrive, because
// many messages are lost at the start of a partition. A change that has already been
// dropped is not queued again.
func (t *Table) MarkUnsent(changes []*pb.MemberChange) {
	for _, c := range changes {
		id := ID{c.GetNode(), c.GetBoot()}
		if count := t.queue.sendCounts[id]; count > 0 {
			t.queue.sendCounts[id] = count - 1
		}
	}
}

func (t *Table) retransmitLimit() int {
	n := float64(len(t.records) + 2)
	return int(math.Ceil(float64(t.params.RetransmitFactor) * math.Log10(n)))
}

// AllChanges returns the whole table, gone boots included, for a node that joins and
// for a member that was partitioned. Params.MaxMembers bounds its size.
func (t *Table) AllChanges() []*pb.MemberChange {
	ids := make([]ID, 0, len(t.records))
	for id := range t.records {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].less(ids[j]) })
	changes := []*pb.MemberChange{t.self.Change()}
	for _, id := range ids {
		changes = append(changes, t.records[id].Change())
	}
	return changes
}

// NonAliveChange returns this node's entry for a member, or nil when the member is
// alive or has no entry. The member needs the entry to refute it or to rejoin.
func (t *Table) NonAliveChange(id ID) *pb.MemberChange {
	r := t.records[id]
	if r == nil || r.State == alive {
		return nil
	}
	return r.Change()
}

// NonAliveChanges returns the entries of all boots of a node that are not alive. They
// are for a member whose pings of the node fail, because that member may not have
// received the change to gone.
func (t *Table) NonAliveChanges(name string) []*pb.MemberChange {
	var changes []*pb.MemberChange
	for _, r := range t.matching(func(r *record) bool { return r.Name == name && r.State != alive }) {
		changes = append(changes, r.Change())
	}
	return changes
}
