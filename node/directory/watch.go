package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/feed"
)

const (
	// maxWatchWait bounds the time from the store's last answer to the end of the next
	// watch, the pause in between included. A watch on a connection that was lost silently
	// fails after maxWatchWait + watchTimeoutMargin, within the 4 s that a node has to
	// receive updates again after such a loss.
	maxWatchWait       = 3 * time.Second
	watchTimeoutMargin = 600 * time.Millisecond
	// minWatchInterval is the least time between the starts of two watches. It lets one
	// answer carry several changes. In larger fleets the time grows, so that all nodes
	// together begin fleetWatchRate watches a second, up to a quarter of
	// Options.UpdateBound.
	minWatchInterval = time.Second
	fleetWatchRate   = 30
	// promptAnswer is the longest time after which the store answers a watch without having
	// waited for changes.
	promptAnswer = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call, before jitter.
	// Without jitter all nodes call a recovered store at the same moment.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxFeedBackoff replaces maxBackoff at nodes through which others follow the store. They are
	// few, and all followers wait for them when the store is back.
	maxFeedBackoff = 600 * time.Millisecond
	// staleReactionTime is the part of Options.UpdateBound that follows the wait of an
	// unanswered watch: the watch's timeout margin, and the time in which the nodes that
	// rely on this one switch to other nodes.
	staleReactionTime = watchTimeoutMargin + 600*time.Millisecond
	minWatchWait      = 500 * time.Millisecond
	// relianceTTL is how long a node counts as relied on after another node's heartbeat.
	relianceTTL = 5 * time.Second
	// staleAfter is how long the store may fail to answer before the node reports itself
	// stale. One or two lost answers are retried within it.
	staleAfter = 700 * time.Millisecond
	// failingWatchWait is the wait of a watch while calls to the store fail. A watch sent
	// during an outage may never be answered, and delays the detection of the store's
	// recovery until its timeout.
	failingWatchWait = 500 * time.Millisecond
	// outageThreshold is the length of an outage of the store from which records may have
	// expired because replicas could not renew them. For outageGrace after such an outage,
	// a removed replica stays usable for registry.VanishedGrace.
	outageThreshold = 3800 * time.Millisecond
	outageGrace     = 2500 * time.Millisecond
)

// watch waits for changes and applies them, and then until the next watch may begin.
func (d *Directory) watch(ctx context.Context) error {
	started := time.Now()
	err := d.watchOnce(ctx)
	if err == nil && !d.outdated {
		d.pause(ctx, started.Add(d.watchInterval()))
	}
	return err
}

// watchOnce waits for changes and applies them.
func (d *Directory) watchOnce(ctx context.Context) error {
	asked := time.Now()
	page, err := d.nextChanges(ctx)
	if reason := missedChanges(err); reason != "" {
		d.opts.Log.WithField("revision", d.state.revision).Info(reason)
		d.outdated = true
		d.resync.began = time.Now()
		return nil
	}
	if err != nil {
		return err
	}
	d.recordSuccess()
	now := time.Now()
	changed := false
	d.state.changedAfter = d.changedAfter(asked, now)
	for _, r := range page.Records {
		changed = d.apply(now, r) || changed
	}
	d.state.changedAfter = time.Time{}
	d.setRevision(page.Revision)
	d.setAsOf(now)
	d.updates.send()
	d.publish(changed)
	return nil
}

// changedAfter returns the time after which the changes in an answer to a watch were written.
func (d *Directory) changedAfter(asked, answered time.Time) time.Time {
	if answered.Sub(asked) > promptAnswer {
		// The watch has waited for the first change.
		return answered
	}
	earliest := answered.Add(-d.watchInterval())
	if asOf := d.currentAsOf(); asOf.After(earliest) {
		return asOf
	}
	return earliest
}

// missedChanges returns why a watch can't learn the changes, so that a full read is required; empty
// if it can.
func missedChanges(err error) string {
	switch {
	case errors.Is(err, ErrCompacted):
		return "the store has compacted its history: changes are missing"
	case errors.Is(err, ErrTooLarge):
		return "the changes are too large for one answer of the store: it is read instead"
	}
	return ""
}

// watchInterval returns the least time between the starts of two watches.
func (d *Directory) watchInterval() time.Duration {
	if d.isFeed() {
		return minWatchInterval
	}
	spread := time.Duration(len(d.Fleet().Members)) * time.Second / fleetWatchRate
	return max(min(spread, d.opts.UpdateBound/4), minWatchInterval)
}

