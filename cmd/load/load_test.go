package load

import (
	"bytes"
	"context"
	"encoding/json"
	"image/png"
	"math"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func testConfig() Config {
	return Config{
		Addresses: []string{"127.0.0.1:1"},
		Targets: []Target{
			{Service: "timing", Class: "checkpoint", Share: 3},
			{Service: "timing", Class: "entrant", Share: 1},
		},
		Rate:     500,
		Duration: 100 * time.Second,
		Deadline: 240 * time.Millisecond,
		Seed:     7,
		InFlight: 100,
	}
}

func TestArrivalsArePoissonAndDeterministic(t *testing.T) {
	c := qt.New(t)
	var sum, sumOfSquares, first float64
	var previous time.Duration
	n := 0
	s1, s2 := newSchedule(testConfig()), newSchedule(testConfig())
	for {
		a, ok := s1.next()
		b, _ := s2.next()
		c.Assert(a, qt.Equals, b)
		if !ok {
			break
		}
		gap := (a.at - previous).Seconds()
		previous = a.at
		sum += gap
		sumOfSquares += gap * gap
		if a.target == 0 {
			first++
		}
		n++
	}
	mean := sum / float64(n)
	deviation := math.Sqrt(sumOfSquares/float64(n) - mean*mean)
	// An exponential distribution has equal mean and standard deviation.
	c.Assert(math.Abs(mean*500-1) < 0.02, qt.IsTrue, qt.Commentf("mean gap %v s", mean))
	c.Assert(math.Abs(deviation/mean-1) < 0.03, qt.IsTrue, qt.Commentf("standard deviation %v s", deviation))
	c.Assert(math.Abs(first/float64(n)-0.75) < 0.01, qt.IsTrue)
}

func TestLatencyIncludesWaitFromIntendedSendTime(t *testing.T) {
	// The server stalls for 300 ms. Guards against latencies that omit the wait, and
	// against requests above the in-flight limit missing from the totals.
	c := qt.New(t)
	const stall = 300 * time.Millisecond
	start := time.Now()
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := received.Add(1)
		time.Sleep(time.Until(start.Add(stall)))
		switch n % 4 {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"outcome":"refused","reason":"overload"}`))
		case 1:
			_, _ = w.Write([]byte(`{"outcome":"partial","coverage":0.5}`))
		default:
			_, _ = w.Write([]byte(`{"outcome":"complete","coverage":1}`))
		}
	}))
	defer srv.Close()
	config := testConfig()
	config.Addresses = []string{srv.Listener.Addr().String()}
	config.Rate, config.Duration, config.InFlight = 400, 600*time.Millisecond, 60
	report, err := Run(t.Context(), config, nil)
	c.Assert(err, qt.IsNil)

	expected := int64(0)
	for s := newSchedule(config); ; expected++ {
		if _, ok := s.next(); !ok {
			break
		}
	}
	var requests, unsent, refused int64
	for _, target := range report.Targets {
		requests += target.Requests
		unsent += target.Outcomes["unsent"]
		refused += target.Outcomes["refused"]
		c.Check(target.LowestCoverage, qt.Equals, 0.5)
		c.Check(target.Latency[len(target.Latency)-1].Ms > 150, qt.IsTrue, qt.Commentf("%v", target.Latency))
	}
	c.Assert(requests, qt.Equals, expected)
	c.Assert(unsent > 0, qt.IsTrue)
	c.Assert(refused, qt.Equals, report.Targets[0].Reasons["overload"]+report.Targets[1].Reasons["overload"])
	c.Assert(refused > 0, qt.IsTrue)
	checkOutputs(c, report)
}

func checkOutputs(c *qt.C, report *Report) {
	var text, image bytes.Buffer
	report.Write(&text)
	c.Check(text.String(), qt.Contains, "timing/checkpoint")
	_, err := json.Marshal(report)
	c.Check(err, qt.IsNil)
	c.Assert(report.Plot(&image), qt.IsNil)
	_, err = png.Decode(&image)
	c.Check(err, qt.IsNil)
}

func TestRunWithoutAnswersReturnsReport(t *testing.T) {
	c := qt.New(t)
	config := testConfig()
	config.Rate, config.Duration = 50, 100*time.Millisecond
	report, err := Run(context.Background(), config, func(Progress) {})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Answered(), qt.Equals, int64(0))
	c.Assert(report.Targets[0].Reasons["transport"] > 0, qt.IsTrue)
	checkOutputs(c, report)
}

func TestInvalidInputErrorNamesFlag(t *testing.T) {
	c := qt.New(t)
	_, err := ParseMix("timing")
	c.Assert(err, qt.ErrorMatches, `flag -mix: "timing" is not SERVICE/CLASS\[=SHARE\]`)
	_, err = ParseMix("timing/checkpoint=NaN")
	c.Assert(err, qt.ErrorMatches, `flag -mix: share "NaN" of timing/checkpoint is not a number above 0`)
	config := testConfig()
	config.Rate = MaxRate + 1
	c.Assert(config.Check(), qt.ErrorMatches, "flag -rate is out of range, .*")
	config = testConfig()
	config.Addresses = []string{"localhost:80"}
	c.Assert(config.Check(), qt.ErrorMatches, `flag -addr: "localhost:80" is not an IP number and a port`)
}
