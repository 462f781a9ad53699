package backend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
	standin "github.com/carobmill/carobmill/standin/backend"
	"github.com/carobmill/carobmill/standin/memnet"
)

// batchHarness sends batches over one connection in virtual time and records the
// outcome of each item.
type batchHarness struct {
	*harness
	releases atomic.Int64

	// mu guards outcomes.
	mu       sync.Mutex
	outcomes map[string]backend.Reply
}

func runBatchTest(t *testing.T, protocol pb.Protocol, so standin.Options, test func(h *batchHarness)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		listener, err := network.Listen("replica", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		so.Name, so.Oldest, so.Newest = "r0", 5, 7
		so.Generations = []standin.Generation{{ID: 1, FirstSnapshot: 1, Shards: []string{"s0"}}}
		server := standin.New(so)
		server.Serve(listener)
		client := backend.New(backend.Options{Dial: network.Dialer("node")})
		client.SetConnections("r0", 1)
		replica := &config.Replica{Name: "r0", Address: server.Addr(),
			Service: &config.Service{Spec: &pb.Service{Protocol: protocol}}}
		h := &batchHarness{harness: &harness{C: qt.New(t), server: server, client: client, replica: replica},
			outcomes: make(map[string]backend.Reply)}
		defer func() {
			client.Close()
			server.Close()
			// The client waits up to CloseTimeout for the server to close its end.
			time.Sleep(time.Minute)
		}()
		test(h)
	})
}

// send sends a batch of the named items; own replaces the context of single items.
func (h *batchHarness) send(names []string, own map[string]context.Context) backend.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	b := backend.Batch{Replica: h.replica, OnRelease: func() { h.releases.Add(1) }}
	for _, name := range names {
		item := backend.Item{Ctx: ctx, Call: h.call(name), Done: func(reply backend.Reply) {
			h.mu.Lock()
			defer h.mu.Unlock()
			_, twice := h.outcomes[name]
			h.Check(twice, qt.IsFalse, qt.Commentf("%s has two outcomes", name))
			h.outcomes[name] = reply
		}}
		if own[name] != nil {
			item.Ctx = own[name]
		}
		b.Items = append(b.Items, item)
	}
	reply := h.client.DoBatch(b)
	h.Assert(h.outcomes, qt.HasLen, len(names))
	// OnRelease is called once the server has released the batch.
	synctest.Wait()
	return reply
}

// countAnswered checks that successful items have their own results and counts them.
func (h *batchHarness) countAnswered(names ...string) int {
	n := 0
	for _, name := range names {
		reply := h.outcomes[name]
		if !reply.OK() {
			continue
		}
		n++
		var result standin.Result
		h.Check(json.Unmarshal(reply.Result, &result), qt.IsNil)
		h.Check(result.Digest, qt.Equals, standin.Digest(h.call(name).Body))
		h.Check([]uint64{reply.Snapshot, reply.Generation, reply.Oldest, reply.Newest}, qt.DeepEquals, []uint64{7, 1, 5, 7})
	}
	return n
}

func TestSlowBatchItemDoesNotDelayOtherItems(t *testing.T) {
	// Each item must complete when its own reply is ready, not with the slowest item.
	so := standin.Options{Slots: 8, Rng: rand.New(rand.NewPCG(3, 1)),
		ServiceTime: standin.ServiceTime{Base: 5 * time.Millisecond, SlowShare: 0.2, SlowFactor: 20}}
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		runBatchTest(t, protocol, so, func(h *batchHarness) {
			names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			whole := h.send(names, nil)
			h.Assert(h.countAnswered(names...), qt.Equals, 8)
			fast := 0
			for _, name := range names {
				if h.outcomes[name].Took == 5*time.Millisecond {
					fast++
				}
			}
			h.Assert(fast >= 4 && fast < 8, qt.IsTrue, qt.Commentf("%d fast replies", fast))
			h.Assert(whole.Took, qt.Equals, 100*time.Millisecond)
			h.Assert(h.server.Counts().Batches, qt.Equals, uint64(1))
			h.Assert([]int64{h.releases.Load(), int64(h.client.Stats().Dialled)}, qt.DeepEquals, []int64{1, 1})
		})
	})
}

