package caller

import (
	"encoding/json"

	"github.com/carobmill/carobmill/policy/query"
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Service string `json:"service"`
	Class   string `json:"class"`
	// Query is forwarded to the backend servers unchanged.
	Query json.RawMessage `json:"query"`
	// DeadlineMs is the deadline in milliseconds. 0 selects the default of the
	// service; a value above its maximum is reduced to the maximum.
	DeadlineMs int64 `json:"deadline_ms"`
	Trace      bool  `json:"trace"`
}

// ExecuteRequest is the body of POST /v1/execute.
type ExecuteRequest struct {
	Service string `json:"service"`
	Class   string `json:"class"`
	// Exactly one of Shard and Key is set. The hash of Key selects the shard.
	Shard string `json:"shard"`
	Key   string `json:"key"`
	// IdempotencyKey makes a retry by the caller safe on any node.
	IdempotencyKey string          `json:"idempotency_key"`
	Body           json.RawMessage `json:"body"`
	DeadlineMs     int64           `json:"deadline_ms"`
}

// Answer is the response body of POST /v1/query.
type Answer struct {
	Outcome  query.Outcome `json:"outcome"`
	Coverage float64       `json:"coverage"`
	// Absent lists the shards without a result.
	Absent        []AbsentShard              `json:"absent,omitempty"`
	Snapshot      uint64                     `json:"snapshot"`
	Generation    uint64                     `json:"generation"`
	ConfigVersion uint64                     `json:"config_version"`
	Results       map[string]json.RawMessage `json:"results,omitempty"`
	// Reason is set for a refused request.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Cost         *Cost  `json:"cost,omitempty"`
	Trace        []Step `json:"trace,omitempty"`
}

// AbsentShard is a shard without a result.
type AbsentShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// Cost counts the subrequests, dropped replies and restarts of a traced query.
type Cost struct {
	Attempts int `json:"attempts"`
	Hedges   int `json:"hedges"`
	Retries  int `json:"retries"`
	WarmUps  int `json:"warm_ups"`
	Dropped  int `json:"dropped"`
	Restarts int `json:"restarts"`
}

// Step is one event in the trace of a query.
type Step struct {
	AtUs     int64  `json:"at_us"`
	Kind     string `json:"kind"`
	Attempt  uint64 `json:"attempt,omitempty"`
	Shard    string `json:"shard,omitempty"`
	Replica  string `json:"replica,omitempty"`
	Snapshot uint64 `json:"snapshot,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// ExecuteAnswer is the response body of POST /v1/execute. The outcome is complete
// (the request ran), refused (the request did not run) or unknown.
type ExecuteAnswer struct {
	Outcome   query.Outcome   `json:"outcome"`
	RequestID string          `json:"request_id,omitempty"`
	Result    json.RawMessage `json:"result,omitempty"`
	// Sent is false when this submission did not run and will not run. An earlier
	// submission with the same idempotency key may have run.
	Sent bool `json:"sent"`
	// Repeated marks the outcome of an earlier submission with the same key.
	Repeated bool `json:"repeated,omitempty"`
	// ResultDropped is set when an earlier submission ran and its result was too
	// large to store.
	ResultDropped bool   `json:"result_dropped,omitempty"`
	Reason        string `json:"reason,omitempty"`
	RetryAfterMs  int64  `json:"retry_after_ms,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
}

// ErrorAnswer is the response body for a request that is invalid or names an
// unknown service, class or shard, for a result that is not valid JSON and for an
// internal error.
type ErrorAnswer struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail contains the kind of error and the invalid field, if there is one.
type ErrorDetail struct {
	Code    string `json:"code"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}
