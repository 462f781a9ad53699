package upgrade_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upgrade"
)

var (
	start = time.Unix(1000, 0)
	order = upgrade.Order{Service: "s", Version: "v2", Period: period, Revision: 5}
	bound = upgrade.Bound{Share: 0.1, Slack: 50, GrantTTL: time.Second}
	oldR  = &registry.Replica{ID: "o", Service: "s", Version: "v1"}
	newR  = &registry.Replica{ID: "n", Service: "s", Version: "v2"}
)

// grantedGate returns a gate in the load phase.
func grantedGate(witnessed bool) *upgrade.Gate {
	g := upgrade.NewGate(start, order, bound, 0, witnessed)
	g.SetReplicas([]*registry.Replica{oldR, newR})
	g.Apply(start, upgrade.Grant{Service: "s", Order: 5, Term: 1, Phase: upgrade.Load, Trial: []string{"n"}})
	return g
}

// exposedAt sends 100 requests in one moment and returns how many went to the new version.
func exposedAt(g *upgrade.Gate, at time.Time) int {
	n := 0
	for range 100 {
		r := oldR
		if g.Choose(at, false, 1).New {
			r = newR
			n++
		}
		g.Sent(r, false)
	}
	return n
}

// Guards against a version that goes on receiving requests after its leader was lost: the
// trial may have ended without this node's knowledge.
func TestGrantOfATrialExpires(t *testing.T) {
	g := grantedGate(true)
	qt.Assert(t, exposedAt(g, start.Add(900*time.Millisecond)) > 0, qt.IsTrue)
	qt.Assert(t, exposedAt(g, start.Add(1100*time.Millisecond)), qt.Equals, 0)
}

// Guards against a fleet that spends the slack twice when its nodes restart during a trial.
func TestNodeThatStartsDuringATrialHasNoSlack(t *testing.T) {
	qt.Assert(t, exposedAt(grantedGate(true), start), qt.Equals, 49)
	qt.Assert(t, exposedAt(grantedGate(false), start), qt.Equals, 8)
}

// Guards against an ordinary release whose replicas are not used, and against a version that
// receives requests before its order is known.
func TestVersionOfTheServiceIsHeldOnlyForAWhile(t *testing.T) {
	c := qt.New(t)
	v := upgrade.NewVersions()
	v.Observe(start, "s", map[string]int{"v1": 3})
	c.Assert(v.Held(start, "s", "v1"), qt.IsFalse)
	v.Observe(start, "s", map[string]int{"v1": 3, "v2": 1})
	c.Assert(v.Held(start.Add(upgrade.HoldTime-1), "s", "v2"), qt.IsTrue)
	c.Assert(v.Held(start.Add(upgrade.HoldTime), "s", "v2"), qt.IsFalse)
	v.Observe(start, "s", map[string]int{"v1": 2, "v2": 1})
	c.Assert(v.Held(start, "s", "v2"), qt.IsFalse, qt.Commentf("the old replicas leave: it is a release"))
}

// Guards against a status of an earlier order that ends the next one.
func TestStatusOfAnEarlierOrderDoesNotCount(t *testing.T) {
	c := qt.New(t)
	r := upgrade.Record{Order: order, Status: upgrade.Status{Service: "s", Version: "v2", State: upgrade.Complete, Revision: 4}}
	c.Assert(r.Active(), qt.IsTrue)
	c.Assert(r.Excludes("v1"), qt.IsFalse)
	r.Status.Revision = 6
	c.Assert(r.Active(), qt.IsFalse)
	c.Assert(r.Excludes("v1"), qt.IsTrue)
	c.Assert(r.Excludes("v2"), qt.IsFalse)
}

// Guards against an upgrade that never ends, or that moves all requests to fewer replicas
// than can take them.
func TestUpgradeWithoutEnoughReplicasIsRolledBackLate(t *testing.T) {
	c := qt.New(t)
	s := upgrade.Situation{Phase: upgrade.Load, Period: period, InPhase: period, Answers: 100, NewReplicas: 1, OldReplicas: 3}
	for elapsed, want := range map[time.Duration]upgrade.Phase{period: upgrade.Load, 3 * period: upgrade.Revert} {
		s.Elapsed = elapsed
		next, _ := upgrade.Next(s)
		c.Assert(next, qt.Equals, want)
	}
	s.NewReplicas, s.Elapsed = 2, period
	next, _ := upgrade.Next(s)
	c.Assert(next, qt.Equals, upgrade.Shift)
}

// Guards against a trial of replicas that are gone, which tests nothing.
func TestTrialFollowsReplacedReplicas(t *testing.T) {
	c := qt.New(t)
	p := upgrade.NewProgress(start, order, 1)
	p.Record(start, "a", upgrade.Report{Order: order.Revision}, true)
	added := &registry.Replica{ID: "n2", Service: "s", Version: "v2"}
	for _, usable := range []*registry.Replica{newR, newR, added} {
		p.Step(start, []string{"a"}, upgrade.Replicas{New: []*registry.Replica{usable}, Old: []*registry.Replica{oldR}})
	}
	c.Assert(p.Phase(), qt.Equals, upgrade.Canary)
	c.Assert(p.Grant().Trial, qt.DeepEquals, []string{"n2"})
}
