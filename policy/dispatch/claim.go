package dispatch

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// claim tries to take the key at revision.
func (m *Machine) claim(revision uint64) []Action {
	m.phase = phaseClaiming
	m.claims++
	m.at = revision
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
		return m.hold(now, e.Revision)
	case WriteUncertain, WriteConflict:
		// A conflict leaves the same doubt as a lost answer: something on the way
		// may have repeated our write, and the answer is that of the second copy.
		m.doubt = true
		return m.readClaim(now)
	default:
		return m.withoutPlatform(now)
	}
}

func (m *Machine) readClaim(now time.Time) []Action {
	if m.finished {
		return m.abandon(now)
	}
	return []Action{ReadClaim{}}
}

// hold goes on with the claim known to be ours.
func (m *Machine) hold(now time.Time, revision uint64) []Action {
	m.held = true
	m.doubt = false
	m.revision = revision
	return m.pick(now)
}

func (m *Machine) claimRead(now time.Time, e ClaimRead) []Action {
	if m.finished {
		return m.abandon(now)
	}
	switch {
	case e.Result == ReadFailed:
		return m.withoutPlatform(now)
	case m.fromThePast(e):
		return m.readAgain(now)
	case e.Result == ReadAbsent:
		return m.claimAgain(now, 0)
	}
	if e.Claim.GetRequestId() != m.p.RequestID && e.Revision > m.at {
		// Another claim followed the revision that we tried on, so our write
		// failed and cannot succeed any more.
		m.doubt = false
	}
	switch {
	case e.Claim.GetRequestId() == m.p.RequestID:
		return m.hold(now, e.Revision)
	case e.Claim.GetDigest() != m.p.Digest:
		return m.stop(now, Outcome{
			RequestID: m.p.RequestID,
			Evidence:  pb.Evidence_EVIDENCE_NOT_RUN,
			Reason:    pb.Reason_REASON_KEY_REUSED,
		})
	case e.Claim.GetState() != pb.ClaimState_CLAIM_STATE_DONE:
		return m.stop(now, Outcome{
			RequestID:  e.Claim.GetRequestId(),
			Evidence:   pb.Evidence_EVIDENCE_UNKNOWN,
			Reason:     pb.Reason_REASON_KEY_PENDING,
			Repeated:   true,
			RetryAfter: pendingRetryAfter,
		})
	case e.Claim.GetEvidence() == pb.Evidence_EVIDENCE_NOT_RUN:
		return m.claimAgain(now, e.Revision)
	default:
		return m.stop(now, earlier(e.Claim))
	}
}

// fromThePast tells a read from before a revision that we have seen. It shows
// neither what the key holds nor what became of our write.
func (m *Machine) fromThePast(e ClaimRead) bool {
	if e.Result == ReadAbsent {
		return m.at > 0
	}
	return e.Revision < m.at && e.Claim.GetRequestId() != m.p.RequestID
}

func (m *Machine) readAgain(now time.Time) []Action {
	if m.claims == maxClaims {
		return m.withoutPlatform(now)
	}
	m.claims++
	return []Action{ReadClaim{}}
}

// claimAgain takes a key that is free, or that its former holder has settled as
// not run: that holder will never send again, and the compare-and-swap lets one
// of several submissions have it.
func (m *Machine) claimAgain(now time.Time, revision uint64) []Action {
	if m.claims == maxClaims {
		return m.withoutPlatform(now)
	}
	return m.claim(revision)
}

// earlier is the outcome that a settled claim keeps.
func earlier(c *pb.Claim) Outcome {
	return Outcome{
		RequestID:     c.GetRequestId(),
		Evidence:      c.GetEvidence(),
		Reason:        c.GetReason(),
		Result:        c.GetResult(),
		ResultDropped: c.GetResultDropped(),
		Repeated:      true,
	}
}

// withoutPlatform refuses: without a claim, another node may be running the
// same key, so sending could double it. The evidence is not NOT_RUN, for the
// caller may be repeating a submission that did run.
func (m *Machine) withoutPlatform(now time.Time) []Action {
	return m.stop(now, m.notRun(pb.Reason_REASON_PLATFORM))
}

// stop answers the caller without the claim being held.
func (m *Machine) stop(now time.Time, o Outcome) []Action {
	var actions []Action
	if !m.finished {
		actions = m.tell(o)
	}
	if m.doubt {
		return append(actions, m.abandon(now)...)
	}
	m.phase = phaseDone
	return actions
}
