package telemetry

import (
	"sync"
	"time"
)

// LogLimiter limits the rate of log lines about individual requests, so that the cost
// of logging does not grow with the load. Lines about failures have a separate limit.
// The zero value is ready to use. Safe for concurrent use.
type LogLimiter struct {
	// mu guards the fields below.
	mu       sync.Mutex
	second   int64
	routine  int
	failures int
}

const (
	routineLinesPerSecond = 1
	failureLinesPerSecond = 50
)

// Allow reports whether a line may be written now, and counts it.
func (l *LogLimiter) Allow(now time.Time, failure bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.routine, l.failures = second, 0, 0
	}
	if failure {
		l.failures++
		return l.failures <= failureLinesPerSecond
	}
	l.routine++
	return l.routine <= routineLinesPerSecond
}
