package owner

import (
	"context"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// A backend server that restarts closes its connections and is cold. An owner with
// idle connections would open new ones and send as many requests as to the warm
// replica, at the same time as the first owner. Therefore every lost connection, also
// an idle one, stops new requests until a status poll has reported the incarnation.
// Requests that hold a slot but are not written yet are refused because their epoch
// has changed. An owner without connections cannot detect a restart. Such an owner also
// polls before it sends requests, and the connection of that poll stays open.

// acquire acquires a slot for a task. Until the replica's incarnation is verified,
// acquire returns REASON_LIMIT, so that the task is queued. Caller holds mu.
func (r *ownedReplica) acquire(t *task, now time.Time) pb.Reason {
	if r.verified && r.owner.Backend.Connections(r.name) == 0 {
		r.verified = false
	}
	if !r.verified {
		r.verify()
		return pb.Reason_REASON_LIMIT
	}
	t.epoch = r.epoch
	return r.limiter.TryAcquire(now)
}

// verify starts a status poll unless one is in flight. Caller holds mu.
func (r *ownedReplica) verify() {
	if r.verifying {
		return
	}
	r.verifying = true
	r.owner.background.Go(func() {
		r.poll(context.Background())
		r.mu.Lock()
		r.verifying = false
		r.mu.Unlock()
		r.startQueued()
	})
}

// ConnectionLost is called when a connection to a backend server was lost.
func (o *Owner) ConnectionLost(replica string) {
	o.mu.Lock()
	r := o.replicas[replica]
	o.mu.Unlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verified = false
	r.epoch++
	// The next poll of a warm replica may be seconds away. The other owners must
	// receive the report of a restart before that.
	r.scheduledAt, r.statusAt = time.Time{}, time.Time{}
	if len(r.queue) > 0 {
		r.verify()
	}
}

// maySend reports whether a request that acquired its slot in an epoch may still be
// written: no connection was lost since, and this node still holds the claim if only
// one owner may use the replica. Without this check, a request could be sent
// after the claim expired or the replica turned cold while a connection was opened.
func (r *ownedReplica) maySend(epoch uint64) bool {
	r.mu.Lock()
	sameEpoch := r.epoch == epoch
	replica, exclusive := r.replica, r.limiter.FirstOwnerOnly()
	r.mu.Unlock()
	return sameEpoch && (!exclusive || r.owner.Fleet.MayUseCold(replica))
}

// startQueued starts the queued tasks. If the replica was not verified, all are
// refused, so that their senders can try another replica.
func (r *ownedReplica) startQueued() {
	r.mu.Lock()
	now := time.Now()
	var start [][]*task
	var refused []*task
	reason := pb.Reason_REASON_CONNECTION
	if r.verified {
		start, refused, reason = r.dequeue(now)
	} else {
		refused = r.queue
		r.queue = nil
	}
	report := r.report()
	r.mu.Unlock()
	r.dispatch(start, refused, reason, report)
}
