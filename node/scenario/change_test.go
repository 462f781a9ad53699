package scenario_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/deployment"
)

// checkLoads checks what every backend server has borne at most: no cold one got
// more than it bears, and none more connections than it accepts.
func checkLoads(t testing.TB, d *deployment.Deployment) {
	t.Helper()
	for _, svc := range d.Sheet.GetServices() {
		for _, g := range svc.GetGenerations() {
			for _, s := range g.GetShards() {
				for _, r := range s.GetReplicas() {
					counts := d.Backends[r.GetName()].Counts()
					if counts.ColdOverloads > 0 || counts.RefusedConnections > 0 || counts.MaxConnections > int(svc.GetConnections()) {
						t.Errorf("%s: %+v", r.GetName(), counts)
					}
				}
			}
		}
	}
}

// A data centre is taken out under load and comes back. The callers elsewhere
// notice nothing: every answer stays complete. Its backend servers get no new
// work a few seconds after the change is accepted, its entry nodes turn unready
// and still answer, and on return its backend servers, treated as cold, never
// get more than a cold one bears.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing")}
	virtual(t, o, dataCentreLeavesAndReturns)
}

func dataCentreLeavesAndReturns(t *testing.T, d *deployment.Deployment) {
	c := qt.New(t)
	out := proto.Clone(d.Sheet).(*pb.Sheet)
	out.DataCentres[0].State = pb.Lifecycle_LIFECYCLE_OUT
	gone := out.GetDataCentres()[0].GetName()
	warmUp(t, d)
	tr := startTraffic(t, d, 2, d.Nodes[2:]...)
	time.Sleep(time.Second)

	left := time.Now()
	c.Assert(d.Publish(t.Context(), out), qt.IsNil)
	err := deployment.Wait(t.Context(), 3*time.Second, func() string {
		for _, n := range d.Nodes[:2] {
			if ready, _ := n.Ready(); ready {
				return n.Settings.GetNode() + " is still ready"
			}
		}
		return ""
	})
	c.Assert(err, qt.IsNil)
	time.Sleep(time.Until(left.Add(deployment.LeaveGrace)))
	work := d.RequestsDuring(func() {
		answer, _, err := d.Query(t.Context(), d.Nodes[0].Settings.GetCallerAddress(), timingQuery())
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Coverage, qt.Equals, 1.0, qt.Commentf("an unready entry node still answers"))
		time.Sleep(time.Second)
	}, d.ReplicasIn(gone)...)
	c.Assert(work, qt.HasLen, 0)

	back := time.Now()
	c.Assert(d.Publish(t.Context(), d.Sheet), qt.IsNil)
	work = d.RequestsDuring(func() { time.Sleep(2 * time.Second) }, d.ReplicasIn(gone)...)
	c.Assert(work, qt.Not(qt.HasLen), 0)
	answers := tr.end()
	t.Logf("quiet:  %s", summarise(answers, left.Add(-time.Second), left))
	t.Logf("out:    %s", summarise(answers, left, back))
	t.Logf("return: %s", summarise(answers, back, time.Now()))
	logPartial(t, answers)
	all := summarise(answers, left.Add(-time.Hour), time.Now())
	c.Assert(all.complete, qt.Equals, all.total, qt.Commentf("%s", all))
	checkLoads(t, d)
}

// leaver is the backend server that leaves in the tests below.
func leaver(s *pb.Sheet) *pb.Replica {
	return s.GetServices()[0].GetGenerations()[0].GetShards()[0].GetReplicas()[0]
}

// leaveBySheet and leaveByOwnWord are the two ways in which it does.
func leaveBySheet(t *testing.T, d *deployment.Deployment) {
	out := proto.Clone(d.Sheet).(*pb.Sheet)
	leaver(out).State = pb.Lifecycle_LIFECYCLE_OUT
	qt.Assert(t, d.Publish(t.Context(), out), qt.IsNil)
}

