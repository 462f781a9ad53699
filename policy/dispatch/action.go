package dispatch

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Action is what the runtime must do next. At most one action other than Finish
// and Revise is outstanding at a time.
type Action interface{ action() }

// Claim writes Value to the claim's key by compare-and-swap at Revision (0:
// absent). Answered by ClaimWritten.
type Claim struct {
	Revision uint64
	Value    *pb.Claim
}

// ReadClaim reads the claim's key after Delay. Answered by ClaimRead.
type ReadClaim struct {
	Delay time.Duration
}

// Pick chooses a replica that is not in Tried, after Delay. Answered by Picked.
type Pick struct {
	Tried []string
	Delay time.Duration
}

// Send sends the request to Replica, on one connection, once. Answered by
// Replied.
type Send struct {
	Replica string
	Attempt int
}

// Finish gives the caller its answer. It comes exactly once.
type Finish struct {
	Outcome Outcome
}

// Revise is a better outcome than Finish told, because a reply came after the
// caller had been answered. For later submissions of the same key.
type Revise struct {
	Outcome Outcome
}

// CompleteClaim writes the final claim by compare-and-swap at Revision after Delay.
// Answered by ClaimWritten.
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

// Outcome is what the caller is told.
type Outcome struct {
	// RequestID names the submission that the outcome belongs to: an earlier one
	// when Repeated is set.
	RequestID string
	Evidence  pb.Evidence
	Reason    pb.Reason
	Result    []byte
	// ResultDropped: the request ran, but its result was too large to keep.
	ResultDropped bool
	// Sent is false when this submission has run at no backend server and never
	// will, whatever earlier ones with the same key did.
	Sent bool
	// Repeated: the first outcome of an earlier submission with the same key.
	Repeated bool
	// RetryAfter is when to come back; 0 when coming back is pointless.
	RetryAfter time.Duration
}
