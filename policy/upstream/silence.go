package upstream

import (
	"time"

	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// maxPause exceeds the pauses of replicas (100 to 150 ms) by the transit of an answer.
	maxPause = 200 * time.Millisecond
	// maxSlowdown is the multiple of the usual latency up to which a replica is only slow.
	// Replicas may be twelve times slower, and single answers take longer than the mean.
	maxSlowdown = 16
	// silenceConfirmation is the time between the first sign of silence and its effect. After
	// a pause of this process, attempts look unanswered until their answers have been read.
	silenceConfirmation = 50 * time.Millisecond
	// silenceTTL is the time for which silence counts without a further unanswered attempt.
	silenceTTL = 3 * time.Second
	// probeInterval is the time between two probes of a silent service by requests that do
	// not need it, and requiredProbeInterval by those that do. The latter are lost if the
	// service is still silent.
	probeInterval         = 200 * time.Millisecond
	requiredProbeInterval = time.Second
	// minProbeWait and probeWaitFactor, a multiple of the baseline latency, determine how
	// long a request waits for an attempt at a silent replica.
	minProbeWait    = 50 * time.Millisecond
	probeWaitFactor = 4
)

// silence holds what indicates that a replica does not answer at all, also not late. Admission
// uses the shorter resultGap instead.
type silence struct {
	// heardAt is the time of the last reply of any kind.
	heardAt time.Time
	// suspectedAt is when an attempt was first found unanswered for longer than a slow or
	// paused replica takes; zero if none was. seenAt is when one was last found.
	suspectedAt, seenAt time.Time
}

// heard records a reply of any kind.
func (s *silence) heard(now time.Time) { *s = silence{heardAt: now} }

// unanswered records an attempt that had no reply for a time, counted from the last reply of
// the replica. After the first sign of silence, shorter waits confirm it.
func (s *silence) unanswered(now time.Time, waited, limit, confirmAfter time.Duration) {
	if !s.suspectedAt.IsZero() && now.Sub(s.seenAt) > silenceTTL {
		s.suspectedAt = time.Time{}
	}
	switch {
	case !s.suspectedAt.IsZero() && waited > confirmAfter:
		s.seenAt = now
	case waited > limit:
		s.suspectedAt, s.seenAt = now, now
	}
}

// confirmed reports whether the replica counts as silent.
func (s *silence) confirmed(now time.Time) bool {
	return !s.suspectedAt.IsZero() && now.Sub(s.suspectedAt) >= silenceConfirmation && now.Sub(s.seenAt) <= silenceTTL
}

// silenceLimit returns how long an attempt may be unanswered at a replica that is only slow
// or paused. The slowest class counts, since its requests may occupy all slots of a replica.
func (b *Balancer) silenceLimit() time.Duration {
	slowest := time.Duration(0)
	for _, base := range b.baselines {
		slowest = max(slowest, base.latency, minBaseline)
	}
	if slowest == 0 {
		slowest = defaultBaseline
	}
	return maxPause + maxSlowdown*slowest
}

// ProbeWait returns how long a request of a class waits for an attempt at a silent replica.
func (b *Balancer) ProbeWait(class string) time.Duration {
	return max(minProbeWait, probeWaitFactor*b.BaselineLatency(class))
}

// Silent reports whether a replica answers nothing: attempts have been unanswered for longer
// than replicas pause or slow ones take, and no attempt has had a reply since.
func (b *Balancer) Silent(now time.Time, st *State) bool {
	for _, a := range st.inFlight {
		waited := st.silence.waited(now, a.sent)
		if !a.relayed && (waited > maxPause || !st.silence.suspectedAt.IsZero()) {
			st.silence.unanswered(now, waited, b.silenceLimit(), minProbeWait)
		}
	}
	return st.silence.confirmed(now)
}

// waited returns the time for which an attempt has been in flight without any reply of the
// replica.
func (s *silence) waited(now, sent time.Time) time.Duration {
	if s.heardAt.After(sent) {
		sent = s.heardAt
	}
	return now.Sub(sent)
}

