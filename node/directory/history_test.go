package directory_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/directory"
)

// fillStore registers replicas that a read lists on many pages, each of which takes 20 ms.
func fillStore(s *fakeStore, replicas int) {
	s.put(configurationRecord(1))
	for i := range replicas {
		s.put(replicaRecord(fmt.Sprintf("r%05d", i)))
	}
	s.pageSize = 200
	s.beforeRead = func(string) { time.Sleep(20 * time.Millisecond) }
}

// Guards against a node of a large fleet that stops serving while the store loses its history
// faster than the node reads all records, and against a configuration that waits for the end
// of the read.
func TestNodeServesWhileHistoryIsLostRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		fillStore(s, 9700)
		d := follow(t, s)
		time.Sleep(5 * time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 9700)
		lost := time.Now()
		version := uint64(1)
		for time.Since(lost) < 17*time.Second {
			s.put(removedRecord(fmt.Sprintf("r%05d", version)))
			version++
			s.put(configurationRecord(version))
			s.set(func() { s.compactedBefore = s.revision })
			time.Sleep(500 * time.Millisecond)
			c.Assert(d.Synced(), qt.IsTrue)
			c.Assert(usableReplicas(d) > 9000, qt.IsTrue)
			if time.Since(lost) > 5*time.Second {
				c.Assert(d.View().Index.Version+10 >= version, qt.IsTrue, qt.Commentf("version %d of %d", d.View().Index.Version, version))
			}
		}
		time.Sleep(5 * time.Second)
		c.Assert(d.View().Index.Version, qt.Equals, version)
		c.Assert(usableReplicas(d), qt.Equals, 9700-int(version)+1)
	})
}

// Guards against a read that begins anew after each failed page and never ends.
func TestReadResumesAfterFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		fillStore(s, 9700)
		pages := 0
		s.beforeRead = func(string) {
			pages++
			time.Sleep(20 * time.Millisecond)
			s.set(func() { s.unavailable = pages%5 == 0 })
		}
		d := follow(t, s)
		time.Sleep(20 * time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 9700)
		c.Assert(pages < 80, qt.IsTrue, qt.Commentf("%d pages", pages))
		c.Assert(d.View() != nil && d.Synced(), qt.IsTrue)
	})
}

var _ directory.Store = (*fakeStore)(nil)
