package load

import (
	"math/rand/v2"
	"time"
)

// seedStream separates the random numbers of the schedule from other uses of the
// same seed.
const seedStream = 0x6c6f6164

// schedule generates the arrivals of a Poisson process. The arrivals depend only
// on the seed and the configuration, not on response times.
type schedule struct {
	rng     *rand.Rand
	rate    float64
	end     time.Duration
	at      time.Duration
	targets []Target
	// totalShare is the sum of the targets' shares.
	totalShare float64
}

// arrival is one scheduled request.
type arrival struct {
	// at is the intended send time, relative to the start of the run.
	at time.Duration
	// target is an index into Config.Targets.
	target int
}

func newSchedule(c Config) *schedule {
	s := &schedule{
		rng:     rand.New(rand.NewPCG(c.Seed, seedStream)),
		rate:    c.Rate,
		end:     c.Duration,
		targets: c.Targets,
	}
	for _, t := range c.Targets {
		s.totalShare += t.Share
	}
	return s
}

// next returns the next arrival. It returns false after the end of the run.
func (s *schedule) next() (arrival, bool) {
	s.at += time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second))
	if s.at >= s.end {
		return arrival{}, false
	}
	remaining := s.rng.Float64() * s.totalShare
	for i, t := range s.targets {
		remaining -= t.Share
		if remaining < 0 {
			return arrival{at: s.at, target: i}, true
		}
	}
	return arrival{at: s.at, target: len(s.targets) - 1}, true
}
