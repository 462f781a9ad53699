package load

import (
	"math"
	"sync/atomic"
)

const (
	// maxChecks bounds the number of checks that a Trust remembers.
	maxChecks = 60
	// noneConfirmed is the confirmed share up to which reports are not used: queueing and pauses
	// confirm that much of a false report. From fullConfirmed on they are used fully: latencies
	// vary, so that they do not show all of a true report.
	noneConfirmed = 0.45
	fullConfirmed = 0.8
)

// believed returns the weight of reports, from 0 to 1, of which a share is confirmed.
func believed(confirmed float64) float64 {
	return min(max((confirmed-noneConfirmed)/(fullConfirmed-noneConfirmed), 0), 1)
}

// Trust learns at a node how far latencies confirm the slow paces that replicas of all
// services report. It is the trust in a replica whose reports the node has not checked yet.
// Without it, each node would have to learn separately for each replica that reports are
// false, or that they are true. The zero value trusts nothing. Safe for concurrent use.
type Trust struct {
	// state holds the bits of two float32: the confirmed checks and all checks.
	state atomic.Uint64
}

func unpackTrust(state uint64) (confirmed, checks float64) {
	return float64(math.Float32frombits(uint32(state >> 32))), float64(math.Float32frombits(uint32(state)))
}

// record adds a check that has confirmed a share of the reported slowdown.
func (t *Trust) record(shown float64) {
	for {
		old := t.state.Load()
		confirmed, checks := unpackTrust(old)
		confirmed, checks = confirmed+shown, checks+1
		if checks > maxChecks {
			confirmed, checks = confirmed*maxChecks/checks, maxChecks
		}
		next := uint64(math.Float32bits(float32(confirmed)))<<32 | uint64(math.Float32bits(float32(checks)))
		if t.state.CompareAndSwap(old, next) {
			return
		}
	}
}

// Confirmed returns the share of reported slow paces that latencies confirm; 0 without checks.
func (t *Trust) Confirmed() float64 {
	confirmed, checks := unpackTrust(t.state.Load())
	return confirmed / (checks + 1)
}
