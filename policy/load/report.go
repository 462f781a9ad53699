// Package load evaluates what replicas report about their load. The package does no I/O and
// reads no clock.
package load

import (
	"fmt"
	"math"
)

// Report is what a replica reports about itself with an answer. The zero value is no report.
type Report struct {
	// Running and Waiting are the numbers of requests at the replica, those of other nodes
	// included.
	Running, Waiting int
	// Slots is the number of requests that the replica runs at once; 0 without a report.
	Slots int
	// Pace is the time that work takes there at the moment of the report, as a multiple of the
	// usual; 0 if the replica does not report it.
	Pace float64
}

// Known reports whether the replica has reported anything.
func (r Report) Known() bool { return r.Slots > 0 }

// Paced reports whether the replica has reported its pace.
func (r Report) Paced() bool { return r.Pace > 0 }

// Bounds of the numbers of a valid report.
const (
	// MaxCount bounds the requests and slots: numbers have at most six digits.
	MaxCount = 999_999
	// MaxPacePercent bounds the pace, in percent of the usual time.
	MaxPacePercent = 10_000
)

// NewReport returns a report of running and waiting requests and slots, and false if a number
// is out of bounds.
func NewReport(running, waiting, slots int) (Report, bool) {
	valid := running >= 0 && running <= MaxCount && waiting >= 0 && waiting <= MaxCount && slots >= 1 && slots <= MaxCount
	if !valid {
		return Report{}, false
	}
	return Report{Running: running, Waiting: waiting, Slots: slots}, true
}

// WithPace returns the report with a pace in percent, and false if it is out of bounds.
func (r Report) WithPace(percent int) (Report, bool) {
	if percent < 1 || percent > MaxPacePercent {
		return Report{}, false
	}
	r.Pace = float64(percent) / 100
	return r, true
}

// PacePercent returns the pace in percent; 0 if the replica does not report it.
func (r Report) PacePercent() int { return int(math.Round(r.Pace * 100)) }

// String returns the report in the order running, waiting, slots, pace in percent; empty
// without one.
func (r Report) String() string {
	switch {
	case !r.Known():
		return ""
	case !r.Paced():
		return fmt.Sprintf("%d,%d,%d", r.Running, r.Waiting, r.Slots)
	}
	return fmt.Sprintf("%d,%d,%d,%d", r.Running, r.Waiting, r.Slots, r.PacePercent())
}
