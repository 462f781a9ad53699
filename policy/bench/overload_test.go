package bench_test

import (
	"testing"
	"time"

	"github.com/carobmill/carobmill/policy/bench"
	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// capacity is the throughput, in queries per second, of 45 replicas with 3 slots at
// 15 subrequests of 10 ms per query.
const capacity = 45 * 3 * 100 / 15

// runOverload offers load times the capacity, after a warm-up at a quarter of the
// capacity. If skipTransient is set, the first second at the full load is not
// measured.
func runOverload(t *testing.T, load float64, skipTransient bool) *bench.Result {
	s := smallFleet(15, load*capacity, int(8000*load))
	s.Warmup, s.WarmupRate = 3000, capacity/4
	s.Deadline = 250 * time.Millisecond
	s.Policy = bench.Carobmill
	if skipTransient {
		s.Transient = int(s.Rate)
	}
	r := bench.Run(s)
	t.Logf("%vx, skip transient %v: goodput %.0f/s of %.0f/s, high p50 %v p99 %v complete %.4f, low p50 %v p99 %v, complete %d partial %d refused %d",
		load, skipTransient, r.Goodput(), s.Rate, bench.Quantile(r.High, 0.5), bench.Quantile(r.High, 0.99),
		highCompleteRatio(r), bench.Quantile(r.Low, 0.5), bench.Quantile(r.Low, 0.99), r.Complete, r.Partial, r.Refused)
	return r
}

func highCompleteRatio(r *bench.Result) float64 {
	return float64(r.CompleteHigh) / float64(r.OfferedHigh)
}

// Offered load exceeds the capacity of the backend servers. Goodput must not
// collapse, the high class must keep its latency, and refusals must be immediate
// and issued only for queries that no server ran.
func TestGoodputIsSustainedUnderOverload(t *testing.T) {
	t.Parallel()
	one, oneAndHalf, three := runOverload(t, 1, true), runOverload(t, 1.5, true), runOverload(t, 3, true)
	step := runOverload(t, 3, false)
	bounds.Check(t, boundsFile, "overload", map[string]float64{
		"goodput-1x":         one.Goodput() / capacity,
		"goodput-1.5x":       oneAndHalf.Goodput() / one.Goodput(),
		"goodput-3x":         three.Goodput() / one.Goodput(),
		"high-p99-1.5x":      ratio(bench.Quantile(oneAndHalf.High, 0.99), bench.Quantile(one.High, 0.99)),
		"high-p99-3x":        ratio(bench.Quantile(three.High, 0.99), bench.Quantile(one.High, 0.99)),
		"high-complete-3x":   highCompleteRatio(three),
		"step-high-p99-ms":   float64(bench.Quantile(step.High, 0.99).Milliseconds()),
		"step-high-complete": highCompleteRatio(step),
		"false-not-run":      float64(one.FalseNotRun + oneAndHalf.FalseNotRun + three.FalseNotRun + step.FalseNotRun),
		"slowest-refusal-ms": float64(max(one.SlowestRefusal, three.SlowestRefusal, step.SlowestRefusal).Milliseconds()),
	})
}

// Without admission control, goodput collapses at three times the capacity. This
// shows that TestGoodputIsSustainedUnderOverload can fail.
func TestBaselineGoodputCollapsesUnderOverload(t *testing.T) {
	t.Parallel()
	s := smallFleet(15, 3*capacity, 5400)
	s.Warmup, s.WarmupRate = 500, capacity/4
	s.Deadline = 250 * time.Millisecond
	r := bench.Run(s)
	t.Logf("goodput %.0f/s of %d/s", r.Goodput(), 3*capacity)
	bounds.Check(t, boundsFile, "overload-baseline", map[string]float64{"goodput": r.Goodput() / capacity})
}
