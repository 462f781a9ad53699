package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Item is one subrequest of a batch.
type Item struct {
	// Ctx ends the item alone; its siblings go on.
	Ctx context.Context
	// Call names no Replica, Gate or OnRelease: these are the batch's.
	Call Call
	// Done is called once with the item's outcome, as soon as it is known, also
	// from another goroutine. It must not block: it would hold back the siblings.
	Done func(Reply)
}

// Batch is one call that carries subrequests of different queries to one
// replica.
type Batch struct {
	Replica *config.Replica
	// Items are reads; a non-idempotent request never goes into a batch.
	Items []Item
	// Gate and OnRelease are those of a Call, for the batch as a whole.
	Gate      func() bool
	OnRelease func()
}

// itemState is how far an item is.
type itemState int

const (
	// itemWaiting has left no trace on a connection.
	itemWaiting itemState = iota
	// itemWritten is part of a request that may have left.
	itemWritten
	// itemAbandoned was given up; a reply that still comes is dropped.
	itemAbandoned
	// itemAnswered has its outcome; a second reply is one too many.
	itemAnswered
)

type item struct {
	Item
	deadline time.Time
	state    itemState
}

// batch is a Batch under way.
type batch struct {
	begun time.Time
	items []*item

	// mu guards the fields below and the state of the items.
	mu        sync.Mutex
	byAttempt map[string]*item
	open      int
	abandoned int
	// told counts the items whose Done has not returned.
	told sync.WaitGroup
	// cancel ends the exchange when nobody waits for it any more.
	cancel context.CancelFunc
}

// DoBatch carries the items in one exchange and returns when each has its
// outcome and the connection is given back or given up. Like Do it never sends
// anything twice. The reply tells how the exchange as a whole went.
func (c *Client) DoBatch(b Batch) Reply {
	settled := b.OnRelease
	if settled == nil {
		settled = func() {}
	}
	run := newBatch(b.Items)
	ctx, cancel := run.context()
	defer cancel()
	run.cancel = cancel
	for _, it := range run.items {
		stop := context.AfterFunc(it.Ctx, func() { run.abandon(it) })
		defer stop()
	}
	call := Call{Replica: b.Replica, Gate: b.Gate, batch: run, Attempt: run.items[0].Call.Attempt}
	reply := c.attempt(ctx, call, http.MethodPost, pathBatch, settled)
	run.sweep(reply)
	run.told.Wait()
	return reply
}

func newBatch(list []Item) *batch {
	b := &batch{
		begun:     time.Now(),
		items:     make([]*item, 0, len(list)),
		byAttempt: make(map[string]*item, len(list)),
		open:      len(list),
	}
	b.told.Add(len(list))
	for _, i := range list {
		if i.Call.Execute {
			panic("backend: a non-idempotent request in a batch")
		}
		it := &item{Item: i}
		it.deadline, _ = i.Ctx.Deadline()
		b.items = append(b.items, it)
		b.byAttempt[i.Call.Attempt] = it
	}
	return b
}

// context ends with the last item's deadline.
func (b *batch) context() (context.Context, context.CancelFunc) {
	var last time.Time
	for _, it := range b.items {
		if it.deadline.IsZero() {
			return context.WithCancel(context.Background())
		}
		if it.deadline.After(last) {
			last = it.deadline
		}
	}
	return context.WithDeadline(context.Background(), last)
}

// abandon gives up one item. The exchange goes on for its siblings: closing the
// connection would cut them. The backend server stops at the item's timeout.
func (b *batch) abandon(it *item) {
	b.end(it, itemAbandoned, Reply{
		Reason:   contextReason(it.Ctx),
		Evidence: pb.Evidence_EVIDENCE_UNKNOWN,
		Took:     time.Since(b.begun),
	})
}

// answered gives an item its outcome, unless it has one.
func (b *batch) answered(it *item, reply Reply) {
	b.end(it, itemAnswered, reply)
}

// end gives an item its outcome and last state, unless it has them. Callers end
// their contexts when they have their answers, so an item that was answered is often
// abandoned afterwards: that must not end the exchange, whose reply is about to be
// complete.
func (b *batch) end(it *item, last itemState, reply Reply) {
	b.mu.Lock()
	if it.state >= itemAbandoned {
		b.mu.Unlock()
		return
	}
	if last == itemAbandoned {
		b.abandoned++
		if it.state == itemWaiting {
			// It is left out of the request, whenever that is written.
			reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
		}
	}
	it.state = last
	b.open--
	// What is still to come on this connection is for nobody.
	unwanted := b.open == 0 && b.abandoned > 0
	b.mu.Unlock()
	it.Done(reply)
	b.told.Done()
	if unwanted {
		b.cancel()
	}
}

// match returns the item that a reply belongs to, nil for a foreign or repeated
// reply.
func (b *batch) match(attempt string) *item {
	b.mu.Lock()
	defer b.mu.Unlock()
	it := b.byAttempt[attempt]
	if it == nil || it.state == itemAnswered || it.state == itemWaiting {
		return nil
	}
	return it
}

// unanswered returns the items without an outcome.
func (b *batch) unanswered() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*item
	for _, it := range b.items {
		if it.state < itemAbandoned {
			list = append(list, it)
		}
	}
	return list
}

// sweep gives the items that are still open the outcome of the whole exchange.
// Evidence "not run" holds for each of them: it is only stated when no byte of
// the batch can have left, or when the backend server refused it as a whole.
func (b *batch) sweep(whole Reply) {
	for _, it := range b.unanswered() {
		reply := whole
		reply.Result = nil
		b.answered(it, reply)
	}
}
