package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/feed"
	"github.com/carobmill/carobmill/policy/quarantine"
)

// Options of a Directory.
type Options struct {
	Store Store
	// Node is the registration of this node.
	Node coordinator.Member
	Log  logrus.FieldLogger
	// RegisterAfter is how long the node follows the store before it registers. Without
	// the delay, a node that follows the store briefly reduces the other nodes' shares of
	// the fleet's budgets for as long as a removed registration still counts.
	RegisterAfter time.Duration
	// UpdateBound is the time within which store updates must take effect; 0 for no bound.
	UpdateBound time.Duration
	// AnswerBound is the time within which the store must answer for this node's view to stay
	// in use; 0 for no bound.
	AnswerBound time.Duration
	// ReadsPerSecond is the rate of reading calls that the store accepts from the fleet.
	ReadsPerSecond float64
	// History asks other nodes for changes whose history the store has lost; may be nil.
	History History
	// Feeds asks other nodes for changes, so that a node of a large fleet need not call the store
	// for them; nil if every node follows the store itself.
	Feeds Feeds
	// Prepare is called with each new view before View returns it; may be nil. Requests that are
	// served from a view require the replicas in it.
	Prepare func(*View)
	// Changed is called with each new view once View returns it, one call at a time; may be nil.
	Changed func(*View)
	// Quarantined is called with each quarantined request that is read, before the view that
	// follows it is published; may be nil.
	Quarantined func(quarantine.Fingerprint)
}

// Directory follows the store. Safe for concurrent use.
type Directory struct {
	opts  Options
	view  atomic.Pointer[View]
	fleet atomic.Pointer[coordinator.Fleet]
	// following is open while the node follows the store.
	following *gate
	synced    atomic.Bool
	// unansweredSince is the time of the store's last answer while calls to it fail; nil
	// while they succeed. A time.Time has a monotonic reading, so that changes of the VM's
	// wall clock do not affect it.
	unansweredSince atomic.Pointer[time.Time]
	// lastAnswer is the time of the store's last answer; nil before the first one.
	lastAnswer atomic.Pointer[time.Time]
	// readPages is the number of calls of the last full read.
	readPages atomic.Int64
	// reliedOn is the time of the last MarkReliedOn; nil before the first one.
	reliedOn atomic.Pointer[time.Time]
	// asOf is the time of the store's answer by which the view is complete; nil before the
	// first one.
	asOf atomic.Pointer[time.Time]
	// direct is set while the node follows the store itself, feedInUse names its feed while it
	// does not, and waiting is set while it waits for a watch of its partner.
	direct, waiting atomic.Bool
	feedInUse       atomic.Pointer[string]
	// followedAt is the time of the last question of a node that follows the store through this
	// one; nil before the first one.
	followedAt atomic.Pointer[time.Time]
	// updates wakes the questions of other nodes that this one holds.
	updates *broadcast
	// pollNow is signalled to end the pause between two watches.
	pollNow chan struct{}

	// stateMu guards state, completeFrom, gapEnd, outageGraceUntil and endWatch. Only the
	// goroutine of Run changes them.
	stateMu sync.Mutex
	state   *state
	// completeFrom is the revision from which the state holds all changes; 0 before the first
	// full read.
	completeFrom uint64
	// gapEnd is the revision of the last complete listing that this node has read or learned, at
	// most that of the state. Records that were created and removed before it may be unknown.
	gapEnd uint64
	// outageGraceUntil is the end of the time in which a removed replica stays usable for a
	// grace period.
	outageGraceUntil time.Time
	// endWatch ends a watch in progress, so that it begins anew; nil without one.
	endWatch context.CancelFunc

	// Only the goroutine of Run uses the fields below.
	// reading is the full read in progress; nil without one. outdated is set if the history
	// after the state's revision is lost, so that changes are missing until the next read.
	reading     *fullRead
	outdated    bool
	resync      resync
	lastSuccess time.Time
	failing     bool
	backoff     time.Duration
	// role is how the node follows the store, tracker the state of a follower, and turns that
	// of a feed.
	role    feed.Role
	tracker *feed.Tracker
	turns   turns
	// planned is the plan for plannedFor; nil before the first one.
	planned    *feed.Plan
	plannedFor plannedFor

	// feedBound is the least time within which updates must take effect or the store must
	// answer; 0 for no bound.
	feedBound time.Duration
}

