package upstream

import "time"

const (
	// baselineWeight is the weight of a new sample in a class's baseline latency.
	baselineWeight = 0.02
	// maxRisePerSecond bounds the rise of the baseline, as a fraction of itself, once it
	// has rampSamples samples.
	maxRisePerSecond = 0.02
	rampSamples      = 50
	// maxSampleRatio bounds a single sample, as a multiple of the baseline.
	maxSampleRatio = 3
	// defaultBaseline applies to a class without samples.
	defaultBaseline = 20 * time.Millisecond
	// minBaseline keeps ratios meaningful for very short requests.
	minBaseline = 2 * time.Millisecond
)

// baseline estimates the latency of a class at a service without overload. It falls with
// each lower sample. Its rise is bounded in time, whatever the number of samples, so that
// queueing delay does not become the baseline.
type baseline struct {
	latency time.Duration
	at      time.Time
	samples int
}

func (b *baseline) observe(now time.Time, took time.Duration) {
	if b.samples == 0 {
		b.latency = took
	}
	step := baselineWeight * float64(min(took, maxSampleRatio*b.latency)-b.latency)
	if b.samples >= rampSamples {
		since := min(now.Sub(b.at).Seconds(), 1)
		step = min(step, maxRisePerSecond*since*float64(max(b.latency, minBaseline)))
	}
	b.latency += time.Duration(step)
	b.at = now
	b.samples++
}

// ratio returns a latency as a multiple of the baseline.
func (b *baseline) ratio(took time.Duration) float64 {
	return float64(took) / float64(max(b.latency, minBaseline))
}
