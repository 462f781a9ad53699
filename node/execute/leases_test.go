package execute

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/platform"
)

// slowLeases grants leases with rising IDs, each after a millisecond.
type slowLeases struct {
	Leases
	granted atomic.Uint64
}

func (s *slowLeases) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	time.Sleep(time.Millisecond)
	return platform.LeaseID(s.granted.Add(1)), nil
}

// Guards against a grant for each of the completions that come while no lease is usable.
func TestConcurrentCompletionsShareOneGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leases := &slowLeases{}
		cache := newLeaseCache(leases, time.Hour)
		getAll := func(want platform.LeaseID) {
			var completions sync.WaitGroup
			for range 8 {
				completions.Go(func() { c.Check(cache.get(t.Context(), time.Now()), qt.Equals, want) })
			}
			completions.Wait()
		}
		getAll(1)
		cache.invalidate(1)
		getAll(2)
		time.Sleep(time.Hour)
		getAll(3)
	})
}
