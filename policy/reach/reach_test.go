package reach_test

import (
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

// silence notes attempts at two replicas of each named data centre that got no answer.
func silence(t *reach.Tracker, names ...string) {
	for _, name := range names {
		for range 3 {
			t.RecordNoAnswer(name, name+"1")
			t.RecordNoAnswer(name, name+"2")
		}
	}
}

// A data centre is cut off from all others while callers still reach its nodes: every
// request there fails. Its nodes must find out within a second, and must find out as
// well that the cut is over.
func TestNodeIsIsolatedUntilAnotherDataCentreAnswers(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	silence(tr, "b", "c", "d")
	tr.RecordAnswer(begin.Add(400*time.Millisecond), "a")
	c.Assert(tr.Evaluate(begin.Add(300*time.Millisecond), nil, sufficient).Isolated, qt.IsFalse)
	judged := tr.Evaluate(begin.Add(700*time.Millisecond), nil, sufficient)
	c.Assert(judged.Isolated, qt.IsTrue)
	c.Assert(judged.Unreachable, qt.HasLen, 3)
	tr.RecordAnswer(begin.Add(800*time.Millisecond), "c")
	c.Assert(tr.Evaluate(begin.Add(900*time.Millisecond), nil, sufficient).Isolated, qt.IsFalse)
}

// Another data centre loses its power. This node is not the one that is cut off, and
// its callers stay.
func TestLossOfOneDataCentreDoesNotIsolateTheNode(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	silence(tr, "b")
	tr.RecordAnswer(begin.Add(time.Second), "c")
	tr.RecordAnswer(begin.Add(time.Second), "d")
	now := begin.Add(1100 * time.Millisecond)
	judged := tr.Evaluate(now, nil, sufficient)
	c.Assert(judged.Unreachable, qt.DeepEquals, map[string]bool{"b": true})
	c.Assert(judged.Isolated, qt.IsFalse)
}

// At night nothing is sent, so nothing answers; and a single dark replica swallows
// whatever it gets. Neither makes its data centre unreachable.
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

// Right after a cut every connection to the other side holds a request that waits, so
// that no further one is sent and none ends for a second. Those that wait must count:
// without them the node noticed the cut after 1.5 s in place of 0.6 s.
func TestPendingAttemptsCountAsEvidenceOfAPartition(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	var waiting []reach.PendingAttempt
	for _, name := range []string{"b", "c", "d"} {
		for _, replica := range []string{"1", "1", "2", "2"} {
			waiting = append(waiting, reach.PendingAttempt{DataCentre: name, Replica: name + replica})
		}
	}
	c.Assert(tr.Evaluate(begin.Add(300*time.Millisecond), waiting, sufficient).Isolated, qt.IsFalse)
	c.Assert(tr.Evaluate(begin.Add(500*time.Millisecond), waiting, sufficient).Isolated, qt.IsTrue)
	c.Assert(tr.Evaluate(begin.Add(500*time.Millisecond), waiting[:3], sufficient).Unreachable, qt.HasLen, 0)
}

// TestIdleDataCentreIsProbedDuringAPartition guards against a cut-off data centre that stays ready since
// requests refused for want of shards tell nothing of an idle data centre.
func TestIdleDataCentreIsProbedDuringAPartition(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	silence(tr, "b", "c")
	now := begin.Add(500 * time.Millisecond)
	judged := tr.Evaluate(now, nil, sufficient)
	c.Assert(judged.Isolated, qt.IsFalse, qt.Commentf("d is idle, and may be in reach"))
	c.Assert(judged.Probe, qt.DeepEquals, []string{"b", "c", "d"})
	silence(tr, "d")
	c.Assert(tr.Evaluate(now.Add(200*time.Millisecond), nil, sufficient).Isolated, qt.IsTrue)
}

// TestNoProbesWithoutAPartition guards against probes that cost connections while all is well.
func TestNoProbesWithoutAPartition(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	c.Assert(tr.Evaluate(begin.Add(time.Hour), nil, sufficient).Probe, qt.HasLen, 0)
	now := begin.Add(time.Hour)
	silence(tr, "b")
	tr.RecordAnswer(now, "c")
	c.Assert(tr.Evaluate(now, nil, sufficient).Probe, qt.DeepEquals, []string{"b", "d"})
}

// TestSmallerSideOfAPartitionIsIsolated guards against two data centres that are cut off from
// the rest together and keep their callers although they hold too few shards.
func TestSmallerSideOfAPartitionIsIsolated(t *testing.T) {
	c := qt.New(t)
	insufficient := func(map[string]bool) bool { return false }
	for cut, isolated := range map[string]bool{"c": false, "cd": false, "cde": false, "cdef": true, "bcdef": true} {
		tr := reach.New("a")
		tr.SetDataCentres(begin, map[string]int{"a": 9, "b": 9, "c": 9, "d": 9, "e": 9, "f": 9})
		for _, name := range cut {
			silence(tr, string(name))
		}
		now := begin.Add(500 * time.Millisecond)
		c.Check(tr.Evaluate(now, nil, insufficient).Isolated, qt.Equals, isolated, qt.Commentf("cut off: %s", cut))
		c.Check(tr.Evaluate(now, nil, sufficient).Isolated, qt.Equals, cut == "bcdef", qt.Commentf("cut off: %s", cut))
	}
}

// TestDataCentreWithOneReplicaCanBeUnreachable guards against a cut that is never noticed since a
// data centre holds too few replicas to be silent.
func TestDataCentreWithOneReplicaCanBeUnreachable(t *testing.T) {
	c := qt.New(t)
	tr := reach.New("a")
	tr.SetDataCentres(begin, map[string]int{"b": 1, "c": 2})
	for range 4 {
		tr.RecordNoAnswer("b", "b1")
		tr.RecordNoAnswer("c", "c1")
	}
	judged := tr.Evaluate(begin.Add(time.Second), nil, sufficient)
	c.Assert(judged.Unreachable, qt.DeepEquals, map[string]bool{"b": true})
}