// isFeed reports whether other nodes follow the store through this one, or are to do so.
func (d *Directory) isFeed() bool {
	if d.role == feed.Feed {
		return true
	}
	last := d.followedAt.Load()
	return last != nil && time.Since(*last) < relianceTTL && d.opts.Feeds != nil
}

// backoffLimit returns the longest backoff before jitter.
func (d *Directory) backoffLimit() time.Duration {
	if d.isFeed() {
		return maxFeedBackoff
	}
	return maxBackoff
}

// isReliedOn reports whether another node has relied on this one recently.
func (d *Directory) isReliedOn() bool {
	last := d.reliedOn.Load()
	return last != nil && time.Since(*last) < relianceTTL
}

func (d *Directory) nextChanges(ctx context.Context) (Page, error) {
	wait, least, since := maxWatchWait, minWatchWait, d.lastSuccess
	if d.isFeed() {
		// Followers know the store's last answer by which the view was complete.
		wait, least, since = feed.Wait(d.feedBound), minFeedWatchWait, d.currentAsOf()
	}
	if d.failing {
		wait = min(wait, failingWatchWait)
	}
	if d.isReliedOn() && d.opts.UpdateBound > 0 {
		wait = min(wait, d.opts.UpdateBound-staleReactionTime)
	}
	if d.opts.AnswerBound > 0 {
		wait = min(wait, d.opts.AnswerBound-staleReactionTime)
	}
	wait = max(wait-time.Since(since), least)
	if next := d.state.replicas.NextExpiry(); !next.IsZero() {
		wait = min(wait, max(time.Until(next), 0))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return d.watchOrRepeat(ctx, wait)
}

// watchOrRepeat watches the store, once more if repeatWatch ends the watch. The second one has the
// rest of the time of the first, so that the store's silence is noticed no later.
func (d *Directory) watchOrRepeat(ctx context.Context, wait time.Duration) (Page, error) {
	until := time.Now().Add(wait)
	first, end := context.WithCancel(ctx)
	defer end()
	d.setEndWatch(end)
	page, err := d.opts.Store.Watch(first, d.state.revision, wait)
	d.setEndWatch(nil)
	if err == nil || errors.Is(err, ErrCompacted) || first.Err() == nil || ctx.Err() != nil {
		return page, err
	}
	return d.opts.Store.Watch(ctx, d.state.revision, max(time.Until(until), 0))
}

// pause waits between two watches, and removes the replicas whose grace period ends meanwhile.
// PollNow ends it.
func (d *Directory) pause(ctx context.Context, until time.Time) {
	for {
		end, expiry := until, d.state.replicas.NextExpiry()
		if !expiry.IsZero() && expiry.Before(end) {
			end = expiry
		}
		if !d.sleepUntil(ctx, end) || end.Equal(until) {
			return
		}
		d.publish(false)
	}
}

// sleepUntil returns false if ctx or PollNow has ended the wait.
func (d *Directory) sleepUntil(ctx context.Context, end time.Time) bool {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-d.pollNow:
		return false
	case <-timer.C:
		return true
	}
}

// recordSuccess records an answer of the store.
func (d *Directory) recordSuccess() {
	now := time.Now()
	if d.failing {
		outage := now.Sub(d.lastSuccess)
		if outage >= outageThreshold {
			d.setOutageGrace(now.Add(outageGrace))
		}
		d.opts.Log.WithField("away_ms", outage.Milliseconds()).Info("the store answers again")
	}
	d.failing = false
	d.unansweredSince.Store(nil)
	d.lastSuccess = now
	d.lastAnswer.Store(&now)
	d.backoff = minBackoff
}

// setOutageGrace makes replicas that are removed until a time usable for a grace period.
func (d *Directory) setOutageGrace(until time.Time) {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	d.outageGraceUntil = until
}

// recordFailure records a failed call and waits for the backoff. The view stays in use.
func (d *Directory) recordFailure(ctx context.Context, err error) {
	if !d.failing {
		d.opts.Log.WithError(err).WithField("revision", d.state.revision).Warn("the store does not answer: the last view stays in use")
	}
	if !d.failing {
		last := d.lastSuccess
		d.unansweredSince.Store(&last)
	}
	d.failing = true
	d.publish(false)
	work.Sleep(ctx, d.backoff/2+rand.N(d.backoff))
	d.backoff = min(2*d.backoff, d.backoffLimit())
}
