package caller_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/caller"
)

// A caller repeats a fee with its idempotency key at a node that shuts down.
// The first submission may have run at another node, so the answer is "unknown",
// never "refused", which would say that the fee was not taken.
func TestShutdownReportsUnknownForRequestWithIdempotencyKey(t *testing.T) {
	tests := map[string]struct{ path, body, outcome string }{
		"with a key":    {"/v1/execute", `{"service":"s","class":"c","key":"k","idempotency_key":"fee-1","body":1}`, `"outcome":"unknown"`},
		"without a key": {"/v1/execute", `{"service":"s","class":"c","key":"k","body":1}`, `"outcome":"refused"`},
		"cut off":       {"/v1/execute", `{"service":"s"`, `"outcome":"unknown"`},
		"query":         {"/v1/query", `{"service":"s","class":"c","query":1}`, `"outcome":"refused"`},
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
