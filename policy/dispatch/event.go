package dispatch

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Event is the result of an action, or a cancellation.
type Event interface{ event() }

// WriteResult is the result of a compare-and-swap.
type WriteResult int

const (
	// WriteDone means that the value is written.
	WriteDone WriteResult = iota
	// WriteConflict means that the key is at another revision.
	WriteConflict
	// WriteUncertain means that the reply was lost. The write may have taken effect,
	// may still take effect, or may never do so.
	WriteUncertain
	// WriteFailed means that the platform was not reachable and nothing is written.
	WriteFailed
)

// ClaimWritten is the result of Claim and CompleteClaim.
type ClaimWritten struct {
	Result WriteResult
	// Revision is set for WriteDone.
	Revision uint64
}

// ReadResult is the result of a read.
type ReadResult int

const (
	// ReadFound means that the read returned a claim, which may be stale.
	ReadFound ReadResult = iota
	// ReadAbsent means that the read returned no claim, which may be stale.
	ReadAbsent
	// ReadFailed means that the platform was not reachable.
	ReadFailed
)

// ClaimRead is the result of ReadClaim.
type ClaimRead struct {
	Result ReadResult
	// Claim and Revision are set for ReadFound.
	Claim    *pb.Claim
	Revision uint64
}

// Picked is the result of Pick.
type Picked struct {
	// Replica is empty if no replica can be used, for Reason.
	Replica string
	Reason  pb.Reason
}

// Replied is the result of Send.
type Replied struct {
	Attempt  int
	Evidence pb.Evidence
	Reason   pb.Reason
	Result   []byte
}

// Cancelled reports that the caller no longer waits for the outcome, because the
// deadline passed or the caller cancelled. It may arrive at any time.
type Cancelled struct {
	Reason pb.Reason
}

func (ClaimWritten) event() {}
func (ClaimRead) event()    {}
func (Picked) event()       {}
func (Replied) event()      {}
func (Cancelled) event()    {}
