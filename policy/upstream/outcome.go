package upstream

import "time"

const (
	// failureWeight of a new outcome in a replica's failure rate, and the time in
	// which half of that is forgotten.
	failureWeight = 0.25
	forgetFailure = 2 * time.Second
	// restAfter is how many failures in a row make a replica rest that can be reached.
	restAfter = 4
	// minPause and maxPause bound how long a replica that fails rests.
	minPause = 250 * time.Millisecond
	maxPause = 3 * time.Second
)

// Result is how an attempt at a replica ended.
type Result int

// Results of attempts.
const (
	// Answered: the replica gave a complete answer of success.
	Answered Result = iota
	// Refused: the replica stated that it did not run the request.
	Refused
	// Failed: the replica answered with a failure of its own, or spoilt the answer.
	Failed
	// ConnectionLost: the connection was lost while the request was on it.
	ConnectionLost
	// Unreachable: no connection could be opened.
	Unreachable
	// Abandoned: nobody waits for the answer any more.
	Abandoned
	// WrongReplica: another replica answered at the address, so that this one is gone.
	WrongReplica
)

// Sample is the end of an attempt.
type Sample struct {
	Handle uint64
	Class  string
	Took   time.Duration
	Result Result
}

// Done takes the end of an attempt.
func (s *Balancer) Done(now time.Time, st *State, sample Sample) {
	sent := st.remove(sample.Handle)
	switch sample.Result {
	case Answered:
		s.observe(now, sent, st, sample)
		st.failed(now, 0)
		st.streak = 0
		st.pauseUntil = time.Time{}
	case Refused:
		st.failed(now, 1)
	case Failed, ConnectionLost:
		// A replica that loses some of its answers still gives the others: it is
		// avoided by its failure rate, and rests only when nothing else comes.
		st.failed(now, 1)
		st.rest(now, restAfter)
	case Unreachable:
		st.failed(now, 1)
		st.rest(now, 1)
	case WrongReplica:
		st.gone = true
	case Abandoned:
		// The answer took at least this long; a shorter wait tells nothing.
		usual := s.BaselineLatency(sample.Class)
		if sample.Took > time.Duration(stalledAfter*float64(usual)) {
			st.slowness.observe(now, sent, float64(sample.Took)/float64(usual))
		}
	}
}

func (s *Balancer) observe(now, sent time.Time, st *State, sample Sample) {
	u := s.usual[sample.Class]
	if u == nil {
		u = &usual{}
		u.observe(now, sample.Took)
		s.usual[sample.Class] = u
	}
	st.slowness.observe(now, sent, u.ratio(sample.Took))
	if !st.isCold(now) {
		u.observe(now, sample.Took)
	}
}

// rest pauses the replica once so many failures came in a row.
func (st *State) rest(now time.Time, after int) {
	st.streak++
	if st.streak < after {
		return
	}
	pause := minPause << min(st.streak-after, 4)
	st.pauseUntil = now.Add(min(pause, maxPause))
}

func (st *State) failed(now time.Time, outcome float64) {
	st.failures = st.failureRate(now) + failureWeight*(outcome-st.failureRate(now))
	st.failedAt = now
}

func (st *State) failureRate(now time.Time) float64 {
	return st.failures * decay(now.Sub(st.failedAt), forgetFailure)
}

// remove forgets an attempt that is out, and returns when it was sent.
func (st *State) remove(handle uint64) (sent time.Time) {
	for i, a := range st.out {
		if a.id == handle {
			st.out = append(st.out[:i], st.out[i+1:]...)
			return a.sent
		}
	}
	return time.Time{}
}
