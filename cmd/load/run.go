package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// responseGrace is added to the deadline of a request to form its timeout, so
	// that late responses are recorded.
	responseGrace = 2 * time.Second
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 8 << 20
	progressInterval = time.Second
)

// queryRequest is the request body of a query in the caller interface.
type queryRequest struct {
	Service    string     `json:"service"`
	Class      string     `json:"class"`
	Query      queryInput `json:"query"`
	DeadlineMs int64      `json:"deadline_ms"`
}

// queryInput differs for each request, which prevents cache hits.
type queryInput struct {
	LoadRequest int `json:"load_request"`
}

// queryResponse holds the fields of a response that the generator reads.
type queryResponse struct {
	Outcome  string  `json:"outcome"`
	Coverage float64 `json:"coverage"`
	Reason   string  `json:"reason"`
	Error    struct {
		Code string `json:"code"`
	} `json:"error"`
}

// Run sends the load and returns the report. Sending stops after the configured
// duration or when ctx is done, and the report covers the requests scheduled up to
// then. Run returns when no request is in flight, which takes at most the deadline
// and a grace period longer. onProgress, if not nil, is called every second.
func Run(ctx context.Context, c Config, onProgress func(Progress)) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConns: c.InFlight, MaxIdleConnsPerHost: c.InFlight}
	defer transport.CloseIdleConnections()
	rec := newRecorder(c)
	start := time.Now()
	stop := reportProgress(rec, start, onProgress)
	var wg sync.WaitGroup
	s := newSchedule(c)
	for n := 0; ; n++ {
		a, ok := s.next()
		if !ok || !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		if !rec.begin() {
			rec.add(sample{arrival: a, outcome: unsent})
			continue
		}
		wg.Go(func() { rec.end(send(ctx, transport, c, start, a, n)) })
	}
	took := time.Since(start)
	wg.Wait()
	stop()
	return rec.report(took), nil
}

// sleepUntil waits until t and returns false when ctx is done first. It returns at
// once when t has passed: the generator then sends the overdue requests without a
// pause, and their delay counts as latency.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func send(ctx context.Context, transport *http.Transport, c Config, start time.Time, a arrival, n int) sample {
	result := sample{arrival: a, outcome: failed}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+responseGrace)
	defer cancel()
	got, err := query(ctx, transport, c, a, n)
	result.latency = time.Since(start.Add(a.at))
	if err != nil {
		result.reason = "transport"
		return result
	}
	result.reason = got.Reason
	result.coverage = got.Coverage
	for o, name := range outcomeNames[:failed] {
		if got.Outcome == name {
			result.outcome = outcome(o)
			return result
		}
	}
	result.reason = got.Error.Code
	return result
}

// query sends request number n and decodes its response.
func query(ctx context.Context, transport *http.Transport, c Config, a arrival, n int) (*queryResponse, error) {
	target := c.Targets[a.target]
	body, err := json.Marshal(queryRequest{
		Service:    target.Service,
		Class:      target.Class,
		Query:      queryInput{LoadRequest: n},
		DeadlineMs: c.Deadline.Milliseconds(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode query")
	}
	url := "http://" + c.Addresses[n%len(c.Addresses)] + "/v1/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create query request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, errors.Wrap(err, "send query")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	var got queryResponse
	if err := json.Unmarshal(data, &got); err != nil {
		return nil, errors.Wrap(err, "decode response")
	}
	return &got, nil
}

// reportProgress calls onProgress every second until the returned function is
// called.
func reportProgress(rec *recorder, start time.Time, onProgress func(Progress)) (stop func()) {
	if onProgress == nil {
		return func() {}
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				onProgress(rec.progress(time.Since(start)))
			case <-quit:
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}
