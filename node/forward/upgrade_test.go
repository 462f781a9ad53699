package forward_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/upgrade"
)

// order adds an order for a shard whose replicas of version v2 are those in data centre c.
func (h *harness) order(shard string) {
	for _, r := range h.view.Replicas[shard] {
		r.Version = "v1"
		if r.DataCentre == "c" {
			r.Version = "v2"
		}
	}
	h.view.Upgrades = map[string]directory.Upgrade{shard: {Record: upgrade.Record{
		Order: upgrade.Order{Service: shard, Version: "v2", Period: 10 * time.Second, Revision: 3},
	}}}
}

// Guards against requests to a version on trial that nobody has granted: first attempts,
// hedges past slow old replicas, and retries after their refusals.
func TestVersionWithoutGrantReceivesNoAttempt(t *testing.T) {
	for name, disturb := range map[string]func(r *replica){
		"calm":          func(*replica) {},
		"old slow":      func(r *replica) { r.latency = 80 * time.Millisecond },
		"old refuse":    func(r *replica) { r.refusals = 1000 },
		"old in backup": func(r *replica) { r.latency = 40 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, map[string][]string{"s0": {"a", "b", "c"}}, func(h *harness) {
				h.order("s0")
				f := h.node("c", nil)
				h.replicas["s0-a"].set(disturb)
				h.replicas["s0-b"].set(disturb)
				for range 50 {
					h.serve(f, 0)
					time.Sleep(10 * time.Millisecond)
				}
				h.Assert(h.replicas["s0-c"].requestCount(), qt.Equals, 0)
			})
		})
	}
}

// Guards against a replica of a version that was found bad, or of one that is about to be
// stopped, to which another node with older news sends a batch.
func TestBatchIsRefusedForAnExcludedVersion(t *testing.T) {
	for phase, excluded := range map[upgrade.Phase]string{upgrade.Revert: "s0-c", upgrade.Close: "s0-b"} {
		t.Run(phase.String(), func(t *testing.T) {
			withHarness(t, map[string][]string{"s0": {"a", "b", "c"}}, func(h *harness) {
				h.order("s0")
				f := h.node("b", nil)
				_, known := f.ApplyUpgrade(upgrade.Grant{Service: "s0", Order: 3, Term: 5, Phase: phase})
				h.Assert(known, qt.IsTrue)
				b := &forward.Batch{Request: batchedRequest(), Replicas: []string{excluded}, Deadline: time.Now().Add(time.Second)}
				h.Assert(f.ServeBatch(context.Background(), b, func(r forward.PartReplies) error {
					for _, reply := range r.Replies {
						h.Check(reply.Reply.Metadata.NotRun, qt.IsTrue)
					}
					return nil
				}), qt.IsNil)
				h.Assert(h.replicas[excluded].requestCount(), qt.Equals, 0)
			})
		})
	}
}

// Guards against a grant of a leader that another one has replaced, and against a gate that
// goes back to an earlier phase.
func TestGrantOfAnEarlierLeaderIsNotApplied(t *testing.T) {
	withHarness(t, map[string][]string{"s0": {"a", "c"}}, func(h *harness) {
		h.order("s0")
		f := h.node("a", nil)
		grant := func(term uint64, phase upgrade.Phase) (upgrade.Phase, bool) {
			r, known := f.ApplyUpgrade(upgrade.Grant{Service: "s0", Order: 3, Term: term, Phase: phase})
			return r.Phase, known
		}
		_, known := grant(7, upgrade.Revert)
		h.Assert(known, qt.IsTrue)
		_, known = grant(6, upgrade.Done)
		h.Assert(known, qt.IsFalse)
		phase, known := grant(8, upgrade.Canary)
		h.Assert(known, qt.IsTrue)
		h.Assert(phase, qt.Equals, upgrade.Revert)
	})
}

// Guards against a gate that counts the limit of an upgrade from when its node has seen the order.
func TestUpgradeCountsFromItsOrder(t *testing.T) {
	withHarness(t, map[string][]string{"s1": {"a", "c"}}, func(h *harness) {
		h.order("s1")
		u := h.view.Upgrades["s1"]
		u.OrderedAt = time.Now().Add(-time.Second)
		h.view.Upgrades["s1"] = u
		r, known := h.node("a", nil).UpgradeReport("s1")
		h.Assert(known, qt.IsTrue)
		h.Assert(r.Elapsed, qt.Equals, time.Second)
	})
}
