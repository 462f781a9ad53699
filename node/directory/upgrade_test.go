package directory_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/policy/upgrade"
)

func versionRecord(id, version string) directory.Record {
	r := replicaRecord(id)
	r.Replica.Version = version
	return r
}

// Guards against a version that receives requests before its order is known, and against a
// replica of an excluded version that stays in use until its registration expires.
func TestVersionsAreHeldAndExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(configurationRecord(1))
		s.put(versionRecord("r1", "v1"))
		d := follow(t, s)
		time.Sleep(time.Second)
		s.put(versionRecord("r2", "v2"))
		time.Sleep(2 * time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 1, qt.Commentf("a new version must be held"))
		s.put(directory.Record{Area: directory.AreaUpgrades, Name: "timing", Upgrade: directory.UpgradeOrder, Order: &upgrade.Order{
			Service: "timing", Version: "v2", Period: time.Minute, Revision: 4,
		}})
		time.Sleep(2 * time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 2)
		c.Assert(d.View().Upgrades["timing"].Witnessed, qt.IsTrue)
		s.put(directory.Record{Area: directory.AreaUpgrades, Name: "timing", Upgrade: directory.UpgradeStatus, DecodeError: errors.New("unreadable")})
		time.Sleep(2 * time.Second)
		c.Assert(d.View().Upgrades["timing"].Status.Revision > 0, qt.IsTrue, qt.Commentf("the next status depends on this revision"))
		c.Assert(d.View().Upgrades["timing"].Active(), qt.IsTrue)
		s.put(directory.Record{Area: directory.AreaUpgrades, Name: "timing", Upgrade: directory.UpgradeStatus, Status: &upgrade.Status{
			Service: "timing", Version: "v2", State: upgrade.Complete,
		}})
		time.Sleep(2 * time.Second)
		c.Assert(usableReplicas(d), qt.Equals, 1)
		c.Assert(d.View().Replicas["timing"][0].ID, qt.Equals, "r2")
	})
}

// Guards against an upgrade that ends after its limit because nodes count the limit from when they
// have seen the order.
func TestAgeOfAnOrderIsKnown(t *testing.T) {
	for name, test := range map[string]struct {
		// quiet is the time without a change before the order. A pause of up to a second follows a
		// watch that was answered early.
		quiet time.Duration
		// late is set if the order is written in a pause.
		late bool
	}{
		"written between two watches": {quiet: 200 * time.Millisecond, late: true},
		"written during a watch":      {quiet: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFakeStore()
				s.put(configurationRecord(1))
				s.put(versionRecord("r1", "v1"))
				d := follow(t, s)
				time.Sleep(1500 * time.Millisecond)
				s.put(versionRecord("r2", "v1"))
				time.Sleep(100 * time.Millisecond)
				s.put(versionRecord("r3", "v1"))
				time.Sleep(test.quiet)
				written := time.Now()
				s.put(directory.Record{Area: directory.AreaUpgrades, Name: "timing", Upgrade: directory.UpgradeOrder, Order: &upgrade.Order{
					Service: "timing", Version: "v2", Period: time.Minute, Revision: 4,
				}})
				for d.View().Upgrades["timing"].Order.Revision == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				c.Check(time.Since(written) > 500*time.Millisecond, qt.Equals, test.late)
				ordered := d.View().Upgrades["timing"].OrderedAt
				c.Check(ordered.After(written), qt.IsFalse)
				c.Check(written.Sub(ordered) <= time.Second, qt.IsTrue)
				if !test.late {
					c.Check(ordered, qt.Equals, written)
				}
			})
		})
	}
}
