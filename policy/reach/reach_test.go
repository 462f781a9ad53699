package reach_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/reach"
)

var begin = time.Unix(1000, 0)

func tracker() *reach.Tracker {
	t := reach.New("a")
	t.SetDataCentres(begin, map[string]int{"a": 9, "b": 9, "c": 9, "d": 9})
	return t
}

func sufficient(map[string]bool) bool { return true }

// recordSilence records unanswered attempts at two replicas of each named data centre.
func recordSilence(t *reach.Tracker, names ...string) {
	for _, name := range names {
		for range 3 {
			t.RecordNoAnswer(name, name+"1")
			t.RecordNoAnswer(name, name+"2")
		}
	}
}

// Guards against a node of a partitioned data centre that accepts requests it cannot
// answer, and against one that refuses them after the partition has ended.
func TestNodeIsIsolatedUntilAnotherDataCentreAnswers(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	recordSilence(tr, "b", "c", "d")
	tr.RecordAnswer(begin.Add(400*time.Millisecond), "a")
	c.Assert(tr.Evaluate(begin.Add(300*time.Millisecond), nil, sufficient).Isolated, qt.IsFalse)
	result := tr.Evaluate(begin.Add(700*time.Millisecond), nil, sufficient)
	c.Assert(result.Isolated, qt.IsTrue)
	c.Assert(result.Unreachable, qt.HasLen, 3)
	tr.RecordAnswer(begin.Add(800*time.Millisecond), "c")
	c.Assert(tr.Evaluate(begin.Add(900*time.Millisecond), nil, sufficient).Isolated, qt.IsFalse)
}

// Guards against a node that refuses its callers because another data centre failed.
func TestLossOfOneDataCentreDoesNotIsolateTheNode(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	recordSilence(tr, "b")
	tr.RecordAnswer(begin.Add(time.Second), "c")
	tr.RecordAnswer(begin.Add(time.Second), "d")
	now := begin.Add(1100 * time.Millisecond)
	result := tr.Evaluate(now, nil, sufficient)
	c.Assert(result.Unreachable, qt.DeepEquals, map[string]bool{"b": true})
	c.Assert(result.Isolated, qt.IsFalse)
}

// Guards against a data centre that counts as unreachable because no requests are sent
// or because a single replica does not answer.
func TestIdleDataCentreOrSingleSilentReplicaIsNoPartition(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	now := begin.Add(time.Hour)
	c.Assert(tr.Evaluate(now, nil, sufficient).Unreachable, qt.HasLen, 0)
	for range 100 {
		tr.RecordNoAnswer("b", "b1")
	}
	c.Assert(tr.Evaluate(now, nil, sufficient).Unreachable, qt.HasLen, 0)
}

// Guards against a partition that is detected late because pending attempts do not
// count. They occupy every connection, so no attempt ends for a second.
func TestPendingAttemptsCountAsEvidenceOfAPartition(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	var pending []reach.PendingAttempt
	for _, name := range []string{"b", "c", "d"} {
		for _, replica := range []string{"1", "1", "2", "2"} {
			pending = append(pending, reach.PendingAttempt{DataCentre: name, Replica: name + replica})
		}
	}
	c.Assert(tr.Evaluate(begin.Add(300*time.Millisecond), pending, sufficient).Isolated, qt.IsFalse)
	c.Assert(tr.Evaluate(begin.Add(500*time.Millisecond), pending, sufficient).Isolated, qt.IsTrue)
	c.Assert(tr.Evaluate(begin.Add(500*time.Millisecond), pending[:3], sufficient).Unreachable, qt.HasLen, 0)
}

// Guards against a partitioned node that stays ready because an idle data centre counts
// as reachable: a request that is refused for missing shards is sent to no replica.
func TestIdleDataCentreIsProbedDuringAPartition(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	recordSilence(tr, "b", "c")
	now := begin.Add(500 * time.Millisecond)
	result := tr.Evaluate(now, nil, sufficient)
	c.Assert(result.Isolated, qt.IsFalse, qt.Commentf("d is idle and may be reachable"))
	c.Assert(result.Probe, qt.DeepEquals, []string{"b", "c", "d"})
	recordSilence(tr, "d")
	c.Assert(tr.Evaluate(now.Add(200*time.Millisecond), nil, sufficient).Isolated, qt.IsTrue)
}

// Guards against probes that use connections while every data centre is reachable.
func TestNoProbesWithoutAPartition(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	c.Assert(tr.Evaluate(begin.Add(time.Hour), nil, sufficient).Probe, qt.HasLen, 0)
	now := begin.Add(time.Hour)
	recordSilence(tr, "b")
	tr.RecordAnswer(now, "c")
	c.Assert(tr.Evaluate(now, nil, sufficient).Probe, qt.DeepEquals, []string{"b", "d"})
}

