// Package telemetry implements a node's log and metrics: histograms and counters by
// service and class through tally, and a Prometheus endpoint. Two gauges per class
// cover the last minute: the p99 latency, and the share of requests answered in full
// and on time. All metrics are listed in docs/operations/metrics.md.
package telemetry
