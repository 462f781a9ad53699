package owner

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the EWMA weight of a new latency.
	latencyWeight = 0.125
	// latencyCapFactor limits a latency to a multiple of the average. Without it, a cold
	// replica would raise the baseline that it is compared with.
	latencyCapFactor = 4
)

// latencyAverage is an EWMA of the latencies of all replicas of a service at this
// node. A pause of the node or the network slows down all replicas at once, and a
// cold start slows down one. The comparison with this average identifies a cold
// start and prevents a pause from being mistaken for one.
type latencyAverage struct {
	// mu guards average.
	mu      sync.Mutex
	average time.Duration
}

func (a *latencyAverage) observe(latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.average == 0 {
		a.average = latency
		return
	}
	latency = min(latency, latencyCapFactor*a.average)
	a.average += time.Duration(latencyWeight * float64(latency-a.average))
}

func (a *latencyAverage) value() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.average
}

// latencyOf returns the latency average of a service.
func (o *Owner) latencyOf(service string) *latencyAverage {
	o.mu.Lock()
	defer o.mu.Unlock()
	average := o.latencies[service]
	if average == nil {
		average = &latencyAverage{}
		o.latencies[service] = average
	}
	return average
}
