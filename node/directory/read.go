package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// callTimeout bounds the calls of Run and Register that do not wait for changes. A slow
// store answers within 250 ms.
const callTimeout = time.Second

// maxPageTimeout bounds the call of a page of which only a part arrived within a shorter one.
const maxPageTimeout = 4 * time.Second

// fullRead is a read of the whole store in progress. It outlives failed calls: in a large
// fleet, a read that began anew after each of them might never end.
type fullRead struct {
	began time.Time
	// cursor is that of the next page, and timeout bounds its call.
	cursor  string
	timeout time.Duration
	// first and last are the revisions of the first and of the newest page.
	first, last uint64
	// listed and upgrades hold the names of the records that were read.
	listed   map[Area]map[string]bool
	upgrades listedUpgrades
	// stored holds the keys of the records outside AreaReplicas.
	stored  map[string]bool
	changed bool
	pages   int
}

func newFullRead() *fullRead {
	return &fullRead{
		began: time.Now(), timeout: callTimeout, listed: make(map[Area]map[string]bool), upgrades: make(listedUpgrades), stored: make(map[string]bool),
	}
}

// add records that a record was listed. Other nodes list their removed records too: one may have
// been created and removed once more since, without their knowledge.
func (r *fullRead) add(record *Record) {
	if record.Removed {
		return
	}
	if r.listed[record.Area] == nil {
		r.listed[record.Area] = make(map[string]bool)
	}
	r.listed[record.Area][record.Name] = true
	if record.Area == AreaUpgrades {
		r.upgrades.add(*record)
	}
	if record.Stored.Key != "" {
		r.stored[record.Stored.Key] = true
	}
}

// read reads the whole store, or the rest of a read that a failed call has interrupted. One
// sequence of pages covers all areas, which needs fewer calls than one sequence for each
// area.
func (d *Directory) read(ctx context.Context) error {
	if d.reading == nil {
		d.reading = newFullRead()
	}
	r := d.reading
	for more := true; more; more = r.cursor != "" {
		page, err := d.readPage(ctx, r)
		if err != nil {
			return err
		}
		d.recordSuccess()
		d.applyPage(r, &page)
	}
	d.reading, d.outdated = nil, false
	d.readEnded(r)
	d.endRead(r)
	d.opts.Log.WithFields(logrus.Fields{
		"revision": r.first, "replicas": d.state.replicas.Len(), "took_ms": time.Since(r.began).Milliseconds(),
	}).Info("read the store")
	if r.last > r.first {
		late, err := d.catchUp(ctx)
		if err != nil {
			// The next watch applies the same changes.
			d.opts.Log.WithError(err).Info("changes during the read are not known yet")
		}
		r.changed = r.changed || late
	}
	d.synced.Store(true)
	d.setAsOf(r.began)
	d.updates.send()
	d.publish(r.changed || d.View() == nil)
	return nil
}

// endRead removes what a complete read did not list. Pages are not a snapshot: the watch
// continues from the revision of the first page; records that it repeats are no newer than
// those already applied.
func (d *Directory) endRead(r *fullRead) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	r.changed = d.removeUnlisted(r.listed, r.first) || r.changed
	r.changed = d.state.removeUnlistedUpgrades(r.upgrades, r.first) || r.changed
	d.state.journal.removeUnlisted(r.stored, r.first)
	d.state.revision = max(d.state.revision, r.first)
	if d.completeFrom == 0 {
		d.completeFrom = r.first
	}
	d.gapEnd = d.state.revision
}

// setRevision records that all changes up to a revision were applied.
func (d *Directory) setRevision(revision uint64) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.state.revision = max(d.state.revision, revision)
}

// endGap records that the state reflects a revision, and that records which were created and
// removed before it may be unknown to this node.
func (d *Directory) endGap(revision uint64) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.state.revision = max(d.state.revision, revision)
	d.gapEnd = d.state.revision
}

// applyPage applies the records of the next page. A node that has a view publishes what
// operators have changed at once: the pages of a large fleet's replicas take seconds.
func (d *Directory) applyPage(r *fullRead, page *Page) {
	if r.first == 0 {
		r.first = page.Revision
	}
	r.last = max(r.last, page.Revision)
	r.pages++
	r.cursor = page.NextCursor
	now := time.Now()
	operators := false
	for _, record := range page.Records {
		r.add(&record)
		changed := d.apply(now, record)
		r.changed = r.changed || changed
		operators = operators || changed && record.Area == AreaOperators
	}
	if operators && d.synced.Load() {
		d.updates.send()
		d.publish(true)
	}
}

// catchUp applies what was written while the pages were read. Without it, a node that
// accepts callers lacks replicas until its first watch returns.
func (d *Directory) catchUp(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := d.opts.Store.Watch(ctx, d.state.revision, 0)
	if missedChanges(err) != "" {
		// The next watch fails in the same way.
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := time.Now()
	for _, r := range page.Records {
		changed = d.apply(now, r) || changed
	}
	d.setRevision(page.Revision)
	return changed, nil
}

// readPage reads the next page. On a slow link a page may need more than the timeout of other
// calls, and each try with the same timeout would fail.
func (d *Directory) readPage(ctx context.Context, r *fullRead) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	page, err := d.opts.Store.Read(ctx, r.cursor)
	if errors.Is(err, ErrTooLarge) {
		r.timeout = min(2*r.timeout, maxPageTimeout)
	}
	return page, err
}

// removeUnlisted removes what a full read did not list. d.stateMu is held.
func (d *Directory) removeUnlisted(listed map[Area]map[string]bool, revision uint64) (changed bool) {
	now := time.Now()
	replicasRemoved := d.state.replicas.RemoveMissing(now, listed[AreaReplicas], revision, now.Before(d.outageGraceUntil))
	return d.removeUnlistedOthers(listed, revision) || replicasRemoved
}

// removeUnlistedOthers is removeUnlisted without the replicas. d.stateMu is held.
func (d *Directory) removeUnlistedOthers(listed map[Area]map[string]bool, revision uint64) (changed bool) {
	d.state.nodes.RemoveUnlisted(time.Now(), listed[AreaNodes], revision)
	return d.state.removeUnlistedExclusions(listed[AreaOperators], revision)
}
