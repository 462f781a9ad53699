package observation

import (
	"slices"
	"time"

	"github.com/carobmill/carobmill/policy/load"
)

const (
	// windowLength is the time after which the counts of attempts start anew. Those of the
	// window before still count.
	windowLength = time.Second
	// certainAttempts and certainShare are the attempts and the share of failures, or of
	// successes, from which the next outcome is nearly certain.
	certainAttempts = 4
	certainShare    = 0.9
	// silenceMemory is how long a silence counts after the last attempt was given up.
	silenceMemory = 500 * time.Millisecond
	// nearlyAsNew is the age by which a node's own observation may exceed a received one and
	// still takes precedence.
	nearlyAsNew = 50 * time.Millisecond
	// reachedWithin is the age of the last answer of a data centre up to which the node
	// counts as able to reach its replicas.
	reachedWithin = 500 * time.Millisecond
)

// window counts recent attempts and failures.
type window struct {
	start                time.Time
	attempts, failures   int
	attempts0, failures0 int
}

// add counts an attempt and, if it failed, a failure.
func (w *window) add(now time.Time, failed bool) {
	w.rotate(now)
	w.attempts++
	if failed {
		w.failures++
	}
}

func (w *window) rotate(now time.Time) {
	switch passed := now.Sub(w.start); {
	case passed >= 2*windowLength:
		*w = window{start: now}
	case passed >= windowLength:
		*w = window{start: w.start.Add(windowLength), attempts0: w.attempts, failures0: w.failures}
	}
}

// sums returns the attempts and failures of both windows.
func (w *window) sums(now time.Time) (attempts, failures int) {
	w.rotate(now)
	return w.attempts + w.attempts0, w.failures + w.failures0
}

// observed is what this node knows about one replica.
type observed struct {
	dataCentre string
	report     load.Report
	reportAt   time.Time
	window     window
	// at is the time of the last outcome, and answeredAt that of the last answer.
	at, answeredAt time.Time
	// pending counts the attempts in flight. waitingSince is when the first attempt since the
	// last answer was sent, and abandonedAt when the last one ended without an answer.
	pending                   int
	waitingSince, abandonedAt time.Time
	// sentAt is when this node last sent its observation.
	sentAt time.Time
	// delivered is what the collector knows: what it sent or what this node sent it last.
	delivered *Observation
	// received is the newest observation of other nodes.
	received *Observation
}

// Table holds what one node has observed of replicas and what it has received. Not safe for
// concurrent use.
type Table struct {
	replicas map[string]*observed
	// recent holds the replicas with attempts lately.
	recent map[string]*observed
	// answeredAt is the time of the last answer from a replica of each data centre.
	answeredAt map[string]time.Time
	agreement  agreement
	counts     Counts
	lastAge    time.Duration
}

// Counts counts observations since the start.
type Counts struct {
	// Sent and Received count all. Used are those received that changed a decision's input;
	// Unknown, Old, Superseded and Distrusted were dropped.
	Sent, Received, Used, Unknown, Old, Superseded, Distrusted uint64
}

// NewTable returns a table without replicas.
func NewTable() *Table {
	return &Table{
		replicas: make(map[string]*observed), recent: make(map[string]*observed), answeredAt: make(map[string]time.Time),
	}
}

// SetReplicas sets the known replicas, with the data centre of each by ID.
func (t *Table) SetReplicas(dataCentres map[string]string) {
	for id := range t.replicas {
		if _, ok := dataCentres[id]; !ok {
			delete(t.replicas, id)
			delete(t.recent, id)
		}
	}
	for id, dc := range dataCentres {
		if r := t.replicas[id]; r == nil {
			t.replicas[id] = &observed{dataCentre: dc}
		} else {
			r.dataCentre = dc
		}
	}
}

// Sent records that this node sent an attempt to a replica.
func (t *Table) Sent(now time.Time, id string) {
	r := t.replicas[id]
	if r == nil {
		return
	}
	t.recent[id] = r
	r.pending++
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
}

// Outcome is how an attempt of this node ended.
type Outcome int

