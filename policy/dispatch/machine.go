package dispatch

import (
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// DefaultMaxSends bounds how often one request is sent, refusals included. A
	// shard of 3 replicas has 4 rounds.
	DefaultMaxSends = 12
	// DefaultCompletionTimeout is how long a settle is retried before the claim stays
	// PENDING for good.
	DefaultCompletionTimeout = 10 * time.Minute
	// DefaultMaxResultBytes is the largest result kept in a claim.
	DefaultMaxResultBytes = 64 << 10

	// maxClaims bounds the rounds at the platform before the first send. Each one
	// after the first answers a race, a lost answer or a read from the past, so
	// more rounds mean that the platform is of no use now.
	maxClaims = 4

	// maxRounds bounds the rounds over a shard's replicas, firstRoundWait is the
	// wait before the second; it doubles. All waits together are 620 ms, about
	// what a change of owners takes.
	maxRounds      = 6
	firstRoundWait = 20 * time.Millisecond

	// platformRetryAfter, pendingRetryAfter and replicaRetryAfter are when a
	// caller should come back, by what it waits for.
	platformRetryAfter = time.Second
	pendingRetryAfter  = time.Second
	replicaRetryAfter  = 200 * time.Millisecond
)

// Params of one request.
type Params struct {
	// RequestID is unique across nodes and restarts.
	RequestID string
	// Keyed: the caller gave an idempotency key, so a claim goes first.
	Keyed bool
	// Digest is what the caller asked for; see Digest.
	Digest string
	// Deadline after which nothing is sent.
	Deadline time.Time
	// ClaimedAt is the wall-clock time in seconds that the claim shows operators.
	ClaimedAt int64
	// MaxSends, SettleFor and MaxResultBytes take the defaults when 0.
	MaxSends          int
	CompletionTimeout time.Duration
	MaxResultBytes    int
}

type phase int

const (
	_ phase = iota
	// phaseClaiming waits for a Claim or for a ReadClaim that settles its doubt.
	phaseClaiming
	phasePicking
	phaseSending
	// phaseSettling writes the final claim.
	phaseSettling
	// phaseAbandoning removes the doubt about a claim whose answer was lost,
	// after the caller was told that nothing was sent.
	phaseAbandoning
	phaseDone
)

// Machine is the state of one request.
type Machine struct {
	p     Params
	phase phase

	// held: the claim is ours, at revision.
	held     bool
	revision uint64
	// doubt: a Claim may have taken effect, or still do so, unknown to us. at is
	// the revision that the latest Claim was tried on; it only rises. claims
	// counts the tries to get an answer out of the platform.
	doubt  bool
	at     uint64
	claims int

	// tried holds the replicas that refused in this round, reason why the last one
	// did.
	tried   []string
	attempt int
	round   int
	reason  pb.Reason

	finished bool
	// final is what the claim will say.
	final     Outcome
	settling  time.Time
	settleTry int
	// unsettled: the platform did not take the final claim within SettleFor.
	unsettled bool
}

// New returns the machine of one request.
func New(p Params) *Machine {
	if p.MaxSends == 0 {
		p.MaxSends = DefaultMaxSends
	}
	if p.CompletionTimeout == 0 {
		p.CompletionTimeout = DefaultCompletionTimeout
	}
	if p.MaxResultBytes == 0 {
		p.MaxResultBytes = DefaultMaxResultBytes
	}
	return &Machine{p: p}
}

// Start returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	if m.p.Keyed {
		return m.claim(0)
	}
	return m.pick(now)
}

// Done reports that no action is outstanding and none will come.
func (m *Machine) Done() bool { return m.phase == phaseDone }

// ClaimResolved reports that no claim of this request can be left in doubt.
func (m *Machine) ClaimResolved() bool { return m.phase == phaseDone && !m.unsettled }

// Step takes an event and returns what to do. An event that answers nothing
// outstanding is dropped.
func (m *Machine) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case ClaimWritten:
		return m.written(now, e)
	case ClaimRead:
		return m.read(now, e)
	case Picked:
		return m.picked(now, e)
	case Replied:
		return m.replied(now, e)
	case Cancelled:
		return m.givenUp(e)
	}
	return nil
}

func (m *Machine) written(now time.Time, e ClaimWritten) []Action {
	switch m.phase {
	case phaseClaiming:
		return m.claimWritten(now, e)
	case phaseSettling:
		return m.settleWritten(now, e)
	case phaseAbandoning:
		return m.abandonWritten(now, e)
	}
	return nil
}

func (m *Machine) read(now time.Time, e ClaimRead) []Action {
	switch m.phase {
	case phaseClaiming:
		return m.claimRead(now, e)
	case phaseAbandoning:
		return m.abandonRead(now, e)
	}
	return nil
}

// pick goes for a replica while there is time and a try left. Nothing has run
// when it is called.
func (m *Machine) pick(now time.Time) []Action {
	switch {
	case m.finished:
		return m.end(now, m.notRun(m.reason))
	case !now.Before(m.p.Deadline):
		return m.end(now, m.notRun(pb.Reason_REASON_DEADLINE))
	case m.attempt == m.p.MaxSends:
		return m.end(now, m.notRun(m.reason))
	}
	m.phase = phasePicking
	return []Action{Pick{Tried: slices.Clone(m.tried)}}
}

