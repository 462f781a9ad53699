package telemetry

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Histogram buckets.
var (
	latencyBuckets  = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 1.5, 28)
	coverageBuckets = tally.ValueBuckets{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}
	attemptsBuckets = tally.MustMakeLinearValueBuckets(1, 1, 6)
)

// ClassStats cover the last minute, in windows of ten seconds.
const (
	windowCount  = 6
	windowLength = 10 * time.Second
	// maxRecordedLatency is the largest latency that the p99 histogram records. A longer
	// latency is recorded as this value.
	maxRecordedLatency = time.Minute
	significantDigits  = 2
	// weightUnit scales weights to integers, because counters are integers.
	weightUnit = 1000
)

// classMetrics holds the metrics of one class of one service.
type classMetrics struct {
	latency, coverage, attempts, queued, subrequest tally.Histogram
	outcome                                         [outcomes]tally.Counter
	totalWeight, metWeight                          tally.Counter
	p99, share                                      tally.Gauge

	// mu guards the fields below.
	mu      sync.Mutex
	window  *hdrhistogram.WindowedHistogram
	weights [windowCount]weights
	// lastWeight is the weight of the class in the last recorded request.
	lastWeight    float64
	currentWindow int
	rotated       time.Time
}

// weights are the total weights of the requests in one window: of all requests, and of
// those answered in full and on time.
type weights struct{ total, met float64 }

func (m *Metrics) class(service, class string) *classMetrics {
	key := classKey{service, class}
	if c, ok := m.classes.Load(key); ok {
		return c.(*classMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"service": service, "class": class})
	c := &classMetrics{
		latency:     scope.Histogram("query_latency_seconds", latencyBuckets),
		coverage:    scope.Histogram("query_coverage", coverageBuckets),
		attempts:    scope.Histogram("subrequest_attempts", attemptsBuckets),
		queued:      scope.Histogram("subrequest_queue_seconds", latencyBuckets),
		subrequest:  scope.Histogram("subrequest_latency_seconds", latencyBuckets),
		totalWeight: scope.Counter("weight_milli_total"),
		metWeight:   scope.Counter("weight_met_milli_total"),
		p99:         scope.Gauge("query_latency_p99_seconds"),
		share:       scope.Gauge("full_and_on_time_share"),
		window: hdrhistogram.NewWindowed(windowCount, 1,
			maxRecordedLatency.Microseconds(), significantDigits),
		lastWeight: 1,
		rotated:    time.Now(),
	}
	for o := range c.outcome {
		c.outcome[o] = scope.Tagged(map[string]string{"outcome": Outcome(o).String()}).Counter("queries_total")
	}
	stored, _ := m.classes.LoadOrStore(key, c)
	return stored.(*classMetrics)
}

// recordStats adds the request to the class statistics. A refused request has no
// latency, but counts as not answered in full and on time.
func (c *classMetrics) recordStats(q Query) {
	met := q.Outcome == OutcomeComplete && q.OnTime
	c.totalWeight.Inc(int64(q.Weight * weightUnit))
	if met {
		c.metWeight.Inc(int64(q.Weight * weightUnit))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWeight = q.Weight
	w := &c.weights[c.currentWindow]
	w.total += q.Weight
	if met {
		w.met += q.Weight
	}
	if q.Outcome != OutcomeRefused {
		latency := min(max(q.Latency, time.Microsecond), maxRecordedLatency)
		// The latency is within the histogram's range, so that RecordValue cannot fail.
		_ = c.window.Current.RecordValue(latency.Microseconds())
	}
}

func (c *classMetrics) readLastWeight() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastWeight
}

// rotate starts a new window when the current one is windowLength old.
func (c *classMetrics) rotate(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.rotated) < windowLength {
		return
	}
	c.rotated = now
	c.window.Rotate()
	c.currentWindow = (c.currentWindow + 1) % windowCount
	c.weights[c.currentWindow] = weights{}
}

// ClassStats are the statistics of one class over the last minute.
type ClassStats struct {
	Service, Class string
	// Answered is the number of answered requests, without refused ones.
	Answered int64
	P99      time.Duration
	// Weight is the total weight of all requests, and WeightMet that of the requests
	// answered in full and on time.
	Weight, WeightMet float64
}

// FullAndOnTimeShare returns the weighted share of requests answered in full and on
// time, or 1 if there were no requests.
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
		s.Weight += w.total
		s.WeightMet += w.met
	}
	return s
}

// ClassStats returns the statistics of all classes over the last minute, unordered.
func (m *Metrics) ClassStats() []ClassStats {
	var all []ClassStats
	m.classes.Range(func(key, c any) bool {
		all = append(all, c.(*classMetrics).read(key.(classKey)))
		return true
	})
	return all
}

// reportGauges updates all gauges once per reportInterval until Close.
func (m *Metrics) reportGauges() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case now := <-ticker.C:
			m.updateClassGauges(now)
			m.updateSourceGauges()
		}
	}
}

func (m *Metrics) updateClassGauges(now time.Time) {
	m.classes.Range(func(key, value any) bool {
		c := value.(*classMetrics)
		c.rotate(now)
		s := c.read(key.(classKey))
		c.p99.Update(s.P99.Seconds())
		c.share.Update(s.FullAndOnTimeShare())
		return true
	})
}

// reasonName returns the metric tag of a reason: no_snapshot for REASON_NO_SNAPSHOT.
func reasonName(r pb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}
