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
	backendHop = 100 * time.Microsecond
	// reportInterval is how often a first owner tells the others that a replica
	// is warm, beside at once after a change.
	reportInterval = time.Second
	// pollInterval is how often a first owner asks a lost replica for a sign of
	// life.
	pollInterval = time.Second
)

// owned is an owner's part of one replica.
type owned struct {
	node        *node
	replica     *config.Replica
	server      *server
	limiter     *limit.Limiter
	first       bool
	others      []*owned
	queue       []*task
	incarnation int
	told        pb.ReplicaState
	// held is the snapshot that the replica last said it holds, 0 before that.
	held uint64
}

// task is a subrequest at its owner.
type task struct {
	sent  *sent
	extra bool
	reply *pb.SubrequestResult
	done  func(*pb.SubrequestResult)
	// start is when it got its place in the limit.
	start time.Time
}

// serve takes one subrequest at the owner.
func (n *node) serve(a *sent, s query.Send, reply func(*pb.SubrequestResult)) {
	o := n.owned[s.Replica.Name]
	t := &task{sent: a, extra: s.Extra, done: reply, reply: &pb.SubrequestResult{
		Attempt: s.Attempt, Shard: s.Shard.Name, Replica: s.Replica.Name,
		Snapshot: s.Snapshot, Generation: s.Generation,
	}}
	a.task = t
	if n.run.scenario.Policy == Baseline {
		o.send(t)
		return
	}
	switch why := o.limiter.TryAcquire(n.run.loop.now()); {
	case why == pb.Reason_REASON_UNSPECIFIED:
		o.send(t)
	case why == pb.Reason_REASON_LIMIT && !t.extra && o.limiter.MayQueue(n.run.loop.now(), len(o.queue)):
		o.queue = append(o.queue, t)
	default:
		o.refuse(t, why)
	}
}

func (o *owned) refuse(t *task, why pb.Reason) {
	t.reply.Reason = why
	t.reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	t.reply.News = o.news()
	t.done(t.reply)
}

// send passes a task with a place in the limit on to the server.
func (o *owned) send(t *task) {
	loop := o.node.run.loop
	t.start = loop.now()
	t.sent.job = &job{query: t.sent.query.id, snapshot: t.reply.Snapshot, done: func(answer serverReply) {
		loop.after(backendHop, func() {
			if o.node.run.scenario.Policy == Carobmill {
				o.answered(t.start, answer)
			}
			fill(t.reply, answer)
			t.reply.News = o.news()
			t.done(t.reply)
		})
	}}
	loop.after(backendHop, func() { o.server.arrive(t.sent.job) })
}

// takeQueued gives free places to the tasks that wait, and refuses them when the
// replica may not be used any more.
func (o *owned) takeQueued() {
	for len(o.queue) > 0 {
		why := o.limiter.TryAcquire(o.node.run.loop.now())
		if why == pb.Reason_REASON_LIMIT {
			return
		}
		t := o.queue[0]
		o.queue = o.queue[1:]
		if why == pb.Reason_REASON_UNSPECIFIED {
			o.send(t)
		} else {
			o.refuse(t, why)
		}
	}
}

func fill(r *pb.SubrequestResult, answer serverReply) {
	r.Reason = answer.reason
	r.Snapshot = answer.snapshot
	r.Result = rowsOf(answer.snapshot)
	switch answer.reason {
	case pb.Reason_REASON_UNSPECIFIED:
		r.Evidence = pb.Evidence_EVIDENCE_RAN
	case pb.Reason_REASON_SHED, pb.Reason_REASON_NO_SNAPSHOT:
		r.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	default:
		r.Evidence = pb.Evidence_EVIDENCE_UNKNOWN
	}
}

// answered ends a request at the limiter.
func (o *owned) answered(start time.Time, answer serverReply) {
	now := o.node.run.loop.now()
	sample := limit.Sample{Latency: now.Sub(start), PeerLatency: o.node.subrequests.At(0.5)}
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
	o.tell()
	o.takeQueued()
}

// withdraw cancels a subrequest at the owner and then at the server.
func (n *node) withdraw(a *sent, replica *config.Replica) {
	o := n.owned[replica.Name]
	if i := slices.Index(o.queue, a.task); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
		return
	}
	j := a.job
	if j == nil || j.ended {
		return
	}
	limited := n.run.scenario.Policy == Carobmill
	if limited && o.limiter.RunToCompletion() {
		return
	}
	j.done = func(serverReply) {}
	n.run.loop.after(backendHop, func() { o.server.cancel(j) })
	if !limited {
		return
	}
	now := n.run.loop.now()
	o.limiter.Release(now, limit.Sample{
		Latency: now.Sub(a.task.start), Result: limit.ResultCancelled,
		PeerLatency: n.subrequests.At(0.5),
	})
	o.tell()
	o.takeQueued()
}

func (o *owned) news() *pb.ReplicaNews {
	return &pb.ReplicaNews{
		Replica: o.replica.Name, State: o.limiter.State(),
		InFlight: uint32(o.limiter.InFlight()), Limit: uint32(o.limiter.Limit()),
		OldestSnapshot: o.held, NewestSnapshot: o.held,
	}
}

// tell passes a changed state on to the replica's other owners.
func (o *owned) tell() {
	o.noteFull()
	state := o.limiter.State()
	if state == o.told {
		return
	}
	o.told = state
	o.report(state)
}

func (o *owned) report(state pb.ReplicaState) {
	loop := o.node.run.loop
	for _, other := range o.others {
		loop.after(o.node.hop(other.node), func() {
			switch {
			case state == pb.ReplicaState_REPLICA_STATE_COLD:
				other.limiter.Observe(loop.now(), limit.SignalColdReport)
			case state == pb.ReplicaState_REPLICA_STATE_WARM && o.first:
				other.limiter.ObserveWarm(loop.now())
			}
		})
	}
}

// reportWarm repeats the good news, which a distrustful owner ignored before.
func (o *owned) reportWarm() {
	if o.limiter.State() == pb.ReplicaState_REPLICA_STATE_WARM {
		o.report(pb.ReplicaState_REPLICA_STATE_WARM)
	}
	o.node.run.loop.after(reportInterval, o.reportWarm)
}

// poll asks a lost replica for a sign of life.
func (o *owned) poll() {
	loop := o.node.run.loop
	if o.limiter.State() == pb.ReplicaState_REPLICA_STATE_LOST && !o.server.down {
		o.limiter.Observe(loop.now(), limit.SignalReachable)
		o.tell()
	}
	loop.after(pollInterval, o.poll)
}

// noteFull records when a replica that was cold has its full share again.
func (o *owned) noteFull() {
	result := &o.node.run.servers[o.node.run.position[o.replica.Name]].full
	if o.limiter.State() != pb.ReplicaState_REPLICA_STATE_WARM {
		*result = 0
		return
	}
	if *result == 0 {
		*result = o.node.run.loop.elapsed
	}
}
