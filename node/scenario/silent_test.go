package scenario_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/standin/backend"
)

// coldFactor is how much slower a backend server is that has just turned cold.
const coldFactor = 6

// Backend servers turn cold again and again with their connections open and a
// status that goes on saying warm, while eight nodes send and the first owner of
// one of them is replaced. They fall over when more than one request is there, also at the
// moment of the turn. The sheet says that they may do this, so one owner alone has
// one request there, warm or not. Callers get complete answers all the while.
func TestSilentColdStartsCauseNoOverload(t *testing.T) {
	sheet := kenya(t, "timing")
	sheet.GetServices()[0].SilentColdStart = true
	o := deployment.Options{Sheet: sheet, Backend: func(o *backend.Options) { o.Cold.Factor = coldFactor }}
	virtual(t, o, turnColdUnseen)
}

// firstOwner returns the node that ranks first for a replica.
func firstOwner(t *testing.T, d *deployment.Deployment, replica string) *deployment.Node {
	for _, n := range d.Nodes {
		for _, owned := range n.NodeStatus(t.Context(), false)[0].GetOwned() {
			if owned.GetReplica() == replica && owned.GetRank() == 0 {
				return n
			}
		}
	}
	t.Fatalf("nobody owns %s", replica)
	return nil
}

func turnColdUnseen(t *testing.T, d *deployment.Deployment) {
	c := qt.New(t)
	warmUp(t, d)
	turning := []string{"timing-01-a", "timing-04-b", "timing-07-c"}
	leaver := firstOwner(t, d, turning[0])
	through := startTraffic(t, d, 1, leaver)
	tr := startTraffic(t, d, 1, slices.DeleteFunc(slices.Clone(d.Nodes), func(n *deployment.Node) bool { return n == leaver })...)
	turn := func(times int) {
		for range times {
			for _, name := range turning {
				d.Backends[name].BeginColdStart(false)
				time.Sleep(330 * time.Millisecond)
			}
		}
	}
	turn(4)
	through.end()
	leaver.Stop()
	turn(2)
	c.Assert(leaver.Start(t.Context()), qt.IsNil)
	turn(5)
	answers := tr.end()
	logPartial(t, answers)
	all := summarise(answers, time.Time{}, time.Now())
	t.Logf("%s", all)
	checkLoads(t, d)
	for name, server := range d.Backends {
		counts := server.Counts()
		if most := max(counts.MaxColdInFlight, counts.MaxInFlightAtColdStart); most > 1 {
			t.Errorf("%s had %d requests in flight while it bore 1", name, most)
		}
	}
	c.Assert(all.complete, qt.Equals, all.total, qt.Commentf("%s", all))
}
