package telemetry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// reportInterval is how often gauges are updated, and how often tally passes its
// values to the Prometheus reporter.
const reportInterval = time.Second

// Outcome is the result of a request as the caller sees it.
type Outcome int

// Outcomes.
const (
	OutcomeComplete Outcome = iota
	OutcomePartial
	OutcomeRefused
	OutcomeUnknown
	outcomes
)

// String returns the outcome's name in answers and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeComplete:
		return "complete"
	case OutcomePartial:
		return "partial"
	case OutcomeRefused:
		return "refused"
	}
	return "unknown"
}

// Query holds the values recorded for one answered request.
type Query struct {
	Service, Class string
	Outcome        Outcome
	// Latency is the time from the request's arrival to its answer.
	Latency time.Duration
	// Coverage is the share of shards answered, from 0 to 1.
	Coverage float64
	// Weight of the class in the share of requests answered in full and on time.
	Weight float64
	// OnTime is true if the answer was sent before the deadline.
	OnTime bool
}

// Subrequest holds the values recorded for one shard's part of a query.
type Subrequest struct {
	Service, Class string
	// Attempts is the number of attempts sent, including hedges, retries and warm-ups.
	Attempts int
	// QueueTime is the wait at the owner for a free connection and slot.
	QueueTime time.Duration
	// Latency is the time from the first attempt to the answer that was used.
	Latency time.Duration
}

// Metrics holds the metrics of one node. Safe for concurrent use.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer
	stop   chan struct{}
	once   sync.Once

	// classes holds a *classMetrics for each classKey.
	classes sync.Map
	// counters holds a tally.Counter for each counterKey.
	counters sync.Map
	accounts accountCounters

	admission admissionMetrics

	// mu guards sources.
	mu      sync.Mutex
	sources []GaugeSource
}

type classKey struct{ service, class string }

type counterKey struct{ name, service, class, reason string }

// New returns the metrics of one node and the handler that serves them to Prometheus.
// Each call creates a separate registry, so that the metrics of several nodes in one
// process stay separate. Close stops the reporting.
func New() (*Metrics, http.Handler) {
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "carobmill",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{scope: scope, closer: closer, stop: make(chan struct{})}
	m.accounts.counters = make(map[accountKey]tally.Counter)
	m.accounts.labels = make(map[string]bool)
	m.admission.decisions = make(map[admissionKey]tally.Counter)
	m.admission.accounts = make(labels)
	m.admission.waits = make(map[string]tally.Histogram)
	m.admission.services = make(map[string][2]tally.Gauge)
	go m.reportGauges()
	return m, reporter.HTTPHandler()
}

// Close reports the current values and stops the reporting. Values may still be
// recorded afterwards.
func (m *Metrics) Close() {
	m.once.Do(func() {
		close(m.stop)
		// The Prometheus reporter has nothing to flush, so that its error is irrelevant.
		_ = m.closer.Close()
	})
}

// Query records one answered request.
func (m *Metrics) Query(q Query) {
	c := m.class(q.Service, q.Class)
	c.outcome[min(max(q.Outcome, 0), outcomes-1)].Inc(1)
	if q.Outcome != OutcomeRefused {
		c.latency.RecordDuration(q.Latency)
		c.coverage.RecordValue(q.Coverage)
	}
	c.recordStats(q)
}

// Subrequest records one shard's part of a query.
func (m *Metrics) Subrequest(s Subrequest) {
	c := m.class(s.Service, s.Class)
	c.attempts.RecordValue(float64(s.Attempts))
	c.queued.RecordDuration(s.QueueTime)
	c.subrequest.RecordDuration(s.Latency)
}

// Hedge counts an extra attempt that was sent while another was outstanding.
func (m *Metrics) Hedge(service, class string) {
	m.count(counterKey{name: "hedges", service: service, class: class})
}

// WarmUp counts a copy of a subrequest that was sent to warm up a cold replica.
func (m *Metrics) WarmUp(service, class string) {
	m.count(counterKey{name: "warm_ups", service: service, class: class})
}

// Retry counts an extra attempt that was sent after another had failed.
func (m *Metrics) Retry(service, class string) {
	m.count(counterKey{name: "retries", service: service, class: class})
}

// Refused records a request that was refused before execution, by reason. The request
// counts as not answered in full and on time, with the weight of the class's last
// recorded request. The caller must not also record it with Query.
func (m *Metrics) Refused(service, class string, reason pb.Reason) {
	c := m.class(service, class)
	c.outcome[OutcomeRefused].Inc(1)
	c.recordStats(Query{Outcome: OutcomeRefused, Weight: c.readLastWeight()})
	m.count(counterKey{name: "refused", service: service, class: class, reason: reasonName(reason)})
}

// AbsentShard counts a shard without a result in an answer, by reason.
func (m *Metrics) AbsentShard(service, class string, reason pb.Reason) {
	m.count(counterKey{name: "absent_shards", service: service, class: class, reason: reasonName(reason)})
}

// DroppedReply counts a reply that was discarded, by reason: late, for another
// request, or from another snapshot.
func (m *Metrics) DroppedReply(service string, reason pb.Reason) {
	m.count(counterKey{name: "dropped_replies", service: service, reason: reasonName(reason)})
}

// Restart counts a query that was restarted at a newer snapshot.
func (m *Metrics) Restart(service, class string) {
	m.count(counterKey{name: "restarts", service: service, class: class})
}

// Decision counts an entry of the decision ring, by kind.
func (m *Metrics) Decision(kind string) {
	m.count(counterKey{name: "decisions", reason: kind})
}

// GaugeSource reports values of the node, such as the active configuration version, by
// calling set for each.
type GaugeSource func(set func(name string, value float64))

// AddGaugeSource registers a source, whose values are published as gauges once per
// reportInterval.
func (m *Metrics) AddGaugeSource(s GaugeSource) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sources = append(m.sources, s)
}

func (m *Metrics) updateSourceGauges() {
	m.mu.Lock()
	sources := m.sources
	m.mu.Unlock()
	for _, s := range sources {
		s(func(name string, value float64) { m.scope.Gauge(name).Update(value) })
	}
}

func (m *Metrics) count(key counterKey) {
	if c, ok := m.counters.Load(key); ok {
		c.(tally.Counter).Inc(1)
		return
	}
	tags := make(map[string]string)
	for name, value := range map[string]string{
		"service": key.service, "class": key.class, "reason": key.reason,
	} {
		if value != "" {
			tags[name] = value
		}
	}
	c, _ := m.counters.LoadOrStore(key, m.scope.Tagged(tags).Counter(key.name+"_total"))
	c.(tally.Counter).Inc(1)
}
