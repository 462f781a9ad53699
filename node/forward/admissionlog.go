package forward

import (
	"fmt"
	"time"

	"github.com/carobmill/carobmill/policy/fairshare"
)

// Kinds of decisions about admission.
const (
	decisionShortage    = "admission_short"
	decisionShortageEnd = "admission_enough"
	decisionNotAdmitted = "request_not_admitted"
)

// admissionLine is the admission in the log line of a request that waited or was refused.
type admissionLine struct {
	// Rule is the cause of a refusal, or "waited".
	Rule     string  `json:"rule"`
	Priority int     `json:"priority"`
	Waited   float64 `json:"waited_ms"`
	// Place is the number of requests that were ahead when the request arrived.
	Place int `json:"place"`
	// Room is the number of further requests that could start, and Broken the number of
	// services that demand does not explain.
	Room   int `json:"room"`
	Broken int `json:"broken,omitempty"`
}

// waited reports whether the request waited or was refused.
func (t *ticket) waited() bool { return t.queuedFor > 0 || t.cause != fairshare.NotRefused }

func (t *ticket) line() admissionLine {
	rule := "waited"
	if t.cause != fairshare.NotRefused {
		rule = t.cause.String()
	}
	return admissionLine{
		Rule: rule, Priority: t.priority, Waited: ms(t.queuedFor), Place: t.place, Room: t.room.Free, Broken: t.room.Broken,
	}
}

// recordRefusal sets when the caller of a refused request may return, and records the refusal.
func (a *admission) recordRefusal(q *exchange) {
	now := time.Now()
	a.mu.Lock()
	a.counts.Refused++
	q.admission.retryAfter = a.queue.RetryAfter(now, q.admission.priority)
	waiting := a.queue.Len()
	a.mu.Unlock()
	if q.cancelled || !a.f.logLimiter.Allow(now, false) {
		return
	}
	subject := q.req.Account
	if subject == "" {
		subject = q.route.Name
	}
	t := &q.admission
	a.f.opts.Event(decisionNotAdmitted, subject, fmt.Sprintf(
		"request %s: %s: route %s, priority %d, place %d of %d, room %d (%d broken services), waited %v, retry after %v",
		q.req.ID, t.cause, q.route.Name, t.priority, t.place, waiting, t.room.Free, t.room.Broken,
		t.queuedFor.Round(time.Millisecond/10), t.retryAfter.Round(time.Millisecond)))
}

// beginShortage records the first waiting request of a shortage. The caller holds a.mu.
func (a *admission) beginShortage(now time.Time, q *exchange, k *kind) {
	a.queuedAt = now
	if !a.shortSince.IsZero() {
		return
	}
	a.shortSince = now
	a.event(decisionShortage, q.route.Name, fmt.Sprintf(
		"requests wait for room: room %d of route %s (%d broken services), processor %.3f s of work in progress at %g cores",
		k.shortRoom.Free, q.route.Name, k.shortRoom.Broken, a.work, a.f.opts.Capacity))
}

// endShortage records the end of a shortage when no request has waited for shortageEnd. The
// caller holds a.mu.
func (a *admission) endShortage(now time.Time) {
	if a.shortSince.IsZero() || a.queue.Len() > 0 || now.Sub(a.queuedAt) < shortageEnd {
		return
	}
	a.event(decisionShortageEnd, a.f.opts.Node, fmt.Sprintf(
		"no request waits for room: short for %d ms, last waiting request %d ms ago",
		a.queuedAt.Sub(a.shortSince).Milliseconds(), now.Sub(a.queuedAt).Milliseconds()))
	a.shortSince = time.Time{}
}

// event records a decision outside a.mu, which the caller holds.
func (a *admission) event(kind, subject, detail string) {
	go a.f.opts.Event(kind, subject, detail)
}

// AdmissionState is the state of admission at this node.
type AdmissionState struct {
	// Active is set if requests are admitted by priority and account.
	Active bool
	// ShortSince is when the current shortage began; zero without one.
	ShortSince time.Time
	// Waiting holds the number of waiting requests by priority.
	Waiting map[int]int
	Counts  AdmissionCounts
}

// AdmissionState returns the state of admission.
func (f *Forwarder) AdmissionState() AdmissionState {
	s := AdmissionState{Waiting: make(map[int]int), Active: f.opts.FairAdmission}
	if v := f.opts.Source.View(); v != nil && v.Index.Accounts.Len() > 0 {
		s.Active = true
	}
	a := f.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endShortage(time.Now())
	s.ShortSince, s.Counts = a.shortSince, a.counts
	for _, k := range a.kinds {
		for p, n := range k.byPriority {
			s.Waiting[p] += n
		}
	}
	return s
}
