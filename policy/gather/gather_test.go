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

func tenShards() gather.Params {
	return gather.Params{
		Shards: 10, MaxAttempts: 2, MinCoverage: 0.89,
		Objective: 120 * ms, Deadline: 1200 * ms, Idempotent: true,
	}
}

// startedQuery returns a query with one attempt sent for each shard, and answers to all but
// the last pending ones.
func startedQuery(p gather.Params, pending int) *gather.Query {
	q := gather.New(p)
	for i := range p.Shards {
		q.Sent(i, 0)
	}
	for i := range p.Shards - pending {
		q.Answered(i)
	}
	return q
}

// One stalled shard must not delay an answer with sufficient coverage past the objective.
func TestSufficientAnswerIsReturnedAtTheObjective(t *testing.T) {
	c := qt.New(t)
	q := startedQuery(tenShards(), 1)
	decision, wakeUp := q.Decide(50 * ms)
	c.Assert(decision, qt.Equals, gather.Wait)
	c.Assert(wakeUp, qt.Equals, 120*ms)
	decision, _ = q.Decide(120 * ms)
	c.Assert(decision, qt.Equals, gather.Success)
	c.Assert(q.Coverage(), qt.Equals, 0.9)
}

// A refused attempt has not run. When the attempts of a shard are used up, it must be retried
// at a replica that refused, with backoff, and counts as lost only after the last retry.
func TestRefusedShardIsRetriedWithBackoff(t *testing.T) {
	c := qt.New(t)
	q := startedQuery(tenShards(), 1)
	c.Assert(q.Failed(9, true), qt.IsTrue)
	q.Sent(9, 1*ms)
	c.Assert(q.Failed(9, true), qt.IsFalse)
	at := 2 * ms
	for _, pause := range []time.Duration{5 * ms, 10 * ms, 20 * ms, 40 * ms} {
		c.Assert(q.ScheduleRetry(9, at), qt.IsTrue)
		q.MarkLostIfIdle(9)
		next := q.SendDueRetries(at, func(int) { t.Fatal("retry sent before its backoff ended") })
		c.Assert(next, qt.Equals, at+pause)
		decision, _ := q.Decide(at)
		c.Assert(decision, qt.Equals, gather.Wait)
		at = next
		sent := 0
		q.SendDueRetries(at, func(i int) { sent++; q.RetrySent(i, at) })
		c.Assert(sent, qt.Equals, 1)
		q.Failed(9, true)
	}
	c.Assert(q.ScheduleRetry(9, at), qt.IsFalse)
	q.MarkLostIfIdle(9)
	decision, _ := q.Decide(at)
	c.Assert(decision, qt.Equals, gather.Success)
}

// Guards against answers that wait for a paused replica after the hedge was refused, and
// against retries that use up the budget for shards that may be absent.
func TestRefusedHedgeIsRetriedOnlyForADecidingShard(t *testing.T) {
	c := qt.New(t)
	q := startedQuery(tenShards(), 2)
	for _, shard := range []int{8, 9} {
		q.Sent(shard, 30*ms)
		q.Failed(shard, true)
		c.Assert(q.ScheduleRetry(shard, 31*ms), qt.Equals, shard == 9)
	}
}

