package bench_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/admission"
	"github.com/carobmill/carobmill/policy/bench/bounds"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/query"
	"github.com/carobmill/carobmill/policy/routing"
)

// costEnv implements query.Env with the routing, latency and budget state of an
// entry node.
type costEnv struct {
	now        time.Time
	routing    *routing.Table
	latency    hedge.Quantile
	budget     *hedge.Budget
	attempts   uint64
	candidates []*config.Replica
}

func (e *costEnv) untried(shard *config.Shard, tried func(*config.Replica) bool) []*config.Replica {
	e.candidates = e.candidates[:0]
	for _, r := range shard.Replicas {
		if !tried(r) {
			e.candidates = append(e.candidates, r)
		}
	}
	return e.candidates
}

func (e *costEnv) Pick(shard *config.Shard, _ uint64, tried func(*config.Replica) bool) *config.Replica {
	return e.routing.Pick(e.untried(shard, tried), e.now)
}

func (e *costEnv) PickHedge(shard *config.Shard, _ uint64, tried func(*config.Replica) bool) *config.Replica {
	return e.routing.PickHedge(e.untried(shard, tried), e.now)
}

func (e *costEnv) PickWarmUp(shard *config.Shard, _ uint64, tried func(*config.Replica) bool) *config.Replica {
	if !e.routing.AnyCold() {
		return nil
	}
	return e.routing.PickWarmUp(e.untried(shard, tried), e.now)
}

func (e *costEnv) Snapshot() uint64 { return 7 }

func (e *costEnv) NextAttempt() uint64 {
	e.attempts++
	return e.attempts
}

func (e *costEnv) TakeHedge() bool { return e.budget.Take() }
func (e *costEnv) TakeRetry() bool { return e.budget.Take() }

func (e *costEnv) HedgeAfter(answered, total int, slowest time.Duration) time.Duration {
	return hedge.After(hedge.Progress{Answered: answered, Total: total, Slowest: slowest}, &e.latency)
}

func costService(shards int) *config.Service {
	svc := &config.Service{Name: "cost"}
	gen := &config.Generation{ID: 1, FirstSnapshot: 1}
	for i := range shards {
		shard := &config.Shard{Name: fmt.Sprintf("s%d", i), Position: i}
		for j := range 2 {
			name := fmt.Sprintf("s%d-r%d", i, j)
			shard.Replicas = append(shard.Replicas, &config.Replica{Name: name, Service: svc, InService: true})
		}
		gen.Shards = append(gen.Shards, shard)
	}
	svc.Generations = []*config.Generation{gen}
	return svc
}

// newCostEnv returns the state that all queries of an entry node share.
func newCostEnv(rng *rand.Rand) (*costEnv, *admission.Controller) {
	env := &costEnv{now: time.Unix(1000, 0), routing: routing.New(rng), budget: hedge.NewBudget(5, 100)}
	return env, admission.New(admission.Params{})
}

// Checks the allocations per subrequest of a query's decisions against bounds.
func TestDecisionsAllocateWithinBounds(t *testing.T) {
	for _, shards := range []int{10, 100, 1700} {
		rng := rand.New(rand.NewPCG(1, 2))
		env, control := newCostEnv(rng)
		svc := costService(shards)
		objects, bytes := bounds.Allocated(20, func() { runQuery(env, control, svc, rng) })
		bounds.Check(t, boundsFile, fmt.Sprintf("decisions-%d", shards), map[string]float64{
			"allocs/subrequest": objects / float64(shards),
			"bytes/subrequest":  bytes / float64(shards),
		})
	}
}

// BenchmarkQueryDecisions measures the CPU time and allocations of all decisions of
// a query at its entry node: admission, one pick and one reply per shard, and
// hedge planning. It excludes messages and locks.
func BenchmarkQueryDecisions(b *testing.B) {
	for _, shards := range []int{10, 100, 1700} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			env, control := newCostEnv(rng)
			svc := costService(shards)
			b.ReportAllocs()
			for b.Loop() {
				runQuery(env, control, svc, rng)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/subrequest")
		})
	}
}

func runQuery(env *costEnv, control *admission.Controller, svc *config.Service, rng *rand.Rand) {
	start := env.now
	control.Admit(start, 0, time.Second, 10*time.Millisecond)
	q := query.New(env, query.Params{Service: svc, Deadline: start.Add(time.Second)})
	sends := q.Start(start).Send
	for _, s := range sends {
		env.routing.Sent(s.Replica.Name, start)
		env.budget.Sent(1)
	}
	rng.Shuffle(len(sends), func(i, j int) { sends[i], sends[j] = sends[j], sends[i] })
	for i, s := range sends {
		env.now = start.Add(8*time.Millisecond + time.Duration(i)*time.Microsecond)
		took := env.now.Sub(start)
		env.routing.Done(s.Replica.Name, env.now, took, routing.ResultOK)
		env.latency.Observe(took)
		q.Reply(env.now, &pb.SubrequestResult{
			Attempt: s.Attempt, Shard: s.Shard.Name, Replica: s.Replica.Name,
			Snapshot: s.Snapshot, Generation: s.Generation, Evidence: pb.Evidence_EVIDENCE_RAN,
		})
		_ = q.NextTick()
	}
	q.Answer()
	control.Done(env.now, 0, env.now.Sub(start), true)
}
