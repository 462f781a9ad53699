package owner

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/policy/limit"
)

// applyReply updates the state of the replica from a reply or a poll. Caller holds mu.
func (r *ownedReplica) applyReply(reply backend.Reply, now time.Time) {
	if reply.Newest != 0 {
		r.setSnapshots(snapshotRange{oldest: reply.Oldest, newest: reply.Newest})
	}
	for _, signal := range r.signals(reply) {
		r.limiter.Observe(now, signal)
	}
	if reply.Incarnation != "" {
		r.incarnation = reply.Incarnation
		r.statusAt = now
	}
	r.updateState()
}

// setSnapshots records the snapshots that the replica holds. Caller holds mu.
func (r *ownedReplica) setSnapshots(held snapshotRange) {
	if held == r.snapshots {
		return
	}
	r.snapshots = held
	r.changed = r.owner.revision.Add(1)
}

// signals returns the signals for the limiter in a reply. Caller holds mu.
func (r *ownedReplica) signals(reply backend.Reply) []limit.Signal {
	var signals []limit.Signal
	restarted := reply.Incarnation != "" && r.incarnation != "" && reply.Incarnation != r.incarnation
	if restarted {
		signals = append(signals, limit.SignalIncarnation)
	}
	if reply.Reason == pb.Reason_REASON_CONNECTION && !reply.Silent {
		signals = append(signals, limit.SignalReset)
	}
	if reply.OK() && r.limiter.State() == pb.ReplicaState_REPLICA_STATE_LOST {
		signals = append(signals, limit.SignalReachable)
	}
	if reply.OK() && r.limiter.Draining() && !reply.Draining {
		signals = append(signals, limit.SignalServing)
	}
	if reply.Cold {
		signals = append(signals, limit.SignalColdReport)
	}
	if reply.Draining {
		signals = append(signals, limit.SignalDraining)
	}
	return signals
}

// updateState follows the limiter's state and records a change in the decision
// ring. Caller holds mu.
func (r *ownedReplica) updateState() {
	state := r.limiter.State()
	if state == r.state {
		return
	}
	r.state = state
	r.reported = false
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

// reportableState returns the state that is reported to other nodes. An owner without
// connections does not detect a restart. If it reported the replica as warm, another
// owner would send to a cold replica at the same time as the first owner. Caller
// holds mu.
func (r *ownedReplica) reportableState() pb.ReplicaState {
	state := r.limiter.State()
	verified := r.verified && r.owner.Backend.Connections(r.name) > 0
	if state == pb.ReplicaState_REPLICA_STATE_WARM && !verified {
		return pb.ReplicaState_REPLICA_STATE_UNSPECIFIED
	}
	return state
}

// report returns the report on the replica for other nodes. Caller holds mu.
func (r *ownedReplica) report() *pb.ReplicaNews {
	return &pb.ReplicaNews{
		Replica:        r.name,
		OldestSnapshot: r.snapshots.oldest,
		NewestSnapshot: r.snapshots.newest,
		State:          r.reportableState(),
		InFlight:       uint32(r.limiter.InFlight()),
		Limit:          uint32(r.limiter.Limit()),
	}
}
