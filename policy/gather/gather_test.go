package gather_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/gather"
)

const ms = time.Millisecond

func ten() gather.Params {
	return gather.Params{
		Shards: 10, MaxAttempts: 2, MinCoverage: 0.89,
		Objective: 120 * ms, Deadline: 1200 * ms, Idempotent: true,
	}
}

// started returns a query with one attempt of each shard out, and all but the last
// open ones answered.
func started(p gather.Params, open int) *gather.Query {
	q := gather.New(p)
	for i := range p.Shards {
		q.Sent(i, 0)
	}
	for i := range p.Shards - open {
		q.Answered(i)
	}
	return q
}

// One shard stands still. Until the objective the caller waits for it; then an answer
// without it is worth more than a whole one that comes late.
func TestAnswerIsGivenAtTheObjectiveWithTheLeastCoverage(t *testing.T) {
	c := qt.New(t)
	q := started(ten(), 1)
	verdict, look := q.Decide(50 * ms)
	c.Assert(verdict, qt.Equals, gather.Wait)
	c.Assert(look, qt.Equals, 120*ms)
	verdict, _ = q.Decide(120 * ms)
	c.Assert(verdict, qt.Equals, gather.Success)
	c.Assert(q.Coverage(), qt.Equals, 0.9)
}

// Half of the replicas refuse every second request. Two attempts of a shard were refused,
// and a third replica may not get the request. What was refused has not run: the shard is
// tried again after a pause at one of the two, four times with pauses that double, and
// counts as lost only then.
func TestRefusedShardIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	q := started(ten(), 1)
	c.Assert(q.Failed(9, true), qt.IsTrue)
	q.Sent(9, 1*ms)
	c.Assert(q.Failed(9, true), qt.IsFalse)
	at := 2 * ms
	for _, pause := range []time.Duration{5 * ms, 10 * ms, 20 * ms, 40 * ms} {
		c.Assert(q.ScheduleRetry(9, at), qt.IsTrue)
		q.MarkLostIfIdle(9)
		next := q.SendDueRetries(at, func(int) { t.Fatal("sent too early") })
		c.Assert(next, qt.Equals, at+pause)
		verdict, _ := q.Decide(at)
		c.Assert(verdict, qt.Equals, gather.Wait)
		at = next
		sent := 0
		q.SendDueRetries(at, func(i int) { sent++; q.RetrySent(i, at) })
		c.Assert(sent, qt.Equals, 1)
		q.Failed(9, true)
	}
	c.Assert(q.ScheduleRetry(9, at), qt.IsFalse)
	q.MarkLostIfIdle(9)
	verdict, _ := q.Decide(at)
	c.Assert(verdict, qt.Equals, gather.Success)
}

// Four of five replicas refuse most requests, and the budget for extra requests is nearly
// spent. Nine shards of ten make an answer: the first that was refused can be done
// without, the second cannot.
func TestLastPartOfTheBudgetIsForShardsThatDecide(t *testing.T) {
	c := qt.New(t)
	q := started(ten(), 4)
	q.Failed(9, true)
	c.Assert(q.Dispensable(9), qt.IsTrue)
	q.Failed(8, true)
	c.Assert(q.Dispensable(8), qt.IsFalse)
	q.Sent(9, 0)
	q.Answered(9)
	c.Assert(q.Dispensable(8), qt.IsTrue)
	one := gather.New(gather.Params{Shards: 1, MaxAttempts: 2, MinCoverage: 1, Deadline: time.Second})
	one.Sent(0, 0)
	one.Failed(0, true)
	c.Assert(one.Dispensable(0), qt.IsFalse)
}

// Two shards of ten stand still and nine are needed: the caller waits on, and gets the
// answer with the ninth, or a final one at the deadline.
func TestBelowTheLeastCoverageTheCallerWaits(t *testing.T) {
	c := qt.New(t)
	q := started(ten(), 2)
	verdict, look := q.Decide(130 * ms)
	c.Assert(verdict, qt.Equals, gather.Wait)
	c.Assert(look, qt.Equals, 1200*ms)
	verdict, _ = q.Decide(1200 * ms)
	c.Assert(verdict, qt.Equals, gather.DeadlineExceeded)
	q.Answered(8)
	verdict, _ = q.Decide(200 * ms)
	c.Assert(verdict, qt.Equals, gather.Success)
}

