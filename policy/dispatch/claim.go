package dispatch

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// claim tries to write a pending claim at the given revision.
func (m *Machine) claim(revision uint64) []Action {
	m.phase = phaseClaiming
	m.claimRounds++
	m.triedRevision = revision
	return []Action{Claim{Revision: revision, Value: m.pending()}}
}

func (m *Machine) pending() *pb.Claim {
	return &pb.Claim{
		RequestId: m.p.RequestID,
		Digest:    m.p.Digest,
		State:     pb.ClaimState_CLAIM_STATE_PENDING,
		ClaimedAt: m.p.ClaimedAt,
	}
}

func (m *Machine) claimWritten(now time.Time, e ClaimWritten) []Action {
	switch e.Result {
	case WriteDone:
		return m.claimHeld(now, e.Revision)
	case WriteUncertain, WriteConflict:
		// A conflict is as uncertain as a lost reply. The write may have been
		// duplicated in transit, and the conflict may be the reply to the second
		// copy.
		m.uncertain = true
		return m.readClaim(now)
	default:
		return m.platformUnavailable(now)
	}
}

func (m *Machine) readClaim(now time.Time) []Action {
	if m.finished {
		return m.resolveClaim(now)
	}
	return []Action{ReadClaim{}}
}

// claimHeld continues after the claim is confirmed to belong to this request.
func (m *Machine) claimHeld(now time.Time, revision uint64) []Action {
	m.held = true
	m.uncertain = false
	m.revision = revision
	return m.pick(now)
}

func (m *Machine) claimRead(now time.Time, e ClaimRead) []Action {
	if m.finished {
		return m.resolveClaim(now)
	}
	switch {
	case e.Result == ReadFailed:
		return m.platformUnavailable(now)
	case m.isStale(e):
		return m.retryRead(now)
	case e.Result == ReadAbsent:
		return m.retryClaim(now, 0)
	}
	if e.Claim.GetRequestId() != m.p.RequestID && e.Revision > m.triedRevision {
		// Another claim followed the revision that this request tried to write at, so
		// the write failed and can no longer succeed.
		m.uncertain = false
	}
	switch {
	case e.Claim.GetRequestId() == m.p.RequestID:
		return m.claimHeld(now, e.Revision)
	case e.Claim.GetDigest() != m.p.Digest:
		return m.finishWithoutClaim(now, Outcome{
			RequestID: m.p.RequestID,
			Evidence:  pb.Evidence_EVIDENCE_NOT_RUN,
			Reason:    pb.Reason_REASON_KEY_REUSED,
		})
	case e.Claim.GetState() != pb.ClaimState_CLAIM_STATE_DONE:
		return m.finishWithoutClaim(now, Outcome{
			RequestID:  e.Claim.GetRequestId(),
			Evidence:   pb.Evidence_EVIDENCE_UNKNOWN,
			Reason:     pb.Reason_REASON_KEY_PENDING,
			Repeated:   true,
			RetryAfter: pendingRetryAfter,
		})
	case e.Claim.GetEvidence() == pb.Evidence_EVIDENCE_NOT_RUN:
		return m.retryClaim(now, e.Revision)
	default:
		return m.finishWithoutClaim(now, storedOutcome(e.Claim))
	}
}

// isStale reports whether a read is older than a revision that was already observed.
// A stale read shows neither the current claim nor the result of the write.
func (m *Machine) isStale(e ClaimRead) bool {
	if e.Result == ReadAbsent {
		return m.triedRevision > 0
	}
	return e.Revision < m.triedRevision && e.Claim.GetRequestId() != m.p.RequestID
}

func (m *Machine) retryRead(now time.Time) []Action {
	if m.claimRounds == maxClaimRounds {
		return m.platformUnavailable(now)
	}
	m.claimRounds++
	return []Action{ReadClaim{}}
}

// retryClaim claims a key that is free, or whose previous holder completed it as not
// run. That holder never sends again, and the compare-and-swap lets only one of
// several submissions claim the key.
func (m *Machine) retryClaim(now time.Time, revision uint64) []Action {
	if m.claimRounds == maxClaimRounds {
		return m.platformUnavailable(now)
	}
	return m.claim(revision)
}

// storedOutcome returns the outcome stored in a completed claim.
func storedOutcome(c *pb.Claim) Outcome {
	return Outcome{
		RequestID:     c.GetRequestId(),
		Evidence:      c.GetEvidence(),
		Reason:        c.GetReason(),
		Result:        c.GetResult(),
		ResultDropped: c.GetResultDropped(),
		Repeated:      true,
	}
}

// platformUnavailable refuses the request. Without a claim, another node may be
// running the same key, and sending the request could run it twice. The evidence is
// UNKNOWN, because an earlier submission of the caller may have run.
func (m *Machine) platformUnavailable(now time.Time) []Action {
	return m.finishWithoutClaim(now, m.notRun(pb.Reason_REASON_PLATFORM))
}

// finishWithoutClaim answers the caller while the claim is not held.
func (m *Machine) finishWithoutClaim(now time.Time, o Outcome) []Action {
	var actions []Action
	if !m.finished {
		actions = m.answer(o)
	}
	if m.uncertain {
		return append(actions, m.resolveClaim(now)...)
	}
	m.phase = phaseDone
	return actions
}
