package simulation

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/dispatch"
)

// Environment is the oracle: a key-value store whose answers can be lost, late or
// from the past, and a backend service that counts what it ran.
type Environment struct {
	Now time.Time
	// Runs counts by idempotency key, or by request id for requests without one.
	Runs map[string]int
	// LastRunner is the id of the request that ran last, by the same key.
	LastRunner map[string]string
	// Uncertain keys met a crash or a send whose fate the sender could not know.
	Uncertain map[string]bool
	// Submissions holds every submission, oldest first.
	Submissions []*Submission

	// history holds every revision of a claim, oldest first.
	history map[string][]version
	rev     uint64
	// writes and sends are on the way: each lands at any later time, or never.
	writes []lateWrite
	sends  []*Submission
	broken Variant
}

type version struct {
	rev   uint64
	claim *pb.Claim
}

type lateWrite struct {
	key   string
	at    uint64
	claim *pb.Claim
}

// Submission is one request of a caller, and the machine that dispatches it.
type Submission struct {
	// ID is the request id, Key the idempotency key or the id without one.
	ID, Key, Digest string
	Machine         *dispatch.Machine
	// Pending is the outstanding action; nil when the machine waits for none.
	Pending dispatch.Action
	// Crashed says that the node of the request ended.
	Crashed bool
	// Finished counts the final answers to the caller.
	Finished int
	// Reports holds what the caller was told, oldest first.
	Reports []Report
}

// Report is an outcome and what was true of its key when it was told.
type Report struct {
	Outcome dispatch.Outcome
	// Ran counts runs so far and sends that may still run.
	Ran int
}

// NewEnvironment returns a world without requests, whose machines have the faults of a
// variant; the zero Variant has none.
func NewEnvironment(broken Variant) *Environment {
	return &Environment{
		Now:        time.Unix(1000, 0),
		Runs:       make(map[string]int),
		LastRunner: make(map[string]string),
		Uncertain:  make(map[string]bool),
		history:    make(map[string][]version),
		broken:     broken,
	}
}

// Submit starts a request, without an idempotency key when key is empty, whose
// deadline is left from now.
func (w *Environment) Submit(key, digest string, left time.Duration) *Submission {
	s := &Submission{ID: fmt.Sprintf("r%d", len(w.Submissions)), Key: key, Digest: digest}
	s.Machine = dispatch.New(dispatch.Params{
		RequestID:         s.ID,
		Keyed:             key != "",
		Digest:            digest,
		Deadline:          w.Now.Add(left),
		CompletionTimeout: 1000 * time.Hour,
	})
	if key == "" {
		s.Key = s.ID
	}
	w.Submissions = append(w.Submissions, s)
	w.Apply(s, s.Machine.Start(w.Now))
	return s
}

// Apply takes over the actions that a machine asked for. It panics when the
// machine asks for a second one before the answer to the first.
func (w *Environment) Apply(s *Submission, actions []dispatch.Action) {
	for _, a := range w.broken.actions(actions) {
		switch a := a.(type) {
		case dispatch.Finish:
			s.Finished++
			w.tell(s, a.Outcome)
		case dispatch.Revise:
			w.tell(s, a.Outcome)
		default:
			if s.Pending != nil {
				panic("two actions outstanding")
			}
			s.Pending = a
		}
	}
}

func (w *Environment) tell(s *Submission, o dispatch.Outcome) {
	ran := w.Runs[s.Key]
	for _, late := range w.sends {
		if late.Key == s.Key {
			ran++
		}
	}
	s.Reports = append(s.Reports, Report{Outcome: o, Ran: ran})
}

// Step carries out the outstanding action of a Submission with a drawn fault.
func (w *Environment) Step(t *rapid.T, s *Submission, faults bool) {
	a := s.Pending
	s.Pending = nil
	var e dispatch.Event
	switch a := a.(type) {
	case dispatch.Claim:
		e = w.write(t, s, a.Revision, a.Value, faults)
	case dispatch.CompleteClaim:
		e = w.write(t, s, a.Revision, a.Value, faults)
	case dispatch.ReadClaim:
		e = w.read(t, s, faults)
	case dispatch.Pick:
		e = dispatch.Picked{Replica: fmt.Sprintf("replica%d", len(a.Tried))}
		if faults && Draw(t, "no replica", 5) == 0 {
			reasons := []pb.Reason{pb.Reason_REASON_LIMIT, pb.Reason_REASON_COLD}
			e = dispatch.Picked{Reason: reasons[Draw(t, "why", len(reasons))]}
		}
	case dispatch.Send:
		e = w.send(t, s, a, faults)
	}
	w.Apply(s, s.Machine.Step(w.Now, w.broken.event(e, a)))
}