// Nine shards of ten are sufficient: the first failed shard is dispensable, the second is
// not.
func TestShardIsDispensableWhileCoverageSuffices(t *testing.T) {
	c := qt.New(t)
	q := startedQuery(tenShards(), 4)
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

// Below the least coverage, the request must wait past the objective, up to the deadline.
func TestInsufficientAnswerWaitsUntilTheDeadline(t *testing.T) {
	c := qt.New(t)
	q := startedQuery(tenShards(), 2)
	decision, wakeUp := q.Decide(130 * ms)
	c.Assert(decision, qt.Equals, gather.Wait)
	c.Assert(wakeUp, qt.Equals, 1200*ms)
	decision, _ = q.Decide(1200 * ms)
	c.Assert(decision, qt.Equals, gather.DeadlineExceeded)
	q.Answered(8)
	decision, _ = q.Decide(200 * ms)
	c.Assert(decision, qt.Equals, gather.Success)
}

// The request must fail as soon as the least coverage cannot be reached, and succeed as soon
// as no shard is pending.
func TestRequestEndsWhenNoShardIsPending(t *testing.T) {
	c := qt.New(t)
	q := startedQuery(tenShards(), 1)
	c.Assert(q.Failed(9, true), qt.IsTrue)
	q.GiveUp(9)
	decision, _ := q.Decide(10 * ms)
	c.Assert(decision, qt.Equals, gather.Success, qt.Commentf("nine of ten shards answered, none pending"))

	q = startedQuery(tenShards(), 2)
	q.Failed(9, true)
	q.GiveUp(9)
	q.Failed(8, true)
	q.GiveUp(8)
	decision, _ = q.Decide(10 * ms)
	c.Assert(decision, qt.Equals, gather.Failure)
}

// A shard must not count as lost while its hedge is in flight.
func TestShardWithHedgeInFlightIsNotLost(t *testing.T) {
	c := qt.New(t)
	q := startedQuery(tenShards(), 1)
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
	c.Assert(q.Failed(9, true), qt.IsFalse, qt.Commentf("MaxAttempts is reached"))
	q.MarkLostIfIdle(9)
	decision, _ := q.Decide(40 * ms)
	c.Assert(decision, qt.Equals, gather.Wait)
	c.Assert(q.Answered(9), qt.IsTrue)
	decision, _ = q.Decide(41 * ms)
	c.Assert(decision, qt.Equals, gather.Success)
}

// A request that is not idempotent must not be hedged, however long it takes.
func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	c := qt.New(t)
	p := tenShards()
	p.Shards, p.MinCoverage, p.Idempotent = 1, 1, false
	q := gather.New(p)
	q.Sent(0, 0)
	q.Hedges(time.Second, ms, func(int) time.Duration { return ms }, func(int) { c.Fatal("hedge sent for a request that is not idempotent") })
}

// An attempt that reached no replica must not use up the attempts of its shard.
func TestAttemptThatReachedNoReplicaDoesNotCount(t *testing.T) {
	c := qt.New(t)
	p := tenShards()
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

// The input is a query over ten shards, with 25 records each.
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

// Guards against a shard that is lost because its retry gave way to others for a moment.
func TestPostponedRetryIsSentLater(t *testing.T) {
	c := qt.New(t)
	q := gather.New(gather.Params{Shards: 1, MaxAttempts: 2, MinCoverage: 1, Objective: 100 * ms, Deadline: 200 * ms, Idempotent: true})
	q.Sent(0, 0)
	c.Assert(q.Failed(0, true), qt.IsTrue)
	c.Assert(q.PostponeRetry(0, 5*ms), qt.IsTrue)
	decision, _ := q.Decide(4 * ms)
	c.Check(decision, qt.Equals, gather.Wait)
	sent := 0
	next := q.SendDueRetries(5*ms, func(int) { c.Check(q.PostponeRetry(0, 10*ms), qt.IsTrue) })
	c.Check(next, qt.Equals, 10*ms)
	q.SendDueRetries(10*ms, func(int) { sent++ })
	c.Check(sent, qt.Equals, 1)
	c.Check(q.PostponeRetry(0, 200*ms), qt.IsFalse)
}

// Guards against another attempt at a replica that refused a request to one replica, or one that is
// not idempotent.
func TestRefusedRequestIsRetriedOnlyAtAnotherReplica(t *testing.T) {
	c := qt.New(t)
	for attempts := 1; attempts <= 2; attempts++ {
		for _, p := range []gather.Params{{}, {SingleReplica: true}, {SingleReplica: true, Idempotent: true}} {
			p.Shards, p.MaxAttempts, p.MinCoverage, p.Deadline = 1, attempts, 1, 1200*ms
			q := gather.New(p)
			q.Sent(0, 0)
			c.Check(q.Failed(0, true), qt.Equals, attempts == 2)
			c.Check(q.ScheduleRetry(0, 1*ms), qt.Equals, attempts == 2)
			c.Check(q.MayReturn(), qt.IsFalse)
		}
	}
}
