package bench

import "time"

// Policy selects the decision logic of a run.
type Policy int

const (
	// Baseline picks replicas at random, without hedging, limits or admission.
	Baseline Policy = iota
	// Carobmill uses the policy packages.
	Carobmill
)

// Scenario configures one run.
type Scenario struct {
	Seed     uint64
	Policy   Policy
	Nodes    int
	Shards   int
	Replicas int
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// ColdInFlight is the concurrency limit of a cold replica.
	ColdInFlight int
	// Exclusive is set if replicas have silent cold starts. Only one owner sends to
	// each replica, with at most ColdInFlight requests in flight.
	Exclusive bool
	// Service is the mean service time of a subrequest at a replica. Deadline is the
	// deadline of a query.
	Service  time.Duration
	Deadline time.Duration
	// Rate is the number of queries per second. HighShare is the fraction of them in
	// the high class.
	Rate      float64
	HighShare float64
	// Warmup, Transient and Queries are numbers of queries, sent in this order. Only
	// Queries are measured. Warmup queries arrive at WarmupRate, or at Rate if
	// WarmupRate is 0. All others arrive at Rate.
	Queries, Warmup, Transient int
	WarmupRate                 float64
	// SlowEvery makes one replica in SlowEvery slower by SlowFactor. SlowProbability is
	// the probability that a subrequest takes ten times as long.
	SlowEvery       int
	SlowFactor      float64
	SlowProbability float64
	// Faults are injected during the run.
	Faults  []Fault
	Rollout SnapshotRollout
}

// Fault is a failure injected into one replica.
type Fault struct {
	// At is the virtual time since the start of the run.
	At   time.Duration
	Kind FaultKind
	// Replica is the index of the replica, counted over the replicas of all shards in
	// order.
	Replica int
	// Downtime is the time for which FaultDown refuses connections.
	Downtime time.Duration
	// WarmUpRequests is the number of requests after which a cold replica is warm.
	WarmUpRequests int
}

// FaultKind is the type of a fault.
type FaultKind int

const (
	// FaultRestart closes all connections. The replica restarts immediately and is
	// cold.
	FaultRestart FaultKind = iota
	// FaultDown refuses connections for Downtime. Afterwards the replica is cold.
	FaultDown
	// FaultSilent makes the replica cold without closing its connections.
	FaultSilent
)

// Result contains the measurements of a run.
type Result struct {
	// High and Low are the sorted latencies of answered queries by class.
	High, Low []time.Duration
	// All contains the latencies of both classes, sorted.
	All []time.Duration
	// Complete, Partial and Refused count queries by outcome. CompleteHigh and
	// OfferedHigh count the complete and the offered queries of the high class.
	Complete, Partial, Refused int
	CompleteHigh, OfferedHigh  int
	// Coverage is the mean coverage of all queries that were not refused.
	Coverage float64
	// Extra is the ratio of additional subrequests, such as hedges and retries, to
	// the minimum of one per shard of each admitted query.
	Extra float64
	// Span is the virtual time of the counted queries.
	Span time.Duration
	// FalseNotRun counts refused queries of which a server accepted a subrequest.
	FalseNotRun int
	// SlowestRefusal is the longest time from arrival to refusal of a query.
	SlowestRefusal time.Duration
	Hedges         int
	// Restarted counts queries that restarted at another snapshot. Mixed counts
	// answers that contain rows of another snapshot than their own.
	Restarted, Mixed int
	Servers          []ServerResult
}

// ServerResult contains the measurements of one server.
type ServerResult struct {
	// Excess counts requests above the concurrency limit of the cold server.
	// LastExcess is the time of the last one. ColdPeak is the maximum number of
	// requests in flight while the server was cold.
	Excess     int
	LastExcess time.Duration
	ColdPeak   int
	Shed       int
	// WarmAt is the time at which the server became warm. FullShareAt is the time at
	// which an owner first considered it warm again.
	WarmAt, FullShareAt time.Duration
	// AcceptedPerSecond counts the accepted requests by second of the run.
	AcceptedPerSecond []int
}

// Goodput returns the number of complete answers per second.
func (r *Result) Goodput() float64 {
	return float64(r.Complete) / r.Span.Seconds()
}

// Quantile returns the q-quantile of sorted latencies, or 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (s Scenario) uncounted() int {
	return s.Warmup + s.Transient
}
