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

// read reads the whole store. One sequence of pages covers all areas, which needs fewer
// calls than one sequence for each area.
func (d *Directory) read(ctx context.Context) error {
	began := time.Now()
	var first, last uint64
	listed := make(map[Area]map[string]bool)
	upgrades := make(listedUpgrades)
	changed := false
	for more, cursor := true, ""; more; more = cursor != "" {
		page, err := d.readPage(ctx, cursor)
		if err != nil {
			return err
		}
		d.recordSuccess()
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
			if r.Area == AreaUpgrades {
				upgrades.add(r)
			}
			changed = d.apply(now, r) || changed
		}
		cursor = page.NextCursor
	}
	changed = d.removeUnlisted(listed, first) || changed
	changed = d.state.removeUnlistedUpgrades(upgrades, first) || changed
	// Pages are not a snapshot. The watch continues from the revision of the first page;
	// records that it repeats are no newer than those already applied.
	d.state.revision = max(d.state.revision, first)
	if last > first {
		late, err := d.catchUp(ctx)
		if err != nil {
			return err
		}
		changed = changed || late
	}
	d.synced.Store(true)
	d.opts.Log.WithFields(logrus.Fields{
		"revision": first, "replicas": d.state.replicas.Len(), "took_ms": time.Since(began).Milliseconds(),
	}).Info("read the store")
	d.publish(changed || d.View() == nil)
	return nil
}

// catchUp applies what was written while the pages were read. Without it, a node that
// accepts callers lacks replicas until its first watch returns.
func (d *Directory) catchUp(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := d.opts.Store.Watch(ctx, d.state.revision, 0)
	if errors.Is(err, ErrCompacted) {
		// The next watch fails in the same way, which causes another full read.
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := time.Now()
	for _, r := range page.Records {
		changed = d.apply(now, r) || changed
	}
	d.state.revision = max(d.state.revision, page.Revision)
	return changed, nil
}

func (d *Directory) readPage(ctx context.Context, cursor string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.opts.Store.Read(ctx, cursor)
}

// removeUnlisted removes what a full read did not list.
func (d *Directory) removeUnlisted(listed map[Area]map[string]bool, revision uint64) (changed bool) {
	now := time.Now()
	d.state.nodes.RemoveUnlisted(now, listed[AreaNodes], revision)
	replicasRemoved := d.state.replicas.RemoveMissing(now, listed[AreaReplicas], revision, now.Before(d.outageGraceUntil))
	exclusionsRemoved := d.state.removeUnlistedExclusions(listed[AreaOperators])
	return replicasRemoved || exclusionsRemoved
}
