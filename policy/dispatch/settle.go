package dispatch

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	firstSettleDelay = 250 * time.Millisecond
	maxSettleDelay   = 30 * time.Second
)

// settle writes the outcome into the claim that is held.
func (m *Machine) settle(delay time.Duration) Action {
	return CompleteClaim{Revision: m.revision, Value: m.settled(m.final), Delay: delay}
}

func (m *Machine) settled(o Outcome) *pb.Claim {
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

func (m *Machine) settleWritten(now time.Time, e ClaimWritten) []Action {
	// Nobody else writes a PENDING claim, so a conflict means that our settle,
	// whose answer was lost, took effect.
	if e.Result == WriteDone || e.Result == WriteConflict {
		m.phase = phaseDone
		return nil
	}
	delay, more := m.backOff(now)
	if !more {
		return nil
	}
	return []Action{m.settle(delay)}
}

// backOff returns how long to wait before the next try at the platform; false
// when tries have gone on for long enough and the claim stays as it is.
func (m *Machine) backOff(now time.Time) (time.Duration, bool) {
	if now.Sub(m.settling) >= m.p.CompletionTimeout {
		m.phase = phaseDone
		m.unsettled = true
		return 0, false
	}
	delay := maxSettleDelay
	if m.settleTry < 7 {
		delay = min(delay, firstSettleDelay<<m.settleTry)
	}
	m.settleTry++
	return delay, true
}

// abandon removes the doubt about a Claim whose answer was lost: left alone, it
// may stand as PENDING for good, and every retry of the caller would be told
// "unknown" about a request that was never sent.
func (m *Machine) abandon(now time.Time) []Action {
	if !m.doubt {
		m.phase = phaseDone
		return nil
	}
	m.phase = phaseAbandoning
	m.settling = now
	m.final = Outcome{
		RequestID: m.p.RequestID,
		Evidence:  pb.Evidence_EVIDENCE_NOT_RUN,
		Reason:    pb.Reason_REASON_PLATFORM,
	}
	return []Action{ReadClaim{}}
}

func (m *Machine) abandonRead(now time.Time, e ClaimRead) []Action {
	switch {
	case e.Result == ReadFailed, m.fromThePast(e):
		return m.abandonAgain(now)
	case e.Result == ReadFound && e.Claim.GetRequestId() == m.p.RequestID:
		if e.Claim.GetState() == pb.ClaimState_CLAIM_STATE_DONE {
			m.phase = phaseDone
			return nil
		}
		m.revision = e.Revision
	case e.Result == ReadAbsent, e.Revision == m.at:
		// The lost write may still be on its way. Writing at the same revision
		// makes it fail when it comes.
		m.revision = m.at
	default:
		m.phase = phaseDone
		return nil
	}
	return []Action{m.settle(0)}
}

func (m *Machine) abandonWritten(now time.Time, e ClaimWritten) []Action {
	if e.Result == WriteDone {
		m.phase = phaseDone
		return nil
	}
	return m.abandonAgain(now)
}

func (m *Machine) abandonAgain(now time.Time) []Action {
	delay, more := m.backOff(now)
	if !more {
		return nil
	}
	return []Action{ReadClaim{Delay: delay}}
}
