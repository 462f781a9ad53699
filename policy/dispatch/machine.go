package dispatch

import (
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// DefaultMaxSends bounds the sends of one request, including refused ones. It
	// allows 4 rounds over a shard of 3 replicas.
	DefaultMaxSends = 12
	// DefaultCompletionTimeout bounds the retries of the final write of a claim.
	// After it the claim stays PENDING.
	DefaultCompletionTimeout = 10 * time.Minute
	// DefaultMaxResultBytes is the largest result that is stored in a claim.
	DefaultMaxResultBytes = 64 << 10

	// maxClaimRounds bounds the rounds of claiming before the first send. Each
	// further round follows a race, a lost reply or a stale read. After the last
	// round the platform is treated as unavailable.
	maxClaimRounds = 4

	// maxRounds bounds the rounds over a shard's replicas. firstRoundWait is the wait
	// before the second round and doubles for each later one. All waits together are
	// 620 ms, about the duration of a change of owners.
	maxRounds      = 6
	firstRoundWait = 20 * time.Millisecond

	// platformRetryAfter, pendingRetryAfter and replicaRetryAfter are the retry
	// delays reported to a caller when the platform, a pending claim or a replica is
	// the cause.
	platformRetryAfter = time.Second
	pendingRetryAfter  = time.Second
	replicaRetryAfter  = 200 * time.Millisecond
)

// Params are the parameters of one request.
type Params struct {
	// RequestID is unique across nodes and restarts.
	RequestID string
	// Keyed is set if the request has an idempotency key and so needs a claim.
	Keyed bool
	// Digest is the value of the function Digest for the request.
	Digest string
	// Deadline is the time after which nothing is sent.
	Deadline time.Time
	// ClaimedAt is the wall-clock time, in seconds, that is stored in the claim for
	// operators.
	ClaimedAt int64
	// MaxSends, CompletionTimeout and MaxResultBytes take the defaults if 0.
	MaxSends          int
	CompletionTimeout time.Duration
	MaxResultBytes    int
}

type phase int

const (
	_ phase = iota
	// phaseClaiming waits for the result of a Claim, or of a ReadClaim that resolves
	// an uncertain Claim.
	phaseClaiming
	phasePicking
	phaseSending
	// phaseCompleting writes the final claim.
	phaseCompleting
	// phaseResolving resolves an uncertain claim of a request that was never sent,
	// after the caller has been answered.
	phaseResolving
	phaseDone
)

// Machine is the state of one request.
type Machine struct {
	p     Params
	phase phase

	// held is set once this request holds the claim. revision is that of the held claim,
	// or the one at which resolveRead writes.
	held     bool
	revision uint64
	// uncertain is set while a Claim may have taken effect, or may still do so.
	// triedRevision is the revision of the latest Claim; it only rises. claimRounds
	// counts the Claims and repeated reads.
	uncertain     bool
	triedRevision uint64
	claimRounds   int

	// tried holds the replicas that refused in this round. reason is the reason of
	// the last refusal or of the cancellation.
	tried   []string
	attempt int
	round   int
	reason  pb.Reason

	finished bool
	// finalOutcome is the outcome that the final claim stores.
	finalOutcome       Outcome
	completionStart    time.Time
	completionAttempts int
	// unresolved is set if the final write did not succeed within CompletionTimeout.
	unresolved bool
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

// Done reports whether no action is outstanding and none will follow.
func (m *Machine) Done() bool { return m.phase == phaseDone }

// ClaimResolved reports whether the machine is done and left no claim of this request
// uncertain or PENDING.
func (m *Machine) ClaimResolved() bool { return m.phase == phaseDone && !m.unresolved }

// Step applies an event and returns the next actions. It ignores an event that does
// not match the outstanding action.
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
		return m.cancelled(e)
	}
	return nil
}

func (m *Machine) written(now time.Time, e ClaimWritten) []Action {
	switch m.phase {
	case phaseClaiming:
		return m.claimWritten(now, e)
	case phaseCompleting:
		return m.completionWritten(now, e)
	case phaseResolving:
		return m.resolveWritten(now, e)
	}
	return nil
}

func (m *Machine) read(now time.Time, e ClaimRead) []Action {
	switch m.phase {
	case phaseClaiming:
		return m.claimRead(now, e)
	case phaseResolving:
		return m.resolveRead(now, e)
	}
	return nil
}

// pick requests a replica if the deadline and the limit on sends allow another send.
// No send of this request has run when pick is called.
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
	// A process may have been paused before this point. The check against the
	// monotonic clock prevents a send after the deadline, when the caller has already
	// been answered.
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

// nextRound tries every replica again after a wait if the reason is transient. Owners
// change while nodes are replaced, and replicas are then cold for their new owner. A
// retry under overload would add load, so the request ends instead.
func (m *Machine) nextRound(now time.Time, reason pb.Reason) []Action {
	wait := firstRoundWait << m.round
	if !isTransient(reason) || m.round+1 == maxRounds || !now.Add(wait).Before(m.p.Deadline) {
		return m.end(now, m.notRun(reason))
	}
	m.round++
	m.reason = reason
	m.tried = nil
	m.phase = phasePicking
	return []Action{Pick{Delay: wait}}
}

// isTransient reports whether a reason results from a change in the fleet rather than
// from load.
func isTransient(reason pb.Reason) bool {
	switch reason {
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

// bestReason returns the reason of the last refusal if a replica was tried, and
// otherwise the reason why no replica is available.
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

// cancelled answers the caller immediately. The outstanding action continues, so that
// the claim records the actual outcome.
func (m *Machine) cancelled(e Cancelled) []Action {
	if m.finished || m.phase == phaseDone {
		return nil
	}
	m.reason = e.Reason
	o := m.notRun(e.Reason)
	if m.phase == phaseSending {
		o = m.unknown(e.Reason)
	}
	return m.answer(o)
}

// notRun returns the outcome of a request of which no send can have run. Before the
// claim is held, the evidence is UNKNOWN because an earlier submission with the same
// key may have run.
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

// unknown returns the outcome while a send is outstanding. A caller with an
// idempotency key may retry to read the outcome from the claim.
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

// answer returns the outcome to the caller. It is called once.
func (m *Machine) answer(o Outcome) []Action {
	m.finished = true
	return []Action{Finish{Outcome: o}}
}

// end answers the caller, or revises the outcome if the caller has been answered. It
// completes the claim if it is held.
func (m *Machine) end(now time.Time, o Outcome) []Action {
	var actions []Action
	if m.finished {
		actions = []Action{Revise{Outcome: o}}
	} else {
		actions = m.answer(o)
	}
	if !m.held {
		m.phase = phaseDone
		return actions
	}
	m.phase = phaseCompleting
	m.finalOutcome = o
	m.completionStart = now
	return append(actions, m.completeClaim(0))
}
