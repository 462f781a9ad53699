package directory_test

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
)

var errAway = errors.New("connection refused")

// storeFake is the store in memory.
type storeFake struct {
	// mu guards the fields below.
	mu       sync.Mutex
	revision uint64
	items    map[string]directory.Record
	events   []directory.Record
	away     bool
	// reading is called before a page is read; may be nil.
	reading func(after string)
	// pageSize is the number of records in a page; 0 for all.
	pageSize int
	// silent makes watches wait without an end.
	silent bool
	// floor is the revision before which the history was dropped.
	floor uint64
	calls int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStoreFake() *storeFake {
	return &storeFake{revision: 1, items: make(map[string]directory.Record), changed: make(chan struct{})}
}

func (s *storeFake) put(r directory.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Revision = s.revision
	s.events = append(s.events, r)
	if r.Removed {
		delete(s.items, r.Name)
	} else {
		s.items[r.Name] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeFake) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeFake) Read(_ context.Context, after string) (directory.Page, error) {
	if s.reading != nil {
		s.reading(after)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return directory.Page{}, errAway
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

func (s *storeFake) Watch(ctx context.Context, after uint64, wait time.Duration) (directory.Page, error) {
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
		away, compacted, silent := s.away, after < s.floor, s.silent
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return directory.Page{}, ctx.Err()
		case away:
			return directory.Page{}, errAway
		case compacted:
			return directory.Page{}, directory.ErrCompacted
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

func (s *storeFake) Nodes(ctx context.Context) (directory.Page, error) {
	return s.Read(ctx, "")
}

func (s *storeFake) Register(context.Context, coordinator.Member, time.Duration) (uint64, error) {
	return 1, nil
}

func (s *storeFake) Renew(context.Context, uint64) error  { return nil }
func (s *storeFake) Revoke(context.Context, uint64) error { return nil }

func configuration(version uint64) directory.Record {
	return directory.Record{
		Area: directory.AreaOperators, Name: "config",
		Configuration: &route.Configuration{Version: version},
	}
}

func replica(id string) directory.Record {
	return directory.Record{
		Area: directory.AreaReplicas, Name: id,
		Replica: &registry.Replica{ID: id, Service: "timing", Address: "10.0.0.1:80"},
	}
}

func gone(id string) directory.Record {
	return directory.Record{Area: directory.AreaReplicas, Name: id, Removed: true}
}

// newsBound is the time within which news has to take effect.
const newsBound = 3 * time.Second

// follow runs a directory over the fake for the time of the test.
func follow(t *testing.T, s *storeFake) *directory.Directory {
	t.Helper()
	return followWith(t, s, nil)
}

// followWith is follow with a function that gets each new view.
func followWith(t *testing.T, s *storeFake, changed func(*directory.View)) *directory.Directory {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := directory.New(directory.Options{
		Store: s, Node: coordinator.Member{Node: "n1", Capacity: 1}, Log: log, UpdateBound: newsBound, Changed: changed,
	})
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

func usable(d *directory.Directory) int {
	if d.View() == nil {
		return 0
	}
	return len(d.View().Replicas["timing"])
}

// Operators take a replica away right after the store was down. Entries that vanish
// around an outage may be those of live replicas that could not renew them, so the
// replica stays in use; when two seconds have passed and it is still missing, it has
// left, and gets nothing more. Without the second half requests went to it for as
// long as nothing else changed in the store.
func TestReplicaThatVanishesAfterAnOutageIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(1))
		s.put(replica("r1"))
		s.put(replica("r2"))
		d := follow(t, s)
		time.Sleep(time.Second)
		c.Assert(usable(d), qt.Equals, 2)
		s.set(func() { s.away = true })
		time.Sleep(8 * time.Second)
		c.Assert(usable(d), qt.Equals, 2, qt.Commentf("what is known stays in use"))
		s.set(func() { s.away = false })
		time.Sleep(time.Second)
		s.put(gone("r1"))
		time.Sleep(time.Second)
		c.Assert(usable(d), qt.Equals, 2, qt.Commentf("it may come back"))
		time.Sleep(1500 * time.Millisecond)
		c.Assert(usable(d), qt.Equals, 1)
	})
}

// While the store runs, a vanished entry means that its replica leaves: it gets
// nothing more at once.
func TestReplicaThatVanishesIsDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(1))
		s.put(replica("r1"))
		d := follow(t, s)
		time.Sleep(5 * time.Second)
		s.put(gone("r1"))
		time.Sleep(300 * time.Millisecond)
		c.Assert(usable(d), qt.Equals, 0)
	})
}

