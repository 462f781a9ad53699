package dispatch

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Event is what happened.
type Event interface{ event() }

// WriteResult is the fate of a compare-and-swap.
type WriteResult int

const (
	// WriteDone means: the value is written.
	WriteDone WriteResult = iota
	// WriteConflict means: the key is at another revision.
	WriteConflict
	// WriteUncertain means: the answer was lost; the write took effect, or will, or not.
	WriteUncertain
	// WriteFailed means: the platform could not be asked; nothing is written.
	WriteFailed
)

// ClaimWritten answers Claim and Settle.
type ClaimWritten struct {
	Result WriteResult
	// Revision is set for WriteDone.
	Revision uint64
}

// ReadResult is the fate of a read.
type ReadResult int

const (
	// ReadFound means: the claim as it was at some moment, perhaps in the past.
	ReadFound ReadResult = iota
	// ReadAbsent means: there was no claim at some moment.
	ReadAbsent
	// ReadFailed means: the platform could not be asked.
	ReadFailed
)

// ClaimRead answers ReadClaim.
type ClaimRead struct {
	Result ReadResult
	// Claim and Revision are set for ReadFound.
	Claim    *pb.Claim
	Revision uint64
}

// Picked answers Pick.
type Picked struct {
	// Replica is empty when no replica can be used, for Reason.
	Replica string
	Reason  pb.Reason
}

// Replied answers Send.
type Replied struct {
	Attempt  int
	Evidence pb.Evidence
	Reason   pb.Reason
	Result   []byte
}

// Cancelled tells that nobody waits for the outcome any longer: the deadline
// passed or the caller cancelled. It may come at any time.
type Cancelled struct {
	Reason pb.Reason
}

func (ClaimWritten) event() {}
func (ClaimRead) event()    {}
func (Picked) event()       {}
func (Replied) event()      {}
func (Cancelled) event()    {}
