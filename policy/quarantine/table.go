package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Duration is how long a quarantined request is refused, and how long crashes are
	// remembered. A request that crashes replicas does so until their software is replaced.
	Duration = 10 * time.Minute
	// requiredTrials is the number of trials whose replicas must have crashed before a
	// request is quarantined. A single crash during a trial may have another cause.
	requiredTrials = 3
	// trialSpacing is the least time between two crashes for both to count. Replicas that are
	// killed together may hit several trials of one request.
	trialSpacing = 100 * time.Millisecond
	// trialBackoff is the time from a crash during a trial to the next trial. It exceeds
	// trialSpacing by the time in which other nodes learn of the crash.
	trialBackoff = 150 * time.Millisecond
	// trialJitter bounds the random time by which a node extends trialBackoff, so that nodes
	// that wait for the same request do not try it at the same moment.
	trialJitter = 150 * time.Millisecond
	// trialTimeout is how long a trial keeps other trials of the request waiting. It covers a
	// pause of the replica.
	trialTimeout = 200 * time.Millisecond
	// maxEntries bounds the requests in a table.
	maxEntries = 1024
)

// MaxCrashes bounds the crashes and the answers that are kept of each request.
const MaxCrashes = 16

// maxRefuted bounds the replicas of each request whose crashes are not accepted again.
const maxRefuted = 4 * MaxCrashes

// Crash is the crash of a replica while it ran a request.
type Crash struct {
	// Replica identifies one start of a replica, and Service its service. See Key.
	Replica, Service uint64
	// Trial is set if the request was sent to this replica alone, as a trial.
	Trial bool
	At    time.Time
}

// Answer states that a replica of a service has run a request to its end.
type Answer struct {
	Service uint64
	At      time.Time
}

// entry is what is known about one request.
type entry struct {
	// crashes holds one crash for each replica, except those of services in answers that
	// happened before the answer.
	crashes []Crash
	answers []Answer
	// refuted holds the replicas whose crashes no longer count, the newest last. Without it,
	// nodes that do not keep the answer that refuted a crash accept the crash again from each
	// other, without end.
	refuted []uint64
	// refusedUntil is the end of the quarantine; zero if there is none.
	refusedUntil time.Time
	// trial is the ID of the running trial and trialUntil when it no longer blocks others; 0
	// if there is none.
	trial      uint64
	trialUntil time.Time
	// jitter extends trialBackoff.
	jitter time.Duration
	// updatedAt is the time of the newest crash, answer or quarantine.
	updatedAt time.Time
}

// Table holds the requests that are suspected of crashing replicas. Not safe for concurrent
// use.
type Table struct {
	rng       *rand.Rand
	entries   map[Fingerprint]*entry
	lastTrial uint64
}

// New returns an empty table. rng draws the jitter of trials.
func New(rng *rand.Rand) *Table {
	return &Table{rng: rng, entries: make(map[Fingerprint]*entry)}
}

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.entries) }

// Verdict is how a request is to be handled.
type Verdict struct {
	// Refused is set for a quarantined request; it ends after RetryAfter.
	Refused    bool
	RetryAfter time.Duration
	// Survived is set if a replica has run the request to its end after the last crash.
	Survived bool
	// suspected holds the services whose replicas crashed under the request and have not
	// answered it since, and refused those of them where requiredTrials have failed.
	suspected, refused []uint64
}

// Suspected reports whether the request has crashed replicas of a service, none of which
// has answered it since. It may be sent there only as a trial.
func (v Verdict) Suspected(service uint64) bool { return slices.Contains(v.suspected, service) }

// RefusedAt reports whether the request may not be sent to a service any more.
func (v Verdict) RefusedAt(service uint64) bool {
	return v.Refused || slices.Contains(v.refused, service)
}

// Suspect reports whether the request is suspected at any service.
func (v Verdict) Suspect() bool { return len(v.suspected) > 0 }

// Check returns how a request is to be handled.
func (t *Table) Check(now time.Time, f Fingerprint) Verdict {
	e := t.entries[f]
	if e == nil || now.Sub(e.updatedAt) >= Duration {
		return Verdict{}
	}
	if now.Before(e.refusedUntil) {
		return Verdict{Refused: true, RetryAfter: e.refusedUntil.Sub(now)}
	}
	e.forget(now)
	v := Verdict{Survived: e.survived()}
	for _, c := range e.crashes {
		if v.Suspected(c.Service) {
			continue
		}
		v.suspected = append(v.suspected, c.Service)
		if e.crashedTrials(func(o Crash) bool { return o.Service == c.Service }) >= requiredTrials {
			v.refused = append(v.refused, c.Service)
		}
	}
	return v
}