// New returns a directory without a view. It does not follow the store until Follow(true).
func New(o Options) *Directory {
	d := &Directory{
		opts:      o,
		following: newGate(),
		updates:   newBroadcast(),
		pollNow:   make(chan struct{}, 1),
		state:     newState(),
		backoff:   minBackoff,
	}
	d.feedBound = o.UpdateBound
	if o.AnswerBound > 0 && (o.UpdateBound == 0 || o.AnswerBound < o.UpdateBound) {
		d.feedBound = o.AnswerBound
	}
	d.fleet.Store(&coordinator.Fleet{})
	return d
}

// Follow starts or stops following the store and the node's registration there. While
// stopped, the directory does not watch the store and has no view.
func (d *Directory) Follow(on bool) {
	if !d.following.set(on) {
		return
	}
	message := "following the store"
	if !on {
		message = "stopped following the store: coordinators follow it"
		d.view.Store(nil)
	}
	d.opts.Log.Info(message)
}

// Following reports whether the node follows the store.
func (d *Directory) Following() bool { return d.following.isOpen() }

// Synced reports whether the store has been read since following started. The store may
// hold no configuration yet.
func (d *Directory) Synced() bool { return d.synced.Load() }

// ReadPages returns the number of calls of the last full read of the store, 0 before it.
func (d *Directory) ReadPages() int { return int(d.readPages.Load()) }

// Stale reports whether the store has not answered for so long that updates may be missing.
func (d *Directory) Stale() bool {
	if d.feedInUse.Load() != nil {
		return time.Since(d.currentAsOf()) > feed.MaxAge(d.feedBound)
	}
	since := d.unansweredSince.Load()
	return since != nil && time.Since(*since) > staleAfter
}

