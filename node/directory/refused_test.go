package directory_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/policy/coordinator"
)

// Guards against a node that asks the store again and again for changes that are too large for one
// answer, and keeps an old configuration meanwhile.
func TestChangesTooLargeForOneAnswerAreLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.maxChanges = 3
		s.put(configurationRecord(1))
		d := follow(t, s)
		time.Sleep(time.Second)
		const newest = 12
		s.set(func() { s.unavailable = true })
		for v := uint64(2); v <= newest; v++ {
			s.put(configurationRecord(v))
			time.Sleep(400 * time.Millisecond)
		}
		s.set(func() { s.unavailable = false })
		time.Sleep(updateBound)
		c.Assert(d.View().Index.Version, qt.Equals, uint64(newest))
		s.put(configurationRecord(newest + 1))
		time.Sleep(updateBound)
		c.Assert(d.View().Index.Version, qt.Equals, uint64(newest+1))
	})
}

// Guards against a node on a slow link that asks for the same page again and again, because the page
// needs more than the timeout to arrive.
func TestPageOnSlowLinkIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.pageTime = 3700 * time.Millisecond
		s.put(configurationRecord(1))
		d := follow(t, s)
		time.Sleep(15 * time.Second)
		c.Assert(d.View(), qt.IsNotNil)
	})
}

// refusingStore refuses the first writes of a registration, after it has granted their leases.
type refusingStore struct {
	*fakeStore
	refusals int
	// registered is the lease of the registration; 0 without one. renewed is the last lease that
	// was renewed.
	leases, registered, renewed uint64
}

func (s *refusingStore) Register(context.Context, coordinator.Member, time.Duration) (uint64, error) {
	s.leases++
	if s.leases <= uint64(s.refusals) {
		return s.leases, errUnavailable
	}
	s.registered = s.leases
	return s.leases, nil
}

func (s *refusingStore) Renew(_ context.Context, lease uint64) error {
	s.renewed = lease
	return nil
}

// Guards against a node that renews a lease without a registration, because the store has granted
// the lease and refused the registration, and stays unregistered.
func TestRefusedRegistrationIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &refusingStore{fakeStore: newFakeStore(), refusals: 2}
		d := followAs(t, directory.Options{Store: s, Node: coordinator.Member{Node: "n1", Capacity: 1}})
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { d.Register(ctx) })
		time.Sleep(20 * time.Second)
		cancel()
		done.Wait()
		c.Check(s.registered, qt.Equals, uint64(3))
		c.Check(s.renewed, qt.Equals, uint64(3))
	})
}
