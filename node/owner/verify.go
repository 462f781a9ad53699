package owner

import (
	"context"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// A backend server that restarts closes its connections and is cold from then
// on. An owner that has requests in flight sees the reset; one whose connections
// are idle would send its next requests over new connections, as many as it sent
// to the warm replica, together with those of the first owner. So every lost
// connection, idle ones included, stops new requests until a status poll has
// told the incarnation. Requests that hold a place but are not written yet are
// held back by the epoch. An owner that has no connection at all would hear of
// no loss; it polls first as well, and that poll's connection stays.

// acquire takes a place in the limit. Until the replica's incarnation is
// verified it answers REASON_LIMIT, which lets the task wait. Caller holds mu.
func (r *owned) acquire(t *task, now time.Time) pb.Reason {
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

// verify starts a status poll unless one runs. Caller holds mu.
func (r *owned) verify() {
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

// ConnectionLost takes in that a backend server closed a connection.
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
	// Polls of a warm replica may be seconds apart; the other owners must hear of a
	// restart before.
	r.planned, r.heardAt = time.Time{}, time.Time{}
	if len(r.queue) > 0 {
		r.verify()
	}
}

// current reports whether a request that got its place in an epoch may still be
// written: nothing was lost since, and a replica that one owner alone may use is
// still this node's. Opening a connection may have taken longer than a claim lasts,
// and the replica may have turned cold meanwhile.
func (r *owned) current(epoch uint64) bool {
	r.mu.Lock()
	same := r.epoch == epoch
	replica, alone := r.replica, r.limiter.FirstOwnerOnly()
	r.mu.Unlock()
	return same && (!alone || r.owner.Fleet.MayUseCold(replica))
}

// startQueued starts the tasks that waited, or refuses them all when the replica
// could not be verified: they may find another replica.
func (r *owned) startQueued() {
	r.mu.Lock()
	now := time.Now()
	var start [][]*task
	var refused []*task
	why := pb.Reason_REASON_CONNECTION
	if r.verified {
		start, refused, why = r.takeQueued(now)
	} else {
		refused = r.queue
		r.queue = nil
	}
	news := r.news()
	r.mu.Unlock()
	r.settle(start, refused, why, news)
}
