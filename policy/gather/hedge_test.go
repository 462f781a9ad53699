package gather_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/retrybudget"
)

// usually returns the latencies of a class whose attempts take 10 to 19 ms.
func usually() *hedge.Quantile {
	var recent hedge.Quantile
	for i := range 1000 {
		recent.Observe(time.Duration(10+i%10) * ms)
	}
	return &recent
}

// Hedges follow what attempts usually take, and come early enough to answer inside the
// objective even where little is known.
func TestHedgeFollowsRecentLatencies(t *testing.T) {
	c := qt.New(t)
	c.Assert(gather.NewHedgeDelay(&hedge.Quantile{}, 120*ms).After(0), qt.Equals, 60*ms)
	recent := usually()
	due := gather.NewHedgeDelay(recent, 120*ms).After(0)
	c.Assert(due >= 19*ms && due <= 23*ms, qt.IsTrue, qt.Commentf("%v", due))
	for range 1000 {
		recent.Observe(500 * ms)
	}
	c.Assert(gather.NewHedgeDelay(recent, 120*ms).After(0), qt.Equals, 60*ms)
}

// However much of the budget is used, a hedge is sent while its answer can still come
// inside the objective.
func TestHedgeIsNotPutOffPastItsUse(t *testing.T) {
	c := qt.New(t)
	h := gather.NewHedgeDelay(usually(), 120*ms)
	c.Assert(h.After(1) > h.After(0.5), qt.IsTrue)
	c.Assert(h.After(0.5) > h.After(0), qt.IsTrue)
	c.Assert(h.After(2), qt.Equals, h.After(1))
	c.Assert(h.After(1) <= 60*ms, qt.IsTrue)
	tight := gather.NewHedgeDelay(usually(), 50*ms)
	c.Assert(tight.After(1) <= 25*ms, qt.IsTrue, qt.Commentf("%v", tight.After(1)))
}

// Replicas turn slow: one attempt in six takes 25 to 60 ms of an objective of 100, and one
// in thirty meets a replica that stands still. The budget bears hedges for one attempt in
// sixteen. Callers whose attempt stands still miss the objective unless it is hedged: at
// least three of four must be, although five times as many are late beside others.
func TestScarceHedgesGoToAttemptsThatStandStill(t *testing.T) {
	c := qt.New(t)
	const (
		objective = 100 * ms
		interval  = 10 * ms
		requests  = 6000
	)
	rng := rand.New(rand.NewPCG(7, 8))
	hedging := gather.NewHedgeDelay(usually(), objective)
	start := time.Unix(1000, 0)
	budget := retrybudget.New(retrybudget.Bound{Ratio: 0.12, Slack: 0, Window: 10 * time.Second}, start)
	standing, hedged := 0, 0
	for i := range requests {
		now := start.Add(time.Duration(i) * interval)
		budget.RecordRequest(now)
		took := 12 * ms
		stands := false
		switch p := rng.Float64(); {
		case p < 1.0/30:
			took, stands = time.Second, true
		case p < 1.0/30+1.0/6:
			took = 25*ms + time.Duration(rng.Int64N(int64(35*ms)))
		}
		warm := i*2 >= requests
		if stands && warm {
			standing++
		}
		if took <= hedging.After(budget.OptionalUsed(now, 1)) || !budget.TakeOptional(now, 1) {
			continue
		}
		if stands && warm {
			hedged++
		}
	}
	c.Assert(hedged*4 >= standing*3, qt.IsTrue, qt.Commentf("%d of %d attempts that stood still were hedged", hedged, standing))
}
