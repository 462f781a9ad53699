package directory

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
)

// Defaults of Options.
const (
	// defaultCallTimeout bounds every call but a watch. The store answers within
	// milliseconds, and within a quarter of a second when it is slow.
	defaultCallTimeout = time.Second
	// defaultWait is how long the store may be silent to a watch, the pause before it
	// counted. A watch whose connection was forgotten on the way is noticed after
	// defaultWait + watchSlack, inside the 4 s that nodes have after such a loss before
	// news is due again.
	defaultWait = 3 * time.Second
	watchSlack  = 600 * time.Millisecond
	// pace is the least time between two watch calls: the changes of a busy moment
	// come in one answer, and each call has its price.
	pace = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call; it is jittered
	// so that the nodes do not return all at once.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// reaction is what is left of the time within which news has to take effect when a
	// watch that waits is noticed to be silent: its slack, and half a second until the
	// nodes that rely on this one have gone to others.
	reaction = watchSlack + 600*time.Millisecond
	// minWait bounds a watch's wait from below.
	minWait = 500 * time.Millisecond
	// reliedFor is how long a node counts as relied on after another one's heartbeat.
	reliedFor = 5 * time.Second
	// staleAfter is how long the store may fail to answer before this node says that its
	// news is old: a lost answer or two are made good within it.
	staleAfter = 700 * time.Millisecond
	// retryWait is how long a watch waits while the store fails to answer. A watch that
	// was sent during an outage may never be answered, and holds this node up for all of
	// its time: coordinators were 2.2 s later than the store's return, and their senders
	// followed the store by themselves meanwhile.
	retryWait = 500 * time.Millisecond
	// outageAfter is the silence of the store from which entries may have lapsed
	// because their replicas could not renew them, and doubtFor how long after the
	// store's return a missing entry counts as doubtful.
	outageAfter = 3800 * time.Millisecond
	doubtFor    = 2500 * time.Millisecond
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
	// NewsBound is the time within which news has to take effect; 0 for no bound.
	NewsBound time.Duration
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

// RelyOn notes that another node relies on what this one knows. Its store may be in reach
// when this one's has gone silent, and it must not miss news for that.
func (d *Directory) RelyOn() {
	now := time.Now()
	d.reliedOn.Store(&now)
}

// Hurry asks the store at once instead of pausing between two watches, for a node that
// has heard of a newer version.
func (d *Directory) Hurry() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}

// View returns the newest view, or nil before one configuration is known.
func (d *Directory) View() *View { return d.view.Load() }

// Fleet returns the registered nodes that are known.
func (d *Directory) Fleet() coordinator.Fleet { return *d.fleet.Load() }

