package bench_test

import (
	"testing"
	"time"

	"github.com/carobmill/carobmill/policy/bench"
	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// capacity is what 45 replicas of 3 slots bear in queries of 15 shards at 10 ms
// each, in queries a second.
const capacity = 45 * 3 * 100 / 15

// overload offers a multiple of the capacity after a quiet time at a quarter of
// it. The first second at that load is counted only when settled is false.
func overload(t *testing.T, load float64, settled bool) *bench.Result {
	s := kenya(15, load*capacity, int(8000*load))
	s.Warmup, s.WarmupRate = 3000, capacity/4
	s.Deadline = 250 * time.Millisecond
	s.Policy = bench.Carobmill
	if settled {
		s.Transient = int(s.Rate)
	}
	r := bench.Run(s)
	t.Logf("%vx, settled %v: goodput %.0f/s of %.0f/s, high p50 %v p99 %v complete %.4f, low p50 %v p99 %v, complete %d partial %d refused %d",
		load, settled, r.Goodput(), s.Rate, bench.Quantile(r.High, 0.5), bench.Quantile(r.High, 0.99),
		highComplete(r), bench.Quantile(r.Low, 0.5), bench.Quantile(r.Low, 0.99), r.Complete, r.Partial, r.Refused)
	return r
}

func highComplete(r *bench.Result) float64 {
	return float64(r.CompleteHigh) / float64(r.OfferedHigh)
}

// More queries arrive than the backend servers bear. The part that fits is
// answered as before, lookups first, and each refusal is true and immediate.
func TestGoodputIsSustainedUnderOverload(t *testing.T) {
	t.Parallel()
	one, half, three := overload(t, 1, true), overload(t, 1.5, true), overload(t, 3, true)
	step := overload(t, 3, false)
	bounds.Check(t, boundsFile, "overload", map[string]float64{
		"goodput-1x":         one.Goodput() / capacity,
		"goodput-1.5x":       half.Goodput() / one.Goodput(),
		"goodput-3x":         three.Goodput() / one.Goodput(),
		"high-p99-1.5x":      ratio(bench.Quantile(half.High, 0.99), bench.Quantile(one.High, 0.99)),
		"high-p99-3x":        ratio(bench.Quantile(three.High, 0.99), bench.Quantile(one.High, 0.99)),
		"high-complete-3x":   highComplete(three),
		"step-high-p99-ms":   float64(bench.Quantile(step.High, 0.99).Milliseconds()),
		"step-high-complete": highComplete(step),
		"false-not-run":      float64(one.FalseNotRun + half.FalseNotRun + three.FalseNotRun + step.FalseNotRun),
		"slowest-refusal-ms": float64(max(one.SlowestRefusal, three.SlowestRefusal, step.SlowestRefusal).Milliseconds()),
	})
}

// Without admission, three times the capacity leaves next to nothing: the figure
// that the bounds of TestGoodputIsSustainedUnderOverload are to be seen against.
func TestBaselineGoodputCollapsesUnderOverload(t *testing.T) {
	t.Parallel()
	s := kenya(15, 3*capacity, 5400)
	s.Warmup, s.WarmupRate = 500, capacity/4
	s.Deadline = 250 * time.Millisecond
	r := bench.Run(s)
	t.Logf("goodput %.0f/s of %d/s", r.Goodput(), 3*capacity)
	bounds.Check(t, boundsFile, "overload-baseline", map[string]float64{"goodput": r.Goodput() / capacity})
}
