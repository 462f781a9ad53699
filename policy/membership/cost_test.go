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

// costs of the protocol alone, a node.
type costs struct {
	quietBytes, churnBytes, healBytes float64 // sent and received, a second
	largest                           int
	detect, dead, spread, join, leave time.Duration
	cutNoticed, healed                time.Duration
	processor                         float64 // share of a core
	memory                            float64 // bytes
	wrong                             []string
	complete                          bool
}

// measure runs the protocol over count nodes and faults of each kind.
func measure(count int, seed uint64) costs {
	c := costs{complete: true}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newSim(count, seed)
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
	c.quietBytes = perNode(10 * time.Second)
	note := func(d time.Duration, ok bool) time.Duration {
		c.complete = c.complete && ok
		return d
	}

	victim := s.nodes["10.0.0.3:7000"]
	victim.running = false
	c.detect = note(s.until(10*time.Second, func() bool {
		return s.anyone(func(n *simNode) bool { return n.state(victim.self) == suspect })
	}))
	c.dead = c.detect + note(s.until(10*time.Second, func() bool {
		return s.anyone(func(n *simNode) bool { return n.state(victim.self) == dead })
	}))
	c.spread = c.dead + note(s.until(20*time.Second, func() bool {
		return s.everyone(func(n *simNode) bool { return n.state(victim.self) == dead })
	}))

	s.bytes = 0
	fresh := s.start(3)
	s.join(fresh, s.nodes["10.0.0.1:7000"])
	c.join = note(s.until(20*time.Second, func() bool {
		return s.everyone(func(n *simNode) bool { return n.state(fresh.self) == alive && n.state(victim.self) == gone })
	}))
	quitter := s.nodes["10.0.0.5:7000"]
	quitter.Leave()
	c.leave = note(s.until(20*time.Second, func() bool {
		return s.everyone(func(n *simNode) bool { return n.state(quitter.self) == leaving })
	}))
	s.run(time.Minute - c.join - c.leave)
	c.churnBytes = perNode(time.Minute)
	quitter.FinishLeave()
	s.run(5 * time.Second)
	quitter.running = false

	c.partition(s, note, perNode)
	return c
}

// partition cuts the fleet in two halves for 20 s.
func (c *costs) partition(s *sim, note func(time.Duration, bool) time.Duration, perNode func(time.Duration) float64) {
	side := func(n *simNode) bool { return n.self.DataCentre < "dc-4" }
	s.cut = func(a, b *simNode) bool { return side(a) != side(b) }
	// across is the share of the pairs of nodes cut apart for which a condition
	// holds.
	across := func(fits func(Member) bool) float64 {
		pairs, fitting := 0, 0
		for _, n := range s.nodes {
			for _, r := range n.records {
				other := s.nodes[r.PeerAddress]
				if !n.running || !other.running || other.self.ID() != r.ID() || side(n) == side(other) {
					continue
				}
				pairs++
				if fits(r.Member) {
					fitting++
				}
			}
		}
		return float64(fitting) / float64(pairs)
	}
	lost := func(m Member) bool { return m.State == suspect || m.State == dead }
	c.cutNoticed = note(s.until(20*time.Second, func() bool { return across(lost) >= 0.99 }))
	s.run(20*time.Second - c.cutNoticed)
	s.cut = func(_, _ *simNode) bool { return false }
	s.bytes = 0
	c.healed = note(s.until(60*time.Second, func() bool {
		return across(func(m Member) bool { return m.State == alive }) == 1
	}))
	c.healBytes = perNode(c.healed)
	s.run(5 * time.Second)
	c.largest = s.largest
	for _, n := range s.nodes {
		for _, m := range n.Members() {
			if other := s.nodes[m.PeerAddress]; other.running && m.State != alive {
				c.wrong = append(c.wrong, fmt.Sprintf("%s: %+v", n.self.Name, m))
			}
		}
	}
}

func (c costs) String() string {
	return fmt.Sprintf("quiet %.0f B/s, a minute with one restart and one leave %.0f B/s, healing %.0f B/s, largest message %d B\n"+
		"suspected %v, dead %v, dead everywhere %v, replacement known everywhere %v, leave known everywhere %v\n"+
		"partition known for 99%% of pairs after %v, healed for all after %v; processor %.4f%%, memory %.0f KB",
		c.quietBytes, c.churnBytes, c.healBytes, c.largest, c.detect, c.dead, c.spread, c.join, c.leave,
		c.cutNoticed, c.healed, 100*c.processor, c.memory/1024)
}

// Bounds of the protocol in virtual time. For 750 nodes see BenchmarkFleet.
func TestCostOfMembershipIsBounded(t *testing.T) {
	for _, count := range []int{8, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			m := measure(count, 1)
			t.Log(m)
			c.Assert(m.complete, qt.IsTrue)
			c.Check(m.wrong, qt.HasLen, 0)
			c.Check(m.quietBytes < 4096, qt.IsTrue)
			c.Check(m.churnBytes < 4096, qt.IsTrue)
			c.Check(m.detect < 2*time.Second, qt.IsTrue)
			c.Check(m.spread < 5*time.Second, qt.IsTrue)
			c.Check(m.leave < 3*time.Second, qt.IsTrue)
			c.Check(m.cutNoticed < 6*time.Second, qt.IsTrue)
			c.Check(m.healed < 8*time.Second, qt.IsTrue)
		})
	}
}

// At the target's size a quiet node sends and receives no more for membership than it
// did.
func TestIdleTrafficOfLargeFleetIsBounded(t *testing.T) {
	const nodes = 750
	s := newSim(nodes, 1)
	s.run(2 * time.Second)
	s.bytes = 0
	s.run(4 * time.Second)
	bounds.Check(t, filepath.Join("..", "bench", "bounds.txt"), "membership-750", map[string]float64{
		"bytes/second": 2 * float64(s.bytes) / nodes / 4,
	})
}

// BenchmarkFleet runs the same faults at each size:
//
//	go test ./policy/membership -run - -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{8, 100, 750} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				m := measure(count, 1)
				b.Log(m)
				b.ReportMetric(m.quietBytes, "quietB/s")
				b.ReportMetric(m.churnBytes, "churnB/s")
				b.ReportMetric(m.spread.Seconds(), "spread-s")
				b.ReportMetric(100*m.processor, "core-%")
			}
		})
	}
}
