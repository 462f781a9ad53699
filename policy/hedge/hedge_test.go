package hedge_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/hedge"
)

func TestBudgetBoundsExtraSubrequests(t *testing.T) {
	c := qt.New(t)
	b := hedge.NewBudget(5, 10)
	sent := 0
	for range 10000 {
		b.Sent(1)
		if b.Take() {
			sent++
		}
	}
	c.Assert(sent >= 499 && sent <= 501, qt.IsTrue, qt.Commentf("%d extra subrequests sent", sent))

	b.Sent(1 << 20)
	burst := 0
	for b.Take() {
		burst++
	}
	c.Assert(burst, qt.Equals, 10)
}

// Overload makes answers late, and hedges would increase the load. Tokens saved before the
// overload must not be spent during it either.
func TestBudgetShrinksUnderOverload(t *testing.T) {
	c := qt.New(t)
	b := hedge.NewBudget(5, 100)
	b.Sent(100000)
	b.SetPressure(1)
	b.Sent(100000)
	c.Assert(b.Take(), qt.IsFalse)
	b.SetPressure(0.9)
	sent := 0
	for range 10000 {
		b.Sent(1)
		if b.Take() {
			sent++
		}
	}
	c.Assert(sent <= 61, qt.IsTrue, qt.Commentf("%d extra subrequests sent", sent))
}

func TestQuantileIsWithinItsBucket(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var e hedge.Quantile
	var exact []time.Duration
	for range 10000 {
		d := time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))
		e.Observe(d)
		exact = append(exact, d)
	}
	slices.Sort(exact)
	for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
		want := exact[int(q*10000)]
		got := e.At(q)
		c.Check(got >= want, qt.IsTrue, qt.Commentf("quantile %v: estimate %v is below the exact value %v", q, got, want))
		c.Check(float64(got) <= 1.07*float64(want), qt.IsTrue, qt.Commentf("quantile %v: estimate %v exceeds the exact value %v by more than 7%%", q, got, want))
	}
}

func TestQuantileDiscountsOldLatencies(t *testing.T) {
	c := qt.New(t)
	var e hedge.Quantile
	for range 20000 {
		e.Observe(time.Second)
	}
	for range 100000 {
		e.Observe(time.Millisecond)
	}
	c.Assert(e.At(0.9) < 2*time.Millisecond, qt.IsTrue)
	e.Observe(time.Hour)
	c.Assert(e.At(1) > 60*time.Second, qt.IsTrue)
}

func TestHedgeWaitsForOtherSubrequestsAndQuantile(t *testing.T) {
	var recent hedge.Quantile
	for range 1000 {
		recent.Observe(10 * time.Millisecond)
	}
	threshold := recent.At(0.97)
	for _, test := range []struct {
		name     string
		progress hedge.Progress
		want     time.Duration
	}{
		{"other subrequests answered quickly", hedge.Progress{Answered: 14, Total: 15}, threshold},
		{"too many subrequests outstanding", hedge.Progress{Answered: 8, Total: 15}, hedge.Never},
		{"no other subrequest answered", hedge.Progress{Answered: 0, Total: 2}, hedge.Never},
		{"one shard", hedge.Progress{Answered: 0, Total: 1}, threshold},
		{"slow query", hedge.Progress{Answered: 14, Total: 15, Slowest: 40 * time.Millisecond}, 50 * time.Millisecond},
		{"overload", hedge.Progress{Answered: 14, Total: 15, Overloaded: true}, hedge.Never},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(hedge.After(test.progress, &recent), qt.Equals, test.want)
		})
	}
	c := qt.New(t)
	var empty hedge.Quantile
	c.Assert(hedge.After(hedge.Progress{Answered: 14, Total: 15}, &empty), qt.Equals, hedge.Never)
}
