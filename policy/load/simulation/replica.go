package simulation

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/upstream"
)

// replica is a replica whose VM changes its pace at random times.
type replica struct {
	index  int
	config Config
	// regimes and work are separate, so that runs with other decisions meet the same regimes.
	regimes, work *rand.Rand
	// slow is the present regime, which ends at regimeEnd.
	slow      bool
	regimeEnd time.Duration
	phase     time.Duration
	// freeAt holds the time at which each slot becomes free.
	freeAt [slots]time.Duration
	// ends holds the ends of the requests that run or wait.
	ends []time.Duration
}

func newReplica(index int, c Config) *replica {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(index)))
	p := &replica{
		index: index, config: c, regimes: rng, work: rand.New(rand.NewPCG(rng.Uint64(), 1)),
		phase: time.Duration(rng.Int64N(int64(pauseEvery))),
	}
	p.slow = rng.Float64() < c.SlowShare
	if p.slow || c.SlowShare > 0 {
		p.regimeEnd = time.Duration(rng.Float64() * float64(p.regimeLength()))
	}
	return p
}

// regimeLength returns the length of a new regime, such that SlowShare of the time is slow.
func (p *replica) regimeLength() time.Duration {
	mean := float64(p.config.SlowFor)
	if !p.slow {
		mean *= (1 - p.config.SlowShare) / p.config.SlowShare
	} else if p.config.FixedRegimes {
		return p.config.SlowFor
	}
	return time.Duration(p.regimes.ExpFloat64() * mean)
}

// pace returns the pace at a time, which must not decrease between calls.
func (p *replica) pace(at time.Duration) float64 {
	for p.config.SlowShare > 0 && p.regimeEnd <= at {
		p.slow = !p.slow
		p.regimeEnd += max(p.regimeLength(), time.Millisecond)
	}
	if p.slow {
		return p.config.SlowFactor
	}
	return 1
}

// accept starts a request that arrives at a time, and returns when it ends.
func (p *replica) accept(at time.Duration) time.Duration {
	slot := 0
	for i, free := range p.freeAt {
		if free < p.freeAt[slot] {
			slot = i
		}
	}
	// Work has a fixed part and a random one.
	work := (0.6 + 0.4*p.work.ExpFloat64()) * float64(p.config.Work) * p.pace(at)
	ends := p.skipPauses(max(at, p.freeAt[slot]), time.Duration(work))
	p.freeAt[slot] = ends
	p.ends = append(p.ends, ends)
	return ends
}

// skipPauses returns the end of work that starts at a time and rests during pauses.
func (p *replica) skipPauses(at, work time.Duration) time.Duration {
	if !p.config.Pauses {
		return at + work
	}
	for {
		inPeriod := (at + p.phase) % pauseEvery
		if inPeriod < pauseLength {
			at += pauseLength - inPeriod
			inPeriod = pauseLength
		}
		left := pauseEvery - inPeriod
		if work <= left {
			return at + work
		}
		at, work = at+left, work-left
	}
}

// report returns the replica's report at a time.
func (p *replica) report(at time.Duration) load.Report {
	present := p.ends[:0]
	for _, end := range p.ends {
		if end > at {
			present = append(present, end)
		}
	}
	p.ends = present
	r := load.Report{
		Running: min(len(present), slots), Waiting: max(len(present)-slots, 0), Slots: slots, Pace: p.pace(at),
	}
	if p.config.Report != nil {
		return p.config.Report(p.index, r)
	}
	return r
}

// replicaOf returns the replica of a balancer's state.
func (r *run) replicaOf(st *upstream.State) *replica {
	index, _ := strconv.Atoi(st.Replica.ID)
	return r.replicas[index]
}