func leaveByOwnWord(t *testing.T, d *deployment.Deployment) {
	d.Backends[leaver(d.Sheet).GetName()].Drain(true)
}

// workAfterLeaving lets the backend server leave under load and returns the work
// that it gets after the grace, while news from when it was warm arrives a second
// time at every node.
func workAfterLeaving(t *testing.T, d *deployment.Deployment, leave func(*testing.T, *deployment.Deployment)) map[string]uint64 {
	name := leaver(d.Sheet).GetName()
	old := &pb.ReplicaNews{Replica: name, OldestSnapshot: 1, NewestSnapshot: 1, State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 1}
	first := d.FirstOwner(t.Context(), name)
	arrive := func() { qt.Assert(t, d.ReplayReplicaReport(t.Context(), first, "timing", old), qt.IsNil) }
	arrive()
	leave(t, d)
	time.Sleep(deployment.LeaveGrace)
	return d.RequestsDuring(func() {
		for range 2 {
			arrive()
			time.Sleep(time.Second)
		}
	}, name)
}

// One backend server leaves, by the sheet or by its own word, and comes back. It
// gets no new work 3 s after that, also when old news of it arrives again; back in
// service it counts as cold, is warmed up by one node, and gets its part again.
// Callers get complete answers all along.
func TestBackendServerLeavesAndReturns(t *testing.T) {
	for _, v := range []struct {
		name  string
		leave func(*testing.T, *deployment.Deployment)
		// warms is how long it may take to warm up again.
		warms time.Duration
	}{
		{"by the sheet", leaveBySheet, 4 * time.Second},
		{"by its own word", leaveByOwnWord, 4 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			virtual(t, deployment.Options{Sheet: kenya(t, "timing")}, func(t *testing.T, d *deployment.Deployment) {
				c := qt.New(t)
				warmUp(t, d)
				tr := startTraffic(t, d, 1, d.Nodes...)
				began := time.Now()
				c.Assert(workAfterLeaving(t, d, v.leave), qt.HasLen, 0)
				leaving := leaver(d.Sheet).GetName()
				d.Backends[leaving].Restart()
				c.Assert(d.Publish(t.Context(), d.Sheet), qt.IsNil)
				work := d.RequestsDuring(func() { time.Sleep(v.warms) }, leaving)
				c.Assert(work[leaving] > 20, qt.IsTrue, qt.Commentf("work again: %v", work))
				sibling := d.Sheet.GetServices()[0].GetGenerations()[0].GetShards()[0].GetReplicas()[1].GetName()
				work = d.RequestsDuring(func() { time.Sleep(time.Second) }, leaving, sibling)
				c.Assert(4*work[leaving] > work[sibling], qt.IsTrue, qt.Commentf("in the second after: %v", work))
				answers := tr.end()
				logPartial(t, answers)
				all := summarise(answers, began, time.Now())
				t.Logf("%s", all)
				c.Assert(all.complete, qt.Equals, all.total)
				checkLoads(t, d)
			})
		})
	}
}

// A backend server restarts cold without warning, again and again, under load
// from eight nodes. It falls over when it gets more than one request at a time,
// so its first owner alone may use it, one request after the other, until it has
// warmed up. Callers get complete answers from its siblings meanwhile.
func TestUnannouncedColdRestartsKeepAnswersComplete(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing")}
	virtual(t, o, unannouncedColdStart)
}

func unannouncedColdStart(t *testing.T, d *deployment.Deployment) {
	c := qt.New(t)
	warmUp(t, d)
	tr := startTraffic(t, d, 2, d.Nodes...)
	time.Sleep(500 * time.Millisecond)
	for range 10 {
		d.Backends["timing-03-a"].Restart()
		time.Sleep(500 * time.Millisecond)
	}
	answers := tr.end()
	logPartial(t, answers)
	all := summarise(answers, time.Time{}, time.Now())
	t.Logf("%s", all)
	checkLoads(t, d)
	c.Assert(all.complete, qt.Equals, all.total, qt.Commentf("%s", all))
}
