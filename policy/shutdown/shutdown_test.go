package shutdown_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/shutdown"
)

// Guards against a request that is started although its deadline and its route's latencies both
// reach past the stop of the node, and against refusing one that either bound shows to fit.
func TestRequestFitsByDeadlineOrByLatency(t *testing.T) {
	for _, test := range []struct {
		left, limit, longest time.Duration
		fits                 bool
	}{
		{left: 3 * time.Second, limit: time.Second, longest: 0, fits: true},
		{left: 3 * time.Second, limit: time.Second, longest: 5 * time.Second, fits: true},
		{left: 3 * time.Second, limit: 6 * time.Second, longest: 0, fits: false},
		{left: 3 * time.Second, limit: 6 * time.Second, longest: 100 * time.Millisecond, fits: true},
		{left: 3 * time.Second, limit: 6 * time.Second, longest: 2900 * time.Millisecond, fits: false},
		{left: 0, limit: 6 * time.Second, longest: time.Millisecond, fits: false},
		{left: -time.Second, limit: 0, longest: 0, fits: false},
	} {
		qt.Check(t, shutdown.Fits(test.left, test.limit, test.longest), qt.Equals, test.fits, qt.Commentf("%+v", test))
	}
}

// Guards against requests of seconds that are started late in a shutdown and cut, and against a
// shutdown that refuses the short requests of the same node.
func TestShutdownCutsNoRequestAndServesThoseThatFit(t *testing.T) {
	const grace, limit = 5400 * time.Millisecond, 6 * time.Second
	for _, load := range []struct {
		least, spread time.Duration
		// served is the least share of the requests of the first 3.3 s that are started.
		served float64
	}{
		{30 * time.Millisecond, 60 * time.Millisecond, 1},
		{500 * time.Millisecond, 400 * time.Millisecond, 1},
		{2800 * time.Millisecond, 700 * time.Millisecond, 0.2},
	} {
		rng := rand.New(rand.NewPCG(56, uint64(load.least)))
		latency := func() time.Duration { return load.least + time.Duration(rng.Int64N(int64(load.spread))) }
		var seen hedge.Quantile
		for range shutdown.MinSamples {
			seen.Observe(latency())
		}
		started := 0
		const requests = 1000
		for i := range requests {
			at := time.Duration(i) * 3300 * time.Millisecond / requests
			if !shutdown.Fits(grace-at, limit, seen.At(shutdown.LatencyQuantile)) {
				continue
			}
			started++
			took := latency()
			qt.Check(t, at+took <= grace, qt.IsTrue, qt.Commentf("sent at %v, took %v", at, took))
		}
		share := float64(started) / requests
		qt.Check(t, share >= load.served, qt.IsTrue, qt.Commentf("%v: started %.2f", load.least, share))
	}
}
