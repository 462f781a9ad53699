package platform_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/platform"
	standin "github.com/carobmill/carobmill/standin/platform"
)

const ampleCallsPerSecond = 1000

func startService(t *testing.T, callsPerSecond float64) (*standin.Server, *platform.Client) {
	t.Helper()
	s := standin.New(standin.Options{VMs: []standin.VM{{Name: "vm1", DataCentre: "a", PeerAddress: "127.0.0.1:1"}}})
	url, err := s.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close() })
	return s, platform.New(url, callsPerSecond, nil)
}

// The caller of CompareAndSwap must know whether the write was applied: revision
// conflict, response lost after or before the write took effect, service down, and
// no connection to the service.
func TestCompareAndSwapDistinguishesFailureKinds(t *testing.T) {
	c := qt.New(t)
	s, kv := startService(t, ampleCallsPerSecond)
	ctx := context.Background()
	_, err := kv.Get(ctx, "a/b c")
	c.Assert(err, qt.ErrorIs, platform.ErrNotFound)

	rev, err := kv.CompareAndSwap(ctx, "a/b c", 0, []byte("one"))
	c.Assert(err, qt.IsNil)
	_, err = kv.CompareAndSwap(ctx, "a/b c", 0, []byte("two"))
	c.Assert(err, qt.ErrorIs, platform.ErrConflict)

	s.DropWriteReplies(1)
	_, err = kv.CompareAndSwap(ctx, "a/b c", rev, []byte("three"))
	c.Assert(err, qt.ErrorIs, platform.ErrAmbiguous)
	c.Assert(string(s.Value("a/b c")), qt.Equals, "three")
	s.DropWrites(1)
	_, err = kv.CompareAndSwap(ctx, "a/b c", rev+1, []byte("four"))
	c.Assert(err, qt.ErrorIs, platform.ErrAmbiguous)
	c.Assert(string(s.Value("a/b c")), qt.Equals, "three")

	s.SetDown(true)
	_, err = kv.CompareAndSwap(ctx, "a/b c", rev+1, []byte("five"))
	c.Assert(err, qt.ErrorIs, platform.ErrUnavailable)
	// A new transport has no open connection, so that nothing can have been sent. On
	// a connection that the service has just closed, the error would be ErrAmbiguous.
	url := s.URL()
	c.Assert(s.Close(), qt.IsNil)
	kv = platform.New(url, ampleCallsPerSecond, &http.Transport{})
	_, err = kv.CompareAndSwap(ctx, "a/b c", rev+1, []byte("six"))
	c.Assert(err, qt.ErrorIs, platform.ErrUnavailable)
}

// The client rejects a value above the service's size limit without a call, and
// accepts a value of exactly that size.
func TestValueAboveSizeLimitIsRejected(t *testing.T) {
	c := qt.New(t)
	s, kv := startService(t, ampleCallsPerSecond)
	ctx := context.Background()
	_, err := kv.CompareAndSwap(ctx, "k", 0, make([]byte, platform.MaxValueBytes+1))
	c.Assert(err, qt.ErrorIs, platform.ErrTooLarge)
	c.Assert(s.Calls().Total(), qt.Equals, uint64(0))
	_, err = kv.CompareAndSwap(ctx, "k", 0, make([]byte, platform.MaxValueBytes))
	c.Assert(err, qt.IsNil)
	e, err := kv.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(len(e.Value), qt.Equals, platform.MaxValueBytes)
}

// A node that makes too many calls must not consume the service's rate limit for
// the rest of the fleet: calls above the budget fail in the client.
func TestCallsAboveBudgetAreNotSent(t *testing.T) {
	c := qt.New(t)
	s, kv := startService(t, 0.001)
	_, err := kv.Get(context.Background(), "k")
	c.Assert(err, qt.ErrorIs, platform.ErrNotFound)
	_, err = kv.Get(context.Background(), "k")
	c.Assert(err, qt.ErrorIs, platform.ErrBudget)
	c.Assert(s.Calls().Total(), qt.Equals, uint64(1))
	c.Assert(kv.Calls(), qt.Equals, uint64(1))
}

// When keyed requests exhaust their share of the budget, other calls must still be
// sent. Otherwise the watch of the configuration would miss changes.
func TestBudgetShareLeavesCallsForOtherUses(t *testing.T) {
	c := qt.New(t)
	_, kv := startService(t, 4)
	claims := kv.WithBudgetShare(0.5)
	ctx := context.Background()
	for range 2 {
		_, err := claims.Get(ctx, "k")
		c.Assert(err, qt.ErrorIs, platform.ErrNotFound)
	}
	_, err := claims.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, platform.ErrBudget)
	_, err = kv.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, platform.ErrNotFound)
	c.Assert(kv.Calls(), qt.Equals, uint64(3))
}

// A stale read must not end a watch, and a watch counts as one call however long
// it waits.
func TestWatchWaitsForHigherRevision(t *testing.T) {
	c := qt.New(t)
	s, kv := startService(t, ampleCallsPerSecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	rev, err := kv.CompareAndSwap(ctx, "k", 0, []byte("one"))
	c.Assert(err, qt.IsNil)
	s.SetStaleReads(true)
	next, err := kv.CompareAndSwap(ctx, "k", rev, []byte("two"))
	c.Assert(err, qt.IsNil)
	e, err := kv.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "one")

	got := make(chan platform.Entry, 1)
	go func() {
		e, _ := kv.Watch(ctx, "k", rev)
		got <- e
	}()
	for s.Calls().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetStaleReads(false)
	e = <-got
	c.Assert(string(e.Value), qt.Equals, "two")
	c.Assert(e.Revision, qt.Equals, next)
	c.Assert(s.Calls().Watches, qt.Equals, uint64(1))
}

// A revoked lease deletes its keys. KeepAlive on it, and a write under an expired
// lease, return ErrNotFound.
func TestRevokedOrExpiredLeaseIsNotFound(t *testing.T) {
	c := qt.New(t)
	s, kv := startService(t, ampleCallsPerSecond)
	ctx := context.Background()
	lease, err := kv.Grant(ctx, time.Hour)
	c.Assert(err, qt.IsNil)
	_, err = kv.CompareAndSwapLeased(ctx, "k", 0, []byte("v"), lease)
	c.Assert(err, qt.IsNil)
	c.Assert(kv.KeepAlive(ctx, lease), qt.IsNil)
	c.Assert(kv.Revoke(ctx, lease), qt.IsNil)
	c.Assert(s.Len(), qt.Equals, 0)
	c.Assert(errors.Is(kv.KeepAlive(ctx, lease), platform.ErrNotFound), qt.IsTrue)

	short, err := kv.Grant(ctx, time.Millisecond)
	c.Assert(err, qt.IsNil)
	time.Sleep(5 * time.Millisecond)
	_, err = kv.CompareAndSwapLeased(ctx, "k", 0, []byte("v"), short)
	c.Assert(err, qt.ErrorIs, platform.ErrNotFound)
}

func TestVMListMayBeStale(t *testing.T) {
	c := qt.New(t)
	s, client := startService(t, ampleCallsPerSecond)
	s.SetVMLag(time.Hour)
	s.SetVMs([]standin.VM{{Name: "vm2", Leaving: true}})
	vms, err := client.VMs(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(vms, qt.DeepEquals, []platform.VM{{Name: "vm1", DataCentre: "a", PeerAddress: "127.0.0.1:1"}})
	s.SetVMLag(0)
	vms, err = client.VMs(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(vms, qt.DeepEquals, []platform.VM{{Name: "vm2", Leaving: true}})
}
