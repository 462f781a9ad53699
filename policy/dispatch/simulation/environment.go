package simulation

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/dispatch"
)

// Environment simulates a key-value store, whose replies can be lost, delayed or
// stale, and a backend service that counts the requests it ran.
type Environment struct {
	Now time.Time
	// Runs counts runs by idempotency key, or by request id if there is no key.
	Runs map[string]int
	// LastRunner is the id of the request that ran last, by the same key as Runs.
	LastRunner map[string]string
	// Uncertain holds the keys with a crash or with a send whose result the sender
	// cannot determine.
	Uncertain map[string]bool
	// Submissions holds every submission, oldest first.
	Submissions []*Submission

	// history holds every revision of each claim, oldest first.
	history map[string][]version
	rev     uint64
	// writes and sends are in flight. Each is delivered at any later time, or never.
	writes  []delayedWrite
	sends   []*Submission
	variant Variant
}

type version struct {
	rev   uint64
	claim *pb.Claim
}

type delayedWrite struct {
	key      string
	revision uint64
	claim    *pb.Claim
}

// Submission is one request of a caller and the machine that dispatches it.
type Submission struct {
	// ID is the request id. Key is the idempotency key, or the request id without
	// one.
	ID, Key, Digest string
	Machine         *dispatch.Machine
	// Pending is the outstanding action, or nil.
	Pending dispatch.Action
	// Crashed is set if the node of the request crashed.
	Crashed bool
	// Finished counts the final answers to the caller.
	Finished int
	// Reports holds the outcomes reported to the caller, oldest first.
	Reports []Report
}

// Report is an outcome and the number of runs of its key at that time.
type Report struct {
	Outcome dispatch.Outcome
	// Ran counts the runs so far and the sends in flight.
	Ran int
}

// NewEnvironment returns an environment without requests. Its machines have the
// faults of the variant; the zero Variant has none.
func NewEnvironment(variant Variant) *Environment {
	return &Environment{
		Now:        time.Unix(1000, 0),
		Runs:       make(map[string]int),
		LastRunner: make(map[string]string),
		Uncertain:  make(map[string]bool),
		history:    make(map[string][]version),
		variant:    variant,
	}
}

// Submit starts a request whose deadline expires after the remaining time. An empty
// key means that the request has no idempotency key.
func (env *Environment) Submit(key, digest string, remaining time.Duration) *Submission {
	s := &Submission{ID: fmt.Sprintf("r%d", len(env.Submissions)), Key: key, Digest: digest}
	s.Machine = dispatch.New(dispatch.Params{
		RequestID:         s.ID,
		Keyed:             key != "",
		Digest:            digest,
		Deadline:          env.Now.Add(remaining),
		CompletionTimeout: 1000 * time.Hour,
	})
	if key == "" {
		s.Key = s.ID
	}
	env.Submissions = append(env.Submissions, s)
	env.Apply(s, s.Machine.Start(env.Now))
	return s
}

// Apply reports the outcomes that a machine returned and stores any other action as
// pending. It panics if an action is already pending.
func (env *Environment) Apply(s *Submission, actions []dispatch.Action) {
	for _, a := range env.variant.actions(actions) {
		switch a := a.(type) {
		case dispatch.Finish:
			s.Finished++
			env.report(s, a.Outcome)
		case dispatch.Revise:
			env.report(s, a.Outcome)
		default:
			if s.Pending != nil {
				panic("machine returned a second action before the answer to the first")
			}
			s.Pending = a
		}
	}
}

func (env *Environment) report(s *Submission, o dispatch.Outcome) {
	ran := env.Runs[s.Key]
	for _, late := range env.sends {
		if late.Key == s.Key {
			ran++
		}
	}
	s.Reports = append(s.Reports, Report{Outcome: o, Ran: ran})
}

// Step performs the outstanding action of a Submission. If faults is set, a drawn fault
// may occur.
func (env *Environment) Step(t *rapid.T, s *Submission, faults bool) {
	a := s.Pending
	s.Pending = nil
	var e dispatch.Event
	switch a := a.(type) {
	case dispatch.Claim:
		e = env.write(t, s, a.Revision, a.Value, faults)
	case dispatch.CompleteClaim:
		e = env.write(t, s, a.Revision, a.Value, faults)
	case dispatch.ReadClaim:
		e = env.read(t, s, faults)
	case dispatch.Pick:
		e = dispatch.Picked{Replica: fmt.Sprintf("replica%d", len(a.Tried))}
		if faults && Draw(t, "no replica", 5) == 0 {
			reasons := []pb.Reason{pb.Reason_REASON_LIMIT, pb.Reason_REASON_COLD}
			e = dispatch.Picked{Reason: reasons[Draw(t, "reason", len(reasons))]}
		}
	case dispatch.Send:
		e = env.send(t, s, a, faults)
	}
	env.Apply(s, s.Machine.Step(env.Now, env.variant.event(e, a)))
}

