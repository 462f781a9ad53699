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
	// Generation that the reply must come from; 0 takes any.
	Generation uint64
	// Snapshot that the reply must come from; 0 asks for the newest.
	Snapshot uint64
	Class    string
	// Attempt is unique across nodes and restarts; the reply must repeat it.
	Attempt string
	// RequestID names a non-idempotent request; it is the same on each attempt.
	RequestID string
	Body      []byte
	// Execute marks a non-idempotent request.
	Execute bool
	// Gate, if set, is asked when a connection is there, right before anything is
	// written; on false the attempt ends as not run.
	Gate func() bool
	// OnRelease, if set, is called once when the request no longer occupies the
	// replica: its reply was read, it was never sent, or the backend server has
	// noticed that its connection or stream was closed. For a cancelled call this
	// is later than Do's return, so limits on requests in flight are released
	// here and not when Do returns.
	OnRelease func()

	// batch is set on the call that carries one.
	batch *batch
}

// Reply is the outcome of one attempt.
type Reply struct {
	// Reason is REASON_UNSPECIFIED when Result holds the replica's answer.
	Reason   pb.Reason
	Evidence pb.Evidence
	// Snapshot and Generation that the answer came from.
	Snapshot, Generation uint64
	// Oldest and Newest snapshot that the replica holds; 0 when it did not say.
	Oldest, Newest uint64
	// Incarnation changes when the backend server restarts.
	Incarnation    string
	Cold, Draining bool
	// Load that the replica reports: requests in flight for each slot.
	Load   float64
	Result []byte
	// Silent is set with REASON_CONNECTION when the connection went silent while
	// others to the replica work. It says nothing about the replica, and is no
	// sign of a cold start.
	Silent bool
	// BatchUnsupported is set when the backend server does not know the batch call.
	BatchUnsupported bool
	// Queued is the time spent waiting for a connection, Took the time from
	// then until the reply was read.
	Queued, Took time.Duration
	// NewConnection is set when the attempt was the first on its connection.
	NewConnection bool
}

// OK reports whether the reply holds an answer.
func (r Reply) OK() bool {
	return r.Reason == pb.Reason_REASON_UNSPECIFIED
}

func notRun(reason pb.Reason) Reply {
	return Reply{Reason: reason, Evidence: pb.Evidence_EVIDENCE_NOT_RUN}
}
