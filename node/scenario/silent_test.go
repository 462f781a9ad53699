package scenario_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/standin/backend"
)

// coldSlowdown is the factor on the service time of a cold backend server.
const coldSlowdown = 6

// Guards against overload of backend servers that become cold repeatedly while their
// connections stay open and their status stays warm. The sheet declares silent cold starts, so
// only one owner may have one request in flight at a replica, warm or cold. Meanwhile the
// first owner of one replica restarts. All answers must be complete.
func TestSilentColdStartsCauseNoOverload(t *testing.T) {
	sheet := exampleSheet(t, "timing")
	sheet.GetServices()[0].SilentColdStart = true
	o := deployment.Options{Sheet: sheet, Backend: func(o *backend.Options) { o.Cold.Factor = coldSlowdown }}
	runInVirtualTime(t, o, silentColdStarts)
}

// firstOwner returns the first-ranked owner of a replica.
func firstOwner(t *testing.T, d *deployment.Deployment, replica string) *deployment.Node {
	for _, n := range d.Nodes {
		for _, owned := range n.NodeStatus(t.Context(), false)[0].GetOwned() {
			if owned.GetReplica() == replica && owned.GetRank() == 0 {
				return n
			}
		}
	}
	t.Fatalf("no node is the first owner of %s", replica)
	return nil
}

func silentColdStarts(t *testing.T, d *deployment.Deployment) {
	c := qt.New(t)
	warmUp(t, d)
	replicas := []string{"timing-01-a", "timing-04-b", "timing-07-c"}
	restarted := firstOwner(t, d, replicas[0])
	restartedTraffic := startTraffic(t, d, 1, restarted)
	tr := startTraffic(t, d, 1, slices.DeleteFunc(slices.Clone(d.Nodes), func(n *deployment.Node) bool { return n == restarted })...)
	turnCold := func(times int) {
		for range times {
			for _, name := range replicas {
				d.Backends[name].BeginColdStart(false)
				time.Sleep(330 * time.Millisecond)
			}
		}
	}
	turnCold(4)
	restartedTraffic.end()
	restarted.Stop()
	turnCold(2)
	c.Assert(restarted.Start(t.Context()), qt.IsNil)
	turnCold(5)
	answers := tr.end()
	logPartial(t, answers)
	all := summarise(answers, time.Time{}, time.Now())
	t.Logf("%s", all)
	checkBackendLimits(t, d)
	for name, server := range d.Backends {
		counts := server.Counts()
		if most := max(counts.MaxColdInFlight, counts.MaxInFlightAtColdStart); most > 1 {
			t.Errorf("%s had %d requests in flight, above its cold limit of 1", name, most)
		}
	}
	c.Assert(all.complete, qt.Equals, all.total, qt.Commentf("%s", all))
}
