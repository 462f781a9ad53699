package bench

import "time"

// Policy is what a run decides by.
type Policy int

const (
	// Baseline picks replicas at random and uses none of the other decisions.
	Baseline Policy = iota
	// Carobmill uses the policy packages.
	Carobmill
)

// Scenario is one run.
type Scenario struct {
	Seed     uint64
	Policy   Policy
	Nodes    int
	Shards   int
	Replicas int
	Slots    int
	// ColdInFlight is what a cold replica bears.
	ColdInFlight int
	// Exclusive states that replicas have silent cold starts: one owner alone sends
	// to each, never more than ColdInFlight at once.
	Exclusive bool
	// Service is the mean time of a subrequest at a replica, Deadline that of a
	// query.
	Service  time.Duration
	Deadline time.Duration
	// Rate is in queries a second, from which HighShare are of the high class.
	Rate      float64
	HighShare float64
	// Queries are counted after Warmup others, which come at WarmupRate, or at
	// Rate when that is 0, and after Transient more at Rate.
	Queries, Warmup, Transient int
	WarmupRate                 float64
	// SlowEvery makes one replica in so many SlowFactor times slower; Chance is
	// the part of subrequests that are ten times slower at random.
	SlowEvery       int
	SlowFactor      float64
	SlowProbability float64
	// Faults strike replicas while the run goes on.
	Faults  []Fault
	Rollout SnapshotRollout
}

// Fault is something that happens to one replica.
type Fault struct {
	At      time.Duration
	Kind    FaultKind
	Replica int
	// Downtime is how long a replica is down.
	Downtime time.Duration
	// WarmUpRequests is how many a cold replica serves until it is warm.
	WarmUpRequests int
}

// FaultKind says what happens to a replica.
type FaultKind int

const (
	// FaultRestart closes all connections; the replica is cold at once.
	FaultRestart FaultKind = iota
	// FaultDown refuses connections for a time, then the replica comes back
	// cold.
	FaultDown
	// FaultSilent turns the replica cold with its connections open.
	FaultSilent
)

// Result is what a run came to.
type Result struct {
	// High and Low are the latencies of answered queries by class, sorted.
	High, Low []time.Duration
	// All holds both.
	All []time.Duration
	// Complete, Partial and Refused count queries; CompleteHigh those of the
	// high class, of OfferedHigh.
	Complete, Partial, Refused int
	CompleteHigh, OfferedHigh  int
	// Coverage is the mean over all queries that were not refused.
	Coverage float64
	// Extra is subrequests accepted by servers beyond one a shard, as a part of
	// those.
	Extra float64
	// Span is the virtual time of the counted queries.
	Span time.Duration
	// FalseNotRun counts refused queries that some server did run.
	FalseNotRun int
	// SlowestRefusal is the longest time that a refused query waited.
	SlowestRefusal time.Duration
	Hedges         int
	// Restarted counts queries that started over at another snapshot, Mixed those
	// with rows of another snapshot than the answer names.
	Restarted, Mixed int
	Servers          []ServerResult
}

// ServerResult is one server's own record.
type ServerResult struct {
	// Excess counts requests beyond what the cold server bore, the last one at
	// LastExcess; ColdPeak is the most it had in flight.
	Excess     int
	LastExcess time.Duration
	ColdPeak   int
	Shed       int
	// WarmAt is when the server became warm, FullShareAt when an owner gave it its
	// full share again.
	WarmAt, FullShareAt time.Duration
	// AcceptedPerSecond counts the requests accepted in each second of the run.
	AcceptedPerSecond []int
}

// Goodput returns the complete answers a second.
func (r *Result) Goodput() float64 {
	return float64(r.Complete) / r.Span.Seconds()
}

// Quantile returns a quantile of sorted latencies.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (s Scenario) uncounted() int {
	return s.Warmup + s.Transient
}
