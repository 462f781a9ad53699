package scenario_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/standin/backend"
)

// dataCentres returns the names of the deployment's data centres.
func dataCentres(d *deployment.Deployment) []string {
	var names []string
	for _, dc := range d.Sheet.GetDataCentres() {
		names = append(names, dc.GetName())
	}
	return names
}

// setPartition cuts the links of one data centre to the others and to the platform, or
// restores them.
func setPartition(d *deployment.Deployment, isolated string, cut bool) {
	others := append(dataCentres(d), deployment.PlatformHost)
	for _, other := range others {
		switch {
		case other == isolated:
		case cut:
			d.Network.Cut(isolated, other)
		default:
			d.Network.Restore(isolated, other)
		}
	}
}

// Guards against failed queries while a data centre is isolated from the others and from the
// platform. The larger side must give complete answers, and the isolated side partial answers
// with their coverage. After 2 s, queries must no longer wait for unreachable peers. From 4 s
// after the end of the partition, the formerly isolated side must give complete answers.
func TestBothSidesOfPartitionServeQueries(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing")}
	runInVirtualTime(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		isolatedTraffic := startTraffic(t, d, 1, d.Nodes[:2]...)
		largerTraffic := startTraffic(t, d, 1, d.Nodes[2:]...)
		time.Sleep(time.Second)
		cut := time.Now()
		setPartition(d, d.Sheet.GetDataCentres()[0].GetName(), true)
		time.Sleep(10 * time.Second)
		restoredAt := time.Now()
		setPartition(d, d.Sheet.GetDataCentres()[0].GetName(), false)
		time.Sleep(6 * time.Second)
		recoveredAt := restoredAt.Add(4 * time.Second)
		fromIsolated, fromLarger := isolatedTraffic.end(), largerTraffic.end()

		t.Logf("larger side, detecting:   %s", summarise(fromLarger, cut, cut.Add(2*time.Second)))
		t.Logf("larger side, cut:         %s", summarise(fromLarger, cut.Add(2*time.Second), restoredAt))
		t.Logf("larger side, restored:    %s", summarise(fromLarger, restoredAt, time.Now()))
		logPartial(t, resultsAfter(fromLarger, restoredAt))
		t.Logf("isolated side, detecting: %s", summarise(fromIsolated, cut, cut.Add(2*time.Second)))
		t.Logf("isolated side, cut:       %s", summarise(fromIsolated, cut.Add(2*time.Second), restoredAt))
		t.Logf("isolated side, recovered: %s", summarise(fromIsolated, recoveredAt, time.Now()))

		larger := summarise(fromLarger, cut.Add(2*time.Second), restoredAt)
		c.Assert(larger.complete, qt.Equals, larger.total)
		c.Assert(larger.p99 < 60*time.Millisecond, qt.IsTrue, qt.Commentf("p99 %s", larger.p99))
		isolated := summarise(fromIsolated, cut.Add(2*time.Second), restoredAt)
		c.Assert(isolated.failed, qt.Equals, 0)
		c.Assert(isolated.partial, qt.Equals, isolated.total)
		// Each data centre of the sheet holds replicas of 7 or 8 of the 10 shards.
		c.Assert(isolated.minCoverage >= 0.7, qt.IsTrue, qt.Commentf("coverage %v", isolated.minCoverage))
		c.Assert(isolated.p99 < 60*time.Millisecond, qt.IsTrue, qt.Commentf("p99 %s", isolated.p99))
		after := summarise(fromIsolated, recoveredAt, time.Now())
		c.Assert(after.complete, qt.Equals, after.total, qt.Commentf("%s", after))
		checkBackendLimits(t, d)
	})
}

// Guards against incomplete answers at the other nodes when a node's VM is lost with requests
// in flight and later replaced.
func TestLostNodeIsReplaced(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing")}
	runInVirtualTime(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		tr := startTraffic(t, d, 1, d.Nodes[1:]...)
		time.Sleep(time.Second)
		began := time.Now()
		d.Nodes[0].Kill()
		time.Sleep(3 * time.Second)
		replaced := time.Now()
		c.Assert(d.Nodes[0].Start(t.Context()), qt.IsNil)
		c.Assert(d.WaitReady(t.Context()), qt.IsNil)
		time.Sleep(3 * time.Second)
		answers := tr.end()
		logPartial(t, answers)
		t.Logf("lost:     %s", summarise(answers, began, replaced))
		t.Logf("replaced: %s", summarise(answers, replaced, time.Now()))
		all := summarise(answers, began, time.Now())
		c.Assert(all.complete, qt.Equals, all.total)
		checkBackendLimits(t, d)
	})
}

// longServiceTime sets a service time with which requests are always in flight when a node
// begins to refuse callers.
func longServiceTime(o *backend.Options) {
	o.ServiceTime = backend.ServiceTime{Base: 12 * time.Millisecond, Spread: 4 * time.Millisecond}
}

// shutDownFirstNode stops the first node while callers use it and the other nodes. The answers
// at the other nodes must be complete.
func shutDownFirstNode(t *testing.T, d *deployment.Deployment) *deployment.ShutdownResult {
	warmUp(t, d)
	otherTraffic := startTraffic(t, d, 1, d.Nodes[1:]...)
	time.Sleep(time.Second)
	stopped := time.Now()
	result := d.ShutDownUnderLoad(t.Context(), d.Nodes[0], 8, 2*balancerLagMs*time.Millisecond, timingQuery())
	time.Sleep(time.Second)
	others := summarise(otherTraffic.end(), stopped, time.Now())
	t.Logf("first node: %d complete, %d after the balancer lag, %d interrupted; other nodes: %s", result.Complete, result.Late, len(result.Interrupted), others)
	qt.Assert(t, others.complete, qt.Equals, others.total)
	return result
}

// Guards against interrupted requests during a graceful shutdown. A request that begins within
// the balancer lag must get a complete answer; a later one may be refused.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing"), Backend: longServiceTime}
	runInVirtualTime(t, o, func(t *testing.T, d *deployment.Deployment) {
		result := shutDownFirstNode(t, d)
		qt.Assert(t, result.Interrupted, qt.HasLen, 0)
		qt.Assert(t, result.Complete > 0 && result.Late > 0, qt.IsTrue)
	})
}

// Guards against partial answers and overload of cold replicas when the only node of a data
// centre shuts down soon after its start. All replicas are cold, and one shard has its only
// replica in service in that data centre. The node must use its replicas until its callers are
// answered.
func TestLastNodeOfDataCentreShutdownKeepsAnswersComplete(t *testing.T) {
	sheet := exampleSheet(t, "timing")
	dataCentre := sheet.GetDataCentres()[0].GetName()
	for _, shard := range sheet.GetServices()[0].GetGenerations()[0].GetShards() {
		for _, r := range shard.GetReplicas() {
			if shard.GetName() == "timing-07" && r.GetDataCentre() != dataCentre {
				r.State = pb.Lifecycle_LIFECYCLE_OUT
			}
		}
	}
	runInVirtualTime(t, deployment.Options{Sheet: sheet, NodesPerDataCentre: 1}, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		result := d.ShutDownUnderLoad(t.Context(), d.Nodes[0], 1, 2*balancerLagMs*time.Millisecond, timingQuery())
		c.Assert(result.Interrupted, qt.HasLen, 0)
		c.Assert(result.Complete > 0, qt.IsTrue)
		for name, server := range d.Backends {
			c.Check(server.Counts().ColdOverloads, qt.Equals, uint64(0), qt.Commentf("%s", name))
		}
	})
}
