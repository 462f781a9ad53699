// Package routing chooses the replica of a shard for each subrequest, by the power of
// two choices over recent latency and requests in flight. Replicas that are slow,
// cold or refusing are not preferred and receive a small share of requests as probes,
// so that their recovery is detected.
//
// A Table is not safe for concurrent use.
package routing
