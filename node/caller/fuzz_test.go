package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/entry"
	"github.com/carobmill/carobmill/node/execute"
	"github.com/carobmill/carobmill/policy/dispatch"
	"github.com/carobmill/carobmill/policy/query"
)

const maxBody = 4 << 10

// echo returns the query or body of each request as its result.
type echo struct{}

func (echo) Query(_ context.Context, req entry.Request) (*entry.Result, error) {
	return &entry.Result{Answer: &query.Answer{
		Outcome: query.Complete, Coverage: 1, Results: []query.ShardResult{{Shard: "s", Body: req.Query}},
	}}, nil
}

func (echo) Execute(_ context.Context, req execute.Request) execute.Outcome {
	return execute.Outcome{Outcome: dispatch.Outcome{Evidence: pb.Evidence_EVIDENCE_RAN, Result: req.Body}}
}

// FuzzCallerBody sends arbitrary bodies to both endpoints. The handler either
// rejects a body with status 400 or 413 and the name of the invalid field, or
// forwards the query and returns the result unchanged.
//
// Long run: go test ./node/caller -run NONE -fuzz FuzzCallerBody -fuzztime 10m
func FuzzCallerBody(f *testing.F) {
	for _, body := range []string{
		`{"service":"timing","class":"checkpoint","query":{"rider":7},"deadline_ms":100,"trace":true}`,
		`{"service":"timing","class":"checkpoint","key":"k","idempotency_key":"i","body":[12345678901234567890,1e400]}`,
		`{"service":1}`, `{"service":"a","class":"b","query":null}`, `[]`, `null`, `"x"`, `{`, ``, `{}{}`,
		`{"service":"a","class":"b","query":"<&>\u2028","deadline_ms":-1}`, "{\"service\":\"a\",\"class\":\"b\",\"query\":\"\xff\"}",
	} {
		f.Add([]byte(body))
	}
	handler := caller.NewHandler(caller.Options{Querier: echo{}, Executor: echo{}, MaxBodyBytes: maxBody})
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/query", "/v1/execute"} {
			rec := httptest.NewRecorder()
			handler.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
			checkReply(t, path, body, rec)
		}
	})
}

func checkReply(t *testing.T, path string, body []byte, rec *httptest.ResponseRecorder) {
	switch rec.Code {
	case http.StatusOK:
		checkUnchanged(t, path, body, rec.Body.Bytes())
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		var answer caller.ErrorAnswer
		if err := json.Unmarshal(rec.Body.Bytes(), &answer); err != nil || answer.Error.Field == "" {
			t.Fatalf("%s: error response does not name a field: %s", path, rec.Body)
		}
	default:
		t.Fatalf("%s: unexpected status %d: %s", path, rec.Code, rec.Body)
	}
}

// checkUnchanged compares the request with the result without converting numbers.
func checkUnchanged(t *testing.T, path string, body, reply []byte) {
	var sent struct {
		Query any `json:"query"`
		Body  any `json:"body"`
	}
	var got struct {
		Results map[string]any `json:"results"`
		Result  any            `json:"result"`
	}
	decode(t, body, &sent)
	decode(t, reply, &got)
	if path == "/v1/query" && !reflect.DeepEqual(sent.Query, got.Results["s"]) {
		t.Fatalf("query %v was returned as %v", sent.Query, got.Results["s"])
	}
	if path == "/v1/execute" && !reflect.DeepEqual(sent.Body, got.Result) {
		t.Fatalf("body %v was returned as %v", sent.Body, got.Result)
	}
}

func decode(t *testing.T, data []byte, into any) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(into); err != nil {
		t.Fatalf("decode %s: %v", data, err)
	}
}
