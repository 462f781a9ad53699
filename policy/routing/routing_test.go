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

const baseLatency = 10 * time.Millisecond

// shard sends requests one at a time to replicas r0, r1 and so on of one shard.
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
		s.latency[name] = baseLatency
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
		c.Check(n > 800 && n < 1200, qt.IsTrue, qt.Commentf("%s was picked %d of 3000 times", name, n))
	}
}

// Guards against queries that continue to use a replica ten times slower than the
// others, and against a recovery that is not detected.
func TestStragglerIsAvoidedAndProbed(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.run(300)
	s.latency["r1"] = 10 * baseLatency
	s.run(10000)
	c.Assert(s.picked["r1"] >= 2 && s.picked["r1"] <= 40, qt.IsTrue, qt.Commentf("picked: %v", s.picked))
	s.latency["r1"] = baseLatency
	s.run(30000)
	s.run(3000)
	c.Assert(s.picked["r1"] > 800, qt.IsTrue, qt.Commentf("picked: %v", s.picked))
}

// Guards against a replica that loses its share of requests for long after one slow
// reply.
func TestOneSlowReplyDoesNotReduceShareForLong(t *testing.T) {
	c := qt.New(t)
	s := newShard(2)
	s.run(100)
	s.latency["r1"] = 20 * baseLatency
	for s.picked["r1"] = 0; s.picked["r1"] == 0; {
		s.run(1)
	}
	s.latency["r1"] = baseLatency
	s.run(6000)
	s.run(1000)
	c.Assert(s.picked["r1"] > 300, qt.IsTrue, qt.Commentf("picked: %v", s.picked))
}

func TestSlowerOfTwoReplicasIsAvoided(t *testing.T) {
	c := qt.New(t)
	s := newShard(2)
	s.latency["r0"] = 10 * baseLatency
	s.run(5000)
	c.Assert(s.picked["r0"] < 50, qt.IsTrue, qt.Commentf("picked: %v", s.picked))
}

func TestReplicaThatIsNotWarmGetsASmallShare(t *testing.T) {
	for _, test := range []struct {
		state     pb.ReplicaState
		maxPicked int
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
			c.Assert(s.picked["r2"] <= test.maxPicked, qt.IsTrue, qt.Commentf("picked: %v", s.picked))
			c.Assert(s.picked["r2"] > 0, qt.Equals, test.maxPicked > 0)
			for range 100 {
				c.Assert(s.PickHedge(s.replicas[1:], s.now).Name, qt.Equals, "r1")
			}
		})
	}
}

// Guards against a refusal that counts as a slow reply or causes a long pause. An
// owner refuses if it does not own the replica or its limit is reached.
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

// Guards against a shard without an answer while its last replica is in service.
func TestLostReplicaIsPickedWhenItIsTheLast(t *testing.T) {
	c := qt.New(t)
	s := newShard(1)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_LOST}, s.now)
	c.Assert(s.Pick(s.replicas, s.now).Name, qt.Equals, "r0")
}

func TestPickDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.latency["r2"] = 10 * baseLatency
	s.run(100)
	c.Assert(testing.AllocsPerRun(1000, func() {
		r := s.Pick(s.replicas, s.now)
		s.Sent(r.Name, s.now)
		s.Done(r.Name, s.now, baseLatency, routing.ResultOK)
	}), qt.Equals, 0.0)
}

// BenchmarkPick measures picking, sending and ending one subrequest while the table
// holds the replicas of the given number of shards.
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
					table.Done(r.Name, now, baseLatency, routing.ResultOK)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/subrequest")
		})
	}
}

// Guards against a replica that is treated as a straggler or stays paused after its
// owner reports it warm, because of slow replies and refusals while it was cold.
func TestHistoryIsResetWhenReplicaBecomesWarm(t *testing.T) {
	c := qt.New(t)
	s := newShard(3)
	s.run(300)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_COLD, Limit: 1}, s.now)
	for range 5 {
		s.Sent("r0", s.now)
		s.now = s.now.Add(8 * baseLatency)
		s.Done("r0", s.now, 8*baseLatency, routing.ResultOK)
	}
	s.Sent("r0", s.now)
	s.Done("r0", s.now, 0, routing.ResultRefused)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 3}, s.now)
	s.run(300)
	c.Check(s.picked["r0"] > 50, qt.IsTrue, qt.Commentf("r0 was picked %d of 300 times", s.picked["r0"]))
}

// Guards against concurrent copies to a cold replica, copies within the pause, and
// copies after a refusal or once the replica is warm.
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
			s.Done(r.Name, s.now.Add(8*baseLatency), 8*baseLatency, routing.ResultCancelled)
		}
		s.now = s.now.Add(time.Millisecond)
	}
	c.Check(copies >= 18 && copies <= 20, qt.IsTrue, qt.Commentf("%d warm-up copies in a second", copies))
	s.now = s.now.Add(time.Second)
	s.Sent("r0", s.now.Add(-time.Second))
	s.Done("r0", s.now, 0, routing.ResultRefused)
	c.Assert(s.PickWarmUp(s.replicas, s.now), qt.IsNil)
	s.ApplyReport(&pb.ReplicaNews{Replica: "r0", State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 3}, s.now)
	c.Assert(s.AnyCold(), qt.IsFalse)
}