// survived reports whether the newest answer is newer than the newest crash.
func (e *entry) survived() bool {
	return len(e.crashes) == 0 || e.lastAnswer().After(e.crashes[len(e.crashes)-1].At)
}

func (e *entry) lastAnswer() time.Time {
	var last time.Time
	for _, a := range e.answers {
		if a.At.After(last) {
			last = a.At
		}
	}
	return last
}

// StartTrial begins a trial of a suspected request at a service, and returns its ID. It
// returns 0, and when to ask again, while another trial runs or the last crash of one is too
// recent.
func (t *Table) StartTrial(now time.Time, f Fingerprint, service uint64) (id uint64, wait time.Duration) {
	e := t.entries[f]
	if e != nil {
		wait = e.trialWait(now, service)
	}
	if wait > 0 {
		return 0, wait
	}
	t.lastTrial++
	if e != nil {
		e.trial, e.trialUntil = t.lastTrial, now.Add(trialTimeout)
	}
	return t.lastTrial, 0
}

// trialWait returns the time until the next trial at a service may start; 0 or less if it
// may now. A request that other services answer waits only for the crashes of this one.
func (e *entry) trialWait(now time.Time, service uint64) time.Duration {
	var wait time.Duration
	if e.trial != 0 {
		wait = e.trialUntil.Sub(now)
	}
	survived := e.survived()
	for _, c := range e.crashes {
		if c.Trial && (!survived || c.Service == service) {
			wait = max(wait, c.At.Add(trialBackoff+e.jitter).Sub(now))
		}
	}
	return wait
}

// EndTrial ends a trial.
func (t *Table) EndTrial(f Fingerprint, id uint64) {
	if e := t.entries[f]; e != nil && e.trial == id {
		e.trial = 0
	}
}

// RecordCrash records that a replica crashed while it ran a request. It reports whether that
// is new, and whether the request is quarantined because of it.
func (t *Table) RecordCrash(now time.Time, f Fingerprint, c Crash) (changed, quarantined bool) {
	if t.explained(now, f, c.Replica) {
		return false, false
	}
	e := t.entries[f]
	if e == nil {
		e = &entry{}
		t.add(now, f, e)
	}
	e.forget(now)
	if !e.addCrash(c) {
		return false, false
	}
	e.updatedAt = now
	return true, t.quarantineIfProven(now, f, e)
}

// RecordAnswer records that a replica of a service has run a request to its end. It reports
// whether that removed a suspicion.
func (t *Table) RecordAnswer(now time.Time, f Fingerprint, service uint64) bool {
	e := t.entries[f]
	if e == nil {
		return false
	}
	return e.addAnswer(Answer{Service: service, At: now})
}

// Refuse quarantines a request that another node has quarantined. It reports whether that is
// new.
func (t *Table) Refuse(now time.Time, f Fingerprint, until time.Time) bool {
	until = earlier(until, now.Add(Duration))
	e := t.entries[f]
	if e == nil {
		e = &entry{}
		t.add(now, f, e)
	}
	if !until.After(now) || now.Before(e.refusedUntil) {
		return false
	}
	t.quarantine(now, f, e, until)
	return true
}

// explained reports whether a quarantined request accounts for the crash of a replica. Other
// requests that ran there at that time are not suspected because of it.
func (t *Table) explained(now time.Time, f Fingerprint, replica uint64) bool {
	for other, e := range t.entries {
		if other != f && now.Before(e.refusedUntil) && e.crashed(replica) {
			return true
		}
	}
	return false
}

func (e *entry) crashed(replica uint64) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Replica == replica })
}

// quarantineIfProven quarantines a request with enough crashes during trials that no service
// has answered since, and reports whether it did.
func (t *Table) quarantineIfProven(now time.Time, f Fingerprint, e *entry) bool {
	last := e.lastAnswer()
	unanswered := func(c Crash) bool { return c.At.After(last) }
	if now.Before(e.refusedUntil) || e.crashedTrials(unanswered) < requiredTrials {
		return false
	}
	t.quarantine(now, f, e, now.Add(Duration))
	return true
}

func (t *Table) quarantine(now time.Time, f Fingerprint, e *entry, until time.Time) {
	e.refusedUntil, e.updatedAt = until, now
	for other, o := range t.entries {
		if other != f && !now.Before(o.refusedUntil) {
			o.crashes = slices.DeleteFunc(o.crashes, func(c Crash) bool { return e.crashed(c.Replica) })
		}
	}
}

