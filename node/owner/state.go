package owner

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/policy/limit"
)

// learn takes in what a reply or poll says about the replica. Caller holds mu.
func (r *owned) learn(reply backend.Reply, now time.Time) {
	if reply.Newest != 0 {
		r.hold(snapshots{oldest: reply.Oldest, newest: reply.Newest})
	}
	for _, sign := range r.signs(reply) {
		r.limiter.Observe(now, sign)
	}
	if reply.Incarnation != "" {
		r.incarn = reply.Incarnation
		r.heardAt = now
	}
	r.noteState()
}

// hold notes which snapshots the replica has. Caller holds mu.
func (r *owned) hold(held snapshots) {
	if held == r.held {
		return
	}
	r.held = held
	r.changed = r.owner.revision.Add(1)
}

// signs lists what a reply tells about a cold start or draining.
func (r *owned) signs(reply backend.Reply) []limit.Signal {
	var signs []limit.Signal
	restarted := reply.Incarnation != "" && r.incarn != "" && reply.Incarnation != r.incarn
	if restarted {
		signs = append(signs, limit.SignalIncarnation)
	}
	if reply.Reason == pb.Reason_REASON_CONNECTION && !reply.Silent {
		signs = append(signs, limit.SignalReset)
	}
	if reply.OK() && r.limiter.State() == pb.ReplicaState_REPLICA_STATE_LOST {
		signs = append(signs, limit.SignalReachable)
	}
	if reply.OK() && r.limiter.Draining() && !reply.Draining {
		signs = append(signs, limit.SignalServing)
	}
	if reply.Cold {
		signs = append(signs, limit.SignalColdReport)
	}
	if reply.Draining {
		signs = append(signs, limit.SignalDraining)
	}
	return signs
}

// noteState records a change of state in the decision ring. Caller holds mu.
func (r *owned) noteState() {
	state := r.limiter.State()
	if state == r.state {
		return
	}
	r.state = state
	r.told = false
	r.changed = r.owner.revision.Add(1)
	kind := map[pb.ReplicaState]ring.Kind{
		pb.ReplicaState_REPLICA_STATE_COLD:     ring.ReplicaCold,
		pb.ReplicaState_REPLICA_STATE_WARM:     ring.ReplicaWarm,
		pb.ReplicaState_REPLICA_STATE_DRAINING: ring.ReplicaDraining,
	}[state]
	detail := ""
	if kind == ring.ReplicaCold {
		detail = r.limiter.LastSignal().String()
	}
	if kind != "" {
		r.owner.Ring.Add(kind, r.name, detail)
	}
}

// toldState is the state that others may rely on. An owner that has lost its
// connections, or has none, would not know of a restart since: another owner that
// took its word for "warm" would send to a cold replica together with the first
// owner. Caller holds mu.
func (r *owned) toldState() pb.ReplicaState {
	state := r.limiter.State()
	known := r.verified && r.owner.Backend.Connections(r.name) > 0
	if state == pb.ReplicaState_REPLICA_STATE_WARM && !known {
		return pb.ReplicaState_REPLICA_STATE_UNSPECIFIED
	}
	return state
}

// news is what the owner tells about the replica. Caller holds mu.
func (r *owned) news() *pb.ReplicaNews {
	return &pb.ReplicaNews{
		Replica:        r.name,
		OldestSnapshot: r.held.oldest,
		NewestSnapshot: r.held.newest,
		State:          r.toldState(),
		InFlight:       uint32(r.limiter.InFlight()),
		Limit:          uint32(r.limiter.Limit()),
	}
}
