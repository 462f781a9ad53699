package scenario_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/standin/backend"
)

const testBatch = 16

// batching is timing with one call at a time from each owner to a replica, each of
// up to testBatch subrequests.
func batching(t *testing.T) deployment.Options {
	s := kenya(t, "timing")
	s.Services[0].MaxBatch = testBatch
	s.Services[0].Connections = 3
	return deployment.Options{Sheet: s, Backend: func(o *backend.Options) { o.Slots = 4 * testBatch }}
}

// batched sums what the backend servers saw.
func batched(d *deployment.Deployment) (sum backend.Counts) {
	for _, server := range d.Backends {
		c := server.Counts()
		sum.Queries += c.Queries
		sum.Batches += c.Batches
		sum.ColdOverloads += c.ColdOverloads
		sum.MaxBatch = max(sum.MaxBatch, c.MaxBatch)
	}
	return sum
}

// Callers ask for more than one call at a time carries: subrequests share calls
// and are answered in full. In the middle of it one replica restarts cold, which
// bears one request, and another drains. Batches are under way at both and queued
// behind them; none reaches the cold one, which would fall over, and what was
// refused or cut finds another replica. With max_batch 0 it fails: callers wait in
// queues, and a fifth of their queries are partial or refused.
func TestBatchingAnswersInFullDuringColdStartAndDrain(t *testing.T) {
	virtual(t, batching(t), func(t *testing.T, d *deployment.Deployment) {
		warmUp(t, d)
		tr := startTraffic(t, d, 10, d.Nodes...)
		began := time.Now()
		time.Sleep(300 * time.Millisecond)
		shard := d.Sheet.Services[0].Generations[0].Shards[0]
		d.Backends[shard.Replicas[0].Name].Restart()
		d.Backends[shard.Replicas[1].Name].Drain(true)
		time.Sleep(500 * time.Millisecond)
		answers := tr.end()
		s := summarise(answers, began, time.Now())
		logPartial(t, answers)
		counts := batched(d)
		t.Logf("%s; %d queries, %d batches of up to %d", s, counts.Queries, counts.Batches, counts.MaxBatch)
		qt.Assert(t, counts.ColdOverloads, qt.Equals, uint64(0))
		qt.Assert(t, counts.Batches > 100, qt.IsTrue)
		qt.Assert(t, counts.MaxBatch <= testBatch, qt.IsTrue)
		qt.Assert(t, s.complete, qt.Equals, s.total)
	})
}

// One caller a node leaves places free: nothing waits, so no subrequest shares a
// call, and coalescing costs nobody a moment.
func TestSubrequestsAreNotBatchedWhileSlotsAreFree(t *testing.T) {
	o := batching(t)
	o.Sheet.Services[0].Connections = 30
	virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
		warmUp(t, d)
		before := batched(d)
		tr := startTraffic(t, d, 1, d.Nodes...)
		time.Sleep(500 * time.Millisecond)
		answers := tr.end()
		after := batched(d)
		qt.Assert(t, after.Queries-before.Queries >= uint64(10*len(answers)), qt.IsTrue)
		qt.Assert(t, after.Batches, qt.Equals, before.Batches)
	})
}
