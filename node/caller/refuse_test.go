package caller_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/caller"
)

// A node that shuts down must not answer "refused" to a request with an idempotency
// key: an earlier submission with that key may have run at another node.
func TestShutdownReportsUnknownForRequestWithIdempotencyKey(t *testing.T) {
	tests := map[string]struct{ path, body, outcome string }{
		"idempotency key":    {"/v1/execute", `{"service":"s","class":"c","key":"k","idempotency_key":"fee-1","body":1}`, `"outcome":"unknown"`},
		"no idempotency key": {"/v1/execute", `{"service":"s","class":"c","key":"k","body":1}`, `"outcome":"refused"`},
		"truncated body":     {"/v1/execute", `{"service":"s"`, `"outcome":"unknown"`},
		"query":              {"/v1/query", `{"service":"s","class":"c","query":1}`, `"outcome":"refused"`},
	}
	h := caller.NewHandler(caller.Options{MaxBodyBytes: 1 << 10})
	h.Refuse()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest("POST", tt.path, strings.NewReader(tt.body)))
			qt.Check(t, w.Code, qt.Equals, 503)
			qt.Check(t, w.Body.String(), qt.Contains, tt.outcome)
			qt.Check(t, w.Body.String(), qt.Contains, `"reason":"unready"`)
		})
	}
}

// Guards against a request that was not read completely and is answered as refused, although an
// earlier submission may have run.
func TestIncompleteRequestIsAnsweredByItsStatus(t *testing.T) {
	h := caller.NewHandler(caller.Options{MaxBodyBytes: 1 << 10})
	for _, tt := range []struct {
		path   string
		status int
		text   string
	}{
		{"/v1/execute", 503, `"outcome":"unknown"`},
		{"/v1/query", 503, `"outcome":"refused"`},
		{"/v1/query", 413, `"code":"too_large"`},
		{"/v1/query", 408, `"code":"timeout"`},
		{"/v1/query", 400, `"code":"bad_request"`},
	} {
		w := httptest.NewRecorder()
		h.Reject(w, httptest.NewRequest("POST", tt.path, nil), tt.status)
		qt.Check(t, w.Code, qt.Equals, tt.status)
		qt.Check(t, w.Body.String(), qt.Contains, tt.text)
		qt.Check(t, w.Header().Get("Retry-After") != "", qt.Equals, tt.status == 503)
	}
}
