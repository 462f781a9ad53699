package telemetry

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Buckets of the histograms.
var (
	latencyBuckets  = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 1.5, 28)
	coverageBuckets = tally.ValueBuckets{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}
	attemptsBuckets = tally.MustMakeLinearValueBuckets(1, 1, 6)
)

// The measures cover the last minute, in windows of ten seconds.
const (
	windows      = 6
	windowLength = 10 * time.Second
	// maxRecorded bounds the latencies that the p99 can tell apart.
	maxRecorded       = time.Minute
	significantDigits = 2
	// weightUnit turns weights into whole numbers for counters.
	weightUnit = 1000
)

// classMetrics holds what is recorded for one class of one service.
type classMetrics struct {
	latency, coverage, attempts, queued, subrequest tally.Histogram
	outcome                                         [outcomes]tally.Counter
	weightAll, weightMet                            tally.Counter
	p99, share                                      tally.Gauge

	// mu guards the fields below.
	mu      sync.Mutex
	window  *hdrhistogram.WindowedHistogram
	weights [windows]weights
	// weight of the class in the last answer.
	weight  float64
	current int
	turned  time.Time
}

// weights of the requests in one window: all of them, and those answered in
// full and on time.
type weights struct{ all, met float64 }

func (m *Metrics) class(service, class string) *classMetrics {
	key := classKey{service, class}
	if c, ok := m.classes.Load(key); ok {
		return c.(*classMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"service": service, "class": class})
	c := &classMetrics{
		latency:    scope.Histogram("query_latency_seconds", latencyBuckets),
		coverage:   scope.Histogram("query_coverage", coverageBuckets),
		attempts:   scope.Histogram("subrequest_attempts", attemptsBuckets),
		queued:     scope.Histogram("subrequest_queue_seconds", latencyBuckets),
		subrequest: scope.Histogram("subrequest_latency_seconds", latencyBuckets),
		weightAll:  scope.Counter("weight_milli_total"),
		weightMet:  scope.Counter("weight_met_milli_total"),
		p99:        scope.Gauge("query_latency_p99_seconds"),
		share:      scope.Gauge("full_and_on_time_share"),
		window: hdrhistogram.NewWindowed(windows, 1,
			maxRecorded.Microseconds(), significantDigits),
		weight: 1,
		turned: time.Now(),
	}
	for o := range c.outcome {
		c.outcome[o] = scope.Tagged(map[string]string{"outcome": Outcome(o).String()}).Counter("queries_total")
	}
	stored, _ := m.classes.LoadOrStore(key, c)
	return stored.(*classMetrics)
}

// measure records the request for the measures. A refused request has no
// latency, but it counts as not answered in full and on time.
func (c *classMetrics) measure(q Query) {
	met := q.Outcome == OutcomeComplete && q.OnTime
	c.weightAll.Inc(int64(q.Weight * weightUnit))
	if met {
		c.weightMet.Inc(int64(q.Weight * weightUnit))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weight = q.Weight
	w := &c.weights[c.current]
	w.all += q.Weight
	if met {
		w.met += q.Weight
	}
	if q.Outcome != OutcomeRefused {
		took := min(max(q.Latency, time.Microsecond), maxRecorded)
		// In range, so that recording cannot fail.
		_ = c.window.Current.RecordValue(took.Microseconds())
	}
}

func (c *classMetrics) knownWeight() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.weight
}

// turn begins a new window when the current one is full.
func (c *classMetrics) turn(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.turned) < windowLength {
		return
	}
	c.turned = now
	c.window.Rotate()
	c.current = (c.current + 1) % windows
	c.weights[c.current] = weights{}
}

// ClassStats is how one class fared over the last minute.
type ClassStats struct {
	Service, Class string
	// Answered requests; refused ones are not among them.
	Answered int64
	P99      time.Duration
	// Weight of all requests and of those answered in full and on time.
	Weight, WeightMet float64
}

// FullAndOnTimeShare returns the weighted share of requests answered in full and on time; 1
// when there was none.
func (s ClassStats) FullAndOnTimeShare() float64 {
	if s.Weight == 0 {
		return 1
	}
	return s.WeightMet / s.Weight
}

func (c *classMetrics) read(key classKey) ClassStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	merged := c.window.Merge()
	s := ClassStats{
		Service:  key.service,
		Class:    key.class,
		Answered: merged.TotalCount(),
		P99:      time.Duration(merged.ValueAtQuantile(99)) * time.Microsecond,
	}
	for _, w := range c.weights {
		s.Weight += w.all
		s.WeightMet += w.met
	}
	return s
}

// ClassStats returns every class's figures over the last minute, in no order.
func (m *Metrics) ClassStats() []ClassStats {
	var all []ClassStats
	m.classes.Range(func(key, c any) bool {
		all = append(all, c.(*classMetrics).read(key.(classKey)))
		return true
	})
	return all
}

// publish sets the gauges of the measures until Close.
func (m *Metrics) publish() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case now := <-ticker.C:
			m.refresh(now)
			m.askSources()
		}
	}
}

func (m *Metrics) refresh(now time.Time) {
	m.classes.Range(func(key, value any) bool {
		c := value.(*classMetrics)
		c.turn(now)
		s := c.read(key.(classKey))
		c.p99.Update(s.P99.Seconds())
		c.share.Update(s.FullAndOnTimeShare())
		return true
	})
}

// reasonName turns REASON_NO_SNAPSHOT into no_snapshot.
func reasonName(r pb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}
