package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/feed"
)

const (
	// minFeedWatchWait is the shortest wait of a watch of a feed. It is short, since the store
	// must answer the followers before they leave the feed.
	minFeedWatchWait = 200 * time.Millisecond
	// turnsSuspension is how long a feed watches the store without turns after its partner has
	// missed one, or leaves the turns to its partner after the store has not answered itself.
	turnsSuspension = 10 * time.Second
	// turnMargin is how much longer than its wait a question to the partner may take.
	turnMargin = 100 * time.Millisecond
	// tiePause is the time until a feed asks again whose partner waits too. After that the one
	// that ranks first takes the turn.
	tiePause = 100 * time.Millisecond
	maxTies  = 2
)

// turns is the state of a feed that watches the store in turns with its partner.
type turns struct {
	// nextWatch is when the next watch of either may begin, and theirs is set if that is one of
	// the partner.
	nextWatch time.Time
	theirs    bool
	// resumeAt is when turns begin again after the partner has failed, and skipUntil when this
	// node takes turns again after the store has not answered it. suspended is set from the
	// failure of the partner to its next current answer.
	resumeAt, skipUntil time.Time
	suspended           bool
	// ties counts the questions in a row for which the partner waited for this node.
	ties int
}

// plannedFor is what a plan depends on.
type plannedFor struct {
	revision uint64
	nodes    int
	relied   bool
}

// plan returns how this node follows the store. It ranks the nodes only when they change.
func (d *Directory) plan() *feed.Plan {
	if d.opts.Feeds == nil {
		return &feed.Plan{}
	}
	fleet := d.Fleet()
	inputs := plannedFor{fleet.Revision, len(fleet.Members), d.isReliedOn()}
	if d.planned == nil || d.plannedFor != inputs {
		p := feed.NewPlan(d.opts.Node, fleet, inputs.relied, d.feedBound)
		d.planned, d.plannedFor = &p, inputs
	}
	return d.planned
}

// advance learns the next changes of the store.
func (d *Directory) advance(ctx context.Context) error {
	p := d.plan()
	d.role = p.Role
	if p.Role == feed.Follower {
		return d.follow(ctx, p)
	}
	d.tracker = nil
	d.setFeed("", "this node follows the store itself by its rank")
	d.direct.Store(true)
	if p.Role == feed.Feed {
		return d.takeTurn(ctx, p)
	}
	d.turns = turns{}
	return d.watch(ctx)
}

// FeedInUse returns the node through which this one follows the store; empty while it follows
// the store itself.
func (d *Directory) FeedInUse() string {
	if name := d.feedInUse.Load(); name != nil {
		return *name
	}
	return ""
}

// setFeed records the feed in use; empty for none. reason is why the feed before it is left.
func (d *Directory) setFeed(name, reason string) {
	before := d.FeedInUse()
	if before == name {
		return
	}
	fields := logrus.Fields{"revision": d.state.revision, "store_age_ms": time.Since(d.currentAsOf()).Milliseconds(), "before": before}
	if name == "" {
		d.feedInUse.Store(nil)
		d.opts.Log.WithFields(fields).WithField("reason", reason).Info("following the store itself instead of a feed")
		return
	}
	d.feedInUse.Store(&name)
	d.opts.Log.WithFields(fields).WithField("feed", name).Info("following the store through a feed")
}

// follow learns the next changes from a feed, or from the store while no feed has a current
// view.
func (d *Directory) follow(ctx context.Context, p *feed.Plan) error {
	if d.tracker == nil {
		d.tracker = feed.NewTracker(d.opts.Node, feed.Limits{
			Bound: d.feedBound, ReadsPerSecond: d.opts.ReadsPerSecond, Random: rand.Float64,
		})
	}
	step := d.tracker.Next(time.Now(), d.currentAsOf(), p)
	if step.Store {
		return d.followAlone(ctx)
	}
	work.Sleep(ctx, step.Pause)
	_, err := d.ask(ctx, step, FeedRequest{Wait: step.Wait})
	now := time.Now()
	if age := now.Sub(d.currentAsOf()); err == nil && !d.tracker.Accepts(age) {
		err = errors.Errorf("the store's last answer to the feed is %d ms old", age.Milliseconds())
	}
	if err != nil {
		if d.tracker.Failed(now, step.From.Node, p) {
			d.opts.Log.WithError(err).WithField("feed", step.From.Node).Info("the feed has no current view: asking others")
		}
		return nil
	}
	d.tracker.Succeeded(now, step.From.Node)
	d.direct.Store(false)
	d.setFeed(step.From.Node, "")
	return nil
}

// followAlone calls the store as a node without feeds does.
func (d *Directory) followAlone(ctx context.Context) error {
	if d.FeedInUse() != "" {
		if asOf := d.currentAsOf(); time.Since(asOf) > feed.MaxAge(d.feedBound) {
			d.unansweredSince.Store(&asOf)
		}
		d.setFeed("", "no feed has a current view")
	}
	d.direct.Store(true)
	err := d.watch(ctx)
	if err != nil {
		d.tracker.StoreFailed()
	}
	return err
}

