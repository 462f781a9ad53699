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

// neighbour passes batches to another node's forwarder.
type neighbour struct {
	to *forward.Forwarder
	// delay is how long each delivery takes; lost drops the batch.
	delay time.Duration
	lost  bool
	// batches counts those that were sent.
	batches atomic.Int32
	// ended is when the newest one was ended before all of its replies had come.
	ended atomic.Pointer[time.Time]
}

// SendBatch implements forward.BatchSender.
func (n *neighbour) SendBatch(ctx context.Context, _ string, b *forward.Batch, deliver func(forward.PartReplies)) (string, bool) {
	if n.to == nil {
		return "", false
	}
	n.batches.Add(1)
	go func() {
		if n.lost {
			var r forward.PartReplies
			for i := range b.Replicas {
				r.Replies = append(r.Replies, forward.PartReply{Replica: i, Reply: backend.ForwardReply{
					Reason: pb.Reason_REASON_PEER, Evidence: pb.Evidence_EVIDENCE_UNKNOWN,
				}})
			}
			deliver(r)
			return
		}
		err := n.to.ServeBatch(ctx, b, func(r forward.PartReplies) error {
			time.Sleep(n.delay)
			deliver(r)
			return nil
		})
		if err != nil {
			now := time.Now()
			n.ended.Store(&now)
		}
	}()
	return "other", true
}

func batchedRequest() *forward.Request {
	return &forward.Request{ID: "q", Method: http.MethodGet, Target: "/x", Header: http.Header{headerID: {"q"}}}
}

