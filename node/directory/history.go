package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// fullReaders is the number of nodes that read the whole store again when its history is
	// lost. The others ask them for what has changed.
	fullReaders = 2
	// sharedReadCalls is the part of the calls that the store accepts in a second from which
	// full reads of all nodes are too many, so that nodes ask others instead.
	sharedReadCalls = 0.1
	// historyPatience is how long a node asks others before it reads the whole store itself,
	// and the time over which such reads are spread. A quarter of Options.UpdateBound limits
	// it, as it does maxReadSpacing.
	historyPatience = 3 * time.Second
	// historyTimeout bounds a question to another node, and historyRetry is the average time
	// between two rounds of questions: one to each reader and one to any node. A node that asked
	// one of them at a time would often miss the end of a read within its patience.
	historyTimeout = 400 * time.Millisecond
	historyRetry   = 300 * time.Millisecond
	roundQuestions = fullReaders + 1
	// Where nodes ask others, the next full read may begin once readSpacing times the duration
	// of the last one has passed, maxReadSpacing at most, so that a store that loses its
	// history all the time is not read all the time.
	readSpacing    = 10
	maxReadSpacing = 2 * time.Second
)

// ErrHistoryUnknown says that a node does not know all changes after a revision.
var ErrHistoryUnknown = errors.New("changes after the revision are not known")

// ReplicaChanges are the changes of replicas after a revision, as another node knows them.
type ReplicaChanges struct {
	// Revision is the one up to which the changes are complete.
	Revision uint64
	Changes  []registry.Change
	// Listing is set if the node may not know all removals. Replicas then holds the IDs of all
	// replicas at Revision, and a replica that is not among them is removed.
	Listing  bool
	Replicas []string
}

// History asks other nodes for changes whose history the store has lost.
type History interface {
	// ReplicaChanges returns the changes after a revision that a node knows. It fails with
	// ErrHistoryUnknown if that node does not know all of them.
	ReplicaChanges(ctx context.Context, from coordinator.Member, after uint64) (ReplicaChanges, error)
}

// ReplicaChanges returns the changes of replicas after a revision, or ErrHistoryUnknown. Safe
// for concurrent use.
func (d *Directory) ReplicaChanges(after uint64) (ReplicaChanges, error) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	if d.completeFrom != 0 && after >= d.state.revision {
		d.repeatWatch()
	}
	if d.completeFrom == 0 || after < d.completeFrom || after >= d.state.revision {
		return ReplicaChanges{}, ErrHistoryUnknown
	}
	c := ReplicaChanges{Revision: d.state.revision, Changes: d.state.replicas.ChangesAfter(after)}
	d.addListing(&c, after)
	return c, nil
}

// repeatWatch makes a watch in progress begin anew, and ends the pause before the next one: the
// history after a revision that this node has not passed is lost. A reader whose watch the store
// does not answer would learn that only at the watch's timeout, by which all nodes read the store
// themselves. d.stateMu is held.
func (d *Directory) repeatWatch() {
	if d.endWatch != nil {
		d.endWatch()
	}
	d.PollNow()
}

// setEndWatch sets or clears the function that ends the watch in progress.
func (d *Directory) setEndWatch(end context.CancelFunc) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.endWatch = end
}

// addListing lists all replicas for a node that may miss removals which this one does not know.
// d.stateMu is held.
func (d *Directory) addListing(c *ReplicaChanges, after uint64) {
	if after < d.gapEnd {
		c.Listing, c.Replicas = true, d.state.replicas.IDs()
	}
}

// resync is the state of a node that misses changes whose history the store has lost.
type resync struct {
	// began is when the loss was found, and patience how long the node asks others.
	began    time.Time
	patience time.Duration
	// nextRead is when the next full read may begin.
	nextRead time.Time
	// asked is the number of questions to other nodes since the loss.
	asked int
}

// withinBound limits a delay to a part of the time within which updates must take effect.
func (d *Directory) withinBound(delay time.Duration) time.Duration {
	if d.opts.UpdateBound > 0 {
		return min(delay, d.opts.UpdateBound/4)
	}
	return delay
}

// readEnded records a full read.
func (d *Directory) readEnded(r *fullRead) {
	spacing := d.withinBound(min(readSpacing*time.Since(r.began), maxReadSpacing))
	d.resync = resync{nextRead: time.Now().Add(spacing)}
	d.readPages.Store(int64(r.pages))
}

