package admission

import "time"

const (
	// latencyWeight is the weight of one query in a moving average.
	latencyWeight = 0.05
	// outlierFactor bounds one latency sample to a multiple of the moving average.
	outlierFactor = 3
)

// classLatency compares the latencies of one priority class with its own baseline.
// Classes differ in cost, so a baseline over all classes would report a change in the
// mix of classes as load.
type classLatency struct {
	// recent is the moving average of the latency. unloaded is the lowest value of
	// recent since the class had minSamples samples or since the last rebase. Both are
	// in seconds.
	recent, unloaded float64
	samples          int
}

// minSamples is the number of queries of a class before its latency is evaluated.
const minSamples = 20

// observe adds a sample and returns the latency as a multiple of the unloaded
// latency. It returns 1 until the class has minSamples samples.
func (l *classLatency) observe(latency time.Duration) float64 {
	sample := latency.Seconds()
	l.samples++
	if l.samples == 1 {
		l.recent = sample
	}
	l.recent += latencyWeight * (min(sample, outlierFactor*l.recent) - l.recent)
	if l.samples == minSamples || l.samples > minSamples && l.recent < l.unloaded {
		l.unloaded = l.recent
	}
	if l.samples < minSamples {
		return 1
	}
	return min(sample, outlierFactor*l.recent) / l.unloaded
}

// loadRatio is the moving average of latencies as multiples of the unloaded latency.
type loadRatio struct {
	value float64
}

func (l *loadRatio) observe(multiple float64) {
	l.value += latencyWeight * (multiple - l.value)
}
