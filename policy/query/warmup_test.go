package query_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/query"
)

// startWithCopy starts a query with one copy. It returns the first attempt and the copy of
// the first shard, and the attempts of the other shards.
func startWithCopy(t *testing.T) (q *query.Query, first, warmUp query.Send, rest []query.Send) {
	q = newQuery(t, &testEnv{snapshot: 7, warmUps: 1, retries: 1, hedgeAfter: 20 * time.Millisecond})
	sends := q.Start(epoch).Send
	qt.Assert(t, sends, qt.HasLen, 4)
	qt.Assert(t, sends[1].Shard, qt.Equals, sends[0].Shard)
	qt.Assert(t, sends[1].Extra, qt.IsTrue)
	return q, sends[0], sends[1], sends[2:]
}

// A query must end with its last ordinary attempt, and cancel the outstanding copy.
func TestQueryDoesNotWaitForAWarmUpCopy(t *testing.T) {
	c := qt.New(t)
	q, first, warmUp, rest := startWithCopy(t)
	step := q.Reply(epoch, served(first, 7, 1))
	c.Assert(step.Cancel, qt.HasLen, 1)
	c.Assert(step.Cancel[0].Attempt, qt.Equals, warmUp.Attempt)
	for _, s := range rest {
		q.Reply(epoch, served(s, 7, 1))
	}
	c.Assert(q.Done(), qt.IsTrue)
	c.Assert(q.Answer().Stats.WarmUps, qt.Equals, 1)
}

// An outstanding copy must neither prevent the retry of a failed attempt nor change the pause
// before the next round.
func TestFailureIsRetriedWhileACopyIsInFlight(t *testing.T) {
	c := qt.New(t)
	q, first, warmUp, _ := startWithCopy(t)
	retry := q.Reply(epoch, failed(first, pb.Reason_REASON_LIMIT, pb.Evidence_EVIDENCE_NOT_RUN))
	c.Assert(retry.Send, qt.HasLen, 1)
	none := q.Reply(epoch, failed(retry.Send[0], pb.Reason_REASON_LIMIT, pb.Evidence_EVIDENCE_NOT_RUN))
	c.Assert(none.Send, qt.HasLen, 0)
	resume := q.NextTick()
	q.Reply(epoch, failed(warmUp, pb.Reason_REASON_COLD, pb.Evidence_EVIDENCE_NOT_RUN))
	c.Assert(q.NextTick(), qt.Equals, resume)
	resumed := q.Tick(resume)
	c.Assert(resumed.Send, qt.HasLen, 1)
	q.Reply(resume, served(resumed.Send[0], 7, 1))
	c.Assert(q.Answer().Results, qt.HasLen, 1)
}

// A copy that answers first must be merged, and the ordinary attempt cancelled.
func TestCopyThatAnswersFirstIsMerged(t *testing.T) {
	c := qt.New(t)
	q, first, warmUp, _ := startWithCopy(t)
	step := q.Reply(epoch, served(warmUp, 7, 1))
	c.Assert(step.Cancel, qt.HasLen, 1)
	c.Assert(step.Cancel[0].Attempt, qt.Equals, first.Attempt)
	c.Assert(q.Answer().Results, qt.HasLen, 1)
}
