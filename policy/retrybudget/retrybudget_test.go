package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/retrybudget"
)

// Guards against more extra requests in some sliding window than the bound allows, when
// every node uses its whole budget without coordination.
func TestFleetKeepsTheBoundInEveryWindow(t *testing.T) {
	c := qt.New(t)
	bound := retrybudget.Bound{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	rng := rand.New(rand.NewPCG(1, 2))
	const nodes = 8
	start := time.Unix(1000, 0)
	budgets := make([]*retrybudget.Budget, nodes)
	for i := range budgets {
		budgets[i] = retrybudget.New(bound, start.Add(-9*time.Second))
	}
	var requests, extras []time.Time
	for at := start; at.Before(start.Add(60 * time.Second)); at = at.Add(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))) {
		b := budgets[rng.IntN(nodes)]
		b.RecordRequest(at)
		requests = append(requests, at)
		if b.Take(at, nodes) {
			extras = append(extras, at)
		}
	}
	worst := 0.0
	for from := start; from.Before(start.Add(50 * time.Second)); from = from.Add(50 * time.Millisecond) {
		allowed := bound.Ratio*float64(countWithin(requests, from, bound.Window)) + bound.Slack
		worst = max(worst, float64(countWithin(extras, from, bound.Window))/allowed)
	}
	c.Assert(worst <= 1, qt.IsTrue, qt.Commentf("the fleet used %.2f of the bound", worst))
	c.Assert(worst >= 0.8, qt.IsTrue, qt.Commentf("the fleet used only %.2f of the bound", worst))
}

func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
