// Package observation decides what the nodes of a data centre tell each other about replicas,
// and which of it a node uses. The nodes send what they observe to one of them, the collector,
// which merges it. The package does no I/O and reads no clock.
package observation

import (
	"math"
	"time"

	"github.com/carobmill/carobmill/policy/load"
)

const (
	// MaxAge is the age from which an observation is no longer used or passed on.
	MaxAge = 2 * time.Second
	// MaxPerMessage bounds the observations of a message.
	MaxPerMessage = 256
	// slowPace is the reported pace from which a replica is slow.
	slowPace = 1.5
	// paceRatio is the ratio between two paces from which they differ.
	paceRatio = 1.3
	// shareDifference is the difference between two shares of failures from which they differ.
	shareDifference = 0.2
	// enoughAttempts is the number of attempts from which a merged share of failures is
	// certain. Before, each further attempt counts.
	enoughAttempts = 16
	// silentAfter is the time without an answer after which a replica is silent. Replicas pause
	// for 100 ms in regular operation.
	silentAfter = 200 * time.Millisecond
	// refreshSlow is the age from which an observation of a slow or silent replica is repeated:
	// such a state often lasts for 600 ms only. refreshFailing is that of one that fails.
	refreshSlow    = 300 * time.Millisecond
	refreshFailing = time.Second
)

// Observation is what one or several nodes have observed of a replica.
type Observation struct {
	Replica string
	// Load is the newest report of the replica, from LoadAt; the zero value without one.
	Load   load.Report
	LoadAt time.Time
	// Attempts counts recent attempts, and Failures those that the replica refused or failed.
	Attempts, Failures int
	// Silent is the time since the last answer while attempts go unanswered; 0 otherwise.
	Silent time.Duration
	// At is the time for which the observation holds.
	At time.Time
}

// FailureShare returns the share of recent attempts that the replica refused or failed.
func (o *Observation) FailureShare() float64 {
	if o.Attempts == 0 {
		return 0
	}
	return float64(o.Failures) / float64(o.Attempts)
}

// Valid reports whether an observation that arrived at now has consistent values.
func (o *Observation) Valid(now time.Time) bool {
	l := o.Load
	return o.Replica != "" && o.Failures >= 0 && o.Failures <= o.Attempts && o.Silent >= 0 &&
		l.Running >= 0 && l.Waiting >= 0 && l.Slots >= 0 && l.Pace >= 0 &&
		!o.At.After(now) && !o.LoadAt.After(now)
}

// Expired reports whether the observation is too old to be used.
func (o *Observation) Expired(now time.Time) bool { return now.Sub(o.At) >= MaxAge }

// pace returns the reported pace, or the usual one without a report that is current at now.
func (o *Observation) pace(now time.Time) float64 {
	if !o.Load.Paced() || now.Sub(o.LoadAt) >= MaxAge {
		return 1
	}
	return o.Load.Pace
}

// silent reports whether the replica has not answered for longer than replicas pause.
func (o *Observation) silent() bool { return o.Silent >= silentAfter }

// unusual reports whether the observation differs from that of a replica in its usual state.
func (o *Observation) unusual(now time.Time) bool {
	return o.pace(now) >= slowPace || o.silent() || o.Failures > 0
}

// refreshAfter returns the age from which the observation is repeated.
func (o *Observation) refreshAfter(now time.Time) time.Duration {
	if o.pace(now) >= slowPace || o.silent() {
		return refreshSlow
	}
	return refreshFailing
}

// differs reports whether a node that knows b learns something from a. b is nil if the node
// knows nothing.
func (o *Observation) differs(now time.Time, b *Observation) bool {
	if b == nil || b.Expired(now) {
		return o.unusual(now)
	}
	x, y := o.pace(now), b.pace(now)
	if o.Load.Paced() && (x >= paceRatio*y || y >= paceRatio*x) {
		return true
	}
	if o.silent() != b.silent() {
		return true
	}
	return o.shareDiffers(b)
}

// shareDiffers reports whether the share of failures differs by more than the number of
// attempts explains.
func (o *Observation) shareDiffers(b *Observation) bool {
	if o.Attempts == 0 {
		return false
	}
	d := math.Abs(o.FailureShare() - b.FailureShare())
	return d >= max(shareDifference, 1/math.Sqrt(float64(o.Attempts)))
}

// adds reports whether the attempts of o make the share of failures in b more certain.
func (o *Observation) adds(b *Observation) bool {
	return o.Attempts > 0 && b.Attempts < enoughAttempts && (o.Failures > 0 || b.FailureShare() >= shareDifference)
}
