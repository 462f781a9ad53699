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

// split cuts one data centre off from the others and from the platform, or mends
// that.
func split(d *deployment.Deployment, alone string, cut bool) {
	others := append(dataCentres(d), deployment.PlatformHost)
	for _, other := range others {
		switch {
		case other == alone:
		case cut:
			d.Network.Cut(alone, other)
		default:
			d.Network.Restore(alone, other)
		}
	}
}

// A data centre is cut off from the others and from the platform for ten seconds.
// Callers on the larger side get complete answers from the replicas there; those
// in the cut-off data centre get what it holds, labelled with its true coverage.
// Nobody waits for dead peers on each query once they are known to be dead, in
// under 2 s, and after the cut all answers are complete again.
func TestBothSidesOfPartitionServeQueries(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing")}
	virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		inside := startTraffic(t, d, 1, d.Nodes[:2]...)
		outside := startTraffic(t, d, 1, d.Nodes[2:]...)
		time.Sleep(time.Second)
		cut := time.Now()
		split(d, d.Sheet.GetDataCentres()[0].GetName(), true)
		time.Sleep(10 * time.Second)
		mended := time.Now()
		split(d, d.Sheet.GetDataCentres()[0].GetName(), false)
		time.Sleep(6 * time.Second)
		healed := mended.Add(4 * time.Second)
		in, out := inside.end(), outside.end()

		t.Logf("outside, detecting: %s", summarise(out, cut, cut.Add(2*time.Second)))
		t.Logf("outside, cut:       %s", summarise(out, cut.Add(2*time.Second), mended))
		t.Logf("outside, mended:    %s", summarise(out, mended, time.Now()))
		logPartial(t, since(out, mended))
		t.Logf("inside, detecting:  %s", summarise(in, cut, cut.Add(2*time.Second)))
		t.Logf("inside, cut:        %s", summarise(in, cut.Add(2*time.Second), mended))
		t.Logf("inside, healed:     %s", summarise(in, healed, time.Now()))

		during := summarise(out, cut.Add(2*time.Second), mended)
		c.Assert(during.complete, qt.Equals, during.total)
		c.Assert(during.p99 < 60*time.Millisecond, qt.IsTrue, qt.Commentf("p99 %s", during.p99))
		alone := summarise(in, cut.Add(2*time.Second), mended)
		c.Assert(alone.failed, qt.Equals, 0)
		c.Assert(alone.partial, qt.Equals, alone.total)
		// The sheet puts a replica of 7 or 8 of the 10 shards into each data centre.
		c.Assert(alone.minCoverage >= 0.7, qt.IsTrue, qt.Commentf("coverage %v", alone.minCoverage))
		c.Assert(alone.p99 < 60*time.Millisecond, qt.IsTrue, qt.Commentf("p99 %s", alone.p99))
		after := summarise(in, healed, time.Now())
		c.Assert(after.complete, qt.Equals, after.total, qt.Commentf("%s", after))
		checkLoads(t, d)
	})
}

// A node's VM is lost with everything in flight, and later replaced. Callers at
// the other nodes get complete answers all along: the lost node's part of a query
// comes from other replicas at once, and soon from the other owner.
func TestLostNodeIsReplaced(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing")}
	virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
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
		checkLoads(t, d)
	})
}

// longWork makes requests last so long that some are always in flight when a node
// stops taking callers.
func longWork(o *backend.Options) {
	o.ServiceTime = backend.ServiceTime{Base: 12 * time.Millisecond, Spread: 4 * time.Millisecond}
}

// shutDown stops a node under load from callers there and elsewhere.
func shutDown(t *testing.T, d *deployment.Deployment) *deployment.ShutdownResult {
	warmUp(t, d)
	elsewhere := startTraffic(t, d, 1, d.Nodes[1:]...)
	time.Sleep(time.Second)
	stopped := time.Now()
	saw := d.ShutDownUnderLoad(t.Context(), d.Nodes[0], 8, 2*balancerLagMs*time.Millisecond, timingQuery())
	time.Sleep(time.Second)
	others := summarise(elsewhere.end(), stopped, time.Now())
	t.Logf("at the node: %d complete, %d too late, %d cut; elsewhere: %s", saw.Complete, saw.Late, len(saw.Interrupted), others)
	qt.Assert(t, others.complete, qt.Equals, others.total)
	return saw
}

// A node shuts down gracefully while callers use it. The caller whose request
// came before the balancer noticed gets its whole answer; one that comes later
// reads "refused", not run, or finds the port closed.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing"), Backend: longWork}
	virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
		saw := shutDown(t, d)
		qt.Assert(t, saw.Interrupted, qt.HasLen, 0)
		qt.Assert(t, saw.Complete > 0 && saw.Late > 0, qt.IsTrue)
	})
}

// The only node of a data centre shuts down while callers use it, moments after the
// start, when every replica is cold. One shard's replica lies there and nowhere else
// in service. Callers that come before the balancer notices get that shard too: the
// node uses its replicas, cold ones included, until it has answered them.
func TestLastNodeOfDataCentreShutdownKeepsAnswersComplete(t *testing.T) {
	sheet := kenya(t, "timing")
	home := sheet.GetDataCentres()[0].GetName()
	for _, shard := range sheet.GetServices()[0].GetGenerations()[0].GetShards() {
		for _, r := range shard.GetReplicas() {
			if shard.GetName() == "timing-07" && r.GetDataCentre() != home {
				r.State = pb.Lifecycle_LIFECYCLE_OUT
			}
		}
	}
	virtual(t, deployment.Options{Sheet: sheet, NodesPerDataCentre: 1}, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		saw := d.ShutDownUnderLoad(t.Context(), d.Nodes[0], 1, 2*balancerLagMs*time.Millisecond, timingQuery())
		c.Assert(saw.Interrupted, qt.HasLen, 0)
		c.Assert(saw.Complete > 0, qt.IsTrue)
		for name, server := range d.Backends {
			c.Check(server.Counts().ColdOverloads, qt.Equals, uint64(0), qt.Commentf("%s", name))
		}
	})
}