func (env *Environment) write(t *rapid.T, s *Submission, revision uint64, claim *pb.Claim, faults bool) dispatch.Event {
	fault := 0
	if faults {
		fault = Draw(t, "write", 8)
	}
	switch fault {
	case 1:
		env.compareAndSwap(s.Key, revision, claim)
		return dispatch.ClaimWritten{Result: dispatch.WriteUncertain}
	case 2:
		env.writes = append(env.writes, delayedWrite{key: s.Key, revision: revision, claim: claim})
		return dispatch.ClaimWritten{Result: dispatch.WriteUncertain}
	case 3:
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	case 4:
		// The write is applied and then duplicated in transit. The reply to the
		// second copy is returned.
		env.compareAndSwap(s.Key, revision, claim)
	}
	rev, ok := env.compareAndSwap(s.Key, revision, claim)
	if !ok {
		return dispatch.ClaimWritten{Result: dispatch.WriteConflict}
	}
	return dispatch.ClaimWritten{Result: dispatch.WriteDone, Revision: rev}
}

func (env *Environment) compareAndSwap(key string, revision uint64, claim *pb.Claim) (uint64, bool) {
	h := env.history[key]
	var latest uint64
	if len(h) > 0 {
		latest = h[len(h)-1].rev
	}
	if revision != latest {
		return 0, false
	}
	env.rev++
	env.history[key] = append(h, version{rev: env.rev, claim: claim})
	return env.rev, true
}

func (env *Environment) read(t *rapid.T, s *Submission, faults bool) dispatch.Event {
	h := env.history[s.Key]
	if faults {
		switch Draw(t, "read", 4) {
		case 1:
			return dispatch.ClaimRead{Result: dispatch.ReadFailed}
		case 2:
			h = h[:Draw(t, "stale revision", len(h)+1)]
		}
	}
	if len(h) == 0 {
		return dispatch.ClaimRead{Result: dispatch.ReadAbsent}
	}
	v := h[len(h)-1]
	return dispatch.ClaimRead{Result: dispatch.ReadFound, Claim: v.claim, Revision: v.rev}
}

func (env *Environment) send(t *rapid.T, s *Submission, a dispatch.Send, faults bool) dispatch.Event {
	e := dispatch.Replied{Attempt: a.Attempt, Evidence: pb.Evidence_EVIDENCE_UNKNOWN, Reason: pb.Reason_REASON_CONNECTION}
	fault := 0
	if faults {
		fault = Draw(t, "send", 5)
	}
	switch fault {
	case 1: // the request ran and the reply was lost
		env.run(s)
	case 2: // the request is in flight and the connection was lost
		env.sends = append(env.sends, s)
	case 3: // the connection was lost before the request was complete
	case 4:
		e.Evidence, e.Reason = pb.Evidence_EVIDENCE_NOT_RUN, pb.Reason_REASON_SHED
		return e
	default:
		env.run(s)
		e.Evidence, e.Reason = pb.Evidence_EVIDENCE_RAN, pb.Reason_REASON_UNSPECIFIED
		e.Result = []byte(s.ID)
		return e
	}
	env.Uncertain[s.Key] = true
	return e
}

func (env *Environment) run(s *Submission) {
	env.Runs[s.Key]++
	env.LastRunner[s.Key] = s.ID
}

// DeliverOne delivers or drops one write or send in flight.
func (env *Environment) DeliverOne(t *rapid.T) {
	n := len(env.writes) + len(env.sends)
	if n == 0 {
		return
	}
	i := Draw(t, "message", n)
	arrives := Draw(t, "arrives", 4) > 0
	if i < len(env.writes) {
		late := env.writes[i]
		env.writes = append(env.writes[:i:i], env.writes[i+1:]...)
		if arrives {
			env.compareAndSwap(late.key, late.revision, late.claim)
		}
		return
	}
	i -= len(env.writes)
	s := env.sends[i]
	env.sends = append(env.sends[:i:i], env.sends[i+1:]...)
	if arrives {
		env.run(s)
	}
}

// Crash ends a Submission's node. The outstanding action may still be delivered.
func (env *Environment) Crash(t *rapid.T, s *Submission) {
	env.Uncertain[s.Key] = true
	s.Crashed = true
	arrives := Draw(t, "left the node before the crash", 2) == 0
	switch a := s.Pending.(type) {
	case dispatch.Claim:
		if arrives {
			env.writes = append(env.writes, delayedWrite{key: s.Key, revision: a.Revision, claim: a.Value})
		}
	case dispatch.CompleteClaim:
		if arrives {
			env.writes = append(env.writes, delayedWrite{key: s.Key, revision: a.Revision, claim: a.Value})
		}
	case dispatch.Send:
		if arrives {
			env.sends = append(env.sends, s)
		}
	}
	s.Pending = nil
}

// Outstanding returns the submissions with an outstanding action.
func (env *Environment) Outstanding() []*Submission {
	var outstanding []*Submission
	for _, s := range env.Submissions {
		if s.Pending != nil {
			outstanding = append(outstanding, s)
		}
	}
	return outstanding
}

// Drain performs the remaining actions without faults until nothing is outstanding or
// in flight.
func (env *Environment) Drain(t *rapid.T) {
	for len(env.Outstanding())+len(env.writes)+len(env.sends) > 0 {
		env.DeliverOne(t)
		for _, s := range env.Outstanding() {
			env.Step(t, s, false)
		}
	}
}

// Draw draws a number from 0 to n-1.
func Draw(t *rapid.T, label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(t, label)
}
