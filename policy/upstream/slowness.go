package upstream

import "time"

const (
	// slownessWeight is the weight of a new sample in a replica's slowness.
	slownessWeight = 0.3
	// slowFrom is the multiple of the baseline latency from which an answer is slow.
	slowFrom = 2.0
	// maxSlowness bounds a single sample, and maxFirstSlowness the first slow one. A
	// single slow answer is more often a pause than a slow replica, and must not by
	// itself divert requests to another data centre.
	maxSlowness      = 20
	maxFirstSlowness = 5
	minSlowness      = 0.3
	// slownessHalfLife applies to the deviation from the baseline while a replica
	// receives no requests. Without the decay, a slow replica would never be tried again.
	slownessHalfLife = 1500 * time.Millisecond
)

// slowness estimates a replica's latency as a multiple of the baseline. Requests that
// were in flight together when a slow answer arrived count once. Otherwise a short
// pause would divert requests to another data centre for seconds. A slow replica is
// still detected, because later requests are slow as well.
type slowness struct {
	factor     float64
	observedAt time.Time
	// slowAt is when the last slow answer arrived. slowRun counts consecutive slow
	// answers, each to a request sent after the previous slow answer.
	slowAt  time.Time
	slowRun int
}

func newSlowness() slowness { return slowness{factor: 1} }

// at returns the estimate, which decays to 1 without samples.
func (s *slowness) at(now time.Time) float64 {
	return 1 + (s.factor-1)*decay(now.Sub(s.observedAt), slownessHalfLife)
}

// observe adds the latency of a request as a multiple of the baseline. sent is when
// the request was sent.
func (s *slowness) observe(now, sent time.Time, ratio float64) {
	if ratio < slowFrom {
		s.slowRun = 0
		s.add(now, ratio)
		return
	}
	samePause := !sent.After(s.slowAt)
	s.slowAt = now
	if samePause {
		return
	}
	bound := float64(maxSlowness)
	if s.slowRun == 0 {
		bound = maxFirstSlowness
	}
	s.slowRun++
	s.add(now, min(ratio, bound))
}

func (s *slowness) add(now time.Time, ratio float64) {
	current := s.at(now)
	s.factor = max(current+slownessWeight*(ratio-current), minSlowness)
	s.observedAt = now
}
