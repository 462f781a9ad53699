package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/retrybudget"
)

// The operators see more retries and hedges at a service than they allow: replicas
// turn slow, every node hedges whatever it may, and the sum over the fleet in some
// window exceeds the bound, because windows slide and nodes do not ask each other.
func TestFleetKeepsTheBoundInEveryWindow(t *testing.T) {
	c := qt.New(t)
	bound := retrybudget.Bound{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	rng := rand.New(rand.NewPCG(1, 2))
	const nodes = 8
	begin := time.Unix(1000, 0)
	budgets := make([]*retrybudget.Budget, nodes)
	for i := range budgets {
		budgets[i] = retrybudget.New(bound, begin.Add(-9*time.Second))
	}
	var requests, extras []time.Time
	for at := begin; at.Before(begin.Add(60 * time.Second)); at = at.Add(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))) {
		b := budgets[rng.IntN(nodes)]
		b.RecordRequest(at)
		requests = append(requests, at)
		if b.Take(at, nodes) {
			extras = append(extras, at)
		}
	}
	worst := 0.0
	for from := begin; from.Before(begin.Add(50 * time.Second)); from = from.Add(50 * time.Millisecond) {
		allowed := bound.Ratio*float64(within(requests, from, bound.Window)) + bound.Slack
		worst = max(worst, float64(within(extras, from, bound.Window))/allowed)
	}
	c.Assert(worst <= 1, qt.IsTrue, qt.Commentf("%.2f of the bound", worst))
	c.Assert(worst >= 0.8, qt.IsTrue, qt.Commentf("only %.2f of the bound is used", worst))
}

func within(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
