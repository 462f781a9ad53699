package directory_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/policy/upgrade"
)

var errUnavailable = errors.New("connection refused")

// fakeStore is an in-memory store.
type fakeStore struct {
	// mu guards the fields below.
	mu       sync.Mutex
	revision uint64
	items    map[string]directory.Record
	events   []directory.Record
	// written holds the records outside AreaReplicas by revision.
	written     map[uint64]directory.Record
	unavailable bool
	// beforeRead is called before each page is read; may be nil.
	beforeRead func(after string)
	// pageSize is the number of records in a page; 0 for all.
	pageSize int
	// pageTime is how long a page needs to arrive.
	pageTime time.Duration
	// maxChanges is the number of changes that an answer to a watch may hold; 0 for all.
	maxChanges int
	// silent makes watches block until their context ends.
	silent bool
	// compactedBefore is the oldest revision from which a watch may continue.
	compactedBefore uint64
	// forgetful makes the store lose its history with each write.
	forgetful bool
	calls     int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, items: make(map[string]directory.Record), written: make(map[uint64]directory.Record), changed: make(chan struct{})}
}

// put writes records, which watches learn together.
func (s *fakeStore) put(records ...directory.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.revision++
		r.Revision = s.revision
		if r.Area != directory.AreaReplicas {
			r.Stored = directory.StoredRecord{Key: fmt.Sprintf("%d/%s", r.Area, r.Name), Revision: r.Revision, Removed: r.Removed}
			s.written[r.Revision] = r
		}
		s.events = append(s.events, r)
		if r.Removed {
			delete(s.items, r.Name)
		} else {
			s.items[r.Name] = r
		}
	}
	if s.forgetful {
		s.compactedBefore = s.revision
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Read(ctx context.Context, after string) (directory.Page, error) {
	if s.beforeRead != nil {
		s.beforeRead(after)
	}
	if s.pageTime > 0 {
		select {
		case <-time.After(s.pageTime):
		case <-ctx.Done():
			return directory.Page{}, directory.ErrTooLarge
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return directory.Page{}, errUnavailable
	}
	page := directory.Page{Revision: s.revision}
	for _, name := range slices.Sorted(maps.Keys(s.items)) {
		if name <= after {
			continue
		}
		if s.pageSize > 0 && len(page.Records) == s.pageSize {
			page.NextCursor = page.Records[len(page.Records)-1].Name
			break
		}
		page.Records = append(page.Records, s.items[name])
	}
	return page, nil
}

func (s *fakeStore) ReadOthers(context.Context) (directory.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return directory.Page{}, errUnavailable
	}
	page := directory.Page{Revision: s.revision}
	for _, r := range s.items {
		if r.Area != directory.AreaReplicas {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (s *fakeStore) Decode(r directory.StoredRecord) (directory.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Removed {
		area, name, _ := strings.Cut(r.Key, "/")
		return directory.Record{Area: directory.Area(area[0] - '0'), Name: name, Revision: r.Revision, Removed: true, Stored: r}, true
	}
	return s.written[r.Revision], s.written[r.Revision].Stored.Key == r.Key
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (directory.Page, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		page, changed := directory.Page{Revision: s.revision}, s.changed
		for _, r := range s.events {
			if r.Revision > after {
				page.Records = append(page.Records, r)
			}
		}
		unavailable, compacted, silent := s.unavailable, after < s.compactedBefore, s.silent
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return directory.Page{}, ctx.Err()
		case unavailable:
			return directory.Page{}, errUnavailable
		case compacted:
			return directory.Page{}, directory.ErrCompacted
		case s.maxChanges > 0 && len(page.Records) > s.maxChanges:
			return directory.Page{}, directory.ErrTooLarge
		case len(page.Records) > 0:
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return directory.Page{}, ctx.Err()
		}
	}
}

func (s *fakeStore) Nodes(ctx context.Context) (directory.Page, error) {
	return s.Read(ctx, "")
}

func (s *fakeStore) Register(context.Context, coordinator.Member, time.Duration) (uint64, error) {
	return 1, nil
}

func (s *fakeStore) Renew(context.Context, uint64) error { return nil }
func (s *fakeStore) Quarantine(context.Context, quarantine.Fingerprint, time.Duration) error {
	return nil
}

func (s *fakeStore) Revoke(context.Context, uint64) error { return nil }
func (s *fakeStore) LeadUpgrade(context.Context, upgrade.Record, string, time.Duration) (term, lease uint64, err error) {
	return 0, 0, nil
}

func (s *fakeStore) EndUpgrade(context.Context, upgrade.Record, upgrade.State) error { return nil }

func configurationRecord(version uint64) directory.Record {
	return directory.Record{
		Area: directory.AreaOperators, Name: "config",
		Configuration: &route.Configuration{Version: version},
	}
}

func replicaRecord(id string) directory.Record {
	return directory.Record{
		Area: directory.AreaReplicas, Name: id,
		Replica: &registry.Replica{ID: id, Service: "timing", Address: "10.0.0.1:80"},
	}
}

func removedRecord(id string) directory.Record {
	return directory.Record{Area: directory.AreaReplicas, Name: id, Removed: true}
}

const updateBound = 3 * time.Second

// follow runs a directory over the fake store for the duration of the test.
func follow(t *testing.T, s *fakeStore) *directory.Directory {
	t.Helper()
	return followWithCallback(t, s, nil)
}

// followWithCallback is follow with a function that receives each new view.
func followWithCallback(t *testing.T, s *fakeStore, changed func(*directory.View)) *directory.Directory {
	t.Helper()
	return followAs(t, directory.Options{Store: s, Node: coordinator.Member{Node: "n1", Capacity: 1}, UpdateBound: updateBound, Changed: changed})
}

// followAs runs a directory for the duration of the test.
func followAs(t *testing.T, o directory.Options) *directory.Directory {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Log = log
	d := directory.New(o)
	d.Follow(true)
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return d
}

func usableReplicas(d *directory.Directory) int {
	if d.View() == nil {
		return 0
	}
	return len(d.View().Replicas["timing"])
}

// Guards against sending requests to a replica that was removed right after an outage of
// the store, once the grace period for replicas that could not renew their records is over.
func TestReplicaRemovedAfterStoreOutageIsDroppedAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		s.put(replicaRecord("r1"))
		s.put(replicaRecord("r2"))
		d := follow(t, s)
		time.Sleep(time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 2)
		s.set(func() { s.unavailable = true })
		time.Sleep(8 * time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 2, qt.Commentf("the last view must stay in use during an outage"))
		s.set(func() { s.unavailable = false })
		time.Sleep(time.Second)
		s.put(removedRecord("r1"))
		time.Sleep(time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 2, qt.Commentf("a removed replica must stay usable within the grace period"))
		time.Sleep(1500 * time.Millisecond)
		c.Assert(usableReplicas(d), qt.Equals, 1)
	})
}

