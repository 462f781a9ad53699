package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/routing"
)

const normal = 10 * time.Millisecond

// shard drives a table over the replicas r0, r1 and so on of one shard, one
// request at a time.
type shard struct {
	*routing.Table
	now      time.Time
	replicas []*config.Replica
	latency  map[string]time.Duration
	picked   map[string]int
}

func newShard(n int) *shard {
	s := &shard{
		Table:   routing.New(rand.New(rand.NewPCG(1, 2))),
		now:     time.Unix(1000, 0),
		latency: make(map[string]time.Duration),
		picked:  make(map[string]int),
	}
	for i := range n {
		name := fmt.Sprintf("r%d", i)
		s.replicas = append(s.replicas, &config.Replica{Name: name, InService: true})
		s.latency[name] = normal
	}
	return s
}

func (s *shard) run(requests int) {
	clear(s.picked)
	for range requests {
		name := s.Pick(s.replicas, s.now).Name
		s.picked[name]++
		s.Sent(name, s.now)
		s.now = s.now.Add(time.Millisecond)
		s.Done(name, s.now, s.latency[name], routing.ResultOK)
	}
}

func TestEqualReplicasShareEvenly(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.run(3000)
	for name, n := range s.picked {
		c.Check(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%s: %d", name, n))
	}
}

// One replica of three becomes ten times slower than its siblings. Queries must
// stop meeting it after a few answers, yet notice its recovery.
func TestStragglerIsAvoidedAndProbed(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.run(300)
	s.latency["r1"] = 10 * normal
	s.run(10000)
	c.Assert(s.picked["r1"] >= 2 && s.picked["r1"] <= 40, qt.IsTrue, qt.Commentf("%v", s.picked))
	s.latency["r1"] = normal
	s.run(30000)
	s.run(3000)
	c.Assert(s.picked["r1"] > 800, qt.IsTrue, qt.Commentf("%v", s.picked))
}

// One answer of a replica is slow by chance. It must not lose its share of the
// requests for long.
func TestOneSlowReplyDoesNotReduceShareForLong(t *testing.T) {
	c := qt.New(t)
	s := newShard(2)
	s.run(100)
	s.latency["r1"] = 20 * normal
	for s.picked["r1"] = 0; s.picked["r1"] == 0; {
		s.run(1)
	}
	s.latency["r1"] = normal
	s.run(6000)
	s.run(1000)
	c.Assert(s.picked["r1"] > 300, qt.IsTrue, qt.Commentf("%v", s.picked))
}

func TestSlowerOfTwoReplicasIsAvoided(t *testing.T) {
	c := qt.New(t)
	s := newShard(2)
	s.latency["r0"] = 10 * normal
	s.run(5000)
	c.Assert(s.picked["r0"] < 50, qt.IsTrue, qt.Commentf("%v", s.picked))
}

func TestReplicaThatIsNotWarmGetsASmallShare(t *testing.T) {
	for _, test := range []struct {
		state pb.ReplicaState
		most  int
	}{
		{pb.ReplicaState_REPLICA_STATE_COLD, 350},
		{pb.ReplicaState_REPLICA_STATE_LOST, 20},
		{pb.ReplicaState_REPLICA_STATE_DRAINING, 20},
	} {
		t.Run(test.state.String(), func(t *testing.T) {
			c := qt.New(t)
			s := newShard(3)
			s.ApplyReport(&pb.ReplicaNews{Replica: "r2", State: test.state, Limit: 1}, s.now)
			s.run(10000)
			c.Assert(s.picked["r2"] <= test.most, qt.IsTrue, qt.Commentf("%v", s.picked))
			c.Assert(s.picked["r2"] > 0, qt.Equals, test.most > 0)
			for range 100 {
				c.Assert(s.PickHedge(s.replicas[1:], s.now).Name, qt.Equals, "r1")
			}
		})
	}
}

// An owner refuses: it is not the owner, or its limit is reached. The replica
// is well, so its latency must not suffer and it is soon chosen again.
func TestRefusalPausesReplicaAndKeepsItsLatency(t *testing.T) {
	c := qt.New(t)
	s := newShard(2)
	s.run(100)
	before := s.Latency("r0")
	s.Sent("r0", s.now)
	s.Done("r0", s.now, 100*time.Microsecond, routing.ResultRefused)
	c.Assert(s.Latency("r0"), qt.Equals, before)
	c.Assert(s.PickHedge(s.replicas[:1], s.now), qt.IsNil)
	for range 100 {
		c.Assert(s.Pick(s.replicas, s.now).Name, qt.Equals, "r1")
	}
	s.now = s.now.Add(6 * time.Millisecond)
	s.run(1000)
	c.Assert(s.picked["r0"] > 300, qt.IsTrue)
}

func TestReplicaOutOfServiceIsNeverPicked(t *testing.T) {
	c := qt.New(t)
	s := newShard(2)
	s.replicas[0].InService = false
	s.run(100)
	c.Assert(s.picked["r0"], qt.Equals, 0)
	s.replicas[1].InService = false
	c.Assert(s.Pick(s.replicas, s.now), qt.IsNil)
	c.Assert(s.Pick(nil, s.now), qt.IsNil)
}

// The last replica of a shard is chosen whatever its state, apart from one that
// is out of service: the owner has the final say.
func TestLastReplicaIsPickedWhateverItsState(t *testing.T) {
	c := qt.New(t)
	s := newShard(1)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_LOST}, s.now)
	c.Assert(s.Pick(s.replicas, s.now).Name, qt.Equals, "r0")
}

func TestPickDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.latency["r2"] = 10 * normal
	s.run(100)
	c.Assert(testing.AllocsPerRun(1000, func() {
		r := s.Pick(s.replicas, s.now)
		s.Sent(r.Name, s.now)
		s.Done(r.Name, s.now, normal, routing.ResultOK)
	}), qt.Equals, 0.0)
}

// BenchmarkPick gives the cost of choosing, sending and ending one subrequest
// while a node knows all replicas of that many shards.
func BenchmarkPick(b *testing.B) {
	for _, shards := range []int{10, 100, 1700} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			table := routing.New(rand.New(rand.NewPCG(1, 2)))
			candidates := make([][]*config.Replica, shards)
			for i := range candidates {
				for j := range 2 {
					name := fmt.Sprintf("shard-%d-replica-%d", i, j)
					candidates[i] = append(candidates[i], &config.Replica{Name: name, InService: true})
				}
			}
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				for _, c := range candidates {
					r := table.Pick(c, now)
					table.Sent(r.Name, now)
					table.Done(r.Name, now, normal, routing.ResultOK)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/subrequest")
		})
	}
}

// The callers' load comes back to a replica as soon as its owner calls it warm:
// while it was cold it answered eight times slower and refused what was too much,
// and neither may keep it out as a straggler or as refusing.
func TestHistoryIsResetWhenReplicaBecomesWarm(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.run(300)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_COLD, Limit: 1}, s.now)
	for range 5 {
		s.Sent("r0", s.now)
		s.now = s.now.Add(8 * normal)
		s.Done("r0", s.now, 8*normal, routing.ResultOK)
	}
	s.Sent("r0", s.now)
	s.Done("r0", s.now, 0, routing.ResultRefused)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 3}, s.now)
	s.run(300)
	c.Check(s.picked["r0"] > 50, qt.IsTrue, qt.Commentf("picked %d of 300 times", s.picked["r0"]))
}

// A cold replica gets copies one after the other, not faster than the pause, and
// none while one is out, after a refusal, or once it is warm.
func TestColdReplicaGetsOneWarmUpCopyAtATime(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.run(300)
	c.Assert(s.AnyCold(), qt.IsFalse)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_COLD, Limit: 1}, s.now)
	copies := 0
	for range 1000 {
		if r := s.PickWarmUp(s.replicas, s.now); r != nil {
			copies++
			s.Sent(r.Name, s.now)
			c.Assert(s.PickWarmUp(s.replicas, s.now.Add(time.Hour)), qt.IsNil)
			s.Done(r.Name, s.now.Add(8*normal), 8*normal, routing.ResultCancelled)
		}
		s.now = s.now.Add(time.Millisecond)
	}
	c.Check(copies >= 18 && copies <= 20, qt.IsTrue, qt.Commentf("%d copies in a second", copies))
	s.now = s.now.Add(time.Second)
	s.Sent("r0", s.now.Add(-time.Second))
	s.Done("r0", s.now, 0, routing.ResultRefused)
	c.Assert(s.PickWarmUp(s.replicas, s.now), qt.IsNil)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 3}, s.now)
	c.Assert(s.AnyCold(), qt.IsFalse)
}
