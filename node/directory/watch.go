package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/work"
)

const (
	// longestWait is how long the store may be silent to a watch, the pause before it
	// counted. A watch whose connection was forgotten on the way is noticed after
	// longestWait + watchSlack, inside the 4 s that nodes have after such a loss before
	// news is due again.
	longestWait = 3 * time.Second
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
	// its time, while its senders follow the store by themselves.
	retryWait = 500 * time.Millisecond
	// outageAfter is the silence of the store from which entries may have lapsed
	// because their replicas could not renew them, and doubtFor how long after the
	// store's return a missing entry counts as doubtful.
	outageAfter = 3800 * time.Millisecond
	doubtFor    = 2500 * time.Millisecond
)

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
	wait := longestWait
	if d.failing {
		wait = retryWait
	}
	last := d.reliedOn.Load()
	relied := last != nil && time.Since(*last) < reliedFor
	if relied && d.opts.UpdateBound > 0 {
		wait = min(wait, d.opts.UpdateBound-reaction)
	}
	wait = max(wait-time.Since(d.lastSuccess), minWait)
	if next := d.state.replicas.NextExpiry(); !next.IsZero() {
		wait = min(wait, max(time.Until(next), minWait))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return d.opts.Store.Watch(ctx, d.state.revision, wait)
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
