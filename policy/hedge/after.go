package hedge

import "time"

// Never is returned by After when no hedge may be sent.
const Never = time.Duration(1<<63 - 1)

const (
	// minSamples is the number of latencies that a quantile needs before it is used.
	minSamples = 50
	// ageQuantile is the fraction of subrequests that answer before a hedge is sent. The
	// remaining 3% fit into the default budget of 5%.
	ageQuantile = 0.97
	// stragglerShare is the share of a query's shards that may be outstanding when a hedge
	// is sent, in addition to minStragglers. A larger share indicates load, a lost network
	// path or a slow query.
	stragglerShare = 0.1
	// minStragglers is the number of shards that may be outstanding in any query.
	minStragglers = 2
	// slowestFactor is the least ratio of the age of a straggler to the slowest answer of
	// the query. A subrequest that is only as slow as that answer is not late.
	slowestFactor = 1.25
)

// Progress is the state of all subrequests of a query.
type Progress struct {
	// Answered of Total shards have a result.
	Answered, Total int
	// Slowest is the latency of the slowest answer to a shard without a hedge.
	Slowest time.Duration
	// Overloaded is true when admission sheds queries, or owners refuse subrequests
	// because of their limits.
	Overloaded bool
}

// After returns the age from which an outstanding subrequest may be hedged, or Never
// when no hedge may be sent yet. The age exceeds the recent latency quantile of
// the service and the slowest answer of the same query.
//
// The subrequests of one query run the same work at the same time, so their latencies
// show the current baseline. The quantile alone would hedge every shard of a slow query.
// Load delays most subrequests of a query, and then no hedge is sent.
func After(p Progress, recent *Quantile) time.Duration {
	if p.Overloaded || recent.Count() < minSamples {
		return Never
	}
	due := recent.At(ageQuantile)
	if p.Total <= 1 {
		return due
	}
	stragglers := minStragglers + int(stragglerShare*float64(p.Total))
	if p.Answered == 0 || p.Total-p.Answered > stragglers {
		return Never
	}
	return max(due, time.Duration(slowestFactor*float64(p.Slowest)))
}
