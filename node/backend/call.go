package backend

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Call is one attempt at one replica.
type Call struct {
	Replica *config.Replica
	Shard   string
	// Generation that the reply must come from; 0 accepts any.
	Generation uint64
	// Snapshot that the reply must come from; 0 requests the newest.
	Snapshot uint64
	Class    string
	// Attempt is unique across nodes and restarts; the reply must repeat it.
	Attempt string
	// RequestID identifies a non-idempotent request; it is the same on each attempt.
	RequestID string
	Body      []byte
	// Execute marks a non-idempotent request.
	Execute bool
	// Gate, if set, is called when a connection is available, right before the
	// request is written. It is called again if that connection turns out to be closed
	// and another one is used. If Gate returns false, the attempt ends as not run.
	Gate func() bool
	// OnRelease, if set, is called once when the request no longer occupies the
	// replica: its reply was read, it was never sent, the backend server has closed
	// its end of the connection, or the time within which the server must have stopped
	// working on the request has passed. For a cancelled call this can be later than
	// Do's return, so limits on requests in flight are released here and not when Do
	// returns.
	OnRelease func()

	// batch is set on the call that carries a batch.
	batch *batch
}

// Reply is the outcome of one attempt.
type Reply struct {
	// Reason is REASON_UNSPECIFIED when Result holds the replica's answer.
	Reason   pb.Reason
	Evidence pb.Evidence
	// Snapshot and Generation of the answer.
	Snapshot, Generation uint64
	// Oldest and Newest snapshot that the replica holds; 0 if not reported.
	Oldest, Newest uint64
	// Incarnation changes when the backend server restarts.
	Incarnation    string
	Cold, Draining bool
	// Load that the replica reports: requests in flight for each slot.
	Load   float64
	Result []byte
	// Silent is set with REASON_CONNECTION when the connection received no data
	// while others to the replica work. It does not indicate a fault or a cold
	// start of the replica.
	Silent bool
	// BatchUnsupported is set when the backend server does not support batches.
	BatchUnsupported bool
	// Queued is the time spent waiting for a connection, Took the time from
	// then until the reply was read.
	Queued, Took time.Duration
	// NewConnection is set when the attempt was the first exchange on its connection.
	NewConnection bool
}

// OK reports whether the reply holds an answer.
func (r Reply) OK() bool {
	return r.Reason == pb.Reason_REASON_UNSPECIFIED
}

func notRun(reason pb.Reason) Reply {
	return Reply{Reason: reason, Evidence: pb.Evidence_EVIDENCE_NOT_RUN}
}
