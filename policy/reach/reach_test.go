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
	c.Assert(tr.Judge(begin.Add(300*time.Millisecond), nil).Isolated, qt.IsFalse)
	judged := tr.Judge(begin.Add(700*time.Millisecond), nil)
	c.Assert(judged.Isolated, qt.IsTrue)
	c.Assert(judged.Out, qt.HasLen, 3)
	tr.Answered(begin.Add(800*time.Millisecond), "c")
	c.Assert(tr.Judge(begin.Add(900*time.Millisecond), nil).Isolated, qt.IsFalse)
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
	judged := tr.Judge(now, nil)
	c.Assert(judged.Out, qt.DeepEquals, map[string]bool{"b": true})
	c.Assert(judged.Isolated, qt.IsFalse)
}

// At night nothing is sent, so nothing answers; and a single dark replica swallows
// whatever it gets. Neither makes its data centre unreachable.
func TestQuietOrASingleDarkReplicaIsNoCut(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	now := begin.Add(time.Hour)
	c.Assert(tr.Judge(now, nil).Out, qt.HasLen, 0)
	for range 100 {
		tr.Silent("b", "b1")
	}
	c.Assert(tr.Judge(now, nil).Out, qt.HasLen, 0)
}

// Right after a cut every connection to the other side holds a request that waits, so
// that no further one is sent and none ends for a second. Those that wait must count:
// without them the node noticed the cut after 1.5 s in place of 0.6 s.
func TestAttemptsThatWaitTellOfACut(t *testing.T) {
	c := qt.New(t)
	tr := tracker()
	var waiting []reach.Waiting
	for _, name := range []string{"b", "c", "d"} {
		for _, replica := range []string{"1", "1", "2", "2"} {
			waiting = append(waiting, reach.Waiting{DataCentre: name, Replica: name + replica})
		}
	}
	c.Assert(tr.Judge(begin.Add(300*time.Millisecond), waiting).Isolated, qt.IsFalse)
	c.Assert(tr.Judge(begin.Add(500*time.Millisecond), waiting).Isolated, qt.IsTrue)
	c.Assert(tr.Judge(begin.Add(500*time.Millisecond), waiting[:3]).Out, qt.HasLen, 0)
}
