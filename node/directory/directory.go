package directory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/policy/coordinator"
)

// Options of a Directory.
type Options struct {
	Store Store
	// Node is this one, as it registers.
	Node coordinator.Member
	Log  logrus.FieldLogger
	// RegisterAfter is how long the node has to follow the store before it registers, so
	// that one that does so for a moment does not shrink the others' parts of the fleet's
	// budgets for as long as a vanished node counts.
	RegisterAfter time.Duration
	// UpdateBound is the time within which news has to take effect; 0 for no bound.
	UpdateBound time.Duration
	// Changed is called with each new view, one at a time; may be nil.
	Changed func(*View)
}

// Directory follows the store. Safe for concurrent use.
type Directory struct {
	opts  Options
	view  atomic.Pointer[View]
	fleet atomic.Pointer[coordinator.Fleet]
	// following is open while the node follows the store and is registered.
	following *gate
	synced    atomic.Bool
	// unheardSince is the store's last answer while calls to it fail; nil while they do
	// not. Kept as a time and not as a number, which would follow the VM's time of day
	// when that jumps.
	unheardSince atomic.Pointer[time.Time]
	// reliedOn is when another node was last heard to rely on this one; nil for never.
	reliedOn atomic.Pointer[time.Time]
	// hurry is signalled to end the pause between two watches.
	hurry chan struct{}

	// The rest belongs to the goroutine of Run.
	state        *state
	lastSuccess  time.Time
	failing      bool
	doubtfulTill time.Time
	backoff      time.Duration
}

// New returns a directory that knows nothing yet.
func New(o Options) *Directory {
	d := &Directory{
		opts:      o,
		following: newGate(),
		hurry:     make(chan struct{}, 1),
		state:     newState(),
		backoff:   minBackoff,
	}
	d.fleet.Store(&coordinator.Fleet{})
	return d
}

// Follow makes the node follow the store and register there, or rest: then it calls the
// store no more and knows nothing.
func (d *Directory) Follow(on bool) {
	if !d.following.set(on) {
		return
	}
	message := "following the store"
	if !on {
		message = "resting: coordinators follow the store"
		d.view.Store(nil)
	}
	d.opts.Log.Info(message)
}

// Following reports whether the node follows the store.
func (d *Directory) Following() bool { return d.following.isOpen() }

// Synced reports whether the store was read since the node follows it. There may be no
// configuration in it yet.
func (d *Directory) Synced() bool { return d.synced.Load() }

// Stale reports whether the store has not answered for so long that news may be missing.
func (d *Directory) Stale() bool {
	since := d.unheardSince.Load()
	return since != nil && time.Since(*since) > staleAfter
}

// MarkReliedOn notes that another node relies on what this one knows. Its store may be in reach
// when this one's has gone silent, and it must not miss news for that.
func (d *Directory) MarkReliedOn() {
	now := time.Now()
	d.reliedOn.Store(&now)
}

// PollNow asks the store at once instead of pausing between two watches, for a node that
// has heard of a newer version.
func (d *Directory) PollNow() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}

// View returns the newest view, or nil before one configuration is known.
func (d *Directory) View() *View { return d.view.Load() }

// Fleet returns the registered nodes that are known.
func (d *Directory) Fleet() coordinator.Fleet { return *d.fleet.Load() }

// RegisteredNodes asks the store for the registered nodes. The answer may be seconds old.
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

// FleetSize returns the size of the fleet that shares its budgets, in units of this
// node.
func (d *Directory) FleetSize() float64 { return d.fleet.Load().SizeFor(d.opts.Node) }

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	d.lastSuccess = time.Now()
	for ctx.Err() == nil {
		if !d.following.isOpen() {
			d.rest(ctx)
			continue
		}
		var err error
		if d.synced.Load() {
			err = d.watch(ctx)
		} else {
			err = d.read(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.failed(ctx, err)
		}
	}
}

// rest waits until the store is to be followed again. What is known by then is old, so
// that it is read anew before anything is published.
func (d *Directory) rest(ctx context.Context) {
	d.synced.Store(false)
	d.failing = false
	d.unheardSince.Store(nil)
	d.view.Store(nil)
	d.following.wait(ctx, true)
	d.lastSuccess = time.Now()
}

func (d *Directory) take(now time.Time, r Record) bool {
	if r.DecodeError != nil {
		d.opts.Log.WithError(r.DecodeError).WithFields(logrus.Fields{
			"record": r.Name, "revision": r.Revision,
		}).Warn("a record cannot be read: passed over")
	}
	return d.state.take(now, r, now.Before(d.doubtfulTill))
}

// publish makes a new view if something changed.
func (d *Directory) publish(changed bool) {
	now := time.Now()
	expired := d.state.replicas.Expire(now)
	d.countNodes(now)
	if d.state.index == nil || !changed && !expired || !d.following.isOpen() {
		return
	}
	previous := d.View()
	v := d.state.view(now)
	d.view.Store(v)
	if previous == nil || previous.Index.Version != v.Index.Version {
		d.opts.Log.WithFields(logrus.Fields{
			"version": v.Index.Version, "revision": v.Revision,
		}).Info("configuration in force")
	}
	if d.opts.Changed != nil {
		d.opts.Changed(v)
	}
}

// countNodes works out which nodes share the fleet's budgets.
func (d *Directory) countNodes(now time.Time) {
	next := d.state.nodes.Fleet(now)
	before := d.fleet.Swap(&next)
	if len(before.Members) != len(next.Members) {
		d.opts.Log.WithFields(logrus.Fields{
			"nodes": len(next.Members), "before": len(before.Members), "size": next.SizeFor(d.opts.Node),
		}).Info("the fleet has changed its size")
	}
}
