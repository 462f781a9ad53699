package dispatch

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	minCompletionDelay = 250 * time.Millisecond
	maxCompletionDelay = 30 * time.Second
)

// completeClaim returns the write of the final claim at m.revision. That is the revision
// of the held claim, or the one at which an uncertain Claim is resolved.
func (m *Machine) completeClaim(delay time.Duration) Action {
	return CompleteClaim{Revision: m.revision, Value: m.finalClaim(m.finalOutcome), Delay: delay}
}

func (m *Machine) finalClaim(o Outcome) *pb.Claim {
	c := m.pending()
	c.State = pb.ClaimState_CLAIM_STATE_DONE
	c.Evidence = o.Evidence
	c.Reason = o.Reason
	if len(o.Result) > m.p.MaxResultBytes {
		c.ResultDropped = true
		return c
	}
	c.Result = o.Result
	return c
}

func (m *Machine) completionWritten(now time.Time, e ClaimWritten) []Action {
	// Only this request writes its PENDING claim. A conflict therefore means that an
	// earlier final write took effect although its reply was lost.
	if e.Result == WriteDone || e.Result == WriteConflict {
		m.phase = phaseDone
		return nil
	}
	delay, ok := m.backoff(now)
	if !ok {
		return nil
	}
	return []Action{m.completeClaim(delay)}
}

// backoff returns the delay before the next try. It returns false if
// CompletionTimeout has passed, and the claim then stays as it is.
func (m *Machine) backoff(now time.Time) (time.Duration, bool) {
	if now.Sub(m.completionStart) >= m.p.CompletionTimeout {
		m.phase = phaseDone
		m.unresolved = true
		return 0, false
	}
	delay := maxCompletionDelay
	if m.completionAttempts < 7 {
		delay = min(delay, minCompletionDelay<<m.completionAttempts)
	}
	m.completionAttempts++
	return delay, true
}

// resolveClaim resolves a Claim whose reply was lost. Without it the claim could stay
// PENDING, and each retry of the caller would report an unknown outcome for a request
// that was never sent.
func (m *Machine) resolveClaim(now time.Time) []Action {
	if !m.uncertain {
		m.phase = phaseDone
		return nil
	}
	m.phase = phaseResolving
	m.completionStart = now
	m.finalOutcome = Outcome{
		RequestID: m.p.RequestID,
		Evidence:  pb.Evidence_EVIDENCE_NOT_RUN,
		Reason:    pb.Reason_REASON_PLATFORM,
	}
	return []Action{ReadClaim{}}
}

func (m *Machine) resolveRead(now time.Time, e ClaimRead) []Action {
	switch {
	case e.Result == ReadFailed, m.isStale(e):
		return m.retryResolve(now)
	case e.Result == ReadFound && e.Claim.GetRequestId() == m.p.RequestID:
		if e.Claim.GetState() == pb.ClaimState_CLAIM_STATE_DONE {
			m.phase = phaseDone
			return nil
		}
		m.revision = e.Revision
	case e.Result == ReadAbsent, e.Revision == m.triedRevision:
		// The lost write may still be in flight. A write at the same revision makes
		// it fail on arrival.
		m.revision = m.triedRevision
	default:
		m.phase = phaseDone
		return nil
	}
	return []Action{m.completeClaim(0)}
}

func (m *Machine) resolveWritten(now time.Time, e ClaimWritten) []Action {
	if e.Result == WriteDone {
		m.phase = phaseDone
		return nil
	}
	return m.retryResolve(now)
}

func (m *Machine) retryResolve(now time.Time) []Action {
	delay, ok := m.backoff(now)
	if !ok {
		return nil
	}
	return []Action{ReadClaim{Delay: delay}}
}
