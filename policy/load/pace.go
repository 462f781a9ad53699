package load

import (
	"math"
	"time"
)

const (
	// maxUsedPace bounds the pace that is used: a replica that is slower is avoided all the
	// same, and a false report has less effect.
	maxUsedPace = 10
	// trustWeight is the weight of an answer in the trust in a replica's reports.
	trustWeight = 0.5
	// checkHalfLife applies to the trust while no answer of the replica to this node checks its
	// reports. Otherwise a replica that falsely reports to be slow would never be tried, as
	// long as other nodes pass its reports on.
	checkHalfLife = 2 * time.Second
)

// Pace estimates the current pace of one replica from its reports, as a multiple of the usual
// time. The zero value is a replica without reports. Not safe for concurrent use.
type Pace struct {
	// reported is the newest reported pace, at reportedAt; 0 without one.
	reported   float64
	reportedAt time.Time
	// slowSince is the time of the first of the latest reports that all state a slow pace; unset
	// if the newest does not.
	slowSince time.Time
	// confirmed is the share of the reported slow paces that the latencies of the replica show.
	// It is used once checked is set.
	confirmed float64
	checked   bool
	// answeredAt is the time of the last answer to this node.
	answeredAt time.Time
}

// Observe applies the pace of a report. Reports that are older than the newest are ignored.
func (p *Pace) Observe(r *Regimes, t *Trust, at time.Time, reported float64) {
	switch {
	case p.reported == 0:
		p.answeredAt = at
	case !at.After(p.reportedAt):
		return
	default:
		r.observe(used(p.reported), used(reported), at.Sub(p.reportedAt), p.trust(t, at))
	}
	switch {
	case reported < slowPace:
		p.slowSince = time.Time{}
	case p.slowSince.IsZero():
		p.slowSince = at
	}
	p.reported, p.reportedAt = reported, at
}

// Check compares a pace that a replica has reported with an answer with the latency of the
// answer, as a multiple of the usual. The replica is trusted as far as the latency shows the
// reported slowdown. A slowdown by other causes, such as a pause, does not contradict it.
func (p *Pace) Check(t *Trust, now time.Time, reported, latency float64) {
	p.answeredAt = now
	if reported < slowPace {
		return
	}
	if !p.checked {
		p.checked, p.confirmed = true, t.Confirmed()
	}
	shown := min(max(math.Log(max(latency, 1))/math.Log(used(reported)), 0), 1)
	p.confirmed += trustWeight * (shown - p.confirmed)
	t.record(shown)
}

// At returns the expected pace at now: the reported one at first, which returns to the usual
// as the report ages.
func (p *Pace) At(r *Regimes, t *Trust, now time.Time) float64 {
	if p.reported < slowPace {
		return 1
	}
	remaining := r.remaining(now.Sub(p.reportedAt), p.reportedAt.Sub(p.slowSince))
	return 1 + (used(p.reported)-1)*p.trust(t, now)*remaining
}

// Explained returns the factor by which a reported pace explains a latency, given as a
// multiple of the usual. It does not exceed the latency: a false report cannot make a replica
// appear faster than usual.
func (p *Pace) Explained(reported, latency float64) float64 {
	if !p.checked || reported < slowPace {
		return 1
	}
	return max(1, min(1+(used(reported)-1)*believed(p.confirmed), latency))
}

// trust returns the trust, from 0 to 1, in the replica's reports.
func (p *Pace) trust(t *Trust, now time.Time) float64 {
	confirmed := p.confirmed
	if !p.checked {
		confirmed = t.Confirmed()
	}
	return believed(confirmed) * math.Exp2(-max(now.Sub(p.answeredAt).Seconds(), 0)/checkHalfLife.Seconds())
}

// used returns the pace that is used for a reported one. A pace below the usual counts as the
// usual: a false one would attract requests, and the latency shows a true one.
func used(reported float64) float64 { return min(max(reported, 1), maxUsedPace) }
