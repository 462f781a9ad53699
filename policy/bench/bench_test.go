package bench_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/bench"
	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// smallFleet returns a scenario of 8 nodes with 3 replicas per shard.
func smallFleet(shards int, rate float64, queries int) bench.Scenario {
	return bench.Scenario{
		Seed: 1, Nodes: 8, Shards: shards, Replicas: 3, Slots: 3, ColdInFlight: 1,
		Service: 10 * time.Millisecond, Deadline: 500 * time.Millisecond,
		Rate: rate, HighShare: 0.2, Queries: queries, Warmup: queries / 4,
	}
}

// boundsFile contains the bounds of all scenarios in this package.
const boundsFile = "bounds.txt"

func runBoth(s bench.Scenario) (baseline, carobmill *bench.Result) {
	s.Policy = bench.Baseline
	baseline = bench.Run(s)
	s.Policy = bench.Carobmill
	return baseline, bench.Run(s)
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}

// One replica in 30 is permanently ten times slower, and so is one subrequest in
// 100 at random. Neither may dominate the tail latency of queries.
func TestStragglersDoNotDelayQueries(t *testing.T) {
	for _, size := range []struct {
		shards, queries int
	}{{15, 20000}, {100, 4000}, {1700, 400}} {
		name := fmt.Sprintf("straggler-%d", size.shards)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := smallFleet(size.shards, 60, size.queries)
			s.SlowEvery, s.SlowFactor, s.SlowProbability = 30, 10, 0.01
			base, adaptive := runBoth(s)
			t.Logf("baseline p50 %v p99 %v p99.9 %v coverage %v", bench.Quantile(base.All, 0.5),
				bench.Quantile(base.All, 0.99), bench.Quantile(base.All, 0.999), base.Coverage)
			t.Logf("carobmill p50 %v p99 %v p99.9 %v coverage %v", bench.Quantile(adaptive.All, 0.5),
				bench.Quantile(adaptive.All, 0.99), bench.Quantile(adaptive.All, 0.999), adaptive.Coverage)
			qt.Check(t, adaptive.Refused, qt.Equals, 0, qt.Commentf("queries were refused below capacity"))
			bounds.Check(t, boundsFile, name, map[string]float64{
				"p99-ratio":     ratio(bench.Quantile(adaptive.All, 0.99), bench.Quantile(base.All, 0.99)),
				"p999-ratio":    ratio(bench.Quantile(adaptive.All, 0.999), bench.Quantile(base.All, 0.999)),
				"extra":         adaptive.Extra,
				"coverage-gain": adaptive.Coverage - base.Coverage,
			})
		})
	}
}
