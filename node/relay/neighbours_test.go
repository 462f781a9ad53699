package relay_test

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/policy/coordinator"
)

// sender is a node of another data centre that sends batches to the world's large ones.
type sender struct {
	w          *world
	neighbours *relay.Neighbours
	pool       *peer.Pool
}

func (w *world) sender() *sender {
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := peer.NewPool(nil, w.network.Dialer("sender"))
	own := coordinator.Member{Node: "sender", DataCentre: "z", Capacity: 0.8}
	fleet := func() coordinator.Fleet { return w.fleet }
	return &sender{w: w, pool: pool, neighbours: relay.NewNeighbours(own, pool, fleet, log)}
}

// send sends a batch for two replicas and returns what came of it; ok is false when no
// node could be used.
func (s *sender) send() (node string, replies []forward.PartReply, records string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	b := &forward.Batch{
		Request:  &forward.Request{ID: "q", Method: "GET", Target: "/x", Header: map[string][]string{"A": {"1"}}},
		Replicas: []string{"r0", "r1"}, Deadline: time.Now().Add(time.Second), TopRecords: 20,
	}
	groups := make(chan forward.PartReplies, len(b.Replicas))
	node, ok = s.neighbours.SendBatch(ctx, "a", b, func(r forward.PartReplies) { groups <- r })
	for ok && len(replies) < len(b.Replicas) {
		r := <-groups
		replies = append(replies, r.Replies...)
		records += string(r.Records)
	}
	return node, replies, records, ok
}

// TestBatchPreservesRequestAndReplies is the path of a batch and its replies between two nodes.
func TestBatchPreservesRequestAndReplies(t *testing.T) {
	run(t, func(w *world) {
		s := w.sender()
		defer s.pool.Close()
		node, replies, records, ok := s.send()
		w.Assert(ok, qt.IsTrue)
		w.Assert(records, qt.Equals, node)
		w.Assert(replies, qt.HasLen, 2)
		for i, p := range replies {
			w.Assert(p.Replica, qt.Equals, i)
			w.Assert(p.Reply.Status, qt.Equals, 200)
			w.Assert(p.Reply.Metadata.Signature, qt.Equals, []string{"r0", "r1"}[i])
		}
		for _, n := range w.big {
			for _, b := range n.batches {
				w.Assert(b.Request.Header.Get("A"), qt.Equals, "1")
				w.Assert(b.TopRecords, qt.Equals, 20)
				left := time.Until(b.Deadline)
				w.Assert(left > 900*time.Millisecond && left <= time.Second, qt.IsTrue, qt.Commentf("%v left", left))
			}
		}
	})
}

// TestUnresponsiveNeighbourIsUnusedUntilHeartbeatSucceeds guards against batches that vanish at a
// node that is cut off, one after the other.
func TestUnresponsiveNeighbourIsUnusedUntilHeartbeatSucceeds(t *testing.T) {
	run(t, func(w *world) {
		s := w.sender()
		defer s.pool.Close()
		s.send()
		for _, n := range w.big {
			w.network.Cut("sender", n.host)
		}
		lost := 0
		for range 10 {
			began := time.Now()
			_, replies, _, ok := s.send()
			if !ok {
				continue
			}
			lost++
			w.Assert(time.Since(began) < 120*time.Millisecond, qt.IsTrue)
			for _, p := range replies {
				w.Assert(p.Reply.Reason, qt.Equals, pb.Reason_REASON_PEER)
				w.Assert(p.Reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_UNKNOWN)
			}
		}
		w.Assert(lost, qt.Equals, len(w.big), qt.Commentf("each node may lose one batch"))
		for _, n := range w.big {
			w.network.Mend("sender", n.host)
		}
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			s.send()
		}
		_, _, _, ok := s.send()
		w.Assert(ok, qt.IsTrue)
	})
}

// TestSlowReplicasDoNotDisableNeighbour guards against a node that is left since its
// sender gave up before the replicas answered.
func TestSlowReplicasDoNotDisableNeighbour(t *testing.T) {
	run(t, func(w *world) {
		s := w.sender()
		defer s.pool.Close()
		for _, n := range w.big {
			n.set(func() { n.hold = true })
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		b := &forward.Batch{Request: &forward.Request{ID: "q"}, Replicas: []string{"r0"}, Deadline: time.Now().Add(time.Second)}
		got := make(chan forward.PartReplies, 1)
		_, ok := s.neighbours.SendBatch(ctx, "a", b, func(r forward.PartReplies) { got <- r })
		w.Assert(ok, qt.IsTrue)
		w.Assert((<-got).Replies, qt.HasLen, 1)
		for _, n := range w.big {
			n.set(func() { n.hold = false })
		}
		used := make(map[string]bool)
		for range 20 {
			node, _, _, ok := s.send()
			w.Assert(ok, qt.IsTrue)
			used[node] = true
		}
		w.Assert(used, qt.HasLen, 2)
	})
}

// TestMalformedRepliesFailBatch guards against an attempt that is settled twice since a
// faulty node tells of it twice, or of one that it was not sent.
func TestMalformedRepliesFailBatch(t *testing.T) {
	for name, replicas := range map[string][]int{"twice": {0, 0}, "not sent": {0, 7}} {
		run(t, func(w *world) {
			s := w.sender()
			defer s.pool.Close()
			for _, n := range w.big {
				n.set(func() { n.answers = replicas })
			}
			_, replies, records, ok := s.send()
			w.Assert(ok, qt.IsTrue)
			w.Assert(records, qt.Equals, "", qt.Commentf("%s", name))
			seen := make(map[int]bool)
			for _, p := range replies {
				w.Assert(p.Reply.Reason, qt.Equals, pb.Reason_REASON_PEER, qt.Commentf("%s", name))
				seen[p.Replica] = true
			}
			w.Assert(seen, qt.DeepEquals, map[int]bool{0: true, 1: true}, qt.Commentf("%s", name))
		})
	}
}
