package coalesce_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/coalesce"
)

func TestBatchSizeSpreadsWaitingSubrequestsOverFreeSlots(t *testing.T) {
	// Guards against batches above the maximum, and against free slots that stay
	// unused while subrequests wait.
	for _, test := range []struct{ maxBatch, waiting, free, want int }{
		{32, 9, 1, 9}, {4, 9, 1, 4}, {32, 9, 3, 3}, {32, 8, 3, 3}, {32, 1, 1, 1},
		{0, 9, 1, 1}, {1, 9, 1, 1}, {32, 0, 1, 0}, {32, 9, 0, 9},
	} {
		p := coalesce.Policy{MaxBatch: test.maxBatch}
		got := p.BatchSize(coalesce.Queue{Waiting: test.waiting}, test.free)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestMeetsDeadlineIsFalseWhenQueueIsTooLong(t *testing.T) {
	// Guards against queueing a subrequest that cannot meet its deadline. With 16
	// subrequests waiting, 2 slots and calls of 4, two full rounds come first, so the
	// reply arrives after 3 typical times.
	const typical = 5 * time.Millisecond
	q := coalesce.Queue{Waiting: 16, Slots: 2}
	policy := coalesce.Policy{MaxBatch: 4}
	qt.Assert(t, policy.MeetsDeadline(q, typical, 15*time.Millisecond), qt.IsTrue)
	qt.Assert(t, policy.MeetsDeadline(q, typical, 14*time.Millisecond), qt.IsFalse)
	qt.Assert(t, policy.MeetsDeadline(q, 0, time.Millisecond), qt.IsTrue)
	qt.Assert(t, coalesce.Policy{}.MeetsDeadline(q, typical, time.Millisecond), qt.IsTrue)
}
