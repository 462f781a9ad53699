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
	t.Keep(begin, map[string]bool{"a": true, "b": true, "c": true, "d": true})
	return t
}

// silence notes attempts at two replicas of each named data centre that got no answer.
func silence(t *reach.Tracker, names ...string) {
	for _, name := range names {
		for range 3 {
			t.Silent(name, name+"1")
			t.Silent(name, name+"2")
		}
	}
}

// A data centre is cut off from all others while callers still reach its nodes: every
// request there fails. Its nodes must find out within a second, and must find out as
// well that the cut is over.
func TestNodeOfACutDataCentreIsIsolatedUntilOneAnswers(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	silence(tr, "b", "c", "d")
	tr.Answered(begin.Add(400*time.Millisecond), "a")
	c.Assert(tr.Isolated(begin.Add(500*time.Millisecond)), qt.IsFalse)
	c.Assert(tr.Isolated(begin.Add(700*time.Millisecond)), qt.IsTrue)
	c.Assert(tr.OutOfReach(begin.Add(700*time.Millisecond)), qt.HasLen, 3)
	tr.Answered(begin.Add(800*time.Millisecond), "c")
	c.Assert(tr.Isolated(begin.Add(900*time.Millisecond)), qt.IsFalse)
}

// Another data centre loses its power. This node is not the one that is cut off, and
// its callers stay.
func TestLossOfOneOtherDataCentreIsNoIsolation(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	silence(tr, "b")
	tr.Answered(begin.Add(time.Second), "c")
	tr.Answered(begin.Add(time.Second), "d")
	now := begin.Add(1100 * time.Millisecond)
	c.Assert(tr.Out(now, "b"), qt.IsTrue)
	c.Assert(tr.Isolated(now), qt.IsFalse)
}

// At night nothing is sent, so nothing answers; and a single dark replica swallows
// whatever it gets. Neither makes its data centre unreachable.
func TestQuietOrASingleDarkReplicaIsNoCut(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	now := begin.Add(time.Hour)
	c.Assert(tr.OutOfReach(now), qt.HasLen, 0)
	for range 100 {
		tr.Silent("b", "b1")
	}
	c.Assert(tr.OutOfReach(now), qt.HasLen, 0)
}