func (w *Environment) write(t *rapid.T, s *Submission, at uint64, claim *pb.Claim, faults bool) dispatch.Event {
	fate := 0
	if faults {
		fate = Draw(t, "write", 8)
	}
	switch fate {
	case 1:
		w.swap(s.Key, at, claim)
		return dispatch.ClaimWritten{Result: dispatch.WriteUncertain}
	case 2:
		w.writes = append(w.writes, lateWrite{key: s.Key, at: at, claim: claim})
		return dispatch.ClaimWritten{Result: dispatch.WriteUncertain}
	case 3:
		return dispatch.ClaimWritten{Result: dispatch.WriteFailed}
	case 4:
		// Applied, then replayed on the way: the second copy's answer comes back.
		w.swap(s.Key, at, claim)
	}
	rev, ok := w.swap(s.Key, at, claim)
	if !ok {
		return dispatch.ClaimWritten{Result: dispatch.WriteConflict}
	}
	return dispatch.ClaimWritten{Result: dispatch.WriteDone, Revision: rev}
}

func (w *Environment) swap(key string, at uint64, claim *pb.Claim) (uint64, bool) {
	h := w.history[key]
	var latest uint64
	if len(h) > 0 {
		latest = h[len(h)-1].rev
	}
	if at != latest {
		return 0, false
	}
	w.rev++
	w.history[key] = append(h, version{rev: w.rev, claim: claim})
	return w.rev, true
}

func (w *Environment) read(t *rapid.T, s *Submission, faults bool) dispatch.Event {
	h := w.history[s.Key]
	if faults {
		switch Draw(t, "read", 4) {
		case 1:
			return dispatch.ClaimRead{Result: dispatch.ReadFailed}
		case 2:
			h = h[:Draw(t, "past", len(h)+1)]
		}
	}
	if len(h) == 0 {
		return dispatch.ClaimRead{Result: dispatch.ReadAbsent}
	}
	v := h[len(h)-1]
	return dispatch.ClaimRead{Result: dispatch.ReadFound, Claim: v.claim, Revision: v.rev}
}

func (w *Environment) send(t *rapid.T, s *Submission, a dispatch.Send, faults bool) dispatch.Event {
	e := dispatch.Replied{Attempt: a.Attempt, Evidence: pb.Evidence_EVIDENCE_UNKNOWN, Reason: pb.Reason_REASON_CONNECTION}
	fate := 0
	if faults {
		fate = Draw(t, "send", 5)
	}
	switch fate {
	case 1: // ran, and the reply was lost
		w.run(s)
	case 2: // on the way, and the connection was lost
		w.sends = append(w.sends, s)
	case 3: // the connection was lost before the backend server had it all
	case 4:
		e.Evidence, e.Reason = pb.Evidence_EVIDENCE_NOT_RUN, pb.Reason_REASON_SHED
		return e
	default:
		w.run(s)
		e.Evidence, e.Reason = pb.Evidence_EVIDENCE_RAN, pb.Reason_REASON_UNSPECIFIED
		e.Result = []byte(s.ID)
		return e
	}
	w.Uncertain[s.Key] = true
	return e
}

func (w *Environment) run(s *Submission) {
	w.Runs[s.Key]++
	w.LastRunner[s.Key] = s.ID
}

// DeliverOne lets one write or send that was on the way arrive, or vanish.
func (w *Environment) DeliverOne(t *rapid.T) {
	n := len(w.writes) + len(w.sends)
	if n == 0 {
		return
	}
	i := Draw(t, "landing", n)
	arrives := Draw(t, "arrives", 4) > 0
	if i < len(w.writes) {
		late := w.writes[i]
		w.writes = append(w.writes[:i:i], w.writes[i+1:]...)
		if arrives {
			w.swap(late.key, late.at, late.claim)
		}
		return
	}
	i -= len(w.writes)
	s := w.sends[i]
	w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
	if arrives {
		w.run(s)
	}
}

// Crash ends a Submission's node; what it was doing may still arrive.
func (w *Environment) Crash(t *rapid.T, s *Submission) {
	w.Uncertain[s.Key] = true
	s.Crashed = true
	arrives := Draw(t, "left the node", 2) == 0
	switch a := s.Pending.(type) {
	case dispatch.Claim:
		if arrives {
			w.writes = append(w.writes, lateWrite{key: s.Key, at: a.Revision, claim: a.Value})
		}
	case dispatch.CompleteClaim:
		if arrives {
			w.writes = append(w.writes, lateWrite{key: s.Key, at: a.Revision, claim: a.Value})
		}
	case dispatch.Send:
		if arrives {
			w.sends = append(w.sends, s)
		}
	}
	s.Pending = nil
}

// Outstanding returns the submissions with something outstanding.
func (w *Environment) Outstanding() []*Submission {
	var busy []*Submission
	for _, s := range w.Submissions {
		if s.Pending != nil {
			busy = append(busy, s)
		}
	}
	return busy
}

// Drain ends the faults and lets everything finish.
func (w *Environment) Drain(t *rapid.T) {
	for len(w.Outstanding())+len(w.writes)+len(w.sends) > 0 {
		w.DeliverOne(t)
		for _, s := range w.Outstanding() {
			w.Step(t, s, false)
		}
	}
}

// Draw draws a number from 0 to n-1.
func Draw(t *rapid.T, label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(t, label)
}
