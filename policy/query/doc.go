// Package query is the state machine of one read query at its entry node. Start, Reply,
// Tick and Cancel return the messages to send. Answer returns the result once Done reports
// true.
//
// A query is pinned to one snapshot. Every subrequest names that snapshot, every reply
// names the snapshot that it was served from, and a reply from another snapshot or
// generation is never merged. Each attempt has its own id. A reply is dropped if its
// attempt is not outstanding, or if it names a shard or replica other than those of the
// attempt. Coverage is computed once, from the results in the assembled answer.
package query