// crashedTrials counts the included crashes during trials that are trialSpacing apart.
func (e *entry) crashedTrials(include func(Crash) bool) int {
	n := 0
	var last time.Time
	for _, c := range e.crashes {
		if c.Trial && include(c) && (n == 0 || c.At.Sub(last) >= trialSpacing) {
			n++
			last = c.At
		}
	}
	return n
}

// forget removes the crashes that are older than Duration.
func (e *entry) forget(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return now.Sub(c.At) >= Duration })
}

// addCrash adds a crash and reports whether it is new. Crashes are kept in order of time.
func (e *entry) addCrash(c Crash) bool {
	if slices.Contains(e.refuted, c.Replica) {
		return false
	}
	for _, a := range e.answers {
		if a.Service == c.Service && !c.At.After(a.At) {
			e.refute(c)
			return false
		}
	}
	for i := range e.crashes {
		if known := &e.crashes[i]; known.Replica == c.Replica {
			changed := c.Trial && !known.Trial
			known.Trial = known.Trial || c.Trial
			return changed
		}
	}
	if len(e.crashes) >= MaxCrashes {
		if !c.Trial {
			return false
		}
		e.dropOldest()
	}
	i, _ := slices.BinarySearchFunc(e.crashes, c.At, func(c Crash, at time.Time) int { return c.At.Compare(at) })
	e.crashes = slices.Insert(e.crashes, i, c)
	return true
}

// dropOldest removes the oldest crash, if possible one that is not of a trial.
func (e *entry) dropOldest() {
	i := max(0, slices.IndexFunc(e.crashes, func(c Crash) bool { return !c.Trial }))
	e.refute(e.crashes[i])
	e.crashes = slices.Delete(e.crashes, i, i+1)
}

// refute records that a crash no longer counts. One start of a replica crashes at most once.
func (e *entry) refute(c Crash) {
	if len(e.refuted) >= maxRefuted {
		e.refuted = slices.Delete(e.refuted, 0, 1)
	}
	e.refuted = append(e.refuted, c.Replica)
}

// addAnswer adds an answer, removes the crashes that it refutes, and reports whether there
// were any. With MaxCrashes answers, it replaces the oldest.
func (e *entry) addAnswer(a Answer) bool {
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool {
		refuted := c.Service == a.Service && !c.At.After(a.At)
		if refuted {
			e.refute(c)
		}
		return refuted
	})
	i := slices.IndexFunc(e.answers, func(known Answer) bool { return known.Service == a.Service })
	if i < 0 && len(e.answers) >= MaxCrashes {
		i = e.oldestAnswer()
	}
	switch {
	case i < 0:
		e.answers = append(e.answers, a)
	case a.At.After(e.answers[i].At):
		e.answers[i] = a
	}
	return len(e.crashes) < before
}

// oldestAnswer returns the index of the oldest answer.
func (e *entry) oldestAnswer() int {
	oldest := 0
	for i, a := range e.answers {
		if a.At.Before(e.answers[oldest].At) {
			oldest = i
		}
	}
	return oldest
}

// add adds an entry, and removes expired ones first. A full table loses the entry that was
// updated longest ago, if possible one that is not quarantined.
func (t *Table) add(now time.Time, f Fingerprint, e *entry) {
	if len(t.entries) >= maxEntries {
		t.Expire(now)
	}
	if len(t.entries) >= maxEntries {
		var oldest Fingerprint
		var found *entry
		for other, o := range t.entries {
			if found == nil || evictBefore(now, o, found) {
				oldest, found = other, o
			}
		}
		delete(t.entries, oldest)
	}
	e.updatedAt = now
	e.jitter = time.Duration(t.rng.Int64N(int64(trialJitter)))
	t.entries[f] = e
}

// evictBefore reports whether a is removed from a full table before b.
func evictBefore(now time.Time, a, b *entry) bool {
	if ra, rb := now.Before(a.refusedUntil), now.Before(b.refusedUntil); ra != rb {
		return rb
	}
	return a.updatedAt.Before(b.updatedAt)
}

// Expire removes the requests whose quarantine has ended and under which no replica has
// crashed for Duration.
func (t *Table) Expire(now time.Time) {
	for f, e := range t.entries {
		if now.Sub(e.updatedAt) >= Duration && !now.Before(e.refusedUntil) {
			delete(t.entries, f)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
