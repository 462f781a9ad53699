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
	// cancelGrace is how long a cold replica may go on working on a request
	// that was cancelled.
	cancelGrace = 200 * time.Millisecond
	// coldHoldDown exceeds the time that news takes between owners.
	coldHoldDown = time.Second
)

// task is one request on its way to a replica.
type task struct {
	ctx      context.Context
	req      Request
	reply    func(*pb.SubrequestResult)
	queuedAt time.Time
	// epoch of the replica in which the task got its place.
	epoch uint64
}

// owned is one replica that this node owns.
type owned struct {
	owner *Owner
	name  string

	// mu guards everything below.
	mu      sync.Mutex
	replica *config.Replica
	limiter *limit.Limiter
	queue   []*task
	held    snapshots
	state   pb.ReplicaState
	incarn  string
	// told is set once the other owners know the state.
	told bool
	// planned is when a poll was last due, and jitter, from 0 to 1, spreads the
	// next one over half an interval.
	planned time.Time
	jitter  float64
	// heardAt is when the replica last said what it is.
	heardAt time.Time
	// verified is set while the replica is known to be the incarnation that the
	// limiter was told about: a status poll has said so, and no connection was
	// lost since. verifying is set while that poll runs. Each loss begins a new
	// epoch, which ends requests that have not been written yet.
	verified  bool
	verifying bool
	epoch     uint64
	// singleUntil is when batches may be tried again after one was not served.
	singleUntil time.Time
	// changed is the owner's revision at the last change of state or snapshots.
	changed uint64
}

// snapshots is the range of snapshots that a replica last said it holds.
type snapshots struct {
	oldest, newest uint64
}

func newOwned(o *Owner, r *config.Replica) *owned {
	share := o.share(r)
	o.Backend.SetConnections(r.Name, share)
	return &owned{
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

// mayUseCold asks the fleet, without the lock, whether this node alone may use
// the replica while it is cold. Each question keeps a claim and its messages
// going, so it is not asked about a warm replica, whose limit does not depend on
// the answer, unless its service has silent cold starts.
func (r *owned) mayUseCold(replica *config.Replica, warm bool) bool {
	if warm && !replica.Service.Spec.GetSilentColdStart() {
		return false
	}
	return r.owner.Fleet.MayUseCold(replica)
}

// restate tells the limiter what the sheet says of the replica, and this node's
// part in it. Caller holds mu.
func (r *owned) restate(now time.Time, replica *config.Replica, share int, first bool) {
	spec := replica.Service.Spec
	r.limiter.SetCold(int(spec.GetColdInFlight()), spec.GetSilentColdStart())
	r.limiter.SetShare(now, share, first)
}

func (r *owned) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Address
}

// submit starts a task, queues it, or refuses it.
func (r *owned) submit(t *task) {
	r.mu.Lock()
	replica := r.replica
	warm := r.limiter.State() == pb.ReplicaState_REPLICA_STATE_WARM
	r.mu.Unlock()
	first := r.mayUseCold(replica, warm)
	share := r.owner.share(replica)
	r.mu.Lock()
	now := time.Now()
	r.restate(now, replica, share, first)
	why := r.acquire(t, now)
	if why == pb.Reason_REASON_LIMIT && !t.req.Extra && r.mayWait(t, now) {
		r.queue = append(r.queue, t)
		r.mu.Unlock()
		context.AfterFunc(t.ctx, func() { r.expire(t) })
		return
	}
	if why == pb.Reason_REASON_UNSPECIFIED {
		r.mu.Unlock()
		r.start(t)
		return
	}
	news := r.news()
	r.mu.Unlock()
	refuse(t, why, news)
}

// start hands a task that holds a place in the limit to a worker.
func (r *owned) start(t *task) {
	if r.owner.Pool.Go(func() { r.run(t) }) {
		return
	}
	r.giveBack(limit.Sample{Result: limit.ResultNotSent})
	refuse(t, pb.Reason_REASON_LIMIT, nil)
}

// run carries a task to the backend server. Its place in the limit is given back
// when the backend server is rid of it, which for a cancelled request is later
// than the reply to its sender.
func (r *owned) run(t *task) {
	started := time.Now()
	if t.ctx.Err() != nil {
		r.giveBack(limit.Sample{Result: limit.ResultNotSent})
		refuse(t, pb.Reason_REASON_DEADLINE, nil)
		return
	}
	place := &place{replica: r, recent: r.owner.recentOf(t.req.Service), typical: t.req.Typical}
	call := r.call(t.req)
	call.OnRelease = place.settled
	call.Gate = func() bool { return r.current(t.epoch) }
	ctx, end := r.patience(t)
	defer end()
	reply := r.owner.Backend.Do(ctx, call)
	r.mu.Lock()
	r.learn(reply, time.Now())
	news := r.news()
	r.mu.Unlock()
	place.replied(reply)
	t.reply(t.result(reply, started, news))
}

// result is what the task's sender hears of a reply. News may be nil.
func (t *task) result(reply backend.Reply, started time.Time, news *pb.ReplicaNews) *pb.SubrequestResult {
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
		News:       news,
	}
}

func (r *owned) call(req Request) backend.Call {
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

func refuse(t *task, why pb.Reason, news *pb.ReplicaNews) {
	result := notRun(t.req, why)
	result.News = news
	t.reply(result)
}
