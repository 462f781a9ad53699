package membership

import (
	"fmt"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// costs are the results of measure, per node where not stated otherwise.
type costs struct {
	idleBytes, churnBytes, healBytes  float64 // sent and received, per second
	largestMessage                    int     // size of the largest message in bytes
	detect, dead, spread, join, leave time.Duration
	partitionDetected, healed         time.Duration
	processor                         float64  // fraction of a core
	memory                            float64  // bytes
	wrongStates                       []string // members recorded in a state other than alive
	complete                          bool
}

// measure simulates the protocol with count nodes: idle, a crash with replacement, a
// leave and a partition.
func measure(count int, seed uint64) costs {
	c := costs{complete: true}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newSimulation(count, seed)
	runtime.GC()
	runtime.ReadMemStats(&after)
	c.memory = float64(after.HeapAlloc) - float64(before.HeapAlloc)
	c.memory /= float64(count)

	perNode := func(d time.Duration) float64 {
		// Each byte is sent by one node and received by another.
		bytes := 2 * float64(s.bytes) / float64(count) / d.Seconds()
		s.bytes = 0
		return bytes
	}
	began := time.Now()
	s.run(10 * time.Second)
	c.processor = time.Since(began).Seconds() / 10 / float64(count)
	c.idleBytes = perNode(10 * time.Second)
	recordTime := func(d time.Duration, ok bool) time.Duration {
		c.complete = c.complete && ok
		return d
	}

	crashed := s.nodes["10.0.0.3:7000"]
	crashed.running = false
	c.detect = recordTime(s.runUntil(10*time.Second, func() bool {
		return s.anyNode(func(n *simNode) bool { return n.stateOf(crashed.self) == suspect })
	}))
	c.dead = c.detect + recordTime(s.runUntil(10*time.Second, func() bool {
		return s.anyNode(func(n *simNode) bool { return n.stateOf(crashed.self) == dead })
	}))
	c.spread = c.dead + recordTime(s.runUntil(20*time.Second, func() bool {
		return s.allNodes(func(n *simNode) bool { return n.stateOf(crashed.self) == dead })
	}))

	s.bytes = 0
	replacement := s.start(3)
	s.join(replacement, s.nodes["10.0.0.1:7000"])
	c.join = recordTime(s.runUntil(20*time.Second, func() bool {
		return s.allNodes(func(n *simNode) bool {
			return n.stateOf(replacement.self) == alive && n.stateOf(crashed.self) == gone
		})
	}))
	leaver := s.nodes["10.0.0.5:7000"]
	leaver.Leave()
	c.leave = recordTime(s.runUntil(20*time.Second, func() bool {
		return s.allNodes(func(n *simNode) bool { return n.stateOf(leaver.self) == leaving })
	}))
	s.run(time.Minute - c.join - c.leave)
	c.churnBytes = perNode(time.Minute)
	leaver.FinishLeave()
	s.run(5 * time.Second)
	leaver.running = false

	c.partition(s, recordTime, perNode)
	return c
}

// partition splits the fleet into two halves for 20 s.
func (c *costs) partition(s *simulation, recordTime func(time.Duration, bool) time.Duration, perNode func(time.Duration) float64) {
	side := func(n *simNode) bool { return n.self.DataCentre < "dc-4" }
	s.partitioned = func(a, b *simNode) bool { return side(a) != side(b) }
	// matchingPairs is the fraction of node pairs across the partition for which a
	// condition holds.
	matchingPairs := func(match func(Member) bool) float64 {
		pairs, matching := 0, 0
		for _, n := range s.nodes {
			for _, r := range n.records {
				other := s.nodes[r.PeerAddress]
				if !n.running || !other.running || other.self.ID() != r.ID() || side(n) == side(other) {
					continue
				}
				pairs++
				if match(r.Member) {
					matching++
				}
			}
		}
		return float64(matching) / float64(pairs)
	}
	unreachable := func(m Member) bool { return m.State == suspect || m.State == dead }
	c.partitionDetected = recordTime(s.runUntil(20*time.Second, func() bool { return matchingPairs(unreachable) >= 0.99 }))
	s.run(20*time.Second - c.partitionDetected)
	s.partitioned = func(_, _ *simNode) bool { return false }
	s.bytes = 0
	c.healed = recordTime(s.runUntil(60*time.Second, func() bool {
		return matchingPairs(func(m Member) bool { return m.State == alive }) == 1
	}))
	c.healBytes = perNode(c.healed)
	s.run(5 * time.Second)
	c.largestMessage = s.largest
	for _, n := range s.nodes {
		for _, m := range n.Members() {
			if other := s.nodes[m.PeerAddress]; other.running && m.State != alive {
				c.wrongStates = append(c.wrongStates, fmt.Sprintf("%s: %+v", n.self.Name, m))
			}
		}
	}
}

func (c costs) String() string {
	return fmt.Sprintf("idle %.0f B/s, with a restart and a leave per minute %.0f B/s, after a partition %.0f B/s, largest message %d B\n"+
		"suspect after %v, dead after %v, dead on all nodes after %v, replaced on all nodes after %v, left on all nodes after %v\n"+
		"partition detected for 99%% of pairs after %v, healed for all pairs after %v; processor %.4f%%, memory %.0f KB",
		c.idleBytes, c.churnBytes, c.healBytes, c.largestMessage, c.detect, c.dead, c.spread, c.join, c.leave,
		c.partitionDetected, c.healed, 100*c.processor, c.memory/1024)
}

// Guards against excessive traffic and slow failure detection, in virtual time.
// BenchmarkFleet covers 750 nodes.
func TestCostOfMembershipIsBounded(t *testing.T) {
	for _, count := range []int{8, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			m := measure(count, 1)
			t.Log(m)
			c.Assert(m.complete, qt.IsTrue)
			c.Check(m.wrongStates, qt.HasLen, 0)
			c.Check(m.idleBytes < 4096, qt.IsTrue)
			c.Check(m.churnBytes < 4096, qt.IsTrue)
			c.Check(m.detect < 2*time.Second, qt.IsTrue)
			c.Check(m.spread < 5*time.Second, qt.IsTrue)
			c.Check(m.leave < 3*time.Second, qt.IsTrue)
			c.Check(m.partitionDetected < 6*time.Second, qt.IsTrue)
			c.Check(m.healed < 8*time.Second, qt.IsTrue)
		})
	}
}

// Guards against an increase of idle membership traffic per node in a large fleet.
func TestIdleTrafficOfLargeFleetIsBounded(t *testing.T) {
	const nodes = 750
	s := newSimulation(nodes, 1)
	s.run(2 * time.Second)
	s.bytes = 0
	s.run(4 * time.Second)
	bounds.Check(t, filepath.Join("..", "bench", "bounds.txt"), "membership-750", map[string]float64{
		"bytes/second": 2 * float64(s.bytes) / nodes / 4,
	})
}

// BenchmarkFleet simulates the same faults for several fleet sizes:
//
//	go test ./policy/membership -run - -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{8, 100, 750} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				m := measure(count, 1)
				b.Log(m)
				b.ReportMetric(m.idleBytes, "quietB/s")
				b.ReportMetric(m.churnBytes, "churnB/s")
				b.ReportMetric(m.spread.Seconds(), "spread-s")
				b.ReportMetric(100*m.processor, "core-%")
			}
		})
	}
}