// Guards against a smaller side of a partition that accepts requests although it holds
// too few shards to answer them.
func TestSmallerSideOfAPartitionIsIsolated(t *testing.T) {
	c := qt.New(t)
	insufficient := func(map[string]bool) bool { return false }
	for partition, isolated := range map[string]bool{"c": false, "cd": false, "cde": false, "cdef": true, "bcdef": true} {
		tr := reach.New("a")
		tr.SetDataCentres(begin, map[string]int{"a": 9, "b": 9, "c": 9, "d": 9, "e": 9, "f": 9})
		for _, name := range partition {
			recordSilence(tr, string(name))
		}
		now := begin.Add(500 * time.Millisecond)
		c.Check(tr.Evaluate(now, nil, insufficient).Isolated, qt.Equals, isolated, qt.Commentf("partitioned: %s", partition))
		c.Check(tr.Evaluate(now, nil, sufficient).Isolated, qt.Equals, partition == "bcdef", qt.Commentf("partitioned: %s", partition))
	}
}

// Guards against a partition that is never detected because a data centre has fewer
// replicas than minSilentReplicas.
func TestDataCentreWithOneReplicaCanBeUnreachable(t *testing.T) {
	c := qt.New(t)
	tr := reach.New("a")
	tr.SetDataCentres(begin, map[string]int{"b": 1, "c": 2})
	for range 4 {
		tr.RecordNoAnswer("b", "b1")
		tr.RecordNoAnswer("c", "c1")
	}
	result := tr.Evaluate(begin.Add(time.Second), nil, sufficient)
	c.Assert(result.Unreachable, qt.DeepEquals, map[string]bool{"b": true})
}

// Guards against nodes with few requests that stay ready in a data centre that is cut off,
// each until it has a request of its own: with more nodes, each has fewer requests. Fails
// without Suspect.
func TestIdleNodesDetectAPartitionSoon(t *testing.T) {
	const detectionSpread = 1500 * time.Millisecond
	for _, count := range []int{2, 10, 60, 120} {
		for seed := range uint64(20) {
			first, last := detectCut(count, rand.New(rand.NewPCG(seed, uint64(count))))
			qt.New(t).Check(last > 0 && last-first <= detectionSpread, qt.IsTrue,
				qt.Commentf("%d nodes, seed %d: %v to %v", count, seed, first, last))
		}
	}
}

// detectCut cuts off a data centre with count nodes and returns when the first and the last
// of them detect it; 0 for never. Heartbeats report the first to the others.
func detectCut(count int, rng *rand.Rand) (first, last time.Duration) {
	const (
		round             = 200 * time.Millisecond
		heartbeat         = 300 * time.Millisecond
		requestsPerSecond = 13.5
	)
	nodes, probes := make([]*cutOffNode, count), make([][]string, count)
	for i := range nodes {
		wait := rng.ExpFloat64() * float64(count) / requestsPerSecond
		nodes[i] = &cutOffNode{tracker: tracker(), requestAt: time.Duration(wait * float64(time.Second))}
	}
	for at := round; at < time.Minute; at += round {
		isolated := 0
		for i, n := range nodes {
			if first > 0 && at >= first+heartbeat {
				n.tracker.Suspect(begin.Add(at))
			}
			probes[i] = n.step(at, probes[i])
			if n.isolated {
				isolated++
			}
		}
		if isolated > 0 && first == 0 {
			first = at
		}
		if isolated == count {
			return first, at
		}
	}
	return first, 0
}

// cutOffNode is a node of a data centre that is cut off.
type cutOffNode struct {
	tracker *reach.Tracker
	// requestAt is the time of the first request after the cut.
	requestAt time.Duration
	isolated  bool
}

// step evaluates one round, in which the given probes have failed, and returns the next ones.
func (n *cutOffNode) step(at time.Duration, probes []string) []string {
	const silenceThreshold = 200 * time.Millisecond
	for _, name := range probes {
		n.tracker.RecordNoAnswer(name, name+"1")
		n.tracker.RecordNoAnswer(name, name+"2")
	}
	if at >= n.requestAt+silenceThreshold && !n.isolated {
		recordSilence(n.tracker, "b", "c")
	}
	result := n.tracker.Evaluate(begin.Add(at), nil, sufficient)
	n.isolated = result.Isolated
	return result.Probe
}

// Guards against probes that go on after the nodes that reported a partition are reachable
// again, and against probes of data centres that answer.
func TestSuspicionEndsAndSparesDataCentresThatAnswer(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	now := begin.Add(time.Hour)
	tr.RecordAnswer(now, "c")
	tr.Suspect(now)
	c.Assert(tr.Evaluate(now, nil, sufficient).Probe, qt.DeepEquals, []string{"b", "d"})
	c.Assert(tr.Evaluate(now.Add(2*time.Second), nil, sufficient).Probe, qt.HasLen, 0)
}
