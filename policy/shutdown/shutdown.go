// Package shutdown decides which requests a node still starts when its stop is planned.
package shutdown

import "time"

const (
	// LatencyQuantile is the quantile of a route's latencies that counts as the longest one.
	LatencyQuantile = 0.99
	// MinSamples is the number of latencies from which their quantile counts as known.
	MinSamples = 20
	// latencyMargin covers requests that take longer than those observed.
	latencyMargin = 1.25
)

// Fits reports whether a request that starts now is expected to end before the node stops. left is the time
// until then, limit the time until the request's own deadline, and longest the longest latency of
// its route; 0 if unknown. Without a known latency, only the deadline is certain.
func Fits(left, limit, longest time.Duration) bool {
	need := limit
	if longest > 0 {
		need = min(limit, time.Duration(latencyMargin*float64(longest)))
	}
	return need <= left
}