func (m *Machine) picked(now time.Time, e Picked) []Action {
	if m.phase != phasePicking {
		return nil
	}
	// A process that was paused up to here finds out before it sends: the
	// deadline, on the monotonic clock, is over, and its caller has been told.
	switch {
	case m.finished:
		return m.end(now, m.notRun(m.reason))
	case !now.Before(m.p.Deadline):
		return m.end(now, m.notRun(pb.Reason_REASON_DEADLINE))
	case e.Replica == "":
		return m.nextRound(now, m.bestReason(e.Reason))
	}
	m.phase = phaseSending
	m.attempt++
	m.tried = append(m.tried, e.Replica)
	return []Action{Send{Replica: e.Replica, Attempt: m.attempt}}
}

// nextRound tries every replica again after a wait, if what stood in the way is
// likely to pass: owners change while nodes are replaced, and their replicas are
// cold to the new owner for a moment. Where load is the cause, trying again would
// add to it.
func (m *Machine) nextRound(now time.Time, why pb.Reason) []Action {
	wait := firstRoundWait << m.round
	if !passes(why) || m.round+1 == maxRounds || !now.Add(wait).Before(m.p.Deadline) {
		return m.end(now, m.notRun(why))
	}
	m.round++
	m.reason = why
	m.tried = nil
	m.phase = phasePicking
	return []Action{Pick{Delay: wait}}
}

// passes reports whether a reason comes from a change in the fleet rather than
// from load.
func passes(why pb.Reason) bool {
	switch why {
	case pb.Reason_REASON_COLD,
		pb.Reason_REASON_NOT_OWNER,
		pb.Reason_REASON_PEER,
		pb.Reason_REASON_CONNECTION,
		pb.Reason_REASON_LEAVING,
		pb.Reason_REASON_NO_REPLICA:
		return true
	}
	return false
}

// bestReason prefers why the last replica refused to the fact that no further
// one is left.
func (m *Machine) bestReason(none pb.Reason) pb.Reason {
	if len(m.tried) > 0 {
		return m.reason
	}
	if none == pb.Reason_REASON_UNSPECIFIED {
		return pb.Reason_REASON_NO_REPLICA
	}
	return none
}

func (m *Machine) replied(now time.Time, e Replied) []Action {
	if m.phase != phaseSending || e.Attempt != m.attempt {
		return nil
	}
	if e.Evidence == pb.Evidence_EVIDENCE_NOT_RUN {
		if !m.finished {
			m.reason = e.Reason
		}
		return m.pick(now)
	}
	o := Outcome{
		RequestID: m.p.RequestID,
		Evidence:  e.Evidence,
		Reason:    e.Reason,
		Sent:      true,
	}
	if e.Evidence == pb.Evidence_EVIDENCE_RAN {
		o.Result = e.Result
	}
	return m.end(now, o)
}

// givenUp answers the caller at once. What is outstanding goes on, so that the
// claim ends with what really happened.
func (m *Machine) givenUp(e Cancelled) []Action {
	if m.finished || m.phase == phaseDone {
		return nil
	}
	m.reason = e.Reason
	o := m.notRun(e.Reason)
	if m.phase == phaseSending {
		o = m.unknown(e.Reason)
	}
	return m.tell(o)
}

// notRun is the outcome while no send can have run. Before the claim is held,
// an earlier submission with the same key may have run.
func (m *Machine) notRun(reason pb.Reason) Outcome {
	o := Outcome{
		RequestID:  m.p.RequestID,
		Evidence:   pb.Evidence_EVIDENCE_NOT_RUN,
		Reason:     reason,
		RetryAfter: replicaRetryAfter,
	}
	if m.p.Keyed && !m.held {
		o.Evidence = pb.Evidence_EVIDENCE_UNKNOWN
		o.RetryAfter = platformRetryAfter
	}
	return o
}

// unknown is the outcome while a send is outstanding. A keyed caller may come
// back for what the claim will say.
func (m *Machine) unknown(reason pb.Reason) Outcome {
	o := Outcome{
		RequestID: m.p.RequestID,
		Evidence:  pb.Evidence_EVIDENCE_UNKNOWN,
		Reason:    reason,
		Sent:      true,
	}
	if m.p.Keyed {
		o.RetryAfter = pendingRetryAfter
	}
	return o
}

// tell gives the caller its answer, once.
func (m *Machine) tell(o Outcome) []Action {
	m.finished = true
	return []Action{Finish{Outcome: o}}
}

// end answers the caller, if nobody has, and settles the claim if one is held.
func (m *Machine) end(now time.Time, o Outcome) []Action {
	var actions []Action
	if m.finished {
		actions = []Action{Revise{Outcome: o}}
	} else {
		actions = m.tell(o)
	}
	if !m.held {
		m.phase = phaseDone
		return actions
	}
	m.phase = phaseSettling
	m.final = o
	m.settling = now
	return append(actions, m.settle(0))
}
