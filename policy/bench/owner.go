package bench

import (
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/limit"
	"github.com/carobmill/carobmill/policy/query"
)

const (
	backendDelay = 100 * time.Microsecond
	// reportInterval is the interval at which a first owner repeats to the other
	// owners that a replica is warm.
	reportInterval = time.Second
	// probeInterval is the interval at which a first owner probes a lost replica.
	probeInterval = time.Second
)

// ownedReplica is the state of one replica at one of its owners.
type ownedReplica struct {
	node          *node
	replica       *config.Replica
	server        *server
	limiter       *limit.Limiter
	isFirst       bool
	others        []*ownedReplica
	queue         []*task
	incarnation   int
	reportedState pb.ReplicaState
	// held is the snapshot that the replica last reported, or 0.
	held uint64
}

// task is a subrequest at its owner.
type task struct {
	attempt *attempt
	extra   bool
	reply   *pb.SubrequestResult
	done    func(*pb.SubrequestResult)
	// start is the time at which the task was sent to the server. With the Carobmill
	// policy, the task holds a concurrency slot from then on.
	start time.Time
}

// serve handles a subrequest at an owner of the replica.
func (n *node) serve(a *attempt, s query.Send, reply func(*pb.SubrequestResult)) {
	o := n.owned[s.Replica.Name]
	t := &task{attempt: a, extra: s.Extra, done: reply, reply: &pb.SubrequestResult{
		Attempt: s.Attempt, Shard: s.Shard.Name, Replica: s.Replica.Name,
		Snapshot: s.Snapshot, Generation: s.Generation,
	}}
	a.task = t
	if n.sim.scenario.Policy == Baseline {
		o.send(t)
		return
	}
	switch reason := o.limiter.TryAcquire(n.sim.loop.now()); {
	case reason == pb.Reason_REASON_UNSPECIFIED:
		o.send(t)
	case reason == pb.Reason_REASON_LIMIT && !t.extra && o.limiter.MayQueue(n.sim.loop.now(), len(o.queue)):
		o.queue = append(o.queue, t)
	default:
		o.refuse(t, reason)
	}
}

func (o *ownedReplica) refuse(t *task, reason pb.Reason) {
	t.reply.Reason = reason
	t.reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	t.reply.News = o.report()
	t.done(t.reply)
}

// send forwards a task to the server. With the Carobmill policy, the task must hold a
// concurrency slot.
func (o *ownedReplica) send(t *task) {
	loop := o.node.sim.loop
	t.start = loop.now()
	t.attempt.job = &job{query: t.attempt.query.id, snapshot: t.reply.Snapshot, done: func(answer serverReply) {
		loop.after(backendDelay, func() {
			if o.node.sim.scenario.Policy == Carobmill {
				o.complete(t.start, answer)
			}
			fillReply(t.reply, answer)
			t.reply.News = o.report()
			t.done(t.reply)
		})
	}}
	loop.after(backendDelay, func() { o.server.arrive(t.attempt.job) })
}

// dispatchQueued sends queued tasks while slots are free. It refuses them if the
// replica is no longer usable.
func (o *ownedReplica) dispatchQueued() {
	for len(o.queue) > 0 {
		reason := o.limiter.TryAcquire(o.node.sim.loop.now())
		if reason == pb.Reason_REASON_LIMIT {
			return
		}
		t := o.queue[0]
		o.queue = o.queue[1:]
		if reason == pb.Reason_REASON_UNSPECIFIED {
			o.send(t)
		} else {
			o.refuse(t, reason)
		}
	}
}

func fillReply(r *pb.SubrequestResult, answer serverReply) {
	r.Reason = answer.reason
	r.Snapshot = answer.snapshot
	r.Result = resultBody(answer.snapshot)
	switch answer.reason {
	case pb.Reason_REASON_UNSPECIFIED:
		r.Evidence = pb.Evidence_EVIDENCE_RAN
	case pb.Reason_REASON_SHED, pb.Reason_REASON_NO_SNAPSHOT:
		r.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	default:
		r.Evidence = pb.Evidence_EVIDENCE_UNKNOWN
	}
}

