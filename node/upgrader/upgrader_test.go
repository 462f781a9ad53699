package upgrader_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/upgrade"
)

// play runs an upgrade for three periods in virtual time and returns the states that were
// written, the time of the last one and the calls to the store.
func play(t *testing.T, bad bool, disturb func(f *fleet)) (states []upgrade.State, ended time.Duration, calls int) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(6, bad)
		defer f.close()
		began := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			disturb(f)
		}()
		for time.Since(began) < 3*period {
			time.Sleep(10 * time.Millisecond)
			if r := f.store.read(); ended == 0 && !r.Active() {
				ended = time.Since(began)
			}
		}
		<-done
		f.store.set(func() { states, calls = f.store.statuses, f.store.calls })
	})
	return states, ended, calls
}

// failoverTime is the time that a second change of the leader may cost.
const failoverTime = 2 * time.Second

// TestUpgradeEndsUnderFaults guards against an upgrade that stops with its leader or with
// the store, ends twice, or is led by two nodes.
func TestUpgradeEndsUnderFaults(t *testing.T) {
	faults := []struct {
		name    string
		disturb func(f *fleet)
		// limit is the time by which a good version is complete.
		limit time.Duration
	}{
		{"none", func(*fleet) {}, period},
		{"leader killed in the canary phase", func(f *fleet) {
			time.Sleep(3 * time.Second)
			f.crashLeader()
		}, period},
		{"leader killed under load", func(f *fleet) {
			time.Sleep(upgrade.LoadAt(period) + 800*time.Millisecond)
			f.crashLeader()
		}, period},
		{"two leaders killed", func(f *fleet) {
			time.Sleep(2 * time.Second)
			f.crashLeader()
			time.Sleep(3 * time.Second)
			f.crashLeader()
		}, period + failoverTime},
		{"store away for 3 s", func(f *fleet) {
			time.Sleep(2 * time.Second)
			f.store.set(func() { f.store.away = true })
			time.Sleep(3 * time.Second)
			f.store.set(func() { f.store.away = false })
		}, period},
		{"answers of the store lost", func(f *fleet) {
			f.store.set(func() { f.store.loseAnswers = true })
		}, period},
	}
	for _, fault := range faults {
		for _, bad := range []bool{false, true} {
			final := upgrade.Complete
			if bad {
				final = upgrade.RolledBack
			}
			t.Run(fault.name+", "+final.String(), func(t *testing.T) {
				c := qt.New(t)
				states, ended, calls := play(t, bad, fault.disturb)
				c.Check(states, qt.DeepEquals, []upgrade.State{upgrade.Running, final})
				c.Check(ended < fault.limit, qt.IsTrue, qt.Commentf("ended after %v", ended))
				t.Logf("ended after %v, %d calls to the store", ended, calls)
			})
		}
	}
}

// TestWithdrawnOrderIsNotCarriedOut guards against a status for an order that the operators
// have taken back.
func TestWithdrawnOrderIsNotCarriedOut(t *testing.T) {
	states, _, _ := play(t, false, func(f *fleet) {
		time.Sleep(3 * time.Second)
		f.store.set(func() { f.store.record.Order = upgrade.Order{} })
	})
	qt.Assert(t, states, qt.DeepEquals, []upgrade.State{upgrade.Running})
}

// TestTermEndsWhileRenewalIsInProgress guards against a renewal that reads the lease while the
// node takes the next one, which the race detector reports.
func TestTermEndsWhileRenewalIsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, false)
		defer f.close()
		f.store.hangRenewals.Store(true)
		time.Sleep(period)
		f.store.set(func() { qt.Check(t, f.store.leases > 1, qt.IsTrue, qt.Commentf("no term has ended")) })
	})
}
