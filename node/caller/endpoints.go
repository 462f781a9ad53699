package caller

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/entry"
	"github.com/carobmill/carobmill/node/execute"
	"github.com/carobmill/carobmill/policy/query"
)

// Querier runs read requests.
type Querier interface {
	Query(ctx context.Context, req entry.Request) (*entry.Result, error)
}

// Executor runs non-idempotent requests.
type Executor interface {
	Execute(ctx context.Context, req execute.Request) execute.Outcome
}

func makeQueryEndpoint(q Querier) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req := request.(*QueryRequest)
		result, err := q.Query(ctx, entry.Request{
			Service:  req.Service,
			Class:    req.Class,
			Query:    req.Query,
			Deadline: time.Duration(req.DeadlineMs) * time.Millisecond,
			Trace:    req.Trace,
		})
		if err != nil {
			return nil, err
		}
		return newAnswer(result, req.Trace), nil
	}
}

func newAnswer(result *entry.Result, trace bool) *Answer {
	answer := &Answer{
		Outcome:       result.Outcome,
		Coverage:      result.Coverage,
		Snapshot:      result.Snapshot,
		Generation:    result.Generation,
		ConfigVersion: result.ConfigVersion,
		Reason:        reasonName(result.Reason),
		RetryAfterMs:  result.RetryAfter.Milliseconds(),
		Results:       make(map[string]json.RawMessage, len(result.Results)),
	}
	for _, r := range result.Results {
		answer.Results[r.Shard] = r.Body
	}
	for _, a := range result.Absent {
		answer.Absent = append(answer.Absent, AbsentShard{Shard: a.Shard, Reason: reasonName(a.Reason)})
	}
	if !trace {
		return answer
	}
	answer.Cost = &Cost{
		Attempts: result.Stats.Attempts,
		Hedges:   result.Stats.Hedges,
		Retries:  result.Stats.Retries,
		WarmUps:  result.Stats.WarmUps,
		Dropped:  result.Stats.Dropped,
		Restarts: result.Stats.Restarts,
	}
	for _, e := range result.Trace {
		answer.Trace = append(answer.Trace, newStep(e))
	}
	return answer
}

func newStep(e query.TraceEvent) Step {
	return Step{
		AtUs:     e.At.Microseconds(),
		Kind:     string(e.Kind),
		Attempt:  e.Attempt,
		Shard:    e.Shard,
		Replica:  e.Replica,
		Snapshot: e.Snapshot,
		Reason:   reasonName(e.Reason),
	}
}

func makeExecuteEndpoint(x Executor) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req := request.(*ExecuteRequest)
		out := x.Execute(ctx, execute.Request{
			Service:        req.Service,
			Class:          req.Class,
			Shard:          req.Shard,
			Key:            req.Key,
			IdempotencyKey: req.IdempotencyKey,
			Body:           req.Body,
			Deadline:       time.Duration(req.DeadlineMs) * time.Millisecond,
		})
		if out.Err != nil {
			return nil, out.Err
		}
		return &ExecuteAnswer{
			Outcome:       outcomeOf(out.Evidence),
			RequestID:     out.RequestID,
			Result:        resultJSON(out.Result),
			Sent:          out.Sent,
			Repeated:      out.Repeated,
			ResultDropped: out.ResultDropped,
			Reason:        reasonName(out.Reason),
			RetryAfterMs:  out.RetryAfter.Milliseconds(),
			ConfigVersion: out.ConfigVersion,
		}, nil
	}
}

// resultJSON encodes a result that is not valid JSON as a JSON string. Otherwise the
// answer could not be encoded, and the caller would not learn that the request ran.
func resultJSON(result []byte) json.RawMessage {
	if len(result) == 0 || json.Valid(result) {
		return result
	}
	quoted, _ := json.Marshal(string(result))
	return quoted
}

func outcomeOf(evidence pb.Evidence) query.Outcome {
	switch evidence {
	case pb.Evidence_EVIDENCE_RAN:
		return query.Complete
	case pb.Evidence_EVIDENCE_NOT_RUN:
		return query.Refused
	default:
		return query.Unknown
	}
}

// reasonName returns a reason as callers receive it: in lower case without the
// prefix of the enum, or empty when there is no reason.
func reasonName(reason pb.Reason) string {
	if reason == pb.Reason_REASON_UNSPECIFIED {
		return ""
	}
	return strings.ToLower(strings.TrimPrefix(reason.String(), "REASON_"))
}
