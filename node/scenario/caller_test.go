package scenario_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/policy/query"
)

func timingQuery() *caller.QueryRequest {
	return &caller.QueryRequest{
		Service: "timing",
		Class:   "checkpoint",
		Query:   json.RawMessage(`{"rider":7}`),
	}
}

func TestQueryIsAnsweredInFull(t *testing.T) {
	runInVirtualTime(t, deployment.Options{Sheet: exampleSheet(t, "timing"), NodesPerDataCentre: 1}, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		req := timingQuery()
		req.Trace = true
		answer, status, err := d.Query(t.Context(), d.Nodes[0].Settings.GetCallerAddress(), req)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(answer.Outcome, qt.Equals, query.Complete)
		c.Assert(answer.Coverage, qt.Equals, 1.0)
		c.Assert(answer.Results, qt.HasLen, 10)
		c.Assert(answer.Snapshot, qt.Equals, uint64(1))
		c.Assert(answer.ConfigVersion, qt.Equals, uint64(1))
		c.Assert(answer.Cost.Attempts >= 10, qt.IsTrue)
		c.Assert(len(answer.Trace) >= 20, qt.IsTrue)
	})
}

func TestInvalidRequestErrorNamesField(t *testing.T) {
	d := start(t, deployment.Options{Sheet: exampleSheet(t, "timing"), NodesPerDataCentre: 1})
	addr := d.Nodes[0].Settings.GetCallerAddress()
	cases := []struct {
		body   string
		status int
		code   string
		field  string
	}{
		{`{"service":"nope","class":"checkpoint","query":1}`, 404, "unknown_service", "service"},
		{`{"service":"timing","class":"nope","query":1}`, 400, "unknown_class", "class"},
		{`{"service":"timing","class":"checkpoint"`, 400, "bad_request", "body"},
		{`{"service":"timing","class":"checkpoint"}`, 400, "bad_request", "query"},
		{`{"service":7,"class":"checkpoint","query":1}`, 400, "bad_request", "service"},
		{`{"service":"timing","class":"checkpoint","query":1,"rows":1}`, 400, "bad_request", "rows"},
		{`{"service":"timing","class":"checkpoint","query":1,"deadline_ms":-1}`, 400, "bad_request", "deadline_ms"},
		{`{"service":"timing","class":"checkpoint","query":1} {}`, 400, "bad_request", "body"},
		{`{"query":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "too_large", "body"},
	}
	for _, tc := range cases {
		c := qt.New(t)
		resp, err := http.Post("http://"+addr+"/v1/query", "application/json", strings.NewReader(tc.body))
		c.Assert(err, qt.IsNil)
		var answer caller.ErrorAnswer
		c.Assert(json.NewDecoder(resp.Body).Decode(&answer), qt.IsNil)
		_ = resp.Body.Close()
		comment := qt.Commentf("%.80s: %s", tc.body, answer.Error.Message)
		c.Assert(resp.StatusCode, qt.Equals, tc.status, comment)
		c.Assert(answer.Error.Code, qt.Equals, tc.code, comment)
		c.Assert(answer.Error.Field, qt.Equals, tc.field, comment)
	}
}

// Guards against a late error when the deadline is shorter than the service time of the
// backend servers. The query must be refused as not run, or the partial answer must list
// the absent shards.
func TestShortDeadlineIsRefusedOrAnsweredInPart(t *testing.T) {
	runInVirtualTime(t, deployment.Options{Sheet: exampleSheet(t, "timing"), NodesPerDataCentre: 1}, func(t *testing.T, d *deployment.Deployment) {
		c := qt.New(t)
		req := timingQuery()
		req.DeadlineMs = 1
		began := time.Now()
		answer, _, err := d.Query(t.Context(), d.Nodes[0].Settings.GetCallerAddress(), req)
		took := time.Since(began)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Outcome, qt.Not(qt.Equals), query.Complete)
		if answer.Outcome == query.Refused {
			c.Assert(answer.Reason, qt.Equals, "deadline_too_short")
		} else {
			c.Assert(answer.Absent, qt.Not(qt.HasLen), 0)
		}
		c.Assert(took < 200*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
	})
}
