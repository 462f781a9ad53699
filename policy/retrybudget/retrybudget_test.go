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
		b.RecordRequest(at, "")
		requests = append(requests, at)
		if b.Take(at, nodes, "") {
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

// Guards against accounts that are left without retries because one account sends many times
// its usual requests and uses up the budget.
func TestHotAccountLeavesRetriesToOthers(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	start := time.Unix(1000, 0)
	b := retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, start)
	asked, denied := make(map[string]int), make(map[string]int)
	for at := start; at.Before(start.Add(time.Minute)); at = at.Add(time.Duration(rng.ExpFloat64() * float64(15*time.Millisecond))) {
		account := "hot"
		if rng.IntN(8) == 0 {
			account = []string{"a", "b", "c"}[rng.IntN(3)]
		}
		b.RecordRequest(at, account)
		if rng.Float64() > 0.4 {
			continue
		}
		asked[account]++
		if !b.Take(at, 1, account) {
			denied[account]++
		}
	}
	for _, account := range []string{"a", "b", "c"} {
		c.Check(denied[account]*20 <= asked[account], qt.IsTrue, qt.Commentf("%s: %d of %d retries denied", account, denied[account], asked[account]))
	}
	c.Check(denied["hot"] > asked["hot"]/4, qt.IsTrue, qt.Commentf("%d of %d retries of the hot account denied", denied["hot"], asked["hot"]))
}

// Guards against an account that may not use the budget of a service that it has to itself.
func TestSingleAccountUsesTheWholeBudget(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	taken := make(map[string]int)
	for _, account := range []string{"", "only"} {
		b := retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, start)
		now := start.Add(10 * time.Second)
		b.RecordRequest(now, account)
		for b.Take(now, 1, account) {
			taken[account]++
		}
	}
	c.Assert(taken["only"], qt.Equals, taken[""])
	c.Assert(taken[""] > 10, qt.IsTrue)
}
