package directory

import (
	"context"
	"sync"
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
)

// maxHold bounds how long a node holds a question of another one.
const maxHold = 5 * time.Second

// FeedRequest asks a node for the changes of the store after a revision.
type FeedRequest struct {
	After uint64
	// Wait is how long the node may hold the question until the store has answered it.
	Wait time.Duration
	// Turn is set if the sender is a feed that waits for the receiver's watch.
	Turn bool
}

// FeedChanges are the changes of the store after a revision, as another node knows them.
type FeedChanges struct {
	ReplicaChanges
	// Others are the records of the other areas.
	Others []StoredRecord
	// Serves is set if the node follows the store itself.
	Serves bool
	// Age is the time since the store gave the answer by which the node's view is complete,
	// and Held how long it has held the question.
	Age, Held time.Duration
	// OutageGrace is how much longer a removed replica stays usable for a grace period.
	OutageGrace time.Duration
	// Waiting is set if the node in its turn waits for the watch of its partner.
	Waiting bool
}

// Feeds asks other nodes for the changes of the store.
type Feeds interface {
	// FeedChanges fails with ErrHistoryUnknown if the node does not know all changes after the
	// revision.
	FeedChanges(ctx context.Context, from coordinator.Member, r FeedRequest) (FeedChanges, error)
}

// FeedChanges answers a node that follows the store through this one. Safe for concurrent use.
func (d *Directory) FeedChanges(ctx context.Context, r FeedRequest) (FeedChanges, error) {
	began := time.Now()
	d.followedAt.Store(&began)
	// If two feeds wait for each other, neither of them watches the store.
	waiting := r.Turn && d.waiting.Load()
	if d.direct.Load() && !waiting {
		d.awaitUpdate(ctx, r.After, min(r.Wait, maxHold))
	}
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	if d.completeFrom == 0 || r.After < d.completeFrom {
		return FeedChanges{}, ErrHistoryUnknown
	}
	now := time.Now()
	c := FeedChanges{
		ReplicaChanges: ReplicaChanges{Revision: d.state.revision},
		Serves:         d.direct.Load() && d.synced.Load(),
		Age:            now.Sub(d.currentAsOf()),
		Held:           now.Sub(began),
		OutageGrace:    max(d.outageGraceUntil.Sub(now), 0),
		Waiting:        waiting,
	}
	if r.After < max(d.state.newest, d.state.revision) {
		c.Changes, c.Others = d.state.replicas.ChangesAfter(r.After), d.state.journal.after(r.After)
	}
	if d.addListing(&c.ReplicaChanges, r.After); c.Listing {
		c.Others = d.state.journal.after(0)
	}
	return c, nil
}

// awaitUpdate waits until there are changes after a revision or the store has answered, at most
// for the given time.
func (d *Directory) awaitUpdate(ctx context.Context, after uint64, wait time.Duration) {
	// The channel is read first: an update between the two reads closes it.
	updated := d.updates.next()
	d.stateMu.Lock()
	known := d.state.revision > after
	d.stateMu.Unlock()
	if known || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// currentAsOf returns the time of the store's answer by which the view is complete, as passed
// on by a feed if there is one; zero before the first one.
func (d *Directory) currentAsOf() time.Time {
	if at := d.asOf.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// StoreAge returns the time since the store gave the answer by which the view is complete.
// known is false before the first one.
func (d *Directory) StoreAge() (age time.Duration, known bool) {
	at := d.asOf.Load()
	if at == nil {
		return 0, false
	}
	return max(time.Since(*at), 0), true
}

// setAsOf records that the view is complete as of a time, and reports whether that is newer.
func (d *Directory) setAsOf(at time.Time) bool {
	newer := at.After(d.currentAsOf())
	if newer {
		d.asOf.Store(&at)
	}
	return newer
}

// broadcast wakes all that wait for the next event. Safe for concurrent use.
type broadcast struct {
	// mu guards events.
	mu     sync.Mutex
	events chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{events: make(chan struct{})} }

// next returns a channel that is closed at the next event.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.events)
	b.events = make(chan struct{})
}
