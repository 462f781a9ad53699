package bench_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/bench"
	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// kenya is today's size: 8 nodes, 3 slots, 3 replicas a shard.
func kenya(shards int, rate float64, queries int) bench.Scenario {
	return bench.Scenario{
		Seed: 1, Nodes: 8, Shards: shards, Replicas: 3, Slots: 3, ColdInFlight: 1,
		Service: 10 * time.Millisecond, Deadline: 500 * time.Millisecond,
		Rate: rate, HighShare: 0.2, Queries: queries, Warmup: queries / 4,
	}
}

// boundsFile holds the bounds of the figures in this package.
const boundsFile = "bounds.txt"

func both(s bench.Scenario) (baseline, carobmill *bench.Result) {
	s.Policy = bench.Baseline
	baseline = bench.Run(s)
	s.Policy = bench.Carobmill
	return baseline, bench.Run(s)
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}

// One replica in 30 is ten times slower for good, and one subrequest in a
// hundred at random. The caller must wait for neither.
func TestStragglersDoNotDelayQueries(t *testing.T) {
	for _, size := range []struct {
		shards, queries int
	}{{15, 20000}, {100, 4000}, {1700, 400}} {
		name := fmt.Sprintf("straggler-%d", size.shards)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := kenya(size.shards, 60, size.queries)
			s.SlowEvery, s.SlowFactor, s.SlowProbability = 30, 10, 0.01
			base, ours := both(s)
			t.Logf("baseline p50 %v p99 %v p99.9 %v coverage %v", bench.Quantile(base.All, 0.5),
				bench.Quantile(base.All, 0.99), bench.Quantile(base.All, 0.999), base.Coverage)
			t.Logf("carobmill p50 %v p99 %v p99.9 %v coverage %v", bench.Quantile(ours.All, 0.5),
				bench.Quantile(ours.All, 0.99), bench.Quantile(ours.All, 0.999), ours.Coverage)
			qt.Check(t, ours.Refused, qt.Equals, 0, qt.Commentf("refused below capacity"))
			bounds.Check(t, boundsFile, name, map[string]float64{
				"p99-ratio":     ratio(bench.Quantile(ours.All, 0.99), bench.Quantile(base.All, 0.99)),
				"p999-ratio":    ratio(bench.Quantile(ours.All, 0.999), bench.Quantile(base.All, 0.999)),
				"extra":         ours.Extra,
				"coverage-gain": ours.Coverage - base.Coverage,
			})
		})
	}
}
