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

// batchRig sends batches over one connection in virtual time, and keeps what each
// item came to.
type batchRig struct {
	*rig
	settled atomic.Int64

	// mu guards outcomes.
	mu       sync.Mutex
	outcomes map[string]backend.Reply
}

func virtualBatch(t *testing.T, protocol pb.Protocol, so standin.Options, test func(r *batchRig)) {
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
		r := &batchRig{rig: &rig{C: qt.New(t), server: server, client: client, replica: replica},
			outcomes: make(map[string]backend.Reply)}
		defer func() {
			client.Close()
			server.Close()
			// Closed connections are held for a while, in case the server is slow.
			time.Sleep(time.Minute)
		}()
		test(r)
	})
}

// send carries a batch of the named items; each may have a context of its own.
func (r *batchRig) send(names []string, own map[string]context.Context) backend.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	b := backend.Batch{Replica: r.replica, OnRelease: func() { r.settled.Add(1) }}
	for _, name := range names {
		item := backend.Item{Ctx: ctx, Call: r.call(name), Done: func(reply backend.Reply) {
			r.mu.Lock()
			defer r.mu.Unlock()
			_, twice := r.outcomes[name]
			r.Check(twice, qt.IsFalse, qt.Commentf("%s has two outcomes", name))
			r.outcomes[name] = reply
		}}
		if own[name] != nil {
			item.Ctx = own[name]
		}
		b.Items = append(b.Items, item)
	}
	reply := r.client.DoBatch(b)
	r.Assert(r.outcomes, qt.HasLen, len(names))
	// The place is given back once the server has let go of the batch.
	synctest.Wait()
	return reply
}

// answered checks that the items have their own answers, and returns how many.
func (r *batchRig) answered(names ...string) int {
	n := 0
	for _, name := range names {
		reply := r.outcomes[name]
		if !reply.OK() {
			continue
		}
		n++
		var result standin.Result
		r.Check(json.Unmarshal(reply.Result, &result), qt.IsNil)
		r.Check(result.Digest, qt.Equals, standin.Digest(r.call(name).Body))
		r.Check([]uint64{reply.Snapshot, reply.Generation, reply.Oldest, reply.Newest}, qt.DeepEquals, []uint64{7, 1, 5, 7})
	}
	return n
}

func TestSlowItemDoesNotHoldItsSiblings(t *testing.T) {
	// Eight queries share a call; one or more take twenty times as long. Each
	// caller has its answer when its own is ready, not when the slowest is: replies
	// stream back, over one connection.
	so := standin.Options{Slots: 8, Rng: rand.New(rand.NewPCG(3, 1)),
		ServiceTime: standin.ServiceTime{Base: 5 * time.Millisecond, SlowShare: 0.2, SlowFactor: 20}}
	eachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		virtualBatch(t, protocol, so, func(r *batchRig) {
			names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			whole := r.send(names, nil)
			r.Assert(r.answered(names...), qt.Equals, 8)
			quick := 0
			for _, name := range names {
				if r.outcomes[name].Took == 5*time.Millisecond {
					quick++
				}
			}
			r.Assert(quick >= 4 && quick < 8, qt.IsTrue, qt.Commentf("%d quick", quick))
			r.Assert(whole.Took, qt.Equals, 100*time.Millisecond)
			r.Assert(r.server.Counts().Batches, qt.Equals, uint64(1))
			r.Assert([]int64{r.settled.Load(), int64(r.client.Stats().Dialled)}, qt.DeepEquals, []int64{1, 1})
		})
	})
}

func TestCancelledItemIsGivenUpAlone(t *testing.T) {
	// A hedge has answered for b, so its item is cancelled after 5 ms, while the
	// batch runs. b is over at once, as one that may have run; closing the
	// connection instead would cut a and c, which are answered after 20 ms. d was
	// cancelled before anything was written and has not run.
	so := standin.Options{Slots: 4, ServiceTime: standin.ServiceTime{Base: 20 * time.Millisecond}}
	eachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		virtualBatch(t, protocol, so, func(r *batchRig) {
			b, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
			defer cancel()
			d, cancelD := context.WithCancel(context.Background())
			cancelD()
			r.send([]string{"a", "b", "c", "d"}, map[string]context.Context{"b": b, "d": d})
			r.Assert(r.answered("a", "c"), qt.Equals, 2)
			r.Assert(r.outcomes["b"].Evidence, qt.Equals, unknown)
			r.Assert(r.outcomes["b"].Took, qt.Equals, 5*time.Millisecond)
			r.Assert(r.outcomes["d"].Evidence, qt.Equals, notRun)
			r.Assert(r.server.Counts().Queries, qt.Equals, uint64(3))
			r.Assert(r.client.Stats().BatchItems, qt.Equals, uint64(3))
		})
	})
}