// complete releases the slot of a task and reports the outcome to the limiter.
func (o *ownedReplica) complete(start time.Time, answer serverReply) {
	now := o.node.sim.loop.now()
	sample := limit.Sample{Latency: now.Sub(start), PeerLatency: o.node.warmLatencies.At(0.5)}
	if answer.held != 0 {
		o.held = answer.held
	}
	switch answer.reason {
	case pb.Reason_REASON_UNSPECIFIED, pb.Reason_REASON_NO_SNAPSHOT:
		if answer.incarnation != o.incarnation {
			o.incarnation = answer.incarnation
			o.limiter.Observe(now, limit.SignalIncarnation)
		}
		sample.Result = limit.ResultOK
	case pb.Reason_REASON_SHED:
		sample.Result = limit.ResultShed
	default:
		sample.Result = limit.ResultConnectionFailed
	}
	o.limiter.Release(now, sample)
	o.reportChange()
	o.dispatchQueued()
}

// cancelAtOwner cancels a subrequest at the owner and, if it was sent, at the server. A
// request that its limiter requires to run to completion is not cancelled.
func (n *node) cancelAtOwner(a *attempt, replica *config.Replica) {
	o := n.owned[replica.Name]
	if i := slices.Index(o.queue, a.task); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
		return
	}
	j := a.job
	if j == nil || j.ended {
		return
	}
	limited := n.sim.scenario.Policy == Carobmill
	if limited && o.limiter.RunToCompletion() {
		return
	}
	j.done = func(serverReply) {}
	n.sim.loop.after(backendDelay, func() { o.server.cancel(j) })
	if !limited {
		return
	}
	now := n.sim.loop.now()
	o.limiter.Release(now, limit.Sample{
		Latency: now.Sub(a.task.start), Result: limit.ResultCancelled,
		PeerLatency: n.warmLatencies.At(0.5),
	})
	o.reportChange()
	o.dispatchQueued()
}

func (o *ownedReplica) report() *pb.ReplicaNews {
	return &pb.ReplicaNews{
		Replica: o.replica.Name, State: o.limiter.State(),
		InFlight: uint32(o.limiter.InFlight()), Limit: uint32(o.limiter.Limit()),
		OldestSnapshot: o.held, NewestSnapshot: o.held,
	}
}

// reportChange reports a changed state to the other owners of the replica.
func (o *ownedReplica) reportChange() {
	o.recordFullShare()
	state := o.limiter.State()
	if state == o.reportedState {
		return
	}
	o.reportedState = state
	o.reportState(state)
}

func (o *ownedReplica) reportState(state pb.ReplicaState) {
	loop := o.node.sim.loop
	for _, other := range o.others {
		loop.after(o.node.networkDelay(other.node), func() {
			switch {
			case state == pb.ReplicaState_REPLICA_STATE_COLD:
				other.limiter.Observe(loop.now(), limit.SignalColdReport)
			case state == pb.ReplicaState_REPLICA_STATE_WARM && o.isFirst:
				other.limiter.ObserveWarm(loop.now())
			}
		})
	}
}

// reportWarm periodically repeats the warm state. Without it, an owner that ignored
// an earlier report after a cold-start signal would keep its limit low.
func (o *ownedReplica) reportWarm() {
	if o.limiter.State() == pb.ReplicaState_REPLICA_STATE_WARM {
		o.reportState(pb.ReplicaState_REPLICA_STATE_WARM)
	}
	o.node.sim.loop.after(reportInterval, o.reportWarm)
}

// probe marks a lost replica as reachable once its server accepts connections.
func (o *ownedReplica) probe() {
	loop := o.node.sim.loop
	if o.limiter.State() == pb.ReplicaState_REPLICA_STATE_LOST && !o.server.down {
		o.limiter.Observe(loop.now(), limit.SignalReachable)
		o.reportChange()
	}
	loop.after(probeInterval, o.probe)
}

// recordFullShare records when the owner first considers the replica warm. A
// replica that is not warm resets the record.
func (o *ownedReplica) recordFullShare() {
	result := &o.node.sim.servers[o.node.sim.position[o.replica.Name]].fullShareAt
	if o.limiter.State() != pb.ReplicaState_REPLICA_STATE_WARM {
		*result = 0
		return
	}
	if *result == 0 {
		*result = o.node.sim.loop.elapsed
	}
}
