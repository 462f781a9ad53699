package hedge

import "time"

// Never is the answer of After when no hedge must be sent.
const Never = time.Duration(1<<63 - 1)

const (
	// minSamples is how many latencies a quantile needs before hedges may rely
	// on it.
	minSamples = 50
	// quantile is the part of subrequests that answer before a hedge is due. It
	// leaves 3% that could be hedged, inside the default budget of 5%.
	quantile = 0.97
	// lateShare is the part of a query's shards that may be outstanding while
	// the others count as answered. More than that is not a straggler but load,
	// a lost network path, or a slow query.
	lateShare = 0.1
	// lateMin is the least number of shards that may be outstanding.
	lateMin = 2
	// siblingFactor is how much longer than its siblings a subrequest must take:
	// one that is as slow as the slowest sibling that did answer is not late.
	siblingFactor = 1.25
)

// Progress says how the other subrequests of the same query are doing.
type Progress struct {
	// Answered of Total shards have a result.
	Answered, Total int
	// Slowest is the latency of the slowest answer to a shard without a hedge.
	Slowest time.Duration
	// Overloaded is true when the service is overloaded: admission is refusing
	// queries, or owners refuse subrequests for their limits.
	Overloaded bool
}

// After returns the time since an outstanding subrequest was sent from which it
// may be hedged, or Never when only another answer can make a hedge due. It is
// the later of two moments: the siblings have answered, and the service's recent
// latency quantile has passed.
//
// Siblings of one query run the same work at the same time, so they tell what
// is normal now; the quantile alone would hedge every shard of a slow query.
// Load slows all siblings alike: too many are outstanding, and nothing is sent.
func After(s Progress, recent *Quantile) time.Duration {
	if s.Overloaded || recent.Count() < minSamples {
		return Never
	}
	due := recent.At(quantile)
	if s.Total <= 1 {
		return due
	}
	late := lateMin + int(lateShare*float64(s.Total))
	if s.Answered == 0 || s.Total-s.Answered > late {
		return Never
	}
	return max(due, time.Duration(siblingFactor*float64(s.Slowest)))
}
