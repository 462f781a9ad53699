package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/membership"
)

// watchLoop keeps one long poll open while this node is a watcher. Other nodes
// read the key rarely, in case that every watcher is cut off from the platform.
func (f *Fleet) watchLoop(ctx context.Context) {
	var after uint64
	retry := platformRetry
	for ctx.Err() == nil {
		if f.version() == 0 {
			// The start reads the platform itself.
			work.Sleep(ctx, f.jitter(startRetry))
			continue
		}
		var err error
		if f.IsWatcher() {
			after, err = f.watch(ctx, after)
		} else {
			err = f.slowPoll(ctx)
		}
		if err == nil {
			retry = platformRetry
			continue
		}
		if !work.Sleep(ctx, f.jitter(retry)) {
			return
		}
		retry = min(2*retry, maxPlatformRetry)
	}
}

// watch runs one long poll and returns the revision to wait past next.
func (f *Fleet) watch(ctx context.Context, after uint64) (uint64, error) {
	began := time.Now()
	f.stats.watches.Add(1)
	bounded, cancel := context.WithTimeout(ctx, watchWait)
	entry, err := f.opts.Platform.Watch(bounded, f.key, after)
	ended := bounded.Err() != nil && ctx.Err() == nil
	cancel()
	if ended {
		return f.readAfterWatch(ctx, after)
	}
	f.answered(err)
	if err != nil {
		return after, err
	}
	if !f.offerEntry(entry) {
		// Nothing new: the platform answers from the past. It may do so at once
		// each time, hence the spacing.
		work.Sleep(ctx, watchSpacing-time.Since(began))
	}
	return entry.Revision, nil
}

// readAfterWatch reads the key after a long poll that brought nothing. It tells
// silence from an outage. It also finds a change in a service that was restored
// from a backup and counts revisions from a lower number: a watch past the old
// number would wait for good.
func (f *Fleet) readAfterWatch(ctx context.Context, after uint64) (uint64, error) {
	entry, err := f.readEntry(ctx)
	if err != nil {
		return after, err
	}
	f.offerEntry(entry)
	return entry.Revision, nil
}

// offerEntry puts the configuration of an entry in force if it is newer.
func (f *Fleet) offerEntry(entry Entry) bool {
	raw, err := decode(entry)
	if err != nil {
		f.unlockAfter(func() { f.note("configuration refused", f.key, err.Error()) })
		return false
	}
	return f.offer(raw, "the platform")
}

func (f *Fleet) slowPoll(ctx context.Context) error {
	if !work.Sleep(ctx, f.jitter(f.timing.slowPoll)) {
		return ctx.Err()
	}
	if f.IsWatcher() {
		return nil
	}
	raw, err := f.readConfiguration(ctx)
	if raw != nil {
		f.offer(raw, "the platform")
	}
	return err
}

// readConfiguration reads the configuration that the platform holds.
func (f *Fleet) readConfiguration(ctx context.Context) (*pb.Configuration, error) {
	entry, err := f.readEntry(ctx)
	if err != nil {
		return nil, err
	}
	return decode(entry)
}

// readEntry reads the key once.
func (f *Fleet) readEntry(ctx context.Context) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	f.stats.reads.Add(1)
	entry, err := f.opts.Platform.Get(ctx, f.key)
	f.answered(err)
	return entry, err
}

func decode(entry Entry) (*pb.Configuration, error) {
	raw := &pb.Configuration{}
	if err := proto.Unmarshal(entry.Value, raw); err != nil {
		return nil, errors.Wrap(err, "damaged configuration in the platform")
	}
	return raw, nil
}

// answered notes whether the platform answered, and records when that changes.
func (f *Fleet) answered(err error) {
	up := err == nil || errors.Is(err, ErrNoConfiguration)
	if f.platformUp.Swap(up) == up {
		return
	}
	f.unlockAfter(func() {
		if up {
			f.note("platform reachable", f.key, "")
		} else {
			f.note("platform unreachable", f.key, err.Error())
		}
	})
}

// listLoop reads the VM list, which lags, now and then.
func (f *Fleet) listLoop(ctx context.Context) {
	for {
		interval := otherListInterval
		if f.IsWatcher() {
			interval = watcherListInterval
		}
		if !work.Sleep(ctx, f.jitter(interval)) {
			return
		}
		list := f.readList(ctx)
		if list == nil {
			continue
		}
		f.unlockAfter(func() { f.table.ApplyVMList(time.Now(), list) })
		f.joinStrangers(ctx, list)
	}
}

// readList returns nil when the platform does not answer.
func (f *Fleet) readList(ctx context.Context) []membership.ListedVM {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	f.stats.lists.Add(1)
	list, err := f.opts.Platform.VMs(ctx)
	f.answered(err)
	if err != nil {
		return nil
	}
	return list
}
