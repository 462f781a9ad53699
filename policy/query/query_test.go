package query_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/query"
)

var epoch = time.Unix(1_000_000, 0)

const queryTimeout = 240 * time.Millisecond

// testEnv picks the first replica that was not tried.
type testEnv struct {
	attempts   uint64
	snapshot   uint64
	hedges     int
	retries    int
	hedgeAfter time.Duration
	// warmUps is the number of copies that may be sent.
	warmUps int
}

func (e *testEnv) Pick(shard *config.Shard, _ uint64, tried func(*config.Replica) bool) *config.Replica {
	for _, r := range shard.Replicas {
		if !tried(r) {
			return r
		}
	}
	return nil
}

func (e *testEnv) PickHedge(shard *config.Shard, snapshot uint64, tried func(*config.Replica) bool) *config.Replica {
	return e.Pick(shard, snapshot, tried)
}

func (e *testEnv) PickWarmUp(shard *config.Shard, snapshot uint64, tried func(*config.Replica) bool) *config.Replica {
	if e.warmUps == 0 {
		return nil
	}
	e.warmUps--
	return e.Pick(shard, snapshot, tried)
}

func (e *testEnv) Snapshot() uint64 { return e.snapshot }

func (e *testEnv) NextAttempt() uint64 {
	e.attempts++
	return e.attempts
}

func (e *testEnv) TakeHedge() bool {
	e.hedges--
	return e.hedges >= 0
}

func (e *testEnv) TakeRetry() bool {
	e.retries--
	return e.retries >= 0
}

func (e *testEnv) HedgeAfter(int, int, time.Duration) time.Duration { return e.hedgeAfter }