// TestBatchedPartsAreMerged is the path of parts that come merged from another data centre.
func TestBatchedPartsAreMerged(t *testing.T) {
	run(t, shards(6, "b"), func(r *rig) {
		n := &neighbour{}
		f := r.node("a", n)
		n.to = r.node("b", nil)
		a, took := r.ask(f, 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 0)
		r.Assert(n.batches.Load(), qt.Equals, int32(1))
		r.Assert(took < 30*ms, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

// TestFewAttemptsGoOneByOne guards against messages that cost more than they save.
func TestFewAttemptsGoOneByOne(t *testing.T) {
	run(t, shards(3, "b"), func(r *rig) {
		n := &neighbour{}
		f := r.node("a", n)
		n.to = r.node("b", nil)
		a, _ := r.ask(f, 10*ms)
		r.records(a)
		r.Assert(n.batches.Load(), qt.Equals, int32(0))
	})
}

// TestGroupAndHedgeCountOnce guards against an answer that holds two parts of one shard, or
// records of a part that it does not name: a batch and a hedge both answer.
func TestGroupAndHedgeCountOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * ms, 49 * ms, 55 * ms, 60 * ms, 70 * ms} {
		run(t, shards(6, "b", "c"), func(r *rig) {
			for id, rep := range r.replicas {
				if rep.DataCentre == "c" {
					rep.takes = 20 * ms
				}
				if id == "s5-b" {
					// Its shard keeps the request open while others answer twice.
					rep.takes = 300 * ms
				}
			}
			n := &neighbour{delay: delay}
			f := r.node("a", n)
			n.to = r.node("b", nil)
			a, _ := r.ask(f, 5*ms)
			r.records(a)
			r.most()
		})
	}
}

// TestLostBatchIsSentToOtherReplicas guards against a node that dies with a batch and takes
// its shards with it.
func TestLostBatchIsSentToOtherReplicas(t *testing.T) {
	run(t, shards(6, "b", "c"), func(r *rig) {
		n := &neighbour{lost: true}
		f := r.node("a", n)
		n.to = f
		a, _ := r.ask(f, 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 0)
		r.most()
	})
}

// TestNodeThatLacksReplicasCostsNoAttempt guards against a node that has lost the store and
// makes those that send it batches spend their budget for extra requests.
func TestNodeThatLacksReplicasCostsNoAttempt(t *testing.T) {
	run(t, shards(6, "b"), func(r *rig) {
		n := &neighbour{}
		f := r.node("a", n)
		// It knows no replica at all.
		n.to = forward.New(forward.Options{})
		a, _ := r.ask(f, 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 0)
		r.Assert(n.batches.Load(), qt.Equals, int32(1))
		for id, rep := range r.replicas {
			r.Assert(rep.count(), qt.Equals, 1, qt.Commentf("attempts at %s", id))
		}
	})
}

// TestBatchEndsWithItsRequest guards against replicas that go on working for a part of a
// batch after the answer was given without it.
func TestBatchEndsWithItsRequest(t *testing.T) {
	run(t, shards(6, "b"), func(r *rig) {
		r.replicas["s0-b"].set(func(rep *replica) { rep.takes = 20 * time.Second })
		n := &neighbour{}
		f := r.node("a", n)
		n.to = r.node("b", nil)
		began := time.Now()
		a, took := r.ask(f, 10*ms)
		r.records(a)
		r.Assert(a.Missing, qt.Equals, 1)
		time.Sleep(400 * ms)
		ended := n.ended.Load()
		r.Assert(ended, qt.Not(qt.IsNil))
		r.Assert(ended.Sub(began) <= took+250*ms, qt.IsTrue, qt.Commentf("after %v", ended.Sub(began)))
	})
}

// TestUnknownReplicaOfABatchIsNotRun guards against a node that sends requests wherever
// another one says.
func TestUnknownReplicaOfABatchIsNotRun(t *testing.T) {
	run(t, shards(1, "b"), func(r *rig) {
		f := r.node("b", nil)
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
		r.Assert(err, qt.IsNil)
		r.Assert(replies, qt.HasLen, 2)
		for _, p := range replies {
			if p.Replica == 1 {
				r.Assert(p.Reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_NOT_RUN)
				continue
			}
			r.Assert(p.Reply.Status, qt.Equals, 200)
		}
	})
}

// TestBatchEndsWithItsSender guards against replicas that work for a request whose caller
// has gone.
func TestBatchEndsWithItsSender(t *testing.T) {
	run(t, shards(4, "b"), func(r *rig) {
		for _, rep := range r.replicas {
			rep.takes = 30 * time.Second
		}
		f := r.node("b", nil)
		ctx, cancel := context.WithTimeout(context.Background(), 50*ms)
		defer cancel()
		b := &forward.Batch{
			Request:  batchedRequest(),
			Replicas: []string{"s0-b", "s1-b"}, Deadline: time.Now().Add(time.Minute),
		}
		began := time.Now()
		err := f.ServeBatch(ctx, b, func(forward.PartReplies) error { return nil })
		r.Assert(err, qt.Not(qt.IsNil))
		r.Assert(time.Since(began), qt.Equals, 50*ms)
		for _, rep := range r.replicas {
			rep.set(func(rep *replica) { rep.takes = 0 })
		}
	})
}

// TestEndedBatchIsNotBegun guards against a node that was paused with a batch in its socket
// and sends it on waking, after its sender has given the attempts up.
func TestEndedBatchIsNotBegun(t *testing.T) {
	run(t, shards(9, "b"), func(r *rig) {
		f := r.node("b", nil)
		r.ask(f, 10*ms)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		b := &forward.Batch{Request: batchedRequest(), Deadline: time.Now().Add(time.Second)}
		for id := range r.replicas {
			b.Replicas = append(b.Replicas, id)
		}
		err := f.ServeBatch(ctx, b, func(forward.PartReplies) error {
			// The stream of a sender that has gone takes a while to fail.
			time.Sleep(10 * ms)
			return nil
		})
		r.Assert(err, qt.Equals, context.Canceled)
		time.Sleep(100 * ms)
		for id, rep := range r.replicas {
			r.Assert(rep.count(), qt.Equals, 1, qt.Commentf("%s was asked again", id))
		}
	})
}