// LastAnswer returns the time of the store's last answer; zero before the first one.
func (d *Directory) LastAnswer() time.Time {
	if at := d.lastAnswer.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// MarkReliedOn records that another node relies on this one for store updates. That node
// may still reach the store when this one does not, so this one then has to detect the
// loss of the store within UpdateBound.
func (d *Directory) MarkReliedOn() {
	now := time.Now()
	d.reliedOn.Store(&now)
}

// PollNow ends the pause between two watches, for a node that was notified of a newer
// version.
func (d *Directory) PollNow() {
	select {
	case d.pollNow <- struct{}{}:
	default:
	}
}

// View returns the newest view, or nil before the first configuration was read and while
// the node does not follow the store.
func (d *Directory) View() *View { return d.view.Load() }

// Fleet returns the registered nodes as of the last update.
func (d *Directory) Fleet() coordinator.Fleet { return *d.fleet.Load() }

// RegisteredNodes reads the registered nodes from the store. The result may be seconds old.
func (d *Directory) RegisteredNodes(ctx context.Context) (coordinator.Fleet, error) {
	page, err := d.opts.Store.Nodes(ctx)
	if err != nil {
		return coordinator.Fleet{}, err
	}
	f := coordinator.Fleet{Revision: page.Revision}
	for _, r := range page.Records {
		if r.Node != nil {
			f.Members = append(f.Members, *r.Node)
		}
	}
	return f, nil
}

// FleetSize returns the size of the fleet that shares the budgets, in units of this
// node's capacity.
func (d *Directory) FleetSize() float64 { return d.fleet.Load().SizeFor(d.opts.Node) }

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	d.lastSuccess = time.Now()
	for ctx.Err() == nil {
		if !d.following.isOpen() {
			d.waitSuspended(ctx)
			continue
		}
		var err error
		switch {
		case d.synced.Load() && !d.outdated:
			err = d.advance(ctx)
		case d.synced.Load():
			err = d.refresh(ctx)
		default:
			err = d.read(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.recordFailure(ctx, err)
		}
	}
}

// waitSuspended discards the view and waits until following starts again. The store is then
// read in full before a view is published, since the collected state is outdated.
func (d *Directory) waitSuspended(ctx context.Context) {
	d.synced.Store(false)
	d.reading, d.outdated, d.resync = nil, false, resync{}
	d.tracker, d.turns = nil, turns{}
	d.direct.Store(false)
	d.feedInUse.Store(nil)
	d.stateMu.Lock()
	d.completeFrom = 0
	d.stateMu.Unlock()
	d.failing = false
	d.unansweredSince.Store(nil)
	d.view.Store(nil)
	d.updates.send()
	d.following.wait(ctx, true)
	d.lastSuccess = time.Now()
}

func (d *Directory) apply(now time.Time, r Record) bool {
	if r.DecodeError != nil {
		d.opts.Log.WithError(r.DecodeError).WithFields(logrus.Fields{
			"record": r.Name, "revision": r.Revision,
		}).Warn("a record cannot be read")
	}
	if r.Quarantined != nil && d.opts.Quarantined != nil {
		d.opts.Quarantined(*r.Quarantined)
	}
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	if r.Stored.Key != "" {
		d.state.journal.put(r.Stored)
		d.completeFrom = max(d.completeFrom, d.state.journal.prune())
	}
	d.state.newest = max(d.state.newest, r.Revision)
	return d.state.apply(now, r, now.Before(d.outageGraceUntil))
}

// publish stores a new view if something changed, between the calls of Options.Prepare and
// Options.Changed.
func (d *Directory) publish(changed bool) {
	previous, v := d.View(), d.nextView(changed)
	if v == nil {
		return
	}
	if d.opts.Prepare != nil {
		d.opts.Prepare(v)
	}
	d.view.Store(v)
	if previous == nil || previous.Index.Version != v.Index.Version {
		d.opts.Log.WithFields(logrus.Fields{
			"version": v.Index.Version, "revision": v.Revision,
		}).Info("configuration in force")
		d.logAccountChanges(previous, v)
	}
	if d.opts.Changed != nil {
		d.opts.Changed(v)
	}
}

// nextView returns the view of the current state, or nil if nothing changed.
func (d *Directory) nextView(changed bool) *View {
	now := time.Now()
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	expired := d.state.replicas.Expire(now) || d.state.holdEnded(now)
	d.updateFleet(now)
	if d.state.index == nil || !changed && !expired || !d.following.isOpen() {
		return nil
	}
	return d.state.view(now)
}

// maxLoggedAccounts bounds the accounts of each kind of change in a log line.
const maxLoggedAccounts = 10

// logAccountChanges logs which accounts differ between two views. previous may be nil.
func (d *Directory) logAccountChanges(previous, v *View) {
	var before *account.Table
	if previous != nil {
		before = previous.Index.Accounts
	}
	changes := account.Compare(before, v.Index.Accounts)
	if changes.Empty() {
		return
	}
	fields := logrus.Fields{"version": v.Index.Version, "accounts": v.Index.Accounts.Len()}
	for kind, names := range map[string][]string{
		"added": changes.Added, "removed": changes.Removed, "keys": changes.Keys, "limits": changes.Limits,
	} {
		if len(names) > 0 {
			fields[kind] = names[:min(len(names), maxLoggedAccounts)]
			fields[kind+"_count"] = len(names)
		}
	}
	d.opts.Log.WithFields(fields).Info("accounts changed")
}

// updateFleet recomputes which nodes share the fleet's budgets. d.stateMu is held.
func (d *Directory) updateFleet(now time.Time) {
	next := d.state.nodes.Fleet(now)
	before := d.fleet.Swap(&next)
	if len(before.Members) != len(next.Members) {
		d.opts.Log.WithFields(logrus.Fields{
			"nodes": len(next.Members), "before": len(before.Members), "size": next.SizeFor(d.opts.Node),
		}).Info("the fleet has changed its size")
	}
}
