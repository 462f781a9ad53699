package upgrade

import (
	"fmt"
	"time"
)

const (
	// finishTime is the time before the limit at which the load phase begins. It covers the
	// remaining phases and one change of the leader.
	finishTime = 6 * time.Second
	// Least lengths of the phases.
	loadFor    = 2 * time.Second
	confirmFor = 1200 * time.Millisecond
	shiftFor   = time.Second
	// minShiftFor replaces shiftFor from closeTime before the limit on.
	minShiftFor = 400 * time.Millisecond
	closeTime   = 800 * time.Millisecond
	// minLoadAnswers is the number of answers that a load phase waits for, for maxLoadFor at
	// most: a service with little traffic has fewer.
	minLoadAnswers = 30
	maxLoadFor     = 2500 * time.Millisecond
	// adoptedLoadFor replaces maxLoadFor in a phase that an earlier leader has begun.
	adoptedLoadFor = 1400 * time.Millisecond
	// minConfirmRate is the least ratio of the answers per second of the confirm phase to
	// the requests that its replicas will receive after the upgrade.
	minConfirmRate = 0.7
	// abandonAfter is the multiple of the period after which an upgrade without enough
	// replicas of the new version is rolled back.
	abandonAfter = 2
	// minCapacity is the least ratio of new replicas to old ones for the shift.
	minCapacity = 0.5
)

// LoadAt returns the time after the order at which the load phase begins.
func LoadAt(period time.Duration) time.Duration { return max(period/2, period-finishTime) }

// Situation is the state of an upgrade on which its next phase depends.
type Situation struct {
	Phase Phase
	// Elapsed is the time since the order, and InPhase since the phase began.
	Elapsed, InPhase, Period time.Duration
	// NewReplicas and OldReplicas are the usable ones.
	NewReplicas, OldReplicas int
	// Answers counts the new version's answers in the phase, and LoadAnswers those in the
	// load phase.
	Answers, LoadAnswers int
	// TrialRate is the number of requests per second that the replicas on trial will receive
	// after the upgrade.
	TrialRate float64
	// Adopted is set if an earlier leader has begun the phase.
	Adopted bool
	Verdict Verdict
	// Quiet is set if every reachable node has confirmed the phase and has no attempt in
	// flight at an old replica.
	Quiet bool
}

// Next returns the phase that follows, and the reason if it is another one.
func Next(s Situation) (Phase, string) {
	switch {
	case s.Phase >= Done:
		return s.Phase, ""
	case s.Verdict.Bad:
		return Revert, s.Verdict.Reason
	case s.NewReplicas == 0:
		if s.Elapsed > abandonAfter*s.Period {
			return Revert, "no replica of the new version is usable"
		}
		return s.Phase, ""
	}
	switch s.Phase {
	case Hold:
		if s.OldReplicas == 0 {
			return Close, "all replicas have the new version"
		}
		return Canary, fmt.Sprintf("%d new replicas, %d old ones", s.NewReplicas, s.OldReplicas)
	case Canary:
		if s.Elapsed >= LoadAt(s.Period) {
			return Load, "no fault in the canary phase"
		}
	case Load:
		return afterLoad(s)
	case Confirm:
		return afterConfirm(s)
	case Shift:
		late := s.Elapsed >= s.Period-closeTime
		if s.InPhase >= shiftFor || late && s.InPhase >= minShiftFor {
			return Close, "no fault under all requests"
		}
	case Close:
		if s.Quiet {
			return Done, "no node uses an old replica"
		}
	}
	return s.Phase, ""
}

func afterLoad(s Situation) (Phase, string) {
	if s.Verdict.Suspect {
		if s.NewReplicas == 1 {
			return Revert, s.Verdict.Reason
		}
		return Confirm, s.Verdict.Reason
	}
	enough, wait := s.Answers >= minLoadAnswers && s.InPhase >= loadFor, maxLoadFor
	if s.Adopted {
		full := minConfirmRate * s.TrialRate * loadFor.Seconds()
		enough, wait = float64(s.Answers) >= max(minLoadAnswers, full), adoptedLoadFor
	}
	if !enough && s.InPhase < wait {
		return Load, ""
	}
	return beginShift(s, fmt.Sprintf("no fault in %d answers under load", s.Answers))
}

// afterConfirm decides after a fault of the replicas of the load phase. Unless others have
// borne the same load without a fault, it is taken for a fault of the version: a bad
// version that receives all requests does more harm than a good one that is rolled back.
func afterConfirm(s Situation) (Phase, string) {
	switch {
	case s.Answers >= minLoadAnswers && s.InPhase >= confirmFor && s.confirmed():
		return beginShift(s, fmt.Sprintf("no fault in %d answers of other replicas", s.Answers))
	case s.InPhase >= maxLoadFor || s.Adopted && s.InPhase >= confirmFor:
		return Revert, fmt.Sprintf("%s; other replicas gave %d answers", s.Verdict.Reason, s.Answers)
	}
	return Confirm, ""
}

// confirmed reports whether the replicas of the confirm phase bore the load of those before.
func (s *Situation) confirmed() bool {
	lasted := s.InPhase
	if s.Adopted {
		// The answers under the earlier leader came at a rate that is not known.
		lasted = max(lasted, loadFor)
	}
	return s.Answers >= s.LoadAnswers && float64(s.Answers) >= minConfirmRate*s.TrialRate*lasted.Seconds()
}

// beginShift begins the shift if the new replicas can take all requests.
func beginShift(s Situation, reason string) (Phase, string) {
	if float64(s.NewReplicas) >= minCapacity*float64(s.OldReplicas) {
		return Shift, reason
	}
	if s.Elapsed > abandonAfter*s.Period {
		return Revert, fmt.Sprintf("%d new replicas for %d old ones", s.NewReplicas, s.OldReplicas)
	}
	return s.Phase, ""
}
