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
