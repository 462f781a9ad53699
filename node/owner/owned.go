package owner

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/limit"
)

const (
	// cancelGrace is how long a cancelled request occupies its slot at a replica that
	// is not warm, because the replica may still process the request.
	cancelGrace = 200 * time.Millisecond
	// coldHoldDown is how long a report that the replica is warm is ignored after a
	// signal of a cold start. It exceeds the propagation time of reports between
	// owners. Otherwise, a report sent before the cold start would end the cold state.
	coldHoldDown = time.Second
)

// task is one request that is queued for a replica or in flight there.
type task struct {
	ctx      context.Context
	req      Request
	reply    func(*pb.SubrequestResult)
	queuedAt time.Time
	// epoch is the replica's epoch when the task acquired its slot.
	epoch uint64
}

// ownedReplica is the state of a replica that this node owns.
type ownedReplica struct {
	owner *Owner
	name  string

	// mu guards everything below.
	mu          sync.Mutex
	replica     *config.Replica
	limiter     *limit.Limiter
	queue       []*task
	snapshots   snapshotRange
	state       pb.ReplicaState
	incarnation string
	// reported is set when the current state was sent to the other owners.
	reported bool
	// scheduledAt is the time at which the last poll was scheduled. jitter, from 0 to 1,
	// spreads the next poll over half an interval.
	scheduledAt time.Time
	jitter      float64
	// statusAt is the time of the last reply with an incarnation. A lost connection
	// sets it to zero.
	statusAt time.Time
	// verified is set when a status poll has confirmed the incarnation and no
	// connection was lost since. verifying is set while that poll runs. Each lost
	// connection starts a new epoch; requests of an earlier epoch that are not
	// written yet are refused.
	verified  bool
	verifying bool
	epoch     uint64
	// batchPausedUntil is the time until which batches are disabled after the replica
	// did not support the batch call.
	batchPausedUntil time.Time
	// changed is Owner.revision at the last change of state or snapshots.
	changed uint64
}

// snapshotRange is the range of snapshots that a replica last reported.
type snapshotRange struct {
	oldest, newest uint64
}

func newOwnedReplica(o *Owner, r *config.Replica) *ownedReplica {
	share := o.share(r)
	o.Backend.SetConnections(r.Name, share)
	return &ownedReplica{
		owner:   o,
		name:    r.Name,
		replica: r,
		state:   pb.ReplicaState_REPLICA_STATE_COLD,
		limiter: limit.New(limit.Params{
			MaxInFlight:    share,
			ColdInFlight:   int(r.Service.Spec.GetColdInFlight()),
			First:          o.Fleet.MayUseCold(r),
			CancelGrace:    cancelGrace,
			HoldDown:       coldHoldDown,
			Exclusive:      r.Service.Spec.GetSilentColdStart(),
			ExclusiveGrace: r.Service.DefaultDeadline,
		}, time.Now()),
	}
}

// mayUseCold reports whether this node has the exclusive right to use the replica
// while the replica is cold. Each call of Fleet.MayUseCold renews a claim, which
// costs messages. It is therefore skipped for a warm replica, whose limit does not
// depend on the result, unless the service has silent cold starts. Caller does not
// hold mu.
func (r *ownedReplica) mayUseCold(replica *config.Replica, warm bool) bool {
	if warm && !replica.Service.Spec.GetSilentColdStart() {
		return false
	}
	return r.owner.Fleet.MayUseCold(replica)
}

// updateLimiter sets the limiter's parameters from the sheet and from this node's
// share. Caller holds mu.
func (r *ownedReplica) updateLimiter(now time.Time, replica *config.Replica, share int, first bool) {
	spec := replica.Service.Spec
	r.limiter.SetColdLimits(int(spec.GetColdInFlight()), spec.GetSilentColdStart())
	r.limiter.SetShare(now, share, first)
}

func (r *ownedReplica) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Address
}

// submit starts, queues or refuses a task.
func (r *ownedReplica) submit(t *task) {
	r.mu.Lock()
	replica := r.replica
	warm := r.limiter.State() == pb.ReplicaState_REPLICA_STATE_WARM
	r.mu.Unlock()
	first := r.mayUseCold(replica, warm)
	share := r.owner.share(replica)
	r.mu.Lock()
	now := time.Now()
	r.updateLimiter(now, replica, share, first)
	reason := r.acquire(t, now)
	if reason == pb.Reason_REASON_LIMIT && !t.req.Extra && r.mayQueue(t, now) {
		r.queue = append(r.queue, t)
		r.mu.Unlock()
		context.AfterFunc(t.ctx, func() { r.expire(t) })
		return
	}
	if reason == pb.Reason_REASON_UNSPECIFIED {
		r.mu.Unlock()
		r.start(t)
		return
	}
	report := r.report()
	r.mu.Unlock()
	refuse(t, reason, report)
}

// start passes a task that holds a slot to a worker.
func (r *ownedReplica) start(t *task) {
	if r.owner.Pool.Go(func() { r.run(t) }) {
		return
	}
	r.releaseSlot(limit.Sample{Result: limit.ResultNotSent})
	refuse(t, pb.Reason_REASON_LIMIT, nil)
}

// run sends a task to the backend server. The slot is released when the backend
// server has finished the request. For a cancelled request, that is after the reply
// to the sender.
func (r *ownedReplica) run(t *task) {
	started := time.Now()
	if t.ctx.Err() != nil {
		r.releaseSlot(limit.Sample{Result: limit.ResultNotSent})
		refuse(t, pb.Reason_REASON_DEADLINE, nil)
		return
	}
	acquired := &slot{replica: r, latency: r.owner.latencyOf(t.req.Service), typical: t.req.Typical}
	call := r.call(t.req)
	call.OnRelease = acquired.serverDone
	call.Gate = func() bool { return r.maySend(t.epoch) }
	ctx, end := r.requestContext(t)
	defer end()
	reply := r.owner.Backend.Do(ctx, call)
	r.mu.Lock()
	r.applyReply(reply, time.Now())
	report := r.report()
	r.mu.Unlock()
	acquired.replied(reply)
	r.finish(t, reply, t.result(reply, started, report))
}

// result converts a reply for the sender of the task. The report may be nil.
func (t *task) result(reply backend.Reply, started time.Time, report *pb.ReplicaNews) *pb.SubrequestResult {
	return &pb.SubrequestResult{
		Attempt:    t.req.Attempt,
		Shard:      t.req.Shard,
		Replica:    t.req.Replica,
		Reason:     reply.Reason,
		Evidence:   reply.Evidence,
		Snapshot:   reply.Snapshot,
		Generation: reply.Generation,
		Result:     reply.Result,
		ServiceUs:  uint64(reply.Took.Microseconds()),
		QueueUs:    uint64((started.Sub(t.queuedAt) + reply.Queued).Microseconds()),
		News:       report,
	}
}

func (r *ownedReplica) call(req Request) backend.Call {
	r.mu.Lock()
	replica := r.replica
	r.mu.Unlock()
	return backend.Call{
		Replica:    replica,
		Shard:      req.Shard,
		Generation: req.Generation,
		Snapshot:   req.Snapshot,
		Class:      req.Class,
		Attempt:    attemptID(req),
		RequestID:  req.RequestID,
		Body:       req.Body,
		Execute:    req.Execute,
	}
}

func refuse(t *task, reason pb.Reason, report *pb.ReplicaNews) {
	result := notRun(t.req, reason)
	result.News = report
	t.reply(result)
}