// testService has two generations over the same replicas: 1 with three shards from snapshot
// 1, and 2 with four shards from snapshot 100.
func testService(t testing.TB) *config.Service {
	svc := &pb.Service{Name: "timing"}
	for gen, shards := range map[uint64]int{1: 3, 2: 4} {
		g := &pb.Generation{Id: gen, FirstSnapshot: 1 + 99*(gen-1)}
		for i := range shards {
			s := &pb.Shard{Name: fmt.Sprintf("g%d-s%d", gen, i)}
			for _, copyName := range []string{"a", "b"} {
				name := fmt.Sprintf("r%d%s", i, copyName)
				s.Replicas = append(s.Replicas, &pb.Replica{Name: name, DataCentre: "dc", Address: "127.0.0.1:1"})
			}
			g.Shards = append(g.Shards, s)
		}
		svc.Generations = append(svc.Generations, g)
	}
	x, err := config.New(&pb.Configuration{Version: 1, Sheet: &pb.Sheet{
		DataCentres: []*pb.DataCentre{{Name: "dc"}},
		Services:    []*pb.Service{svc},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return x.Services["timing"]
}

// served returns a correct reply to a send, from the given snapshot.
func served(s query.Send, snapshot, generation uint64) *pb.SubrequestResult {
	return &pb.SubrequestResult{
		Attempt:    s.Attempt,
		Shard:      s.Shard.Name,
		Replica:    s.Replica.Name,
		Evidence:   pb.Evidence_EVIDENCE_RAN,
		Snapshot:   snapshot,
		Generation: generation,
		Result:     body(s.Shard.Name, snapshot),
	}
}

func body(shard string, snapshot uint64) []byte {
	return fmt.Appendf(nil, "%s@%d", shard, snapshot)
}

func failed(s query.Send, reason pb.Reason, evidence pb.Evidence) *pb.SubrequestResult {
	return &pb.SubrequestResult{
		Attempt:  s.Attempt,
		Shard:    s.Shard.Name,
		Replica:  s.Replica.Name,
		Reason:   reason,
		Evidence: evidence,
	}
}

func newQuery(t testing.TB, env *testEnv) *query.Query {
	return query.New(env, query.Params{
		Service:  testService(t),
		Deadline: epoch.Add(queryTimeout),
		Trace:    true,
	})
}

func TestAnswerIsCompleteWhenEveryShardAnswers(t *testing.T) {
	c := qt.New(t)
	q := newQuery(t, &testEnv{snapshot: 7})
	step := q.Start(epoch)
	c.Assert(step.Send, qt.HasLen, 3)
	for _, s := range step.Send {
		c.Assert(q.Done(), qt.IsFalse)
		q.Reply(epoch, served(s, 7, 1))
	}
	c.Assert(q.Done(), qt.IsTrue)
	answer := q.Answer()
	c.Assert(answer.Outcome, qt.Equals, query.Complete)
	c.Assert(answer.Coverage, qt.Equals, 1.0)
	c.Assert(answer.Snapshot, qt.Equals, uint64(7))
}

// Rows of two snapshots in one answer can contradict each other. Without a known snapshot,
// the first reply must pin one, and a shard that answered from another must be retried.
func TestReplyFromAnotherSnapshotIsRetried(t *testing.T) {
	c := qt.New(t)
	q := newQuery(t, &testEnv{})
	step := q.Start(epoch)
	c.Assert(step.Send, qt.HasLen, 4)
	q.Reply(epoch, served(step.Send[0], 100, 2))
	retry := q.Reply(epoch, served(step.Send[1], 101, 2))
	c.Assert(retry.Send, qt.HasLen, 1)
	c.Assert(retry.Send[0].Snapshot, qt.Equals, uint64(100))
	q.Reply(epoch, served(retry.Send[0], 100, 2))
	q.Reply(epoch, served(step.Send[2], 100, 2))
	q.Reply(epoch, served(step.Send[3], 100, 2))
	answer := q.Answer()
	c.Assert(answer.Outcome, qt.Equals, query.Complete)
	c.Assert(answer.Stats.Dropped, qt.Equals, 1)
	for _, r := range answer.Results {
		c.Assert(string(r.Body), qt.Equals, string(body(r.Shard, 100)))
	}
}

// An answer must not mix generations. When the first reply is from an older generation, the
// query must restart with the shards of that generation and drop replies of the other one.
func TestReplyFromAnotherGenerationRestartsTheQuery(t *testing.T) {
	c := qt.New(t)
	q := newQuery(t, &testEnv{})
	first := q.Start(epoch)
	c.Assert(first.Send, qt.HasLen, 4)
	second := q.Reply(epoch, served(first.Send[0], 99, 1))
	c.Assert(second.Send, qt.HasLen, 3)
	c.Assert(second.Cancel, qt.HasLen, 3)
	q.Reply(epoch, served(first.Send[1], 100, 2))
	for _, s := range second.Send {
		q.Reply(epoch, served(s, 99, 1))
	}
	answer := q.Answer()
	c.Assert(answer.Outcome, qt.Equals, query.Complete)
	c.Assert(answer.Generation, qt.Equals, uint64(1))
	c.Assert(answer.Results, qt.HasLen, 3)
	c.Assert(answer.Stats.Restarts, qt.Equals, 1)
	c.Assert(answer.Stats.Dropped, qt.Equals, 2)
}

// A reply that names another shard than its attempt must be dropped and the shard retried:
// merging it would return another request's rows.
func TestMismatchedReplyIsDroppedAndRetried(t *testing.T) {
	c := qt.New(t)
	q := newQuery(t, &testEnv{snapshot: 7, retries: 1})
	step := q.Start(epoch)
	mismatched := served(step.Send[0], 7, 1)
	mismatched.Shard = step.Send[1].Shard.Name
	retry := q.Reply(epoch, mismatched)
	c.Assert(retry.Send, qt.HasLen, 1)
	c.Assert(retry.Send[0].Replica, qt.Not(qt.Equals), step.Send[0].Replica)
	c.Assert(q.Reply(epoch, mismatched).Send, qt.HasLen, 0)
	q.Reply(epoch, served(retry.Send[0], 7, 1))
	q.Reply(epoch, served(step.Send[1], 7, 1))
	q.Reply(epoch, served(step.Send[2], 7, 1))
	c.Assert(q.Answer().Outcome, qt.Equals, query.Complete)
	c.Assert(q.Answer().Stats.Dropped, qt.Equals, 2)
}

// At the deadline, the answer must state its coverage and list the missing shard.
func TestDeadlineReturnsAPartialAnswer(t *testing.T) {
	c := qt.New(t)
	q := newQuery(t, &testEnv{snapshot: 7})
	step := q.Start(epoch)
	q.Reply(epoch, served(step.Send[0], 7, 1))
	q.Reply(epoch, served(step.Send[2], 7, 1))
	end := q.Tick(epoch.Add(queryTimeout))
	c.Assert(end.Cancel, qt.HasLen, 1)
	answer := q.Answer()
	c.Assert(answer.Outcome, qt.Equals, query.Partial)
	c.Assert(answer.Coverage, qt.Equals, 2.0/3.0)
	c.Assert(answer.Absent, qt.DeepEquals, []query.Absent{{Shard: "g1-s1", Reason: pb.Reason_REASON_DEADLINE}})
}

// A straggler must be hedged within the budget, and its attempt cancelled when the hedge
// answers first.
func TestHedgeIsSentWithinItsBudget(t *testing.T) {
	c := qt.New(t)
	q := newQuery(t, &testEnv{snapshot: 7, hedges: 1, hedgeAfter: 20 * time.Millisecond})
	step := q.Start(epoch)
	q.Reply(epoch, served(step.Send[0], 7, 1))
	c.Assert(q.NextTick(), qt.Equals, epoch.Add(20*time.Millisecond))
	hedges := q.Tick(epoch.Add(20 * time.Millisecond))
	c.Assert(hedges.Send, qt.HasLen, 1)
	c.Assert(hedges.Send[0].Extra, qt.IsTrue)
	afterHedge := q.Reply(epoch.Add(25*time.Millisecond), served(hedges.Send[0], 7, 1))
	c.Assert(afterHedge.Cancel, qt.HasLen, 1)
	c.Assert(afterHedge.Cancel[0].Attempt, qt.Equals, step.Send[1].Attempt)
	c.Assert(q.Answer().Stats.Hedges, qt.Equals, 1)
}

// When an owner fails, its shards must be retried at other replicas even without retry
// budget: the query would lack all of them otherwise.
func TestShardsOfALostOwnerAreRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	q := newQuery(t, &testEnv{snapshot: 7})
	var retry []query.Send
	for _, s := range q.Start(epoch).Send {
		lost := failed(s, pb.Reason_REASON_PEER, pb.Evidence_EVIDENCE_UNKNOWN)
		retry = append(retry, q.Reply(epoch, lost).Send...)
	}
	c.Assert(retry, qt.HasLen, 3)
	for _, s := range retry {
		q.Reply(epoch, served(s, 7, 1))
	}
	c.Assert(q.Answer().Outcome, qt.Equals, query.Complete)
}

// The outcome must be refused only if every attempt is certain not to have run.
func TestRefusedOutcomeMeansThatNothingRan(t *testing.T) {
	for _, uncertain := range []bool{false, true} {
		c := qt.New(t)
		q := newQuery(t, &testEnv{snapshot: 7, retries: 100})
		step := q.Start(epoch)
		now := epoch
		sends := step.Send
		for !q.Done() {
			var next []query.Send
			for i, s := range sends {
				evidence := pb.Evidence_EVIDENCE_NOT_RUN
				if uncertain && i == 0 {
					evidence = pb.Evidence_EVIDENCE_UNKNOWN
				}
				next = append(next, q.Reply(now, failed(s, pb.Reason_REASON_CONNECTION, evidence)).Send...)
			}
			if len(next) == 0 && !q.Done() {
				now = q.NextTick()
				next = q.Tick(now).Send
			}
			sends = next
		}
		want := query.Refused
		if uncertain {
			want = query.Partial
		}
		c.Assert(q.Answer().Outcome, qt.Equals, want)
		c.Assert(now.Before(epoch.Add(queryTimeout)), qt.IsTrue, qt.Commentf("query must end before the deadline"))
	}
}