// ask asks another node for the changes of the store and applies them. It fails if the node
// does not answer or does not follow the store itself.
func (d *Directory) ask(ctx context.Context, step feed.Step, r FeedRequest) (FeedChanges, error) {
	if next := d.state.replicas.NextExpiry(); !next.IsZero() {
		r.Wait = min(r.Wait, max(time.Until(next), 0))
	}
	r.After = d.state.revision
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	c, err := d.opts.Feeds.FeedChanges(callCtx, step.From, r)
	switch {
	case err != nil:
		d.publish(false)
		return c, err
	case !c.Serves:
		d.publish(false)
		return c, errors.New("the node does not follow the store itself")
	}
	d.applyFeed(asked, &c)
	return c, nil
}

// applyFeed applies the answer to a question that was asked at some time.
func (d *Directory) applyFeed(asked time.Time, c *FeedChanges) {
	now := time.Now()
	if grace := now.Add(c.OutageGrace); c.OutageGrace > 0 && grace.After(d.outageGraceUntil) {
		d.setOutageGrace(grace)
	}
	changed := d.applyChanges(&c.ReplicaChanges)
	others := Page{Revision: c.Revision}
	for _, stored := range c.Others {
		if r, ok := d.opts.Store.Decode(stored); ok {
			others.Records = append(others.Records, r)
		}
	}
	advanced := c.Revision > d.state.revision
	if c.Listing {
		changed = d.applyOthers(&others) || changed
		d.endGap(c.Revision)
	} else {
		for _, r := range others.Records {
			changed = d.apply(now, r) || changed
		}
		d.setRevision(c.Revision)
	}
	// All of the time that the question was under way counts as age: an answer that a paused
	// node delivers late must not make its view look current.
	underWay := max(now.Sub(asked)-c.Held, 0)
	asOf := now.Add(-max(c.Age, 0) - underWay)
	newer := d.setAsOf(asOf)
	if newer {
		d.recordPassedOn(asOf)
	}
	// A feed that reads the store again passes on records ahead of the revision.
	if newer || advanced || changed {
		d.updates.send()
	}
	d.publish(changed)
}

// recordPassedOn records an answer of the store to a feed.
func (d *Directory) recordPassedOn(asOf time.Time) {
	if asOf.After(d.lastSuccess) {
		d.lastSuccess = asOf
	}
	if asOf.After(d.LastAnswer()) {
		d.lastAnswer.Store(&asOf)
	}
	if time.Since(asOf) <= feed.MaxAge(d.feedBound) {
		d.failing = false
		d.unansweredSince.Store(nil)
		d.backoff = minBackoff
	}
}

// takeTurn watches the store, or learns the changes from the partner while that watches it.
func (d *Directory) takeTurn(ctx context.Context, p *feed.Plan) error {
	t := &d.turns
	if len(p.Feeds) == 0 || time.Now().Before(t.resumeAt) {
		t.theirs, t.ties = !p.First, 0
		err := d.watch(ctx)
		if err != nil {
			// The store may answer the partner, although it does not answer this node.
			t.theirs, t.resumeAt = true, time.Time{}
		}
		return err
	}
	if t.theirs || time.Now().Before(t.skipUntil) {
		return d.awaitPartner(ctx, p)
	}
	d.pause(ctx, t.nextWatch)
	err := d.watchOnce(ctx)
	t.theirs = true
	if err != nil {
		t.skipUntil = time.Now().Add(turnsSuspension)
		return err
	}
	t.answered(time.Now())
	return nil
}

// answered records that a watch of either feed has ended, so that two of them begin no sooner
// one after the other than those of a single node.
func (t *turns) answered(now time.Time) {
	next := t.nextWatch.Add(minWatchInterval)
	if next.Before(now) || next.After(now.Add(minWatchInterval)) {
		next = now
	}
	t.nextWatch = next
}

// awaitPartner learns the changes from the partner, until that has missed its turn.
func (d *Directory) awaitPartner(ctx context.Context, p *feed.Plan) error {
	t, before := &d.turns, d.currentAsOf()
	wait := max(feed.TakeoverAge(d.feedBound)-time.Since(before), 0)
	d.waiting.Store(true)
	c, err := d.ask(ctx, feed.Step{From: p.Feeds[0], Timeout: wait + turnMargin}, FeedRequest{Wait: wait, Turn: true})
	d.waiting.Store(false)
	switch {
	case err == nil && d.currentAsOf().After(before):
		if t.suspended {
			d.opts.Log.WithField("feed", p.Feeds[0].Node).Info("watching the store in turns with the other feed")
		}
		t.theirs, t.ties, t.suspended = false, 0, false
		t.answered(time.Now())
	case err == nil && c.Waiting && wait > 0:
		t.ties++
		if t.ties >= maxTies && p.First {
			t.theirs, t.ties = false, 0
			return nil
		}
		work.Sleep(ctx, tiePause)
	case err != nil || wait == 0:
		d.watchWithoutTurns(p, err)
	}
	return nil
}

// watchWithoutTurns makes this feed watch the store without turns for some time. err is why the
// partner has not answered; nil if its view is no newer.
func (d *Directory) watchWithoutTurns(p *feed.Plan, err error) {
	t := &d.turns
	t.resumeAt = time.Now().Add(turnsSuspension/2 + rand.N(turnsSuspension))
	t.skipUntil = time.Time{}
	if !t.suspended {
		d.opts.Log.WithError(err).WithField("feed", p.Feeds[0].Node).Info("watching the store without turns: the other feed's view of it is not current")
	}
	t.suspended = true
}
