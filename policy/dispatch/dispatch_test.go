package dispatch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/dispatch"
	"github.com/carobmill/carobmill/policy/dispatch/simulation"
	"github.com/carobmill/carobmill/policy/modeltest"
)

// TestMain fixes the seed of the runs in CI. A longer run with a new seed:
//
//	go test ./policy/dispatch -run AtMostOnce -rapid.checks=200000 -rapid.seed=$RANDOM
func TestMain(m *testing.M) { modeltest.Main(m, modeltest.Size{Checks: "3000", Steps: "60"}) }

// Guards against a key or request that runs twice, and against false outcomes.
// Callers submit the same keys on several nodes while platform replies are lost,
// delayed or stale, nodes pause or crash, and sends end without a known result.
func TestAtMostOnceAndTrueEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runScenario(t, simulation.Variant{}) })
}

// runScenario runs random steps in an environment and then drains it.
func runScenario(t *rapid.T, variant simulation.Variant) {
	env := simulation.NewEnvironment(variant)
	submit := func(t *rapid.T) {
		key := rapid.SampledFrom([]string{"k1", "k1", "k1", "k2", ""}).Draw(t, "key")
		body := rapid.SampledFrom([]string{"fee", "fee", "fee", "fee", "penalty"}).Draw(t, "body")
		env.Submit(key, body, time.Duration(simulation.Draw(t, "seconds remaining", 20))*time.Second)
	}
	withOutstanding := func(do func(*rapid.T, *simulation.Submission)) func(*rapid.T) {
		return func(t *rapid.T) {
			if outstanding := env.Outstanding(); len(outstanding) > 0 {
				do(t, outstanding[simulation.Draw(t, "submission", len(outstanding))])
			}
		}
	}
	step := withOutstanding(func(t *rapid.T, s *simulation.Submission) { env.Step(t, s, true) })
	t.Repeat(map[string]func(*rapid.T){
		"submit":    submit,
		"step1":     step,
		"step2":     step,
		"step3":     step,
		"deliver":   env.DeliverOne,
		"pass time": func(t *rapid.T) { env.Now = env.Now.Add(time.Duration(simulation.Draw(t, "seconds", 8)) * time.Second) },
		"deadline": withOutstanding(func(_ *rapid.T, s *simulation.Submission) {
			env.Apply(s, s.Machine.Step(env.Now, dispatch.Cancelled{Reason: pb.Reason_REASON_DEADLINE}))
		}),
		"crash": withOutstanding(func(t *rapid.T, s *simulation.Submission) {
			if simulation.Draw(t, "crash", 4) == 0 {
				env.Crash(t, s)
			}
		}),
		"": func(t *rapid.T) { checkInvariants(t, env) },
	})
	env.Drain(t)
	checkInvariants(t, env)
	checkAfterDrain(t, env)
}

// checkInvariants checks the properties that hold after every step.
func checkInvariants(t *rapid.T, env *simulation.Environment) {
	for key, n := range env.Runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for _, s := range env.Submissions {
		for _, report := range s.Reports {
			checkReport(t, env, s, report)
		}
	}
}

func checkReport(t *rapid.T, env *simulation.Environment, s *simulation.Submission, report simulation.Report) {
	o := report.Outcome
	switch o.Evidence {
	case pb.Evidence_EVIDENCE_NOT_RUN:
		if env.LastRunner[s.Key] == s.ID {
			t.Fatalf("%s reported NOT_RUN (%v) but ran", s.ID, o.Reason)
		}
		if o.Reason != pb.Reason_REASON_KEY_REUSED && report.Ran > 0 {
			t.Fatalf("%s reported NOT_RUN (%v) after its key %s ran or was sent", s.ID, o.Reason, s.Key)
		}
	case pb.Evidence_EVIDENCE_RAN:
		if env.LastRunner[s.Key] != o.RequestID || string(o.Result) != o.RequestID {
			t.Fatalf("%s reported that %s ran with result %q, but %q ran last", s.ID, o.RequestID, o.Result, env.LastRunner[s.Key])
		}
	}
	if !o.Sent && env.LastRunner[s.Key] == s.ID {
		t.Fatalf("%s reported that it was not sent but ran", s.ID)
	}
}

