package bench_test

import (
	"testing"
	"time"

	"github.com/carobmill/carobmill/policy/bench"
	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// The index moves to a new snapshot once a minute; each replica drops the old one
// when it loads the new one. A query that loses its snapshot must restart instead of
// returning a partial or mixed answer. PinNewest is a broken variant that exceeds
// the bound on restarts.
func TestSnapshotRolloutEveryMinute(t *testing.T) {
	t.Parallel()
	figures := map[string]float64{}
	for seed := range uint64(rolloutSeeds) {
		served, newest := rolloutEveryMinute(seed+1, bench.PinServed), rolloutEveryMinute(seed+1, bench.PinNewest)
		figures["restarted"] += float64(served.Restarted) / (rolloutSeeds * rolloutQueries)
		figures["restarted-newest"] += float64(newest.Restarted) / (rolloutSeeds * rolloutQueries)
		figures["partial"] += float64(served.Partial + served.Refused)
		figures["mixed"] += float64(served.Mixed + newest.Mixed)
	}
	bounds.Check(t, boundsFile, "flips", figures)
}

const (
	rolloutSeeds = 4
	// rolloutQueries covers 5 minutes at 16 queries per second.
	rolloutQueries = 5 * 60 * 16
)

func rolloutEveryMinute(seed uint64, pin bench.Pin) *bench.Result {
	s := smallFleet(15, 16, rolloutQueries)
	s.Seed, s.Warmup, s.Policy = seed, 320, bench.Carobmill
	s.Rollout = bench.SnapshotRollout{Every: time.Minute, Wave: 2 * time.Second, Pin: pin, WrongSnapshotEvery: 5}
	return bench.Run(s)
}
