package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// callTimeout bounds every call but a watch. The store answers within milliseconds, and
// within a quarter of a second when it is slow.
const callTimeout = time.Second

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
		after = page.NextCursor
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

// catchUp takes what was written while the areas were read, in several pages: a node that
// takes callers without it lacks replicas until its first watch has answered.
func (d *Directory) catchUp(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.opts.Store.Read(ctx, after)
}

// keep drops what a complete reading did not list.
func (d *Directory) keep(listed map[Area]map[string]bool, revision uint64) (changed bool) {
	now := time.Now()
	d.state.nodes.RemoveUnlisted(now, listed[AreaNodes], revision)
	gone := d.state.replicas.RemoveMissing(now, listed[AreaReplicas], revision, now.Before(d.doubtfulTill))
	back := d.state.keepOut(listed[AreaOperators])
	return gone || back
}