// Outcomes.
const (
	// Answered: the replica answered the request.
	Answered Outcome = iota
	// Refused: the replica refused or failed the request, or cannot be reached.
	Refused
	// Unanswered: the node no longer waits for the answer.
	Unanswered
	// Unsent: the attempt was not sent.
	Unsent
)

// Ended records the end of an attempt at a replica, with the report of its answer and the age
// of that.
func (t *Table) Ended(now time.Time, id string, outcome Outcome, report load.Report, age time.Duration) {
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.pending = max(r.pending-1, 0)
	if outcome == Unsent {
		if r.pending == 0 && r.abandonedAt.Before(r.waitingSince) {
			r.waitingSince = time.Time{}
		}
		return
	}
	if outcome == Unanswered {
		r.abandonedAt = now
		return
	}
	t.compareOutcome(now, r, outcome)
	r.at = now
	r.window.add(now, outcome == Refused)
	r.answered(now)
	if outcome == Answered || report.Known() {
		r.answeredAt = now
		t.answeredAt[r.dataCentre] = now
	}
	t.report(r, report, now.Add(-age))
}

// Reported records a report of a replica that answered an attempt which this node sent for
// another one.
func (t *Table) Reported(now time.Time, id string, report load.Report, age time.Duration) {
	r := t.replicas[id]
	if r == nil || !report.Known() {
		return
	}
	t.recent[id] = r
	at := now.Add(-age)
	if at.After(r.at) {
		r.at = at
	}
	t.report(r, report, at)
}

// report replaces the replica's report by a newer one.
func (t *Table) report(r *observed, report load.Report, at time.Time) {
	if report.Known() && at.After(r.reportAt) {
		t.compare(r, report, at)
		r.report, r.reportAt = report, at
	}
}

// answered ends the time without an answer. Attempts in flight start a new one.
func (r *observed) answered(now time.Time) {
	r.waitingSince = time.Time{}
	if r.pending > 0 {
		r.waitingSince = now
	}
}

// compare compares a new report of a replica with what other nodes said about it, and
// adjusts how far this node trusts them.
func (t *Table) compare(r *observed, report load.Report, at time.Time) {
	o := r.received
	if o == nil || !o.Load.Paced() || !report.Paced() || !closeInTime(at, o.LoadAt) {
		return
	}
	t.agreement.record((report.Pace >= slowPace) == (o.Load.Pace >= slowPace))
}

// compareOutcome compares an outcome with the share of failures that other nodes observed, if
// that is nearly certain.
func (t *Table) compareOutcome(now time.Time, r *observed, outcome Outcome) {
	o := r.received
	if o == nil || o.Attempts < certainAttempts || now.Sub(o.At) > windowLength {
		return
	}
	if share := o.FailureShare(); share <= 1-certainShare || share >= certainShare {
		t.agreement.record((outcome == Refused) == (share >= certainShare))
	}
}

// own returns this node's observation of a replica.
func (t *Table) own(now time.Time, id string, r *observed) Observation {
	o := Observation{Replica: id, Load: r.report, LoadAt: r.reportAt, At: r.at}
	o.Attempts, o.Failures = r.window.sums(now)
	if now.Sub(o.LoadAt) >= MaxAge {
		o.Load, o.LoadAt = load.Report{}, time.Time{}
	}
	if s := t.silence(now, r); s >= silentAfter {
		o.Silent, o.At = s, now
		// An answer since the last attempt is unlikely, and old reports say nothing now.
		o.Load, o.LoadAt = load.Report{}, time.Time{}
	}
	return o
}

// silence returns how long a replica has not answered although attempts were waiting. It is 0
// while the node reaches no replica of that data centre.
func (t *Table) silence(now time.Time, r *observed) time.Duration {
	if r.waitingSince.IsZero() || now.Sub(t.answeredAt[r.dataCentre]) > reachedWithin {
		return 0
	}
	until := now
	if r.pending == 0 {
		until = r.abandonedAt
		if now.Sub(until) > silenceMemory {
			return 0
		}
	}
	return until.Sub(r.waitingSince)
}

