package upstream

import (
	"time"

	"github.com/carobmill/carobmill/policy/load"
)

// minCheckSamples is the number of answers of a class from which its baseline is known well
// enough to compare reports with latencies.
const minCheckSamples = 10

// ObserveLoad applies what a replica reported age ago to this node or to another one. A report
// of an unknown replica, or one that is older than the newest report, has no effect.
func (b *Balancer) ObserveLoad(now time.Time, id string, r load.Report, age time.Duration) {
	if st := b.states[id]; st != nil {
		b.observeLoad(now, st, r, age)
	}
}

func (b *Balancer) observeLoad(now time.Time, st *State, r load.Report, age time.Duration) {
	at := now.Add(-max(age, 0))
	if !r.Known() || !at.After(st.loadAt) {
		return
	}
	st.load, st.loadAt = r, at
	if r.Paced() {
		st.pace.Observe(&b.regimes, b.trust, at, r.Pace)
	}
}

// Pace returns how many times longer than usual work is expected to take at a replica now,
// according to its reports; 1 without reports.
func (b *Balancer) Pace(now time.Time, st *State) float64 {
	return st.pace.At(&b.regimes, b.trust, now)
}

// explained returns the factor by which the pace that a replica has reported with an answer
// explains the answer's latency, given as a multiple of the baseline.
func (b *Balancer) explained(now time.Time, st *State, r load.Report, latency float64) float64 {
	if !r.Paced() {
		return 1
	}
	st.pace.Check(b.trust, now, r.Pace, latency)
	return st.pace.Explained(r.Pace, latency)
}

const (
	// freshFor and recentFor are the ages up to which a report counts as fresh and as recent.
	freshFor  = 300 * time.Millisecond
	recentFor = 2 * time.Second
	// slowFromPace is the expected pace from which a replica counts as slow.
	slowFromPace = 1.2
)

// LoadCounts counts replicas by the age of their newest report, and those of them that are
// expected to be slow.
type LoadCounts struct {
	Fresh, Recent, Old int
	Slow               int
}

// Add adds the counts of another service.
func (c *LoadCounts) Add(o LoadCounts) {
	c.Fresh, c.Recent, c.Old, c.Slow = c.Fresh+o.Fresh, c.Recent+o.Recent, c.Old+o.Old, c.Slow+o.Slow
}

// CountLoads counts the replicas that have reported their load.
func (b *Balancer) CountLoads(now time.Time) LoadCounts {
	var c LoadCounts
	for _, st := range b.usable {
		age := st.LoadAge(now)
		switch {
		case !st.load.Known():
		case age < freshFor:
			c.Fresh++
		case age < recentFor:
			c.Recent++
		default:
			c.Old++
		}
		if b.Pace(now, st) >= slowFromPace {
			c.Slow++
		}
	}
	return c
}

// LoadAge returns the age of the replica's newest report; 0 without one.
func (st *State) LoadAge(now time.Time) time.Duration {
	if !st.load.Known() {
		return 0
	}
	return now.Sub(st.loadAt)
}
