package upstream

import "time"

const (
	// usualWeight of a new sample in a class's usual latency.
	usualWeight = 0.02
	// maxRise is how much the usual latency may rise in a second, as a share of itself,
	// once it rests on settledAfter samples.
	maxRise      = 0.02
	settledAfter = 50
	// maxUsualRatio bounds what a single sample counts for.
	maxUsualRatio = 3
	// defaultUsual stands in for a class without a sample.
	defaultUsual = 20 * time.Millisecond
	// minUsual keeps ratios meaningful for very short requests.
	minUsual = 2 * time.Millisecond
)

// usual estimates the latency of a class at a service without overload. It falls with each
// sample and rises slowly however many come, so that it does not follow queues.
type usual struct {
	latency time.Duration
	at      time.Time
	samples int
}

func (u *usual) observe(now time.Time, took time.Duration) {
	if u.samples == 0 {
		u.latency = took
	}
	step := usualWeight * float64(min(took, maxUsualRatio*u.latency)-u.latency)
	if u.samples >= settledAfter {
		since := min(now.Sub(u.at).Seconds(), 1)
		step = min(step, maxRise*since*float64(max(u.latency, minUsual)))
	}
	u.latency += time.Duration(step)
	u.at = now
	u.samples++
}

// ratio returns a latency as a multiple of the usual one.
func (u *usual) ratio(took time.Duration) float64 {
	return float64(took) / float64(max(u.latency, minUsual))
}
