package telemetry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/telemetry"
)

func TestClassStatsCountRefusedAndPartialAnswersAsMissed(t *testing.T) {
	c := qt.New(t)
	m, _ := telemetry.New()
	defer m.Close()
	record := func(outcome telemetry.Outcome, took time.Duration, onTime bool) {
		m.Query(telemetry.Query{Service: "portal", Class: "audit", Outcome: outcome,
			Latency: took, Coverage: 1, Weight: 2, OnTime: onTime})
	}
	for range 95 {
		record(telemetry.OutcomeComplete, 10*time.Millisecond, true)
	}
	record(telemetry.OutcomeComplete, 900*time.Millisecond, false)
	record(telemetry.OutcomePartial, 800*time.Millisecond, true)
	record(telemetry.OutcomeUnknown, 800*time.Millisecond, true)
	record(telemetry.OutcomeRefused, time.Microsecond, true)
	m.Refused("portal", "audit", pb.Reason_REASON_OVERLOAD)

	all := m.ClassStats()
	c.Assert(all, qt.HasLen, 1)
	c.Assert(all[0].FullAndOnTimeShare(), qt.Equals, 0.95)
	c.Assert(all[0].Answered, qt.Equals, int64(98))
	c.Assert(all[0].P99 > 700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", all[0].P99))
}

func TestNodesInOneProcessHaveSeparateMetrics(t *testing.T) {
	c := qt.New(t)
	first, firstHandler := telemetry.New()
	second, secondHandler := telemetry.New()
	first.Refused("timing", "entrant", pb.Reason_REASON_OVERLOAD)
	second.Hedge("timing", "checkpoint")
	first.Query(telemetry.Query{Service: "timing", Class: "entrant", Latency: time.Millisecond, Coverage: 1})
	// Close reports the values recorded so far.
	first.Close()
	second.Close()

	c.Assert(scrape(firstHandler), qt.Contains,
		`carobmill_refused_total{class="entrant",reason="overload",service="timing"} 1`)
	c.Assert(scrape(firstHandler), qt.Contains,
		`carobmill_queries_total{class="entrant",outcome="complete",service="timing"} 1`)
	c.Assert(scrape(firstHandler), qt.Contains,
		`carobmill_queries_total{class="entrant",outcome="refused",service="timing"} 1`)
	c.Assert(strings.Contains(scrape(firstHandler), "hedges"), qt.IsFalse)
	c.Assert(scrape(secondHandler), qt.Contains,
		`carobmill_hedges_total{class="checkpoint",service="timing"} 1`)
}

func scrape(h http.Handler) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body, _ := io.ReadAll(w.Result().Body)
	return string(body)
}

func TestNewLogRejectsUnknownLevelAndFormat(t *testing.T) {
	c := qt.New(t)
	_, err := telemetry.NewLog("info", "xml")
	c.Assert(err, qt.ErrorMatches, `log format "xml": allowed are json and text`)
	_, err = telemetry.NewLog("loud", "json")
	c.Assert(err, qt.ErrorMatches, "log level: .*")
}

// Guards against a metric that grows with the number of accounts.
func TestAccountLabelsAreBounded(t *testing.T) {
	c := qt.New(t)
	m, handler := telemetry.New()
	for i := range 1000 {
		m.AccountRequest(fmt.Sprintf("a%d", i), "passed")
	}
	m.Close()
	text := scrape(handler)
	c.Assert(text, qt.Contains, `carobmill_account_requests_total{account="a0",outcome="passed"} 1`)
	c.Assert(text, qt.Contains, `carobmill_account_requests_total{account="_others_",outcome="passed"} 900`)
	c.Assert(strings.Count(text, "carobmill_account_requests_total{"), qt.Equals, 101)
}
