package dispatch

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Action is an operation that the runtime must perform next. At most one action other
// than Finish and Revise is outstanding at a time.
type Action interface{ action() }

// Claim writes Value to the claim's key by compare-and-swap at Revision; 0 means that
// the key is absent. The result is a ClaimWritten event.
type Claim struct {
	Revision uint64
	Value    *pb.Claim
}

// ReadClaim reads the claim's key after Delay. The result is a ClaimRead event.
type ReadClaim struct {
	Delay time.Duration
}

// Pick chooses a replica that is not in Tried, after Delay. The result is a Picked
// event.
type Pick struct {
	Tried []string
	Delay time.Duration
}

// Send sends the request to Replica once, on one connection. The result is a Replied
// event.
type Send struct {
	Replica string
	Attempt int
}

// Finish returns the outcome to the caller. Each machine emits it exactly once.
type Finish struct {
	Outcome Outcome
}

// Revise replaces the outcome of Finish, because a reply arrived after the caller was
// answered. The new outcome applies to later submissions of the same key.
type Revise struct {
	Outcome Outcome
}

// CompleteClaim writes the final claim by compare-and-swap at Revision after Delay.
// The result is a ClaimWritten event.
type CompleteClaim struct {
	Revision uint64
	Value    *pb.Claim
	Delay    time.Duration
}

func (Claim) action()         {}
func (ReadClaim) action()     {}
func (Pick) action()          {}
func (Send) action()          {}
func (Finish) action()        {}
func (Revise) action()        {}
func (CompleteClaim) action() {}

// Outcome is the result of a request as reported to the caller.
type Outcome struct {
	// RequestID is the id of the submission that the outcome belongs to. It is an
	// earlier submission if Repeated is set.
	RequestID string
	Evidence  pb.Evidence
	Reason    pb.Reason
	Result    []byte
	// ResultDropped is set if the request ran but its result exceeds the size limit
	// of a claim.
	ResultDropped bool
	// Sent is false if this submission has not run at any backend server and never
	// will, whatever earlier submissions with the same key did.
	Sent bool
	// Repeated is set if the outcome is that of an earlier submission with the same
	// key.
	Repeated bool
	// RetryAfter is the delay after which the caller should retry. It is 0 if the caller
	// should not retry.
	RetryAfter time.Duration
}
