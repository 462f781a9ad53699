// Package caller implements the HTTP interface for callers with go-kit endpoints
// over net/http and JSON bodies.
//
//	POST /v1/query    a read request over all shards of a service
//	POST /v1/execute  a non-idempotent request to one shard
//
// An answer contains the outcome, coverage, absent shards, snapshot and
// configuration version. Results are JSON documents of the backend servers and
// are forwarded without decoding. The documents are therefore not defined in the
// protobuf schema: its JSON mapping would re-encode the results and lose the
// precision of large numbers.
package caller