// checkAfterDrain checks the properties that hold after all faults.
func checkAfterDrain(t *rapid.T, env *simulation.Environment) {
	for _, s := range env.Submissions {
		if !s.Crashed && (s.Finished != 1 || !s.Machine.Done()) {
			t.Fatalf("%s has %d final answers, want 1; machine done: %v", s.ID, s.Finished, s.Machine.Done())
		}
	}
	// A retry of a key without a crash or uncertain send returns the outcome or runs.
	for _, s := range env.Submissions {
		if env.Uncertain[s.Key] || s.Key == s.ID {
			continue
		}
		retry := env.Submit(s.Key, s.Digest, time.Hour)
		for retry.Pending != nil {
			env.Step(t, retry, false)
		}
		o := retry.Reports[0].Outcome
		if o.Evidence != pb.Evidence_EVIDENCE_RAN && o.Reason != pb.Reason_REASON_KEY_REUSED {
			t.Fatalf("retry of key %s after all faults: got %v (%v), want RAN or KEY_REUSED", s.Key, o.Evidence, o.Reason)
		}
	}
	checkInvariants(t, env)
}

// Guards against a property check that cannot fail: the check must detect each of
// these deliberate faults.
func TestCheckCatchesBrokenVariants(t *testing.T) {
	variants := map[string]simulation.Variant{
		"an uncertain send counts as not run": {OnEvent: func(e dispatch.Event, _ dispatch.Action) dispatch.Event {
			if r, ok := e.(dispatch.Replied); ok && r.Evidence == pb.Evidence_EVIDENCE_UNKNOWN {
				r.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
				return r
			}
			return e
		}},
		"a claim with a lost reply counts as held": {OnEvent: func(e dispatch.Event, a dispatch.Action) dispatch.Event {
			c, ok := a.(dispatch.Claim)
			if ok && e.(dispatch.ClaimWritten).Result == dispatch.WriteUncertain {
				return dispatch.ClaimWritten{Result: dispatch.WriteDone, Revision: c.Revision + 1}
			}
			return e
		}},
		"the request is sent although the claim failed": {OnEvent: func(e dispatch.Event, a dispatch.Action) dispatch.Event {
			c, ok := a.(dispatch.Claim)
			if ok && e.(dispatch.ClaimWritten).Result == dispatch.WriteFailed {
				return dispatch.ClaimWritten{Result: dispatch.WriteDone, Revision: c.Revision + 1}
			}
			return e
		}},
		"a pending claim expires": {OnEvent: func(e dispatch.Event, _ dispatch.Action) dispatch.Event {
			r, ok := e.(dispatch.ClaimRead)
			if ok && r.Claim.GetState() == pb.ClaimState_CLAIM_STATE_PENDING {
				r.Claim = &pb.Claim{
					RequestId: r.Claim.GetRequestId(),
					Digest:    r.Claim.GetDigest(),
					State:     pb.ClaimState_CLAIM_STATE_DONE,
					Evidence:  pb.Evidence_EVIDENCE_NOT_RUN,
				}
				return r
			}
			return e
		}},
		"an unknown outcome is reported as not run": {OnAction: func(a dispatch.Action) dispatch.Action {
			if f, ok := a.(dispatch.Finish); ok && f.Outcome.Evidence == pb.Evidence_EVIDENCE_UNKNOWN {
				f.Outcome.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
				return f
			}
			return a
		}},
		"the final claim always stores not run": {OnAction: func(a dispatch.Action) dispatch.Action {
			if s, ok := a.(dispatch.CompleteClaim); ok {
				s.Value.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
				return s
			}
			return a
		}},
		"a failed final write is not retried": {OnEvent: func(e dispatch.Event, a dispatch.Action) dispatch.Event {
			_, ok := a.(dispatch.CompleteClaim)
			if ok && e.(dispatch.ClaimWritten).Result == dispatch.WriteFailed {
				return dispatch.ClaimWritten{Result: dispatch.WriteDone}
			}
			return e
		}},
	}
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			modeltest.ExpectFailure(t, "", func(t *rapid.T) { runScenario(t, v) })
		})
	}
}