// Guards against a replica that stays usable beyond its grace period until the next watch
// ends, which other changes of the store put off.
func TestGraceOfRemovedReplicaEndsBetweenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		s.put(replicaRecord("r1"))
		d := follow(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.unavailable = true })
		time.Sleep(8 * time.Second)
		s.set(func() { s.unavailable = false })
		recovered := time.Now()
		for !d.LastAnswer().After(recovered) {
			time.Sleep(10 * time.Millisecond)
		}
		// The pause after that answer is over, so that the node learns of the removal at once.
		time.Sleep(1100 * time.Millisecond)
		s.put(removedRecord("r1"))
		removedAt := time.Now()
		for i := 0; usableReplicas(d) > 0; i++ {
			time.Sleep(10 * time.Millisecond)
			// The grace period ends in the pause after the watch that the first change ends.
			if i >= 150 && i%10 == 0 {
				s.put(configurationRecord(uint64(2 + i)))
			}
			c.Assert(time.Since(removedAt) < registry.VanishedGrace+20*time.Millisecond, qt.IsTrue)
		}
	})
}

// Guards against a grace period for removed replicas while the store is available.
func TestRemovedReplicaIsDroppedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		s.put(replicaRecord("r1"))
		d := follow(t, s)
		time.Sleep(5 * time.Second)
		s.put(removedRecord("r1"))
		time.Sleep(300 * time.Millisecond)
		c.Assert(usableReplicas(d), qt.Equals, 0)
	})
}

// Guards against dropping a live replica whose record expired during an outage of the
// store and is written again within two seconds of the store's recovery.
func TestReplicaExpiredDuringStoreOutageStaysUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		s.put(replicaRecord("r1"))
		d := follow(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.unavailable = true })
		time.Sleep(8 * time.Second)
		s.put(removedRecord("r1"))
		s.set(func() { s.unavailable = false })
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(usableReplicas(d), qt.Equals, 1)
		}
		s.put(replicaRecord("r1"))
		time.Sleep(10 * time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 1)
	})
}

