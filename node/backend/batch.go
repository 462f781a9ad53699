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
	// Ctx ends this item only; the other items continue.
	Ctx context.Context
	// Call has no Replica, Gate or OnRelease; those of the batch apply.
	Call Call
	// Done is called once with the item's outcome, possibly from another
	// goroutine. It must not block: that would delay the other items.
	Done func(Reply)
}

// Batch is one request that carries subrequests of different queries to one
// replica.
type Batch struct {
	Replica *config.Replica
	// Items holds at least one subrequest. DoBatch panics if one is non-idempotent.
	Items []Item
	// Gate and OnRelease apply to the batch as a whole, as in Call.
	Gate      func() bool
	OnRelease func()
}

// itemState is the progress of an item.
type itemState int

const (
	// itemPending has not been written to a connection.
	itemPending itemState = iota
	// itemWritten is part of a request that may have been sent.
	itemWritten
	// itemCancelled has its outcome; a reply that still arrives is dropped.
	itemCancelled
	// itemAnswered has its outcome; a further reply counts as mismatched.
	itemAnswered
)

type item struct {
	Item
	deadline time.Time
	state    itemState
}

// batch is the state of a Batch in flight.
type batch struct {
	started time.Time
	items   []*item

	// mu guards the fields below and the state of the items.
	mu        sync.Mutex
	byAttempt map[string]*item
	open      int
	cancelled int
	// pendingDone counts the items whose Done has not returned.
	pendingDone sync.WaitGroup
	// cancel ends the exchange once no item waits for a reply.
	cancel context.CancelFunc
}

// DoBatch sends the items in one exchange. It returns when the Done function of each
// item has returned and the exchange has ended or was abandoned. Like Do, it never
// sends a request twice. The reply is the outcome of the exchange as a whole.
func (c *Client) DoBatch(b Batch) Reply {
	onRelease := b.OnRelease
	if onRelease == nil {
		onRelease = func() {}
	}
	run := newBatch(b.Items)
	ctx, cancel := run.context()
	defer cancel()
	run.cancel = cancel
	for _, it := range run.items {
		stop := context.AfterFunc(it.Ctx, func() { run.cancelItem(it) })
		defer stop()
	}
	call := Call{Replica: b.Replica, Gate: b.Gate, batch: run, Attempt: run.items[0].Call.Attempt}
	reply := c.attempt(ctx, call, http.MethodPost, pathBatch, onRelease)
	run.completeOpen(reply)
	run.pendingDone.Wait()
	return reply
}

func newBatch(list []Item) *batch {
	b := &batch{
		started:   time.Now(),
		items:     make([]*item, 0, len(list)),
		byAttempt: make(map[string]*item, len(list)),
		open:      len(list),
	}
	b.pendingDone.Add(len(list))
	for _, i := range list {
		if i.Call.Execute {
			panic("backend: non-idempotent request in a batch")
		}
		it := &item{Item: i}
		it.deadline, _ = i.Ctx.Deadline()
		b.items = append(b.items, it)
		b.byAttempt[i.Call.Attempt] = it
	}
	return b
}

// context returns a context that ends with the latest deadline of the items.
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

// cancelItem ends one item. The exchange continues, since closing the connection
// would end the other items too. The backend server stops at the item's timeout.
func (b *batch) cancelItem(it *item) {
	b.finish(it, itemCancelled, Reply{
		Reason:   contextReason(it.Ctx),
		Evidence: pb.Evidence_EVIDENCE_UNKNOWN,
		Took:     time.Since(b.started),
	})
}

// completeItem sets the outcome of an item that has none.
func (b *batch) completeItem(it *item, reply Reply) {
	b.finish(it, itemAnswered, reply)
}

// finish sets the outcome and final state of an item that has none. Callers end
// their contexts after their replies, so an answered item is often cancelled
// afterwards. That must not cancel the exchange, whose reply is nearly complete.
func (b *batch) finish(it *item, final itemState, reply Reply) {
	b.mu.Lock()
	if it.state >= itemCancelled {
		b.mu.Unlock()
		return
	}
	if final == itemCancelled {
		b.cancelled++
		if it.state == itemPending {
			// The item is left out when the request is written.
			reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
		}
	}
	it.state = final
	b.open--
	// No item needs the rest of the reply.
	unwanted := b.open == 0 && b.cancelled > 0
	b.mu.Unlock()
	it.Done(reply)
	b.pendingDone.Done()
	if unwanted {
		b.cancel()
	}
}

// match returns the item that a reply belongs to, or nil for an unknown or
// repeated attempt ID.
func (b *batch) match(attempt string) *item {
	b.mu.Lock()
	defer b.mu.Unlock()
	it := b.byAttempt[attempt]
	if it == nil || it.state == itemAnswered || it.state == itemPending {
		return nil
	}
	return it
}

// openItems returns the items without an outcome.
func (b *batch) openItems() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*item
	for _, it := range b.items {
		if it.state < itemCancelled {
			list = append(list, it)
		}
	}
	return list
}

// completeOpen sets the outcome of the whole exchange on the items that are still
// open. Evidence "not run" is valid for each of them: it is reported only when no
// byte of the batch can have been sent, or when the server refused the batch.
func (b *batch) completeOpen(whole Reply) {
	for _, it := range b.openItems() {
		reply := whole
		reply.Result = nil
		b.completeItem(it, reply)
	}
}