func TestResetKeepsWhatWasAnswered(t *testing.T) {
	// One slot, 10 ms each: the connection is reset after 25 ms. Two items are
	// answered and stay so; of the other two it is unknown whether they ran. The
	// call is not sent again, and its place is given back once.
	so := standin.Options{Slots: 1, Queue: -1, ServiceTime: standin.ServiceTime{Base: 10 * time.Millisecond}}
	virtualBatch(t, pb.Protocol_PROTOCOL_HTTP1, so, func(r *batchRig) {
		time.AfterFunc(25*time.Millisecond, r.server.ResetConnections)
		names := []string{"a", "b", "c", "d"}
		whole := r.send(names, nil)
		r.Assert(whole.Reason, qt.Equals, pb.Reason_REASON_CONNECTION)
		r.Assert(r.answered(names...), qt.Equals, 2)
		lost := 0
		for _, name := range names {
			if reply := r.outcomes[name]; reply.Reason == pb.Reason_REASON_CONNECTION && reply.Evidence == unknown {
				lost++
			}
		}
		r.Assert(lost, qt.Equals, 2)
		r.Assert([]int64{r.settled.Load(), int64(r.server.Counts().Batches)}, qt.DeepEquals, []int64{1, 1})
	})
}

func TestItemsThatDoNotFitAreDroppedAlone(t *testing.T) {
	// One item of a batch is answered under a foreign id, from another snapshot,
	// twice, or not at all. Its siblings keep their answers; the item has a typed
	// outcome and never a sibling's result; each misfit is counted (a crossed one
	// twice: a foreign reply, and a missing one); the next batch is answered over a
	// new connection. Broken variants that this catches: a reply goes to the first
	// open item whatever its id, the state of an item or its snapshot is not looked
	// at, a missing item is not counted, the connection is used again.
	for fault, want := range map[standin.Fault]struct{ answered, misfits int }{
		standin.FaultCrossedReply:  {2, 2},
		standin.FaultWrongSnapshot: {2, 1},
		standin.FaultMissingItem:   {2, 1},
		standin.FaultRepeatedItem:  {3, 1},
		standin.FaultError:         {2, 0},
	} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			virtualBatch(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 4}, func(r *batchRig) {
				r.server.SetFault(fault, 1)
				r.send([]string{"a", "b", "c"}, nil)
				r.Assert(r.answered("a", "b", "c"), qt.Equals, want.answered)
				r.Assert(r.client.Stats().Mismatched, qt.Equals, uint64(want.misfits))
				r.outcomes = make(map[string]backend.Reply)
				r.send([]string{"d", "e"}, nil)
				r.Assert(r.answered("d", "e"), qt.Equals, 2)
				r.Assert(r.client.Stats().Dialled, qt.Equals, uint64(1+min(want.misfits, 1)))
			})
		})
	}
}

func TestRefusedItemsHaveNotRun(t *testing.T) {
	// A backend server drains, or sheds what finds no slot: each item says for
	// itself that it has not run, and those that got a slot are answered. A gate
	// that closes before the write leaves no trace at the server.
	so := standin.Options{Slots: 2, ServiceTime: standin.ServiceTime{Base: time.Millisecond}}
	virtualBatch(t, pb.Protocol_PROTOCOL_HTTP1, so, func(r *batchRig) {
		names := []string{"a", "b", "c", "d"}
		r.send(names, nil)
		r.Assert(r.answered(names...), qt.Equals, 2)
		r.Assert(r.server.Counts().Shed, qt.Equals, uint64(2))
		r.outcomes = make(map[string]backend.Reply)
		r.server.Drain(true)
		r.send([]string{"e"}, nil)
		e := r.outcomes["e"]
		r.Assert([]any{e.Reason, e.Evidence, e.Draining}, qt.DeepEquals, []any{pb.Reason_REASON_LEAVING, notRun, true})
		var closed backend.Reply
		r.client.DoBatch(backend.Batch{Replica: r.replica, Gate: func() bool { return false }, Items: []backend.Item{
			{Ctx: context.Background(), Call: r.call("f"), Done: func(reply backend.Reply) { closed = reply }}}})
		r.Assert([]any{closed.Reason, closed.Evidence}, qt.DeepEquals, []any{pb.Reason_REASON_COLD, notRun})
		r.Assert(r.server.Counts().Batches, qt.Equals, uint64(2))
	})
}