// Guards against missing a removed replica or a new configuration when the store compacts
// its history, and against an older version replacing a newer one.
func TestCompactedHistoryCausesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(7))
		s.put(replicaRecord("r1"))
		s.put(replicaRecord("r2"))
		d := follow(t, s)
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.events = nil
		delete(s.items, "r1")
		s.revision += 5
		r := configurationRecord(9)
		r.Revision = s.revision
		s.items["config"] = r
		s.compactedBefore = s.revision
		s.mu.Unlock()
		s.set(func() {})
		time.Sleep(time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 1)
		c.Assert(d.View().Index.Version, qt.Equals, uint64(9))
		s.put(configurationRecord(8))
		time.Sleep(time.Second)
		c.Assert(d.View().Index.Version, qt.Equals, uint64(9))
	})
}

// Guards against polling an idle store more often than about every two seconds.
func TestIdleStoreGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		follow(t, s)
		time.Sleep(60 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		c.Assert(s.calls <= 3+34, qt.IsTrue, qt.Commentf("%d calls in a minute", s.calls))
	})
}

// Guards against late detection of a silent store by a node that others rely on: it must
// report itself stale early enough for them to switch to other nodes within the bound.
func TestSilentStoreIsStaleWithinUpdateBoundWhenReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		d := follow(t, s)
		for range 50 {
			d.MarkReliedOn()
			time.Sleep(100 * time.Millisecond)
		}
		c.Assert(d.Stale(), qt.IsFalse)
		// The watch has just returned, so that the next one waits for its full time.
		s.put(configurationRecord(2))
		time.Sleep(20 * time.Millisecond)
		s.set(func() { s.silent = true })
		detected := time.Duration(0)
		for began := time.Now(); !d.Stale(); detected = time.Since(began) {
			d.MarkReliedOn()
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(detected <= updateBound-500*time.Millisecond, qt.IsTrue, qt.Commentf("stale after %s", detected))
	})
}

// Guards against late detection of the store's recovery while a watch that was sent during
// the outage gets no answer.
func TestStoreRecoveryEndsStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		d := follow(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.silent = true })
		time.Sleep(8 * time.Second)
		c.Assert(d.Stale(), qt.IsTrue)
		s.mu.Lock()
		s.silent = false
		s.mu.Unlock()
		// An unanswered watch, the longest backoff after it, and a watch that waits its full time.
		time.Sleep(2900 * time.Millisecond)
		c.Assert(d.Stale(), qt.IsFalse)
	})
}

// Guards against a pause between watches that delays the detection of a lost connection:
// a node has 4 s after such a loss to receive updates again.
func TestPauseAfterUpdateDoesNotDelayStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		d := follow(t, s)
		time.Sleep(10 * time.Second)
		s.put(replicaRecord("r0"))
		time.Sleep(10 * time.Millisecond)
		s.put(replicaRecord("r1"))
		time.Sleep(10 * time.Millisecond)
		s.set(func() { s.silent = true })
		time.Sleep(3800 * time.Millisecond)
		c.Assert(d.Stale(), qt.IsTrue)
	})
}

// Guards against a first view that lacks a replica which registered between the reads of
// two pages: the node would refuse requests for it.
func TestFirstViewIncludesChangesDuringInitialRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.pageSize = 1
		s.put(replicaRecord("b0"))
		s.put(replicaRecord("b1"))
		s.beforeRead = func(after string) {
			if after == "b0" {
				s.put(replicaRecord("a0"))
				s.put(configurationRecord(1))
			}
		}
		first := make(chan int, 1)
		followWithCallback(t, s, func(v *directory.View) {
			select {
			case first <- len(v.Replicas["timing"]):
			default:
			}
		})
		c.Assert(<-first, qt.Equals, 3)
	})
}

// Guards against requests that are served from a view before the node is prepared for it.
func TestViewIsUsedOnceItIsPrepared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		s.put(replicaRecord("r1"))
		var prepared atomic.Int64
		d := followAs(t, directory.Options{
			Store: s, Node: coordinator.Member{Node: "n1", Capacity: 1}, UpdateBound: updateBound,
			Prepare: func(v *directory.View) {
				time.Sleep(100 * time.Millisecond)
				prepared.Store(int64(len(v.Replicas["timing"])))
			},
		})
		for i := range 300 {
			time.Sleep(10 * time.Millisecond)
			c.Assert(int64(usableReplicas(d)) <= prepared.Load(), qt.IsTrue, qt.Commentf("the view is in use before it is prepared"))
			if i == 100 {
				s.put(replicaRecord("r2"))
			}
		}
		c.Assert(usableReplicas(d), qt.Equals, 2)
	})
}
