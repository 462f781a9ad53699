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

// flip moves every backend server to a new snapshot, one after the other as an
// index build does; each keeps the snapshot before.
func flip(d *deployment.Deployment, snapshot uint64, apart time.Duration) {
	for _, r := range d.Sheet.GetServices()[0].GetGenerations()[0].GetShards() {
		for _, replica := range r.GetReplicas() {
			d.Backends[replica.GetName()].SetSnapshots(snapshot-1, snapshot)
			time.Sleep(apart)
		}
	}
}

// The index moves to a new snapshot each minute while queries run. Under 1% of them
// start over, and all are complete.
func TestSnapshotChangeRestartsFewQueries(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing")}
	virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		tr := startTraffic(t, d, 1, d.Nodes[0], d.Nodes[3])
		began := time.Now()
		for snapshot := range uint64(1) {
			flip(d, snapshot+2, time.Millisecond)
			time.Sleep(time.Until(began.Add(time.Duration(snapshot+1) * time.Minute)))
		}
		all := summarise(tr.end(), began, time.Now())
		t.Logf("%s", all)
		c.Assert(all.complete, qt.Equals, all.total)
		c.Assert(all.restarted*100 < all.total, qt.IsTrue, qt.Commentf("%s", all))
	})
}

// The index moves to a new snapshot while queries run, replica by replica. Each
// answer comes from one snapshot (startTraffic checks every row) and is complete:
// a query is pinned to a snapshot that all shards hold, and one whose snapshot
// is dropped beneath it starts over at a newer one.
func TestSnapshotChangesKeepAnswersConsistent(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing")}
	virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		warmUp(t, d)
		tr := startTraffic(t, d, 1, d.Nodes...)
		began := time.Now()
		for snapshot := range uint64(5) {
			flip(d, snapshot+2, 20*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		answers := tr.end()
		logPartial(t, answers)
		all := summarise(answers, began, time.Now())
		t.Logf("%s", all)
		c.Assert(all.complete, qt.Equals, all.total)
		checkLoads(t, d)
		c.Assert(answers[len(answers)-1].snapshot, qt.Equals, uint64(6), qt.Commentf("the newest snapshot is served in the end"))
	})
}

// repartitioned returns the sheet with a second generation from the snapshot on:
// its shards are the old ones in pairs, served by the same replicas.
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

// Operators accept a new partitioning while queries run: five shards in place of
// ten, from snapshot 2 on. Replicas take snapshot 2 up one after the other.
// Callers get whole answers of ten shards, then of five, never a mixture.
func TestRepartitioningKeepsAnswersConsistent(t *testing.T) {
	o := deployment.Options{Sheet: kenya(t, "timing")}
	virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
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
		flip(d, 2, 20*time.Millisecond)
		time.Sleep(time.Second)
		answers := tr.end()
		logPartial(t, answers)
		all := summarise(answers, began, time.Now())
		t.Logf("%s", all)
		c.Assert(all.complete, qt.Equals, all.total)
		checkLoads(t, d)
		c.Assert(answers[len(answers)-1].shards, qt.Equals, 5)
	})
}
