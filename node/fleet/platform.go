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

// watchLoop keeps one long poll open while this node is a watcher. Other nodes poll
// the key at the slow-poll interval, in case all watchers are partitioned from the
// platform.
func (f *Fleet) watchLoop(ctx context.Context) {
	var after uint64
	retry := platformRetry
	for ctx.Err() == nil {
		if f.configVersion() == 0 {
			// configurationLoop reads the platform until a configuration is in
			// force.
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

// watch runs one long poll and returns the revision for the next one.
func (f *Fleet) watch(ctx context.Context, after uint64) (uint64, error) {
	start := time.Now()
	f.stats.watches.Add(1)
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	entry, err := f.opts.Platform.Watch(watchCtx, f.key, after)
	timedOut := watchCtx.Err() != nil && ctx.Err() == nil
	cancel()
	if timedOut {
		return f.readAfterWatch(ctx, after)
	}
	f.recordPlatformResult(err)
	if err != nil {
		return after, err
	}
	if !f.offerEntry(entry) {
		// The entry has no newer configuration, for example because the platform
		// returns outdated data. The platform may answer immediately each time, so
		// the polls are spaced.
		work.Sleep(ctx, minWatchSpacing-time.Since(start))
	}
	return entry.Revision, nil
}

// readAfterWatch reads the key after a long poll that timed out. The read shows
// whether the platform is reachable. It also finds a change after the platform was
// restored from a backup with a lower revision. A watch past the earlier revision
// would not return such a change.
func (f *Fleet) readAfterWatch(ctx context.Context, after uint64) (uint64, error) {
	entry, err := f.readEntry(ctx)
	if err != nil {
		return after, err
	}
	f.offerEntry(entry)
	return entry.Revision, nil
}

// offerEntry puts the configuration of an entry in force if its version is higher,
// and reports whether it did.
func (f *Fleet) offerEntry(entry Entry) bool {
	raw, err := decodeConfiguration(entry)
	if err != nil {
		f.update(func() { f.queueEvent("configuration refused", f.key, err.Error()) })
		return false
	}
	return f.offerConfiguration(raw, "the platform")
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
		f.offerConfiguration(raw, "the platform")
	}
	return err
}

// readConfiguration reads the platform's configuration.
func (f *Fleet) readConfiguration(ctx context.Context) (*pb.Configuration, error) {
	entry, err := f.readEntry(ctx)
	if err != nil {
		return nil, err
	}
	return decodeConfiguration(entry)
}

func (f *Fleet) readEntry(ctx context.Context) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	f.stats.reads.Add(1)
	entry, err := f.opts.Platform.Get(ctx, f.key)
	f.recordPlatformResult(err)
	return entry, err
}

func decodeConfiguration(entry Entry) (*pb.Configuration, error) {
	raw := &pb.Configuration{}
	if err := proto.Unmarshal(entry.Value, raw); err != nil {
		return nil, errors.Wrap(err, "unmarshal configuration from the platform")
	}
	return raw, nil
}

// recordPlatformResult records whether the platform answered, and queues an event
// when that changes.
func (f *Fleet) recordPlatformResult(err error) {
	up := err == nil || errors.Is(err, ErrNoConfiguration)
	if f.platformUp.Swap(up) == up {
		return
	}
	f.update(func() {
		if up {
			f.queueEvent("platform reachable", f.key, "")
		} else {
			f.queueEvent("platform unreachable", f.key, err.Error())
		}
	})
}

// vmListLoop periodically reads the VM list, which may be outdated.
func (f *Fleet) vmListLoop(ctx context.Context) {
	for {
		interval := nonWatcherListInterval
		if f.IsWatcher() {
			interval = watcherListInterval
		}
		if !work.Sleep(ctx, f.jitter(interval)) {
			return
		}
		list := f.readVMList(ctx)
		if list == nil {
			continue
		}
		f.update(func() { f.table.ApplyVMList(time.Now(), list) })
		f.joinUnknownVM(ctx, list)
	}
}

// readVMList returns nil if the platform does not answer.
func (f *Fleet) readVMList(ctx context.Context) []membership.ListedVM {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	f.stats.lists.Add(1)
	list, err := f.opts.Platform.VMs(ctx)
	f.recordPlatformResult(err)
	if err != nil {
		return nil
	}
	return list
}