// Registered asks the store for the registered nodes. The answer may be seconds old.
func (d *Directory) Registered(ctx context.Context) (coordinator.Fleet, error) {
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

// read reads the store as a whole: all areas together, since each call has its price.
func (d *Directory) read(ctx context.Context) error {
	began := time.Now()
	var first, last uint64
	listed := make(map[Area]map[string]bool)
	changed := false
	for more, after := true, ""; more; more = after != "" {
		page, err := d.page(ctx, after)
		if err != nil {
			return err
		}
		d.succeeded()
		if first == 0 {
			first = page.Revision
		}
		last = max(last, page.Revision)
		now := time.Now()
		for _, r := range page.Records {
			if listed[r.Area] == nil {
				listed[r.Area] = make(map[string]bool)
			}
			listed[r.Area][r.Name] = true
			changed = d.take(now, r) || changed
		}
		after = page.More
	}
	changed = d.keep(listed, first) || changed
	// Pages are no snapshot: the watch goes on from the first of them, and what it
	// tells again is older or the same.
	d.state.revision = max(d.state.revision, first)
	if last > first {
		more, err := d.catchUp(ctx)
		if err != nil {
			return err
		}
		changed = changed || more
	}
	d.synced.Store(true)
	d.opts.Log.WithFields(logrus.Fields{
		"revision": first, "replicas": d.state.replicas.Len(), "took_ms": time.Since(began).Milliseconds(),
	}).Info("read the store")
	d.publish(changed || d.View() == nil)
	return nil
}

// catchUp takes what was written while the areas were read.
//
// Failure: the store holds more than a page, and replicas register while a starting node
// reads the others. Symptom: it takes callers, and refuses them for want of replicas until
// its first watch has answered.
func (d *Directory) catchUp(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	page, err := d.opts.Store.Watch(ctx, d.state.revision, 0)
	if errors.Is(err, ErrCompacted) {
		// The history went meanwhile too. The watch that follows says so again, and
		// everything is read anew.
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := time.Now()
	for _, r := range page.Records {
		changed = d.take(now, r) || changed
	}
	d.state.revision = max(d.state.revision, page.Revision)
	return changed, nil
}

func (d *Directory) page(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	return d.opts.Store.Read(ctx, after)
}

// keep drops what a complete reading did not list.
func (d *Directory) keep(listed map[Area]map[string]bool, revision uint64) (changed bool) {
	now := time.Now()
	d.state.nodes.KeepListed(now, listed[AreaNodes], revision)
	gone := d.state.replicas.RemoveMissing(now, listed[AreaReplicas], revision, now.Before(d.doubtfulTill))
	back := d.state.keepOut(listed[AreaOperators])
	return gone || back
}

// watch waits for changes and applies them.
func (d *Directory) watch(ctx context.Context) error {
	asked := time.Now()
	page, err := d.changes(ctx)
	if errors.Is(err, ErrCompacted) {
		d.opts.Log.WithField("revision", d.state.revision).Info("the store dropped its history: reading anew")
		d.synced.Store(false)
		return nil
	}
	if err != nil {
		return err
	}
	d.succeeded()
	now := time.Now()
	changed := false
	for _, r := range page.Records {
		changed = d.take(now, r) || changed
	}
	d.state.revision = max(d.state.revision, page.Revision)
	d.publish(changed)
	d.pause(ctx, time.Until(asked.Add(pace)))
	return nil
}

func (d *Directory) changes(ctx context.Context) (Page, error) {
	wait := defaultWait
	if d.failing {
		wait = retryWait
	}
	last := d.reliedOn.Load()
	relied := last != nil && time.Since(*last) < reliedFor
	if relied && d.opts.NewsBound > 0 {
		wait = min(wait, d.opts.NewsBound-reaction)
	}
	wait = max(wait-time.Since(d.lastSuccess), minWait)
	if next := d.state.replicas.NextExpiry(); !next.IsZero() {
		wait = min(wait, max(time.Until(next), minWait))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return d.opts.Store.Watch(ctx, d.state.revision, wait)
}

func (d *Directory) take(now time.Time, r Record) bool {
	if r.Fault != nil {
		d.opts.Log.WithError(r.Fault).WithFields(logrus.Fields{
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

// succeeded notes that the store answers.
func (d *Directory) succeeded() {
	now := time.Now()
	if d.failing {
		away := now.Sub(d.lastSuccess)
		if away >= outageAfter {
			d.doubtfulTill = now.Add(doubtFor)
		}
		d.opts.Log.WithField("away_ms", away.Milliseconds()).Info("the store answers again")
	}
	d.failing = false
	d.unheardSince.Store(nil)
	d.lastSuccess = now
	d.backoff = minBackoff
}

// failed pauses after a failed call; what is known stays in use.
func (d *Directory) failed(ctx context.Context, err error) {
	if !d.failing {
		d.opts.Log.WithError(err).WithField("revision", d.state.revision).Warn("the store does not answer: going on with what is known")
	}
	if !d.failing {
		last := d.lastSuccess
		d.unheardSince.Store(&last)
	}
	d.failing = true
	d.publish(false)
	work.Sleep(ctx, d.backoff/2+rand.N(d.backoff))
	d.backoff = min(2*d.backoff, maxBackoff)
}

// pause waits between two watches, unless somebody is in a hurry.
func (d *Directory) pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.hurry:
	}
}
