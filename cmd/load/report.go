package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// reportQuantiles are the quantiles of a report, in percent.
var reportQuantiles = []float64{50, 90, 99, 99.9, 100}

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed, Duration time.Duration
	Sent, InFlight    int64
	// Outcomes counts the requests so far by outcome.
	Outcomes map[string]int64
	// P50 and P99 are latencies since the last progress report, or 0 without
	// complete or partial responses.
	P50, P99 time.Duration
}

// String formats the progress as one line.
func (p Progress) String() string {
	line := fmt.Sprintf("%3.0fs of %.0fs  sent %d  in flight %d  p50 %s  p99 %s",
		p.Elapsed.Seconds(), p.Duration.Seconds(), p.Sent, p.InFlight, formatMillis(p.P50), formatMillis(p.P99))
	for _, name := range outcomeNames {
		if n := p.Outcomes[name]; n > 0 {
			line += fmt.Sprintf("  %s %d", name, n)
		}
	}
	return line
}

func (r *recorder) progress(elapsed time.Duration) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{
		Elapsed:  elapsed,
		Duration: r.config.Duration,
		InFlight: int64(r.inFlight),
		Outcomes: make(map[string]int64),
		P50:      quantile(r.recent, 50),
		P99:      quantile(r.recent, 99),
	}
	for _, rec := range r.targets {
		for o, n := range rec.outcomes {
			p.Outcomes[outcomeNames[o]] += n
			p.Sent += n
		}
	}
	p.Sent += p.InFlight - p.Outcomes[outcomeNames[unsent]]
	r.recent.Reset()
	return p
}

// Report is the result of a run.
type Report struct {
	Config Config `json:"config"`
	// Took is the time during which requests were sent.
	Took time.Duration `json:"took_ns"`
	// Offered is the rate of scheduled arrivals per second.
	Offered float64        `json:"offered_per_second"`
	Targets []TargetReport `json:"targets"`
}

// TargetReport is the result for one class of one service.
type TargetReport struct {
	Service string `json:"service"`
	Class   string `json:"class"`
	// Requests is the number of scheduled requests, sent or not.
	Requests int64            `json:"requests"`
	Outcomes map[string]int64 `json:"outcomes"`
	Reasons  map[string]int64 `json:"reasons,omitempty"`
	// FullAndOnTime is the share of all requests with a complete response within
	// the deadline.
	FullAndOnTime float64 `json:"full_and_on_time"`
	// MeanCoverage and LowestCoverage cover complete and partial responses; they are
	// 0 when there are none.
	MeanCoverage   float64 `json:"mean_coverage"`
	LowestCoverage float64 `json:"lowest_coverage"`
	// Latency of complete and partial responses, from the intended send time.
	Latency []Quantile `json:"latency"`

	record *record
}

// Quantile is the latency that Percent of the responses do not exceed.
type Quantile struct {
	Percent float64 `json:"percent"`
	Ms      float64 `json:"ms"`
}

// Answered returns the number of complete and partial responses of all targets.
func (r *Report) Answered() int64 {
	var n int64
	for _, t := range r.Targets {
		n += t.Outcomes[outcomeNames[complete]] + t.Outcomes[outcomeNames[partial]]
	}
	return n
}

func (r *recorder) report(took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{Config: r.config, Took: took}
	var total int64
	for i, rec := range r.targets {
		t := rec.report(r.config.Targets[i])
		total += t.Requests
		report.Targets = append(report.Targets, t)
	}
	report.Offered = float64(total) / took.Seconds()
	return report
}

func (rec *record) report(target Target) TargetReport {
	t := TargetReport{
		Service:  target.Service,
		Class:    target.Class,
		Outcomes: make(map[string]int64),
		Reasons:  rec.reasons,
		record:   rec,
	}
	for o, n := range rec.outcomes {
		t.Requests += n
		if n > 0 {
			t.Outcomes[outcomeNames[o]] = n
		}
	}
	if t.Requests > 0 {
		t.FullAndOnTime = float64(rec.onTime) / float64(t.Requests)
	}
	answered := rec.outcomes[complete] + rec.outcomes[partial]
	if answered > 0 {
		t.MeanCoverage = rec.coverageSum / float64(answered)
		t.LowestCoverage = rec.minCoverage
	}
	for _, q := range reportQuantiles {
		t.Latency = append(t.Latency, Quantile{Percent: q, Ms: quantile(rec.latency, q).Seconds() * 1e3})
	}
	return t
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", d.Seconds()*1e3)
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%.1f requests per second offered for %.1f s, deadline %s, seed %d\n\n",
		r.Offered, r.Took.Seconds(), r.Config.Deadline, r.Config.Seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(table, "service/class\trequests\t")
	for _, q := range reportQuantiles {
		_, _ = fmt.Fprintf(table, "%s\t", quantileName(q))
	}
	_, _ = fmt.Fprintln(table, "full, on time\tcoverage mean\tlowest\t")
	for _, t := range r.Targets {
		_, _ = fmt.Fprintf(table, "%s/%s\t%d\t", t.Service, t.Class, t.Requests)
		for _, q := range t.Latency {
			_, _ = fmt.Fprintf(table, "%.1fms\t", q.Ms)
		}
		_, _ = fmt.Fprintf(table, "%.3f%%\t%.4f\t%.4f\t\n", 100*t.FullAndOnTime, t.MeanCoverage, t.LowestCoverage)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(w)
	for _, t := range r.Targets {
		_, _ = fmt.Fprintf(w, "%s/%s: %s\n", t.Service, t.Class, formatCounts(t.Outcomes))
		if len(t.Reasons) > 0 {
			_, _ = fmt.Fprintf(w, "  reasons: %s\n", formatCounts(t.Reasons))
		}
	}
}

func quantileName(percent float64) string {
	if percent == 100 {
		return "max"
	}
	return fmt.Sprintf("p%g", percent)
}

func formatCounts(m map[string]int64) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}
