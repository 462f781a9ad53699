package scenario_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/standin/backend"
)

// advanceSnapshots moves every backend server to a new snapshot, one after the other, as an
// index build does. Each backend server keeps the previous snapshot.
func advanceSnapshots(d *deployment.Deployment, snapshot uint64, interval time.Duration) {
	for _, r := range d.Sheet.GetServices()[0].GetGenerations()[0].GetShards() {
		for _, replica := range r.GetReplicas() {
			d.Backends[replica.GetName()].SetSnapshots(snapshot-1, snapshot)
			time.Sleep(interval)
		}
	}
}

// Guards against incomplete answers, and restarts of 1% of the queries or more, when the
// snapshot changes once in a minute.
func TestSnapshotChangeRestartsFewQueries(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing")}
	runInVirtualTime(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		tr := startTraffic(t, d, 1, d.Nodes[0], d.Nodes[3])
		began := time.Now()
		for snapshot := range uint64(1) {
			advanceSnapshots(d, snapshot+2, time.Millisecond)
			time.Sleep(time.Until(began.Add(time.Duration(snapshot+1) * time.Minute)))
		}
		all := summarise(tr.end(), began, time.Now())
		t.Logf("%s", all)
		c.Assert(all.complete, qt.Equals, all.total)
		c.Assert(all.restarted*100 < all.total, qt.IsTrue, qt.Commentf("%s", all))
	})
}

// Guards against incomplete answers and answers from mixed snapshots while replicas change
// their snapshot one after the other. A query uses a snapshot that all shards hold and restarts
// at a newer one if that snapshot is dropped. startTraffic checks every result.
func TestSnapshotChangesKeepAnswersConsistent(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing")}
	runInVirtualTime(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		tr := startTraffic(t, d, 1, d.Nodes...)
		began := time.Now()
		for snapshot := range uint64(5) {
			advanceSnapshots(d, snapshot+2, 20*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		answers := tr.end()
		logPartial(t, answers)
		all := summarise(answers, began, time.Now())
		t.Logf("%s", all)
		c.Assert(all.complete, qt.Equals, all.total)
		checkBackendLimits(t, d)
		c.Assert(answers[len(answers)-1].snapshot, qt.Equals, uint64(6), qt.Commentf("the last answer must come from the newest snapshot"))
	})
}

// repartitioned returns the sheet with a second generation that begins at the given snapshot.
// Each of its shards replaces two old shards and has the replicas of the first one.
func repartitioned(s *pb.Sheet, first uint64) *pb.Sheet {
	next := proto.Clone(s).(*pb.Sheet)
	svc := next.GetServices()[0]
	old := svc.GetGenerations()[0].GetShards()
	gen := &pb.Generation{Id: 2, FirstSnapshot: first}
	for i := 0; i+1 < len(old); i += 2 {
		gen.Shards = append(gen.Shards, &pb.Shard{
			Name:     "pair-" + old[i].GetName(),
			Replicas: old[i].GetReplicas(),
		})
	}
	svc.Generations = append(svc.Generations, gen)
	return next
}

// Guards against incomplete answers and answers from mixed generations while a new generation
// replaces ten shards by five from snapshot 2 on. The replicas change to snapshot 2 one after
// the other.
func TestRepartitioningKeepsAnswersConsistent(t *testing.T) {
	o := deployment.Options{Sheet: exampleSheet(t, "timing")}
	runInVirtualTime(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		tr := startTraffic(t, d, 1, d.Nodes...)
		began := time.Now()
		time.Sleep(500 * time.Millisecond)
		next := repartitioned(d.Sheet, 2)
		for _, s := range next.GetServices()[0].GetGenerations()[1].GetShards() {
			for _, r := range s.GetReplicas() {
				d.Backends[r.GetName()].Repartition(backend.Generation{ID: 2, FirstSnapshot: 2, Shards: []string{s.GetName()}})
			}
		}
		c.Assert(d.Publish(t.Context(), next), qt.IsNil)
		time.Sleep(time.Second)
		advanceSnapshots(d, 2, 20*time.Millisecond)
		time.Sleep(time.Second)
		answers := tr.end()
		logPartial(t, answers)
		all := summarise(answers, began, time.Now())
		t.Logf("%s", all)
		c.Assert(all.complete, qt.Equals, all.total)
		checkBackendLimits(t, d)
		c.Assert(answers[len(answers)-1].shards, qt.Equals, 5)
	})
}
