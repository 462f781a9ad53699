package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/forward"
)

// fakeBatchSender passes batches to the forwarder of another node.
type fakeBatchSender struct {
	to *forward.Forwarder
	// delay is how long each delivery takes. fails makes every attempt of a batch fail.
	delay time.Duration
	fails bool
	// batches counts the batches that were sent.
	batches atomic.Int32
	// cancelledAt is when the newest batch was cancelled before all its replies had arrived.
	cancelledAt atomic.Pointer[time.Time]
}

// SendBatch implements forward.BatchSender.
func (s *fakeBatchSender) SendBatch(ctx context.Context, _ string, b *forward.Batch, deliver func(forward.PartReplies)) (string, bool) {
	if s.to == nil {
		return "", false
	}
	s.batches.Add(1)
	go func() {
		if s.fails {
			var r forward.PartReplies
			for i := range b.Replicas {
				r.Replies = append(r.Replies, forward.PartReply{Replica: i, Reply: backend.ForwardReply{
					Reason: pb.Reason_REASON_PEER, Evidence: pb.Evidence_EVIDENCE_UNKNOWN,
				}})
			}
			deliver(r)
			return
		}
		err := s.to.ServeBatch(ctx, b, func(r forward.PartReplies) error {
			time.Sleep(s.delay)
			deliver(r)
			return nil
		})
		if err != nil {
			now := time.Now()
			s.cancelledAt.Store(&now)
		}
	}()
	return "other", true
}

func batchedRequest() *forward.Request {
	id := newRequestID()
	return &forward.Request{ID: id, Method: http.MethodGet, Target: "/x", Header: http.Header{headerID: {id}}}
}

// Guards against losing parts that arrive merged from another data centre.
func TestBatchedPartsAreMerged(t *testing.T) {
	withHarness(t, shards(6, "b"), func(h *harness) {
		sender := &fakeBatchSender{}
		f := h.node("a", sender)
		sender.to = h.node("b", nil)
		a, took := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 0)
		h.Assert(sender.batches.Load(), qt.Equals, int32(1))
		h.Assert(took < 30*ms, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// Guards against batches that are too small to save any messages.
func TestSmallGroupIsNotBatched(t *testing.T) {
	withHarness(t, shards(3, "b"), func(h *harness) {
		sender := &fakeBatchSender{}
		f := h.node("a", sender)
		sender.to = h.node("b", nil)
		a, _ := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Assert(sender.batches.Load(), qt.Equals, int32(0))
	})
}

// Guards against an answer with two parts of one shard, or with records of a part that it
// does not name, when both a batch and a hedge answer.
func TestBatchAndHedgeReplyCountShardOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * ms, 49 * ms, 55 * ms, 60 * ms, 70 * ms} {
		withHarness(t, shards(6, "b", "c"), func(h *harness) {
			for id, rep := range h.replicas {
				if rep.DataCentre == "c" {
					rep.latency = 20 * ms
				}
				if id == "s5-b" {
					// This shard keeps the request open while other shards answer twice.
					rep.latency = 300 * ms
				}
			}
			sender := &fakeBatchSender{delay: delay}
			f := h.node("a", sender)
			sender.to = h.node("b", nil)
			a, _ := h.serve(f, 5*ms)
			h.checkRecords(a)
			h.checkMaxAttempts()
		})
	}
}

// Guards against losing the shards of a batch whose node fails.
func TestFailedBatchIsRetriedAtOtherReplicas(t *testing.T) {
	withHarness(t, shards(6, "b", "c"), func(h *harness) {
		sender := &fakeBatchSender{fails: true}
		f := h.node("a", sender)
		sender.to = f
		a, _ := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 0)
		h.checkMaxAttempts()
	})
}

// Guards against lost shards and additional attempts when a batch's node does not have the
// replicas in its view.
func TestBatchToNodeWithoutReplicasIsSentDirectly(t *testing.T) {
	withHarness(t, shards(6, "b"), func(h *harness) {
		sender := &fakeBatchSender{}
		f := h.node("a", sender)
		// This forwarder has received no replicas.
		sender.to = forward.New(forward.Options{})
		a, _ := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 0)
		h.Assert(sender.batches.Load(), qt.Equals, int32(1))
		for id, rep := range h.replicas {
			h.Assert(rep.requestCount(), qt.Equals, 1, qt.Commentf("attempts at %s", id))
		}
	})
}

