// Package limit implements an adaptive concurrency limit for the requests that
// one owner, a node, has in flight to one replica.
//
// A new limiter treats its replica as cold. Only the first-ranked owner, in short
// the first owner, sends to a cold replica, and at most ColdInFlight requests at
// once. The limit grows only on successes at normal latency. Any single signal of a
// cold start drops the limit to its floor; a report of a warm replica never raises
// the limit of the first owner. The other owners send nothing until the first owner
// reports the replica warm.
//
// The limit of a warm replica adapts to its latency and stays at or below
// MaxInFlight. A replica that may turn cold without any signal
// (Params.Exclusive) receives requests from its first-ranked owner only, and
// never more than ColdInFlight at once.
//
// Limiter is not safe for concurrent use.
package limit
