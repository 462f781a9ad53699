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

// TestMain fixes the seed of the runs in CI. A long run with a fresh seed:
//
//	go test ./policy/dispatch -run AtMostOnce -rapid.checks=200000 -rapid.seed=$RANDOM
func TestMain(m *testing.M) { modeltest.Main(m, modeltest.Size{Checks: "3000", Steps: "60"}) }

// Callers submit the same keys on several nodes while answers of the platform
// are lost, late or from the past, nodes are paused or die, and sends end in
// doubt. Whatever the order: no key and no request runs twice, and what each
// caller was told is true.
func TestAtMostOnceAndTrueEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { life(t, simulation.Variant{}) })
}

// life drives one world through random steps and then lets it come to rest.
func life(t *rapid.T, broken simulation.Variant) {
	w := simulation.NewEnvironment(broken)
	submit := func(t *rapid.T) {
		key := rapid.SampledFrom([]string{"k1", "k1", "k1", "k2", ""}).Draw(t, "key")
		body := rapid.SampledFrom([]string{"fee", "fee", "fee", "fee", "penalty"}).Draw(t, "body")
		w.Submit(key, body, time.Duration(simulation.Draw(t, "seconds left", 20))*time.Second)
	}
	withBusy := func(do func(*rapid.T, *simulation.Submission)) func(*rapid.T) {
		return func(t *rapid.T) {
			if busy := w.Outstanding(); len(busy) > 0 {
				do(t, busy[simulation.Draw(t, "which", len(busy))])
			}
		}
	}
	step := withBusy(func(t *rapid.T, s *simulation.Submission) { w.Step(t, s, true) })
	t.Repeat(map[string]func(*rapid.T){
		"submit": submit,
		"step1":  step,
		"step2":  step,
		"step3":  step,
		"land":   w.DeliverOne,
		"pass":   func(t *rapid.T) { w.Now = w.Now.Add(time.Duration(simulation.Draw(t, "seconds", 8)) * time.Second) },
		"give up": withBusy(func(_ *rapid.T, s *simulation.Submission) {
			w.Apply(s, s.Machine.Step(w.Now, dispatch.Cancelled{Reason: pb.Reason_REASON_DEADLINE}))
		}),
		"crash": withBusy(func(t *rapid.T, s *simulation.Submission) {
			if simulation.Draw(t, "crash", 4) == 0 {
				w.Crash(t, s)
			}
		}),
		"": func(t *rapid.T) { check(t, w) },
	})
	w.Drain(t)
	check(t, w)
	checkAtRest(t, w)
}

// check holds what must be true at every moment.
func check(t *rapid.T, w *simulation.Environment) {
	for key, n := range w.Runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for _, s := range w.Submissions {
		for _, told := range s.Reports {
			checkTold(t, w, s, told)
		}
	}
}

func checkTold(t *rapid.T, w *simulation.Environment, s *simulation.Submission, told simulation.Report) {
	o := told.Outcome
	switch o.Evidence {
	case pb.Evidence_EVIDENCE_NOT_RUN:
		if w.LastRunner[s.Key] == s.ID {
			t.Fatalf("%s was told not run (%v) and ran", s.ID, o.Reason)
		}
		if o.Reason != pb.Reason_REASON_KEY_REUSED && told.Ran > 0 {
			t.Fatalf("%s was told not run (%v) after its key %s had run", s.ID, o.Reason, s.Key)
		}
	case pb.Evidence_EVIDENCE_RAN:
		if w.LastRunner[s.Key] != o.RequestID || string(o.Result) != o.RequestID {
			t.Fatalf("%s was told that %s ran with %q, but %q ran", s.ID, o.RequestID, o.Result, w.LastRunner[s.Key])
		}
	}
	if !o.Sent && w.LastRunner[s.Key] == s.ID {
		t.Fatalf("%s was told that it was not sent, and ran", s.ID)
	}
}

// checkAtRest holds what must be true when the faults are over.
func checkAtRest(t *rapid.T, w *simulation.Environment) {
	for _, s := range w.Submissions {
		if !s.Crashed && (s.Finished != 1 || !s.Machine.Done()) {
			t.Fatalf("%s answered %d times, done %v", s.ID, s.Finished, s.Machine.Done())
		}
	}
	// A retry of a key that met no doubt learns the outcome or runs.
	for _, s := range w.Submissions {
		if w.Uncertain[s.Key] || s.Key == s.ID {
			continue
		}
		retry := w.Submit(s.Key, s.Digest, time.Hour)
		for retry.Pending != nil {
			w.Step(t, retry, false)
		}
		o := retry.Reports[0].Outcome
		if o.Evidence != pb.Evidence_EVIDENCE_RAN && o.Reason != pb.Reason_REASON_KEY_REUSED {
			t.Fatalf("retry of %s at rest: %v %v", s.Key, o.Evidence, o.Reason)
		}
	}
	check(t, w)
}

// Each variant is a mistake that a later change could make. The check that
// never fails proves nothing, so it is shown to catch every one of them.
func TestCheckCatchesBrokenVariants(t *testing.T) {
	variants := map[string]simulation.Variant{
		"doubt about a send counts as not run": {OnEvent: func(e dispatch.Event, _ dispatch.Action) dispatch.Event {
			if r, ok := e.(dispatch.Replied); ok && r.Evidence == pb.Evidence_EVIDENCE_UNKNOWN {
				r.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
				return r
			}
			return e
		}},
		"a lost answer to a claim counts as claimed": {OnEvent: func(e dispatch.Event, a dispatch.Action) dispatch.Event {
			c, ok := a.(dispatch.Claim)
			if ok && e.(dispatch.ClaimWritten).Result == dispatch.WriteUncertain {
				return dispatch.ClaimWritten{Result: dispatch.WriteDone, Revision: c.Revision + 1}
			}
			return e
		}},
		"without the platform the request goes on": {OnEvent: func(e dispatch.Event, a dispatch.Action) dispatch.Event {
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
		"unknown is told as not run": {OnAction: func(a dispatch.Action) dispatch.Action {
			if f, ok := a.(dispatch.Finish); ok && f.Outcome.Evidence == pb.Evidence_EVIDENCE_UNKNOWN {
				f.Outcome.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
				return f
			}
			return a
		}},
		"a settle says not run whatever happened": {OnAction: func(a dispatch.Action) dispatch.Action {
			if s, ok := a.(dispatch.CompleteClaim); ok {
				s.Value.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
				return s
			}
			return a
		}},
		"a failed settle is not tried again": {OnEvent: func(e dispatch.Event, a dispatch.Action) dispatch.Event {
			_, ok := a.(dispatch.CompleteClaim)
			if ok && e.(dispatch.ClaimWritten).Result == dispatch.WriteFailed {
				return dispatch.ClaimWritten{Result: dispatch.WriteDone}
			}
			return e
		}},
	}
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			modeltest.ExpectFailure(t, "", func(t *rapid.T) { life(t, v) })
		})
	}
}