// sharesReads reports whether full reads of all nodes would take too many of the store's
// calls.
func (d *Directory) sharesReads() bool {
	calls := float64(len(d.Fleet().Members) * d.ReadPages())
	return d.opts.History != nil && calls >= sharedReadCalls*d.opts.ReadsPerSecond
}

// refresh learns the changes whose history the store has lost: from another node if full reads
// of all nodes are too many, else by a full read.
func (d *Directory) refresh(ctx context.Context) error {
	if d.reading == nil && d.sharesReads() {
		work.Sleep(ctx, time.Until(d.resync.nextRead))
		if from, ok := d.historySource(); ok {
			return d.refreshFrom(ctx, from)
		}
	}
	return d.read(ctx)
}

// historySource returns the node to ask next. It returns false if this node is to read the
// whole store itself.
func (d *Directory) historySource() (coordinator.Member, bool) {
	r := &d.resync
	if r.asked == 0 {
		patience := d.withinBound(historyPatience)
		r.patience = patience + rand.N(patience)
	}
	ranked := d.Fleet().Ranked()
	readers := ranked[:min(fullReaders, len(ranked))]
	for _, m := range readers {
		if m.Node == d.opts.Node.Node {
			return coordinator.Member{}, false
		}
	}
	if len(readers) == 0 || time.Since(r.began) > r.patience {
		return coordinator.Member{}, false
	}
	r.asked++
	if i := r.asked % roundQuestions; i != 0 {
		return readers[i%len(readers)], true
	}
	// Nodes that have asked a reader know the changes too.
	others := slices.DeleteFunc(ranked, func(m coordinator.Member) bool { return m.Node == d.opts.Node.Node })
	return others[rand.IntN(len(others))], true
}

// refreshFrom learns the changes of replicas from another node and reads the other areas,
// which are small. Without an answer it returns nil, so that another node is asked.
func (d *Directory) refreshFrom(ctx context.Context, from coordinator.Member) error {
	callCtx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	changes, err := d.opts.History.ReplicaChanges(callCtx, from, d.state.revision)
	if err != nil {
		if d.resync.asked%roundQuestions == 0 {
			work.Sleep(ctx, historyRetry/2+rand.N(historyRetry))
		}
		return nil
	}
	readCtx, cancelRead := context.WithTimeout(ctx, callTimeout)
	defer cancelRead()
	others, err := d.opts.Store.ReadOthers(readCtx)
	if err != nil {
		return err
	}
	d.recordSuccess()
	changed := d.applyChanges(&changes)
	changed = d.applyOthers(&others) || changed
	d.endGap(min(changes.Revision, others.Revision))
	d.updates.send()
	d.outdated = false
	d.resync.asked = 0
	d.resync.nextRead = time.Now().Add(d.withinBound(maxReadSpacing))
	d.opts.Log.WithFields(logrus.Fields{
		"from": from.Node, "revision": d.state.revision, "changes": len(changes.Changes),
		"took_ms": time.Since(d.resync.began).Milliseconds(),
	}).Info("learned the missing changes from another node")
	d.publish(changed)
	return nil
}

// applyChanges applies the changes of replicas.
func (d *Directory) applyChanges(c *ReplicaChanges) (changed bool) {
	now := time.Now()
	for i := range c.Changes {
		change := &c.Changes[i]
		record := Record{Area: AreaReplicas, Name: change.Replica.ID, Revision: change.Revision, Removed: change.Removed}
		if !change.Removed {
			record.Replica = &change.Replica
		}
		changed = d.apply(now, record) || changed
	}
	if c.Listing {
		changed = d.applyListing(now, c) || changed
	}
	return changed
}

// applyListing removes the replicas that another node's list lacks.
func (d *Directory) applyListing(now time.Time, c *ReplicaChanges) (changed bool) {
	listed := make(map[string]bool, len(c.Replicas))
	for _, id := range c.Replicas {
		listed[id] = true
	}
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	return d.state.replicas.RemoveMissing(now, listed, c.Revision, now.Before(d.outageGraceUntil))
}

// applyOthers applies a complete listing of all areas but that of the replicas.
func (d *Directory) applyOthers(page *Page) bool {
	r := newFullRead()
	d.applyPage(r, page)
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.state.journal.removeUnlisted(r.stored, page.Revision)
	changed := d.removeUnlistedOthers(r.listed, page.Revision) || r.changed
	return d.state.removeUnlistedUpgrades(r.upgrades, page.Revision) || changed
}
