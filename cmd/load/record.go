package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency histograms, which record microseconds.
const (
	maxLatency        = time.Minute
	significantDigits = 2
	// timeSlices is the number of equal intervals of a run, each with its own
	// histogram.
	timeSlices = 60
)

// outcome is the result of one request as seen by the generator.
type outcome int

const (
	complete outcome = iota
	partial
	refused
	unknown
	// failed: transport error, or a response without an outcome.
	failed
	// unsent: the request was not sent because Config.InFlight was reached.
	unsent
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"complete", "partial", "refused", "unknown", "failed", "unsent"}

// sample is the measurement of one request.
type sample struct {
	arrival  arrival
	outcome  outcome
	latency  time.Duration
	coverage float64
	reason   string
}

// answered reports whether the response carried results, complete or partial.
func (s sample) answered() bool {
	return s.outcome == complete || s.outcome == partial
}

// recorder aggregates samples by target. Safe for concurrent use.
type recorder struct {
	config Config

	// mu guards the fields below.
	mu       sync.Mutex
	targets  []*record
	inFlight int
	// recent holds the latencies since the last progress report.
	recent *hdrhistogram.Histogram
}

// record aggregates the samples of one target.
type record struct {
	outcomes [outcomeCount]int64
	reasons  map[string]int64
	latency  *hdrhistogram.Histogram
	slices   [timeSlices]*hdrhistogram.Histogram
	onTime   int64
	// coverageSum and minCoverage cover complete and partial outcomes only.
	coverageSum float64
	minCoverage float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func newRecorder(c Config) *recorder {
	r := &recorder{config: c, recent: newHistogram()}
	for range c.Targets {
		rec := &record{reasons: make(map[string]int64), latency: newHistogram(), minCoverage: 1}
		for i := range rec.slices {
			rec.slices[i] = newHistogram()
		}
		r.targets = append(r.targets, rec)
	}
	return r
}

// begin counts a request as in flight. It returns false when the in-flight limit
// is reached.
func (r *recorder) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.config.InFlight {
		return false
	}
	r.inFlight++
	return true
}

func (r *recorder) end(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.addLocked(s)
}

func (r *recorder) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(s)
}

func (r *recorder) addLocked(s sample) {
	rec := r.targets[s.arrival.target]
	rec.outcomes[s.outcome]++
	if s.reason != "" {
		rec.reasons[s.reason]++
	}
	if !s.answered() {
		return
	}
	micros := min(max(s.latency, time.Microsecond), maxLatency).Microseconds()
	slice := int(int64(timeSlices) * int64(s.arrival.at) / int64(r.config.Duration))
	for _, h := range []*hdrhistogram.Histogram{rec.latency, rec.slices[slice], r.recent} {
		// The value is clamped to the histogram's range, so this cannot fail.
		_ = h.RecordValue(micros)
	}
	rec.coverageSum += s.coverage
	rec.minCoverage = min(rec.minCoverage, s.coverage)
	if s.outcome == complete && s.latency <= r.config.Deadline {
		rec.onTime++
	}
}
