package upstream

import "time"

const (
	// latencyWeight of a new sample in a replica's slowness.
	latencyWeight = 0.3
	// slowFrom is the multiple of the usual latency from which an answer counts as slow.
	slowFrom = 2.0
	// maxSlowness bounds what a single sample counts for, and maxFirstSlowness the first
	// slow one after others: alone it is more often a pause than a slow replica, and must
	// not outweigh the way to another data centre.
	maxSlowness      = 20
	maxFirstSlowness = 5
	minSlowness      = 0.3
	// forgetSlowness is the time in which half of a replica's excess over normal is
	// forgotten while it gets no requests, so that it is tried again.
	forgetSlowness = 1500 * time.Millisecond
)

// slowness estimates how long a replica takes, as a multiple of the usual latency. Requests
// that were out together at one pause count once: a short pause must not send requests to
// another data centre for seconds. A replica that is slow shows it again with the next
// request.
type slowness struct {
	factor float64
	seen   time.Time
	// slowAt is when the last slow answer came, and slowRun how many came in a row that
	// were sent one after the other.
	slowAt  time.Time
	slowRun int
}

func newSlowness() slowness { return slowness{factor: 1} }

// at returns the estimate, which falls back to normal without samples.
func (s *slowness) at(now time.Time) float64 {
	return 1 + (s.factor-1)*decay(now.Sub(s.seen), forgetSlowness)
}

// observe takes the latency of a request that was sent at a time, as a multiple of the
// usual one.
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
	s.factor = max(current+latencyWeight*(ratio-current), minSlowness)
	s.seen = now
}
