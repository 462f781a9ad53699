package telemetry

import (
	"sync"
	"time"
)

// LogLimiter bounds the log lines about single requests, so that the log costs the
// same under any load. Lines about failures have a budget of their own. The zero
// value is ready. Safe for concurrent use.
type LogLimiter struct {
	// mu guards the fields below.
	mu       sync.Mutex
	second   int64
	ordinary int
	failures int
}

const (
	// ordinaryLines and failureLines are the lines a second of one node. A line
	// costs about ten microseconds: half a percent of a core at both limits.
	ordinaryLines = 1
	failureLines  = 50
)

// Allow reports whether a line may be written now.
func (b *LogLimiter) Allow(now time.Time, failure bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.ordinary, b.failures = second, 0, 0
	}
	if failure {
		b.failures++
		return b.failures <= failureLines
	}
	b.ordinary++
	return b.ordinary <= ordinaryLines
}
