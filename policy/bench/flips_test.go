package bench_test

import (
	"testing"
	"time"

	"github.com/carobmill/carobmill/policy/bench"
	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// The index moves to a new snapshot once a minute; each replica drops the old one
// when it takes up the new one. Entry nodes hear of it by replies, two queries a
// second each, so some pin a snapshot that is gone when their subrequests arrive
// and start over. One replica in five answers from another snapshot than it was asked
// for. Under 1% start over, and no answer is mixed or partial. Queries that pin
// the newest snapshot heard of, which not every shard holds yet, exceed that.
func TestSnapshotRolloutEveryMinute(t *testing.T) {
	t.Parallel()
	figures := map[string]float64{}
	for seed := range uint64(flipSeeds) {
		served, newest := flipEachMinute(seed+1, bench.PinServed), flipEachMinute(seed+1, bench.PinNewest)
		figures["restarted"] += float64(served.Restarted) / (flipSeeds * flipQueries)
		figures["restarted-newest"] += float64(newest.Restarted) / (flipSeeds * flipQueries)
		figures["partial"] += float64(served.Partial + served.Refused)
		figures["mixed"] += float64(served.Mixed + newest.Mixed)
	}
	bounds.Check(t, boundsFile, "flips", figures)
}

const (
	flipSeeds = 4
	// flipQueries last for five flips.
	flipQueries = 5 * 60 * 16
)

func flipEachMinute(seed uint64, pin bench.Pin) *bench.Result {
	s := kenya(15, 16, flipQueries)
	s.Seed, s.Warmup, s.Policy = seed, 320, bench.Carobmill
	s.Rollout = bench.SnapshotRollout{Every: time.Minute, Wave: 2 * time.Second, Pin: pin, WrongSnapshotEvery: 5}
	return bench.Run(s)
}
