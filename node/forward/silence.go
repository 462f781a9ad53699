package forward

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

const (
	// silenceCheckInterval is the time between two checks whether the replicas are silent
	// for which a request waits.
	silenceCheckInterval = 25 * time.Millisecond
	// silenceCheckAfter is the age of the first attempts from which they are checked.
	silenceCheckAfter = 50 * time.Millisecond
)

// Kinds of decisions.
const (
	// decisionSilent is that all usable replicas of a service are silent, or one answers again.
	decisionSilent = "service_silent"
	// decisionUnservable is that a request ends early because it cannot succeed.
	decisionUnservable = "request_cannot_succeed"
)

// denyUnservable returns why an attempt may not be sent because all replicas of the service are
// silent, or because a healthy one could not answer in time; empty if it may. s.mu is held.
func (q *exchange) denyUnservable(now time.Time, i int, extra bool) string {
	s := q.services[i]
	if !q.query.HasTime(i, now.Sub(q.req.Arrived)) {
		return deniedNoTime
	}
	if !s.silentAt(now, q) {
		return ""
	}
	if extra || !s.balancer.ProbeDue(now, false) && !s.balancer.ProbeDue(now, true) {
		return deniedSilent
	}
	if q.suspect {
		// The shards of a suspected request are sent one after the other.
		s.balancer.RecordProbe(now, true)
		return ""
	}
	q.probes = append(q.probes, i)
	return ""
}

// silentAt reports whether all usable replicas of the service are silent, and records a
// change. s.mu is held.
func (s *service) silentAt(now time.Time, q *exchange) bool {
	silent := s.balancer.AllSilent(now, q.unreachable)
	if silent != s.silent {
		s.silent = silent
		name := q.names[slices.Index(q.services, s)]
		detail := "a replica answers again or another one is usable"
		if silent {
			s.balancer.RecordProbe(now, true)
			detail = "no usable replica answers: " + silentReplicas(now, s.balancer)
		}
		// Event may wait for a lock of its receiver.
		go q.f.opts.Event(decisionSilent, name, detail)
	}
	return silent
}

// silentReplicas lists the silent replicas with the time since their last replies.
func silentReplicas(now time.Time, b *upstream.Balancer) string {
	var list []string
	b.SilentReplicas(now, func(r *registry.Replica, since time.Duration) {
		entry := r.ID + " has never answered"
		if since > 0 {
			entry = fmt.Sprintf("%s last answered %d ms ago", r.ID, since.Milliseconds())
		}
		list = append(list, entry)
	})
	return strings.Join(list, ", ")
}

// admitProbes decides whether the reserved attempts at silent services may be sent. A request
// that cannot succeed without them is sent once per interval only, since it is lost if they
// are still silent.
func (q *exchange) admitProbes() bool {
	if len(q.probes) == 0 {
		return true
	}
	now := time.Now()
	required := !q.query.SufficientWithout(len(q.probes))
	for _, i := range q.probes {
		s := q.services[i]
		s.mu.Lock()
		due := s.balancer.ProbeDue(now, required)
		s.mu.Unlock()
		if !due && required {
			q.deny(i, deniedSilent, false)
			return false
		}
	}
	for _, i := range q.probes {
		s := q.services[i]
		s.mu.Lock()
		s.balancer.RecordProbe(now, required)
		s.mu.Unlock()
	}
	return true
}

// checkSilence updates which shards are silent, and returns when to check again.
func (q *exchange) checkSilence() time.Duration {
	now := q.elapsed()
	end := q.deadline.Sub(q.req.Arrived)
	if !q.route.Idempotent || len(q.attempts) == 0 || len(q.trials.pending)+len(q.trials.held) > 0 {
		return end
	}
	if first := q.attempts[0].at + silenceCheckAfter; now < first {
		return first
	}
	for i := range q.names {
		if q.query.InFlight(i) {
			q.query.SetSilent(i, q.shardSilent(i))
		}
	}
	return min(end, now+silenceCheckInterval)
}

// shardSilent reports whether the attempts of a shard are all at silent replicas and no other
// replica can be expected to answer.
func (q *exchange) shardSilent(i int) bool {
	s := q.services[i]
	now, elapsed := time.Now(), q.elapsed()
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.balancer.ProbeWait(q.route.Name)
	for k := range q.attempts {
		a := &q.attempts[k]
		if a.shard != i || a.ended {
			continue
		}
		if elapsed-a.at < wait || !s.balancer.Silent(now, a.state) {
			return false
		}
	}
	return !q.query.MayHedge(i) || s.silentAt(now, q)
}

// reportUnservable records the cause of a request that ends because it cannot succeed.
func (q *exchange) reportUnservable(a *Answer) {
	if a.Outcome != NotRun && a.Outcome != Failed || q.suspect || q.cancelled || !q.f.logLimiter.Allow(time.Now(), false) {
		return
	}
	reasons := make(map[string]string)
	for _, d := range q.denials {
		if !d.hedge {
			reasons[q.names[d.shard]] = d.reason
		}
	}
	for i, name := range q.names {
		if q.query.Silent(i) {
			reasons[name] = deniedSilent
		}
	}
	if len(reasons) == 0 {
		return
	}
	list := make([]string, 0, len(reasons))
	for name, reason := range reasons {
		list = append(list, name+" "+reason)
	}
	slices.Sort(list)
	q.f.opts.Event(decisionUnservable, q.route.Name, fmt.Sprintf("request %s: %s after %.1f ms of %.1f: %d of %d shards lack an answer, coverage %g, sent %d, retry after %v: %s",
		q.req.ID, a.Outcome, ms(q.elapsed()), ms(q.deadline.Sub(q.req.Arrived)), len(q.names)-q.query.AnsweredCount(), len(q.names), q.minCoverage(), len(q.attempts), a.RetryAfter.Round(time.Millisecond), strings.Join(list[:min(len(list), maxListed)], ", ")))
}

// maxListed bounds the services that a decision names.
const maxListed = 6

// maxSilentServices bounds the services in a status.
const maxSilentServices = 100

// SilentServices returns the services whose usable replicas are all silent, by name.
func (f *Forwarder) SilentServices() []string {
	f.mu.Lock()
	services := maps.Clone(f.services)
	f.mu.Unlock()
	now, unreachable := time.Now(), f.reach.unreachable()
	var silent []string
	for name, s := range services {
		s.mu.Lock()
		if s.balancer.AllSilent(now, unreachable) {
			silent = append(silent, name)
		}
		s.mu.Unlock()
	}
	slices.Sort(silent)
	return silent[:min(len(silent), maxSilentServices)]
}