// Shards are lost one after the other. The request fails as soon as the least coverage
// is out of reach, and succeeds as soon as nothing is left to wait for.
func TestLostShardsEndTheWait(t *testing.T) {
	c := qt.New(t)
	q := started(ten(), 1)
	c.Assert(q.Failed(9, true), qt.IsTrue)
	q.GiveUp(9)
	verdict, _ := q.Decide(10 * ms)
	c.Assert(verdict, qt.Equals, gather.Success, qt.Commentf("nine of ten, and nothing to wait for"))

	q = started(ten(), 2)
	q.Failed(9, true)
	q.GiveUp(9)
	q.Failed(8, true)
	q.GiveUp(8)
	verdict, _ = q.Decide(10 * ms)
	c.Assert(verdict, qt.Equals, gather.Failure)
}

// A shard is hedged while its first attempt is out; the attempt fails and the hedge
// answers. The shard must not count as lost.
func TestHedgeOutlivesTheFirstAttempt(t *testing.T) {
	c := qt.New(t)
	q := started(ten(), 1)
	var hedged []int
	send := func(i int) {
		hedged = append(hedged, i)
		q.Sent(i, 30*ms)
	}
	after := func(int) time.Duration { return 30 * ms }
	c.Assert(q.Hedges(10*ms, 30*ms, after, send), qt.Equals, 30*ms)
	c.Assert(hedged, qt.HasLen, 0)
	q.Hedges(30*ms, 30*ms, after, send)
	c.Assert(hedged, qt.DeepEquals, []int{9})
	c.Assert(q.Failed(9, true), qt.IsFalse, qt.Commentf("both attempts are used"))
	q.MarkLostIfIdle(9)
	verdict, _ := q.Decide(40 * ms)
	c.Assert(verdict, qt.Equals, gather.Wait)
	c.Assert(q.Answered(9), qt.IsTrue)
	verdict, _ = q.Decide(41 * ms)
	c.Assert(verdict, qt.Equals, gather.Success)
}

// A request that may run once is never hedged, however long it takes.
func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	c := qt.New(t)
	p := ten()
	p.Shards, p.MinCoverage, p.Idempotent = 1, 1, false
	q := gather.New(p)
	q.Sent(0, 0)
	q.Hedges(time.Second, ms, func(int) time.Duration { return ms }, func(int) { c.Fatal("hedged") })
}

// An attempt that reached no replica does not use up the attempts of its shard.
func TestAttemptThatReachedNobodyDoesNotCount(t *testing.T) {
	c := qt.New(t)
	p := ten()
	p.MaxAttempts = 1
	q := gather.New(p)
	q.Sent(0, 0)
	c.Assert(q.Failed(0, false), qt.IsTrue)
	q.Sent(0, ms)
	c.Assert(q.Failed(0, true), qt.IsFalse)
}

func TestGreatestMatchesASortOfAllRecords(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		var parts [][]byte
		var all [][]byte
		for range 1 + rng.IntN(10) {
			part := make([]byte, rng.IntN(100))
			for i := range part {
				part[i] = byte(rng.IntN(3))
			}
			parts = append(parts, part)
			for i := 0; i+gather.RecordBytes <= len(part); i += gather.RecordBytes {
				all = append(all, part[i:i+gather.RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		n := rng.IntN(12)
		want := bytes.Join(all[:min(n, len(all))], nil)
		c.Assert(string(gather.Greatest(parts, n)), qt.Equals, string(want))
	}
}

// The merge of a query over ten shards: 25 records each, the 20 greatest wanted.
func BenchmarkGreatest(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	var parts [][]byte
	for range 10 {
		part := make([]byte, 400)
		for i := range part {
			part[i] = byte(rng.Uint32())
		}
		parts = append(parts, part)
	}
	b.ReportAllocs()
	for b.Loop() {
		gather.Greatest(parts, 20)
	}
}
