package caller

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/entry"
	"github.com/carobmill/carobmill/node/execute"
	"github.com/carobmill/carobmill/policy/query"
)

// Limits of the HTTP server for callers.
const (
	MaxHeaderBytes    = 16 << 10
	ReadHeaderTimeout = 5 * time.Second
	IdleTimeout       = 2 * time.Minute
)

const (
	queryPath   = "/v1/query"
	executePath = "/v1/execute"
	// refusalRetryAfter is the retry delay returned by a node that shuts down.
	// The retry should go to another node.
	refusalRetryAfter = time.Second
)

// Options configures a Handler.
type Options struct {
	Querier  Querier
	Executor Executor
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
}

// Handler serves the caller interface until Refuse is called.
// http.Server.Shutdown waits for the requests accepted before that.
type Handler struct {
	mux      *http.ServeMux
	maxBody  int64
	refusing atomic.Bool
}

// NewHandler returns a handler that accepts requests.
func NewHandler(o Options) *Handler {
	h := &Handler{mux: http.NewServeMux(), maxBody: o.MaxBodyBytes}
	options := []httptransport.ServerOption{httptransport.ServerErrorEncoder(encodeError)}
	h.mux.Handle("POST "+queryPath, httptransport.NewServer(
		makeQueryEndpoint(o.Querier), decodeQuery, encodeAnswer, options...))
	h.mux.Handle("POST "+executePath, httptransport.NewServer(
		makeExecuteEndpoint(o.Executor), decodeExecute, encodeExecuteAnswer, options...))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.refusing.Load() {
		w.Header().Set("Connection", "close")
		h.refuse(w, r)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, h.maxBody)
	h.mux.ServeHTTP(w, r)
}

// Refuse makes the handler refuse new requests without running them.
func (h *Handler) Refuse() { h.refusing.Store(true) }

// refuse answers a request that arrives after Refuse. A request with an idempotency
// key, or with a body that cannot be decoded, is answered with outcome unknown
// instead of refused: an earlier submission with the same key may have run at
// another node.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request) {
	retry := refusalRetryAfter.Milliseconds()
	reason := reasonName(pb.Reason_REASON_UNREADY)
	if r.URL.Path != executePath {
		writeJSON(w, http.StatusServiceUnavailable, retry, &Answer{
			Outcome:      query.Refused,
			Reason:       reason,
			RetryAfterMs: retry,
		})
		return
	}
	answer := &ExecuteAnswer{Outcome: query.Refused, Reason: reason, RetryAfterMs: retry}
	r.Body = http.MaxBytesReader(w, r.Body, h.maxBody)
	req, err := decodeExecute(r.Context(), r)
	if err != nil || req.(*ExecuteRequest).IdempotencyKey != "" {
		answer.Outcome = query.Unknown
	}
	writeJSON(w, http.StatusServiceUnavailable, retry, answer)
}

// Reject answers a request that was not read completely, and so has not run. An earlier submission
// of the same request to execute may have run, so that its outcome is unknown.
func (h *Handler) Reject(w http.ResponseWriter, r *http.Request, status int) {
	switch status {
	case http.StatusServiceUnavailable:
		retry := refusalRetryAfter.Milliseconds()
		reason := reasonName(pb.Reason_REASON_OVERLOAD)
		if r.URL.Path == executePath {
			writeJSON(w, status, retry, &ExecuteAnswer{Outcome: query.Unknown, Reason: reason, RetryAfterMs: retry})
			return
		}
		writeJSON(w, status, retry, &Answer{Outcome: query.Refused, Reason: reason, RetryAfterMs: retry})
	case http.StatusRequestEntityTooLarge:
		encodeError(r.Context(), bodyError(&http.MaxBytesError{Limit: h.maxBody}), w)
	case http.StatusRequestTimeout:
		writeError(w, status, ErrorDetail{Code: "timeout", Field: "body", Message: "body: did not arrive in time"})
	default:
		writeError(w, status, ErrorDetail{Code: "bad_request", Field: "body", Message: "body: is not complete"})
	}
}

func encodeAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	answer := response.(*Answer)
	writeJSON(w, answerStatus(answer), answer.RetryAfterMs, answer)
	return nil
}

// answerStatus returns the HTTP status for an answer. A partial answer with results
// has status 200; its body lists the absent shards.
func answerStatus(answer *Answer) int {
	switch {
	case answer.Outcome == query.Refused && answer.Reason == reasonName(pb.Reason_REASON_OVERLOAD):
		return http.StatusTooManyRequests
	case answer.Outcome == query.Refused:
		return http.StatusServiceUnavailable
	case answer.Outcome == query.Partial && len(answer.Results) == 0:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

func encodeExecuteAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	answer := response.(*ExecuteAnswer)
	writeJSON(w, executeStatus(answer), answer.RetryAfterMs, answer)
	return nil
}

func executeStatus(answer *ExecuteAnswer) int {
	switch {
	case answer.Reason == reasonName(pb.Reason_REASON_KEY_REUSED),
		answer.Reason == reasonName(pb.Reason_REASON_KEY_PENDING):
		return http.StatusConflict
	case answer.Outcome == query.Refused && answer.Reason == reasonName(pb.Reason_REASON_OVERLOAD):
		return http.StatusTooManyRequests
	case answer.Outcome == query.Refused,
		answer.Reason == reasonName(pb.Reason_REASON_PLATFORM):
		return http.StatusServiceUnavailable
	case answer.Outcome == query.Unknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var field *FieldError
	switch {
	case errors.As(err, &field) && field.TooLarge:
		writeError(w, http.StatusRequestEntityTooLarge, ErrorDetail{Code: "too_large", Field: field.Field, Message: err.Error()})
	case errors.As(err, &field):
		writeError(w, http.StatusBadRequest, ErrorDetail{Code: "bad_request", Field: field.Field, Message: err.Error()})
	case errors.Is(err, entry.ErrUnknownService), errors.Is(err, execute.ErrUnknownService):
		writeError(w, http.StatusNotFound, ErrorDetail{Code: "unknown_service", Field: "service", Message: err.Error()})
	case errors.Is(err, entry.ErrUnknownClass), errors.Is(err, execute.ErrUnknownClass):
		writeError(w, http.StatusBadRequest, ErrorDetail{Code: "unknown_class", Field: "class", Message: err.Error()})
	case errors.Is(err, execute.ErrUnknownShard):
		writeError(w, http.StatusNotFound, ErrorDetail{Code: "unknown_shard", Field: "shard", Message: err.Error()})
	default:
		writeError(w, http.StatusInternalServerError, ErrorDetail{Code: "internal", Message: err.Error()})
	}
}

func writeError(w http.ResponseWriter, status int, detail ErrorDetail) {
	writeJSON(w, status, 0, &ErrorAnswer{Error: detail})
}

// writeJSON writes a document. The Retry-After header is rounded up to whole seconds;
// the body contains the exact value.
func writeJSON(w http.ResponseWriter, status int, retryAfterMs int64, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		// A result that is not valid JSON must not be part of a complete answer.
		status = http.StatusBadGateway
		body, _ = json.Marshal(&ErrorAnswer{Error: ErrorDetail{Code: "bad_result", Message: err.Error()}})
	}
	w.Header().Set("Content-Type", "application/json")
	if retryAfterMs > 0 {
		seconds := math.Ceil(float64(retryAfterMs) / float64(time.Second.Milliseconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