// recordSilence applies the end of an attempt. Attempts through another node say nothing: the
// node may be silent itself.
func (b *Balancer) recordSilence(now time.Time, st *State, ended attempt, sample Sample) {
	switch sample.Result {
	case Answered, Refused, Failed:
		st.silence.heard(now)
	case Abandoned, Unreachable:
		if ended.relayed || ended.sent.IsZero() || sample.Result == Abandoned && sample.Took == 0 {
			// Not sent to the replica by this node.
			return
		}
		st.silence.unanswered(now, st.silence.waited(now, ended.sent), b.silenceLimit(), minProbeWait)
	}
}

// AllSilent reports whether all usable replicas of the service are silent. Replicas to which
// no connection can be opened are not usable.
func (b *Balancer) AllSilent(now time.Time, unreachable map[string]bool) bool {
	silent, suspected := false, false
	for _, st := range b.usable {
		switch {
		case st.addressReused || unreachable[st.Replica.DataCentre]:
		case b.Silent(now, st):
			silent = true
		case !st.silence.suspectedAt.IsZero() && now.Sub(st.silence.suspectedAt) < silenceConfirmation:
			// The others are observed too, so that all are confirmed at the same time.
			suspected = true
		case st.unconnectable && now.Before(st.backoffUntil):
		default:
			return false
		}
	}
	return silent && !suspected
}

// SetRelayed records that another node sends an attempt.
func (b *Balancer) SetRelayed(st *State, handle uint64) {
	for i := range st.inFlight {
		if st.inFlight[i].id == handle {
			st.inFlight[i].relayed = true
		}
	}
}

// ProbeDue reports whether a request may probe the silent service. required is set for a
// request that cannot succeed without it.
func (b *Balancer) ProbeDue(now time.Time, required bool) bool {
	if required {
		return now.Sub(b.requiredProbeAt) >= requiredProbeInterval
	}
	return now.Sub(b.probeAt) >= probeInterval
}

// RecordProbe records a probe of the silent service.
func (b *Balancer) RecordProbe(now time.Time, required bool) {
	b.probeAt = now
	if required {
		b.requiredProbeAt = now
	}
}

// Linger returns how long an attempt that is no longer needed should continue to show whether
// its replica is silent or only slower than the requests' timeouts. It is 0 unless the
// attempt is the oldest one in flight and has been unanswered for long.
func (b *Balancer) Linger(now time.Time, st *State, handle uint64, class string) time.Duration {
	if len(st.inFlight) == 0 || st.inFlight[0].id != handle || st.inFlight[0].relayed {
		return 0
	}
	waited := st.silence.waited(now, st.inFlight[0].sent)
	if waited < b.ProbeWait(class) {
		return 0
	}
	return max(0, b.silenceLimit()+silenceConfirmation-waited)
}

const (
	// learnedFraction is the fraction of the baseline latency that an answer takes at least.
	learnedFraction = 0.5
	// learnedFor is the time without an answer after which it is unknown again. Otherwise, a
	// class whose timeout falls below it would never be sent again, and never learn that its
	// replicas have become faster.
	learnedFor = 10 * time.Second
)

// LeastLatency returns the least time in which a healthy replica answers a request of a
// class; 0 without enough answers, or without recent ones.
func (b *Balancer) LeastLatency(now time.Time, class string) time.Duration {
	base := b.baselines[class]
	if base == nil || base.samples < rampSamples || now.Sub(base.at) > learnedFor {
		return 0
	}
	return time.Duration(learnedFraction * float64(base.latency))
}

// SilentReplicas calls f for each silent replica, with the time since its last reply; 0 if it
// has never replied.
func (b *Balancer) SilentReplicas(now time.Time, f func(r *registry.Replica, since time.Duration)) {
	for _, st := range b.usable {
		if !st.silence.confirmed(now) {
			continue
		}
		since := time.Duration(0)
		if !st.silence.heardAt.IsZero() {
			since = now.Sub(st.silence.heardAt)
		}
		f(st.Replica, since)
	}
}
