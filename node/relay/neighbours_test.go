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

// batchSender is a node of another data centre that sends batches to the coordinators of a
// cluster.
type batchSender struct {
	cluster    *cluster
	neighbours *relay.Neighbours
	pool       *peer.Pool
}

func (c *cluster) newBatchSender() *batchSender {
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := peer.NewPool(nil, c.network.Dialer("sender"))
	self := coordinator.Member{Node: "sender", DataCentre: "z", Capacity: 0.8}
	fleet := func() coordinator.Fleet { return c.fleet }
	return &batchSender{cluster: c, pool: pool, neighbours: relay.NewNeighbours(self, pool, fleet, log)}
}

// send sends a batch for two replicas and returns the replies. ok is false when no node is
// usable.
func (s *batchSender) send() (node string, replies []forward.PartReply, records string, ok bool) {
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

// TestBatchPreservesRequestAndReplies guards against fields of a batch or its replies that
// are lost between two nodes.
func TestBatchPreservesRequestAndReplies(t *testing.T) {
	runTest(t, func(c *cluster) {
		s := c.newBatchSender()
		defer s.pool.Close()
		node, replies, records, ok := s.send()
		c.Assert(ok, qt.IsTrue)
		c.Assert(records, qt.Equals, node)
		c.Assert(replies, qt.HasLen, 2)
		for i, p := range replies {
			c.Assert(p.Replica, qt.Equals, i)
			c.Assert(p.Reply.Status, qt.Equals, 200)
			c.Assert(p.Reply.Metadata.Signature, qt.Equals, []string{"r0", "r1"}[i])
		}
		for _, n := range c.coordinators {
			for _, b := range n.batches {
				c.Assert(b.Request.Header.Get("A"), qt.Equals, "1")
				c.Assert(b.TopRecords, qt.Equals, 20)
				left := time.Until(b.Deadline)
				c.Assert(left > 900*time.Millisecond && left <= time.Second, qt.IsTrue, qt.Commentf("%v left", left))
			}
		}
	})
}

// TestUnresponsiveNeighbourIsUnusedUntilHeartbeatSucceeds guards against losing more than
// one batch to each unreachable node.
func TestUnresponsiveNeighbourIsUnusedUntilHeartbeatSucceeds(t *testing.T) {
	runTest(t, func(c *cluster) {
		s := c.newBatchSender()
		defer s.pool.Close()
		s.send()
		for _, n := range c.coordinators {
			c.network.Cut("sender", n.host)
		}
		lost := 0
		for range 10 {
			start := time.Now()
			_, replies, _, ok := s.send()
			if !ok {
				continue
			}
			lost++
			c.Assert(time.Since(start) < 120*time.Millisecond, qt.IsTrue)
			for _, p := range replies {
				c.Assert(p.Reply.Reason, qt.Equals, pb.Reason_REASON_PEER)
				c.Assert(p.Reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_UNKNOWN)
			}
		}
		c.Assert(lost, qt.Equals, len(c.coordinators), qt.Commentf("batches lost, at most one per node"))
		for _, n := range c.coordinators {
			c.network.Restore("sender", n.host)
		}
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			s.send()
		}
		_, _, _, ok := s.send()
		c.Assert(ok, qt.IsTrue)
	})
}

// TestSlowReplicasDoNotDisableNeighbour guards against marking a node as failed when its
// sender cancels a batch before the replicas answer.
func TestSlowReplicasDoNotDisableNeighbour(t *testing.T) {
	runTest(t, func(c *cluster) {
		s := c.newBatchSender()
		defer s.pool.Close()
		for _, n := range c.coordinators {
			n.update(func() { n.block = true })
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		b := &forward.Batch{Request: &forward.Request{ID: "q"}, Replicas: []string{"r0"}, Deadline: time.Now().Add(time.Second)}
		got := make(chan forward.PartReplies, 1)
		_, ok := s.neighbours.SendBatch(ctx, "a", b, func(r forward.PartReplies) { got <- r })
		c.Assert(ok, qt.IsTrue)
		c.Assert((<-got).Replies, qt.HasLen, 1)
		for _, n := range c.coordinators {
			n.update(func() { n.block = false })
		}
		used := make(map[string]bool)
		for range 20 {
			node, _, _, ok := s.send()
			c.Assert(ok, qt.IsTrue)
			used[node] = true
		}
		c.Assert(used, qt.HasLen, 2)
	})
}

// TestMalformedRepliesFailBatch guards against completing an attempt twice when a faulty
// node replies twice for it, or for a replica that is not in the batch.
func TestMalformedRepliesFailBatch(t *testing.T) {
	for name, replicas := range map[string][]int{"duplicate reply": {0, 0}, "replica not in the batch": {0, 7}} {
		runTest(t, func(c *cluster) {
			s := c.newBatchSender()
			defer s.pool.Close()
			for _, n := range c.coordinators {
				n.update(func() { n.answers = replicas })
			}
			_, replies, records, ok := s.send()
			c.Assert(ok, qt.IsTrue)
			c.Assert(records, qt.Equals, "", qt.Commentf("%s", name))
			seen := make(map[int]bool)
			for _, p := range replies {
				c.Assert(p.Reply.Reason, qt.Equals, pb.Reason_REASON_PEER, qt.Commentf("%s", name))
				seen[p.Replica] = true
			}
			c.Assert(seen, qt.DeepEquals, map[int]bool{0: true, 1: true}, qt.Commentf("%s", name))
		})
	}
}
