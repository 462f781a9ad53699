package membership

import (
	"math"
	"sort"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// queue holds the members whose news is still passed on, and how often it was.
type queue struct {
	sent map[ID]int
}

// add starts passing on the news of a member, from the beginning if it was
// queued already.
func (q *queue) add(id ID) {
	if q.sent == nil {
		q.sent = make(map[ID]int)
	}
	q.sent[id] = 0
}

func (q *queue) remove(id ID) {
	delete(q.sent, id)
}

// Pending is the number of members whose news is still passed on.
func (t *Table) Pending() int {
	return len(t.queue.sent)
}

// Changes returns the news to put on the next message, the least sent first, at
// most Params.MaxChanges, and counts it as sent. A change is dropped after
// Retransmit x log10(members) messages: by then it has reached every reachable
// member with high probability, and the rounds of pings carry what is missing.
func (t *Table) Changes() []*pb.MemberChange {
	if len(t.queue.sent) == 0 {
		return nil
	}
	ids := make([]ID, 0, len(t.queue.sent))
	for id := range t.queue.sent {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := ids[i], ids[j]
		if t.queue.sent[a] != t.queue.sent[b] {
			return t.queue.sent[a] < t.queue.sent[b]
		}
		return a.less(b)
	})
	if len(ids) > t.params.MaxChanges {
		ids = ids[:t.params.MaxChanges]
	}
	limit := t.retransmissions()
	changes := make([]*pb.MemberChange, 0, len(ids))
	for _, id := range ids {
		if m, ok := t.Lookup(id); ok {
			changes = append(changes, m.Change())
		}
		t.queue.sent[id]++
		if t.queue.sent[id] >= limit {
			delete(t.queue.sent, id)
		}
	}
	return changes
}

// MarkUnsent takes back that changes were sent, for a message that got no answer.
// Half of all messages are lost when a partition starts, which is when most
// news has to be passed on.
func (t *Table) MarkUnsent(changes []*pb.MemberChange) {
	for _, c := range changes {
		id := ID{c.GetNode(), c.GetBoot()}
		if sent := t.queue.sent[id]; sent > 0 {
			t.queue.sent[id] = sent - 1
		}
	}
}

func (t *Table) retransmissions() int {
	n := float64(len(t.records) + 2)
	return int(math.Ceil(float64(t.params.RetransmitFactor) * math.Log10(n)))
}

// AllChanges returns the whole table, gone boots included, for a node that joins or a
// member that was cut off. It is bounded by Params.MaxMembers.
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

// NonAliveChange returns the news that a member has to hear of itself: nil unless it is
// known here as anything but alive, so that it can refute that or rejoin.
func (t *Table) NonAliveChange(id ID) *pb.MemberChange {
	r := t.records[id]
	if r == nil || r.State == alive {
		return nil
	}
	return r.Change()
}

// NonAliveChanges returns what is known of every boot of a node, unless it is alive. A
// member that could not reach the node may have missed that it is gone.
func (t *Table) NonAliveChanges(name string) []*pb.MemberChange {
	var news []*pb.MemberChange
	for _, r := range t.matching(func(r *record) bool { return r.Name == name && r.State != alive }) {
		news = append(news, r.Change())
	}
	return news
}
