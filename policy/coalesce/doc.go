// Package coalesce decides how subrequests of different queries to one replica are
// batched: which of them may queue for a concurrency slot, and how many queued ones
// the next call carries.
//
// Batching adds no delay. A subrequest that finds a free slot is sent alone and
// immediately. Only subrequests that have to queue for a slot are batched.
package coalesce