// Outgoing returns up to limit observations that the collector does not know, the most recent
// first.
// An isolated node passes on no silence.
func (t *Table) Outgoing(now time.Time, isolated bool, limit int) []Observation {
	var list []Observation
	for id, r := range t.recent {
		o := t.own(now, id, r)
		switch {
		case o.Expired(now):
			if r.pending == 0 {
				delete(t.recent, id)
			}
		case o.silent() && isolated || !t.isNew(now, r, &o):
		default:
			if o.pace(now) < slowPace && (r.delivered == nil || r.delivered.pace(now) < slowPace) {
				// The collector assumes the usual pace.
				o.Load, o.LoadAt = load.Report{}, time.Time{}
			}
			list = append(list, o)
		}
	}
	return newestFirst(list, limit)
}

// isNew reports whether the collector lacks an observation of this node.
func (t *Table) isNew(now time.Time, r *observed, o *Observation) bool {
	if r.delivered != nil && !o.At.After(r.delivered.At) {
		return false
	}
	if o.differs(now, r.delivered) {
		return true
	}
	if r.delivered == nil {
		return false
	}
	refresh := now.Sub(r.delivered.At) >= o.refreshAfter(now) && o.unusual(now)
	return refresh || o.adds(r.delivered) && r.at.After(r.sentAt) && now.Sub(r.sentAt) >= refreshSlow
}

// newestFirst sorts observations and returns the first ones up to limit.
func newestFirst(list []Observation, limit int) []Observation {
	slices.SortFunc(list, func(a, b Observation) int {
		if c := b.At.Compare(a.At); c != 0 {
			return c
		}
		if a.Replica < b.Replica {
			return -1
		}
		return 1
	})
	return list[:min(len(list), limit)]
}

// Delivered records that the collector has received observations of this node, sent at about
// now.
func (t *Table) Delivered(now time.Time, list []Observation) {
	t.counts.Sent += uint64(len(list))
	for i := range list {
		if r := t.replicas[list[i].Replica]; r != nil {
			r.delivered, r.sentAt = &list[i], now
		}
	}
}

// ForgetDelivered makes the table send everything again, after another collector took over.
func (t *Table) ForgetDelivered() {
	for _, r := range t.replicas {
		r.delivered = nil
	}
}

// Receive applies observations of the collector, and returns those that this node's balancers
// use: the others are malformed, old, about unknown replicas, or contradicted by this node.
func (t *Table) Receive(now time.Time, list []Observation) []Observation {
	t.counts.Received += uint64(len(list))
	var used []Observation
	for i := range list {
		o := &list[i]
		r := t.replicas[o.Replica]
		switch {
		case r == nil:
			t.counts.Unknown++
			continue
		case o.Expired(now):
			t.counts.Old++
			continue
		}
		r.delivered, r.received = o, o
		t.lastAge = now.Sub(o.At)
		if !t.agreement.sufficient() {
			t.counts.Distrusted++
			continue
		}
		if u, ok := r.precede(now, *o); ok {
			used = append(used, u)
			t.counts.Used++
		} else {
			t.counts.Superseded++
		}
	}
	return used
}

// precede returns the parts of a received observation over which this node's own do not take
// precedence. ok is false if nothing remains.
func (r *observed) precede(now time.Time, o Observation) (left Observation, ok bool) {
	if !o.LoadAt.After(r.reportAt.Add(nearlyAsNew)) {
		o.Load, o.LoadAt = load.Report{}, time.Time{}
	}
	if attempts, _ := r.window.sums(now); attempts > 0 && !o.At.After(r.at.Add(nearlyAsNew)) {
		o.Attempts, o.Failures = 0, 0
	}
	if !o.At.After(r.answeredAt.Add(nearlyAsNew)) {
		o.Silent = 0
	}
	return o, o.Load.Known() || o.Attempts > 0 || o.Silent > 0
}

// Counts returns the counts since the start, and the age of the last received observation.
func (t *Table) Counts() (Counts, time.Duration) { return t.counts, t.lastAge }

// Trusted reports whether received observations agree with those of this node.
func (t *Table) Trusted() bool { return t.agreement.sufficient() }