// Entries lapse during an outage and are back within two seconds of the store's
// return: callers notice nothing.
func TestEntriesThatLapseDuringAnOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(1))
		s.put(replica("r1"))
		d := follow(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.away = true })
		time.Sleep(8 * time.Second)
		s.put(gone("r1"))
		s.set(func() { s.away = false })
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(usable(d), qt.Equals, 1)
		}
		s.put(replica("r1"))
		time.Sleep(10 * time.Second)
		c.Assert(usable(d), qt.Equals, 1)
	})
}

// The store forgets its history while a replica leaves and a version is accepted. The
// node reads everything anew and has both, and an older version changes nothing.
func TestForgottenHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(7))
		s.put(replica("r1"))
		s.put(replica("r2"))
		d := follow(t, s)
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.events = nil
		delete(s.items, "r1")
		s.revision += 5
		r := configuration(9)
		r.Revision = s.revision
		s.items["config"] = r
		s.floor = s.revision
		s.mu.Unlock()
		s.set(func() {})
		time.Sleep(time.Second)
		c.Assert(usable(d), qt.Equals, 1)
		c.Assert(d.View().Index.Version, qt.Equals, uint64(9))
		s.put(configuration(8))
		time.Sleep(time.Second)
		c.Assert(d.View().Index.Version, qt.Equals, uint64(9))
	})
}

// Following an idle store costs a call every two seconds, not one for each wake-up.
func TestIdleStoreIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(1))
		follow(t, s)
		time.Sleep(60 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		c.Assert(s.calls <= 3+34, qt.IsTrue, qt.Commentf("%d calls a minute", s.calls))
	})
}

// The store's connection to a node goes silent. Nodes that relay to it reach the store
// themselves, so that news must take effect for their callers within the bound: the node
// says that its news is old soon enough for them to go to others.
func TestSilentStoreIsNoticedInsideTheBoundWhereOthersRely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(1))
		d := follow(t, s)
		for range 50 {
			d.MarkReliedOn()
			time.Sleep(100 * time.Millisecond)
		}
		c.Assert(d.Stale(), qt.IsFalse)
		// The watch has just answered, so that the next one waits for all of its time.
		s.put(configuration(2))
		time.Sleep(20 * time.Millisecond)
		s.set(func() { s.silent = true })
		noticed := time.Duration(0)
		for began := time.Now(); !d.Stale(); noticed = time.Since(began) {
			d.MarkReliedOn()
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(noticed <= newsBound-500*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", noticed))
	})
}

// The store is silent for a while and comes back while a watch hangs that was sent during
// the outage. Others rely on the node's news, so that it has to notice soon.
func TestReturnOfTheStoreIsNoticedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(1))
		d := follow(t, s)
		time.Sleep(time.Second)
		s.set(func() { s.silent = true })
		time.Sleep(8 * time.Second)
		c.Assert(d.Stale(), qt.IsTrue)
		s.mu.Lock()
		s.silent = false
		s.mu.Unlock()
		// A call that hangs, the longest pause after it, and a watch that waits its time.
		time.Sleep(2900 * time.Millisecond)
		c.Assert(d.Stale(), qt.IsFalse)
	})
}

// News has just come, and the node pauses before it asks again. Meanwhile the connection
// to the store is forgotten on the way, so that the next watch is never answered. Nodes
// have 4 s after such a loss before news is due again: the pause must not add to the time
// until the loss is noticed.
func TestSilentStoreIsNoticedInTimeAfterNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.put(configuration(1))
		d := follow(t, s)
		time.Sleep(10 * time.Second)
		s.put(replica("r0"))
		time.Sleep(10 * time.Millisecond)
		s.put(replica("r1"))
		time.Sleep(10 * time.Millisecond)
		s.set(func() { s.silent = true })
		time.Sleep(3800 * time.Millisecond)
		c.Assert(d.Stale(), qt.IsTrue)
	})
}

// A node starts while a replica registers and the first configuration is written: after it
// has read the page that the replica would be in, and before it reads the one with the
// configuration. It must not take callers with a configuration whose replicas it does not
// know, or it refuses them.
func TestFirstViewHoldsWhatCameDuringTheReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStoreFake()
		s.pageSize = 1
		s.put(replica("b0"))
		s.put(replica("b1"))
		s.reading = func(after string) {
			if after == "b0" {
				s.put(replica("a0"))
				s.put(configuration(1))
			}
		}
		first := make(chan int, 1)
		followWith(t, s, func(v *directory.View) {
			select {
			case first <- len(v.Replicas["timing"]):
			default:
			}
		})
		c.Assert(<-first, qt.Equals, 3)
	})
}
