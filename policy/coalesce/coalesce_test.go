package coalesce_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/coalesce"
)

func TestBatchSizeSpreadsWaitingSubrequestsOverFreeSlots(t *testing.T) {
	// Nine wait. With one place free they go together, as far as a call takes
	// them; with three free they are spread, and none stays behind. Without
	// coalescing each goes alone.
	for _, test := range []struct{ most, waiting, free, want int }{
		{32, 9, 1, 9}, {4, 9, 1, 4}, {32, 9, 3, 3}, {32, 8, 3, 3}, {32, 1, 1, 1},
		{0, 9, 1, 1}, {1, 9, 1, 1}, {32, 0, 1, 0}, {32, 9, 0, 9},
	} {
		p := coalesce.Policy{MaxBatch: test.most}
		got := p.BatchSize(coalesce.Queue{Waiting: test.waiting}, test.free)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestMeetsDeadlineIsFalseWhenQueueIsTooLong(t *testing.T) {
	// Two places and calls of four: with 16 waiting, two full rounds go before a
	// newcomer, which is answered 3 typical times from now. With less left it would
	// only make others late; so it is refused while another replica can answer it.
	const typical = 5 * time.Millisecond
	q := coalesce.Queue{Waiting: 16, Slots: 2}
	on := coalesce.Policy{MaxBatch: 4}
	qt.Assert(t, on.MeetsDeadline(q, typical, 15*time.Millisecond), qt.IsTrue)
	qt.Assert(t, on.MeetsDeadline(q, typical, 14*time.Millisecond), qt.IsFalse)
	qt.Assert(t, on.MeetsDeadline(q, 0, time.Millisecond), qt.IsTrue)
	qt.Assert(t, coalesce.Policy{}.MeetsDeadline(q, typical, time.Millisecond), qt.IsTrue)
}