// Guards against replicas that continue to work on a batch after the answer was returned
// without its parts.
func TestBatchIsCancelledAfterRequestEnds(t *testing.T) {
	withHarness(t, shards(6, "b"), func(h *harness) {
		h.replicas["s0-b"].set(func(rep *replica) { rep.latency = 20 * time.Second })
		sender := &fakeBatchSender{}
		f := h.node("a", sender)
		sender.to = h.node("b", nil)
		began := time.Now()
		a, took := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Assert(a.Missing, qt.Equals, 1)
		time.Sleep(400 * ms)
		ended := sender.cancelledAt.Load()
		h.Assert(ended, qt.Not(qt.IsNil))
		h.Assert(ended.Sub(began) <= took+250*ms, qt.IsTrue, qt.Commentf("cancelled after %v", ended.Sub(began)))
	})
}

// Guards against a node that sends requests to replicas that are not in its own view.
func TestUnknownReplicaInBatchIsReportedNotRun(t *testing.T) {
	withHarness(t, shards(1, "b"), func(h *harness) {
		f := h.node("b", nil)
		var replies []forward.PartReply
		b := &forward.Batch{
			Request:  batchedRequest(),
			Replicas: []string{"s0-b", "s0-z"},
			Deadline: time.Now().Add(time.Second), TopRecords: 10,
		}
		err := f.ServeBatch(context.Background(), b, func(p forward.PartReplies) error {
			replies = append(replies, p.Replies...)
			return nil
		})
		h.Assert(err, qt.IsNil)
		h.Assert(replies, qt.HasLen, 2)
		for _, p := range replies {
			if p.Replica == 1 {
				h.Assert(p.Reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_NOT_RUN)
				continue
			}
			h.Assert(p.Reply.Status, qt.Equals, 200)
		}
	})
}

// Guards against replicas that work on a request whose caller has disconnected.
func TestServeBatchStopsWhenSenderCancels(t *testing.T) {
	withHarness(t, shards(4, "b"), func(h *harness) {
		for _, rep := range h.replicas {
			rep.latency = 30 * time.Second
		}
		f := h.node("b", nil)
		ctx, cancel := context.WithTimeout(context.Background(), 50*ms)
		defer cancel()
		b := &forward.Batch{
			Request:  batchedRequest(),
			Replicas: []string{"s0-b", "s1-b"}, Deadline: time.Now().Add(time.Minute),
		}
		began := time.Now()
		err := f.ServeBatch(ctx, b, func(forward.PartReplies) error { return nil })
		h.Assert(err, qt.Not(qt.IsNil))
		h.Assert(time.Since(began), qt.Equals, 50*ms)
		for _, rep := range h.replicas {
			rep.set(func(rep *replica) { rep.latency = 0 })
		}
	})
}

// Guards against a node that resumes after a pause and sends a batch that its sender has
// already cancelled.
func TestCancelledBatchIsNotSent(t *testing.T) {
	withHarness(t, shards(9, "b"), func(h *harness) {
		f := h.node("b", nil)
		h.serve(f, 10*ms)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		b := &forward.Batch{Request: batchedRequest(), Deadline: time.Now().Add(time.Second)}
		for id := range h.replicas {
			b.Replicas = append(b.Replicas, id)
		}
		err := f.ServeBatch(ctx, b, func(forward.PartReplies) error {
			// The stream of a disconnected sender takes a while to fail.
			time.Sleep(10 * ms)
			return nil
		})
		h.Assert(err, qt.Equals, context.Canceled)
		time.Sleep(100 * ms)
		for id, rep := range h.replicas {
			h.Assert(rep.requestCount(), qt.Equals, 1, qt.Commentf("requests sent to %s", id))
		}
	})
}

// Guards against load reports that are lost on their way from the node that sends a batch to
// the one that gathers, and against reports that the sending node does not use itself.
func TestLoadReportsOfABatchReachBothNodes(t *testing.T) {
	withHarness(t, shards(6, "b"), func(h *harness) {
		for _, rep := range h.replicas {
			rep.pace = 250
		}
		sender := &fakeBatchSender{}
		f := h.node("a", sender)
		sender.to = h.node("b", nil)
		a, _ := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Assert(sender.batches.Load(), qt.Equals, int32(1))
		for age, name := range map[time.Duration]string{0: "load_reports_under_300ms", 400 * ms: "load_reports_under_2s", 3 * time.Second: "load_reports_older"} {
			began := time.Now()
			_, _ = h.serve(f, 10*ms)
			time.Sleep(age)
			for node, forwarder := range map[string]*forward.Forwarder{"a": f, "b": sender.to} {
				got := make(map[string]float64)
				forwarder.ReportLoad(func(name string, value float64) { got[name] = value })
				h.Check(got[name], qt.Equals, 6.0, qt.Commentf("%s at node %s after %v", name, node, time.Since(began)))
			}
		}
	})
}