func TestCancelledBatchItemDoesNotEndOtherItems(t *testing.T) {
	// Item b is cancelled while the batch runs and must end at once without closing the
	// connection that a and c still use. Item d is cancelled before the write.
	so := standin.Options{Slots: 4, ServiceTime: standin.ServiceTime{Base: 20 * time.Millisecond}}
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		runBatchTest(t, protocol, so, func(h *batchHarness) {
			b, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
			defer cancel()
			d, cancelD := context.WithCancel(context.Background())
			cancelD()
			h.send([]string{"a", "b", "c", "d"}, map[string]context.Context{"b": b, "d": d})
			h.Assert(h.countAnswered("a", "c"), qt.Equals, 2)
			h.Assert(h.outcomes["b"].Evidence, qt.Equals, unknown)
			h.Assert(h.outcomes["b"].Took, qt.Equals, 5*time.Millisecond)
			h.Assert(h.outcomes["d"].Evidence, qt.Equals, notRun)
			h.Assert(h.server.Counts().Queries, qt.Equals, uint64(3))
			h.Assert(h.client.Stats().BatchItems, qt.Equals, uint64(3))
		})
	})
}

func TestConnectionResetKeepsReceivedBatchReplies(t *testing.T) {
	// The connection is reset after two of four items are answered. The answered items
	// must keep their results, the others are unknown, and nothing is sent again.
	so := standin.Options{Slots: 1, Queue: -1, ServiceTime: standin.ServiceTime{Base: 10 * time.Millisecond}}
	runBatchTest(t, pb.Protocol_PROTOCOL_HTTP1, so, func(h *batchHarness) {
		time.AfterFunc(25*time.Millisecond, h.server.ResetConnections)
		names := []string{"a", "b", "c", "d"}
		whole := h.send(names, nil)
		h.Assert(whole.Reason, qt.Equals, pb.Reason_REASON_CONNECTION)
		h.Assert(h.countAnswered(names...), qt.Equals, 2)
		lost := 0
		for _, name := range names {
			if reply := h.outcomes[name]; reply.Reason == pb.Reason_REASON_CONNECTION && reply.Evidence == unknown {
				lost++
			}
		}
		h.Assert(lost, qt.Equals, 2)
		h.Assert([]int64{h.releases.Load(), int64(h.server.Counts().Batches)}, qt.DeepEquals, []int64{1, 1})
	})
}

func TestMismatchedBatchReplyDoesNotAffectOtherItems(t *testing.T) {
	// A reply with an unknown or repeated ID, from another snapshot, or a missing reply
	// must be counted, must not affect the other items, and must close the connection.
	for fault, want := range map[standin.Fault]struct{ answered, mismatches int }{
		standin.FaultWrongAttempt:  {2, 2},
		standin.FaultWrongSnapshot: {2, 1},
		standin.FaultMissingItem:   {2, 1},
		standin.FaultDuplicateItem: {3, 1},
		standin.FaultError:         {2, 0},
	} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			runBatchTest(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 4}, func(h *batchHarness) {
				h.server.SetFault(fault, 1)
				h.send([]string{"a", "b", "c"}, nil)
				h.Assert(h.countAnswered("a", "b", "c"), qt.Equals, want.answered)
				h.Assert(h.client.Stats().Mismatched, qt.Equals, uint64(want.mismatches))
				h.outcomes = make(map[string]backend.Reply)
				h.send([]string{"d", "e"}, nil)
				h.Assert(h.countAnswered("d", "e"), qt.Equals, 2)
				h.Assert(h.client.Stats().Dialled, qt.Equals, uint64(1+min(want.mismatches, 1)))
			})
		})
	}
}

func TestRefusedBatchItemsAreReportedNotRun(t *testing.T) {
	// Items that a full or draining server refuses, and items of a batch whose gate
	// returns false, must be reported as not run.
	so := standin.Options{Slots: 2, ServiceTime: standin.ServiceTime{Base: time.Millisecond}}
	runBatchTest(t, pb.Protocol_PROTOCOL_HTTP1, so, func(h *batchHarness) {
		names := []string{"a", "b", "c", "d"}
		h.send(names, nil)
		h.Assert(h.countAnswered(names...), qt.Equals, 2)
		h.Assert(h.server.Counts().Shed, qt.Equals, uint64(2))
		h.outcomes = make(map[string]backend.Reply)
		h.server.Drain(true)
		h.send([]string{"e"}, nil)
		e := h.outcomes["e"]
		h.Assert([]any{e.Reason, e.Evidence, e.Draining}, qt.DeepEquals, []any{pb.Reason_REASON_LEAVING, notRun, true})
		var closed backend.Reply
		h.client.DoBatch(backend.Batch{Replica: h.replica, Gate: func() bool { return false }, Items: []backend.Item{
			{Ctx: context.Background(), Call: h.call("f"), Done: func(reply backend.Reply) { closed = reply }}}})
		h.Assert([]any{closed.Reason, closed.Evidence}, qt.DeepEquals, []any{pb.Reason_REASON_COLD, notRun})
		h.Assert(h.server.Counts().Batches, qt.Equals, uint64(2))
	})
}
