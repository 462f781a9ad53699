package scenario_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/deployment"
)

// checkBackendLimits checks that no backend server exceeded its cold limit or its connection
// limit.
func checkBackendLimits(t testing.TB, d *deployment.Deployment) {
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

// Guards against incomplete answers, requests to leaving backend servers after LeaveGrace,
// and overload of cold backend servers, when a data centre is taken out of service under load
// and returns. Its entry nodes must become unready but still answer.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing")}
	runInVirtualTime(t, o, dataCentreLeavesAndReturns)
}

func dataCentreLeavesAndReturns(t *testing.T, d *deployment.Deployment) {
	c := qt.New(t)
	changed := proto.Clone(d.Sheet).(*pb.Sheet)
	changed.DataCentres[0].State = pb.Lifecycle_LIFECYCLE_OUT
	leaving := changed.GetDataCentres()[0].GetName()
	warmUp(t, d)
	tr := startTraffic(t, d, 2, d.Nodes[2:]...)
	time.Sleep(time.Second)

	leftAt := time.Now()
	c.Assert(d.Publish(t.Context(), changed), qt.IsNil)
	err := deployment.Wait(t.Context(), 3*time.Second, func() string {
		for _, n := range d.Nodes[:2] {
			if ready, _ := n.Ready(); ready {
				return n.Settings.GetNode() + " is still ready"
			}
		}
		return ""
	})
	c.Assert(err, qt.IsNil)
	time.Sleep(time.Until(leftAt.Add(deployment.LeaveGrace)))
	requests := d.RequestsDuring(func() {
		answer, _, err := d.Query(t.Context(), d.Nodes[0].Settings.GetCallerAddress(), timingQuery())
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Coverage, qt.Equals, 1.0, qt.Commentf("an unready entry node must answer"))
		time.Sleep(time.Second)
	}, d.ReplicasIn(leaving)...)
	c.Assert(requests, qt.HasLen, 0)

	returnedAt := time.Now()
	c.Assert(d.Publish(t.Context(), d.Sheet), qt.IsNil)
	requests = d.RequestsDuring(func() { time.Sleep(2 * time.Second) }, d.ReplicasIn(leaving)...)
	c.Assert(requests, qt.Not(qt.HasLen), 0)
	answers := tr.end()
	t.Logf("before:         %s", summarise(answers, leftAt.Add(-time.Second), leftAt))
	t.Logf("out of service: %s", summarise(answers, leftAt, returnedAt))
	t.Logf("returned:       %s", summarise(answers, returnedAt, time.Now()))
	logPartial(t, answers)
	all := summarise(answers, leftAt.Add(-time.Hour), time.Now())
	c.Assert(all.complete, qt.Equals, all.total, qt.Commentf("%s", all))
	checkBackendLimits(t, d)
}

// leavingReplica returns the replica whose backend server leaves in the tests below.
func leavingReplica(s *pb.Sheet) *pb.Replica {
	return s.GetServices()[0].GetGenerations()[0].GetShards()[0].GetReplicas()[0]
}

// leaveBySheet takes the backend server out of service in the sheet.
func leaveBySheet(t *testing.T, d *deployment.Deployment) {
	changed := proto.Clone(d.Sheet).(*pb.Sheet)
	leavingReplica(changed).State = pb.Lifecycle_LIFECYCLE_OUT
	qt.Assert(t, d.Publish(t.Context(), changed), qt.IsNil)
}

// leaveByDraining makes the backend server drain.
func leaveByDraining(t *testing.T, d *deployment.Deployment) {
	d.Backends[leavingReplica(d.Sheet).GetName()].Drain(true)
}

// requestsAfterLeaving makes the backend server leave under load and returns the number of
// requests that it receives after LeaveGrace. Meanwhile every node receives an old report
// again, in which the backend server is warm.
func requestsAfterLeaving(t *testing.T, d *deployment.Deployment, leave func(*testing.T, *deployment.Deployment)) map[string]uint64 {
	name := leavingReplica(d.Sheet).GetName()
	old := &pb.ReplicaNews{Replica: name, OldestSnapshot: 1, NewestSnapshot: 1, State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 1}
	first := d.FirstOwner(t.Context(), name)
	sendOldReport := func() { qt.Assert(t, d.ReplayReplicaReport(t.Context(), first, "timing", old), qt.IsNil) }
	sendOldReport()
	leave(t, d)
	time.Sleep(deployment.LeaveGrace)
	return d.RequestsDuring(func() {
		for range 2 {
			sendOldReport()
			time.Sleep(time.Second)
		}
	}, name)
}

// Guards against requests to a backend server after LeaveGrace, also when an old report about
// it arrives late. After its return, the backend server must warm up without overload and
// receive its share of requests again. All answers must be complete.
func TestBackendServerLeavesAndReturns(t *testing.T) {
	for _, v := range []struct {
		name  string
		leave func(*testing.T, *deployment.Deployment)
		// warmUpTime limits the time to warm up again.
		warmUpTime time.Duration
	}{
		{"by the sheet", leaveBySheet, 4 * time.Second},
		{"by draining", leaveByDraining, 4 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInVirtualTime(t, deployment.Options{Sheet: exampleSheet(t, "timing")}, func(t *testing.T, d *deployment.Deployment) {
				c := qt.New(t)
				warmUp(t, d)
				tr := startTraffic(t, d, 1, d.Nodes...)
				began := time.Now()
				c.Assert(requestsAfterLeaving(t, d, v.leave), qt.HasLen, 0)
				leaving := leavingReplica(d.Sheet).GetName()
				d.Backends[leaving].Restart()
				c.Assert(d.Publish(t.Context(), d.Sheet), qt.IsNil)
				requests := d.RequestsDuring(func() { time.Sleep(v.warmUpTime) }, leaving)
				c.Assert(requests[leaving] > 20, qt.IsTrue, qt.Commentf("requests during warm-up: %v", requests))
				otherReplica := d.Sheet.GetServices()[0].GetGenerations()[0].GetShards()[0].GetReplicas()[1].GetName()
				requests = d.RequestsDuring(func() { time.Sleep(time.Second) }, leaving, otherReplica)
				c.Assert(4*requests[leaving] > requests[otherReplica], qt.IsTrue, qt.Commentf("requests after warm-up: %v", requests))
				answers := tr.end()
				logPartial(t, answers)
				all := summarise(answers, began, time.Now())
				t.Logf("%s", all)
				c.Assert(all.complete, qt.Equals, all.total)
				checkBackendLimits(t, d)
			})
		})
	}
}

// Guards against overload of a backend server that restarts cold repeatedly under load from
// eight nodes. Its cold limit is one request, so only the first owner may use it until it is
// warm. Answers must stay complete through the other replicas.
func TestUnannouncedColdRestartsKeepAnswersComplete(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing")}
	runInVirtualTime(t, o, unannouncedColdStart)
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
	checkBackendLimits(t, d)
	c.Assert(all.complete, qt.Equals, all.total, qt.Commentf("%s", all))
}
