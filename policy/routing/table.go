package routing

import (
	"math/rand/v2"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Result is the result of a subrequest as far as it affects the choice of a replica.
type Result int

const (
	// ResultOK means that the replica answered.
	ResultOK Result = iota
	// ResultFailed means that the replica answered with an error or that its
	// connection was lost.
	ResultFailed
	// ResultCancelled means that the subrequest was cancelled. Its latency is a lower
	// bound.
	ResultCancelled
	// ResultRefused means that an owner refused the subrequest because of a limit,
	// because the replica is cold, or because the owner does not own the replica. It
	// provides no latency sample.
	ResultRefused
	// ResultNoPeer means that no owner of the replica was reachable.
	ResultNoPeer
)

const (
	// latencyWeight is the weight of one answer in the moving average of a busy
	// replica, which covers some ten answers.
	latencyWeight = 0.1
	// staleAfter is the idle time after which one answer has the same weight as all
	// earlier answers.
	staleAfter = time.Second
	// outlierFactor bounds a latency sample to a multiple of the average, so that a
	// few random slow answers do not make a replica slow.
	outlierFactor = 3
	// firstLatency is assumed for a replica without answers. It is low, so that each
	// replica is tried.
	firstLatency = time.Millisecond
	// refusedPause is the time without picks after a refusal. It doubles with each
	// consecutive refusal or failure, up to maxPause.
	refusedPause = 5 * time.Millisecond
	// failedPause is the same after a failure.
	failedPause = 20 * time.Millisecond
	maxPause    = time.Second
)

// replica is the state of one replica as observed by this node.
type replica struct {
	// latency is a moving average in nanoseconds; 0 before the first answer.
	latency float64
	// updatedAt is the time of the last change of latency.
	updatedAt time.Time
	inFlight  int
	// otherInFlight is the number of requests in flight from other nodes, and limit
	// the concurrency limit. Both were reported by an owner at reportedAt.
	otherInFlight int
	limit         int
	reportedAt    time.Time
	state         pb.ReplicaState
	// pausedUntil is the end of the pause after a failure or refusal. failures counts
	// consecutive failures and refusals.
	pausedUntil time.Time
	failures    int
	// lastProbe is the time of the last request while the replica was a straggler or
	// not reported warm.
	lastProbe time.Time
}

// Table holds the recent latency and load of the replicas that a node uses.
type Table struct {
	rng      *rand.Rand
	replicas map[string]*replica
	// cold counts the replicas that were last reported cold.
	cold int
	// choices is a buffer that Pick and PickHedge reuse to avoid allocations.
	choices []choice
}

// New returns an empty table. Pick uses rng.
func New(rng *rand.Rand) *Table {
	return &Table{rng: rng, replicas: make(map[string]*replica)}
}

// Sent counts a subrequest to a replica. Done must follow.
func (t *Table) Sent(name string, now time.Time) {
	r := t.replica(name)
	r.inFlight++
	if r.state != pb.ReplicaState_REPLICA_STATE_WARM {
		r.lastProbe = now
	}
}

// Done ends a subrequest.
func (t *Table) Done(name string, now time.Time, latency time.Duration, result Result) {
	r := t.replica(name)
	r.inFlight = max(r.inFlight-1, 0)
	switch result {
	case ResultOK:
		r.failures = 0
		r.pausedUntil = time.Time{}
		r.observe(now, latency)
	case ResultCancelled:
		// The remaining time is estimated to be as long as the time already elapsed.
		if float64(latency) > r.latency {
			r.observe(now, 2*latency)
		}
		if r.state == pb.ReplicaState_REPLICA_STATE_COLD {
			// The replica accepted the copy, so the earlier refusals were caused by
			// an occupied slot.
			r.failures = 0
		}
	case ResultRefused:
		r.pause(now, refusedPause)
	case ResultFailed, ResultNoPeer:
		r.pause(now, failedPause)
	}
}

// ApplyReport applies an owner's report on a replica.
func (t *Table) ApplyReport(report *pb.ReplicaNews, now time.Time) {
	r := t.replica(report.GetReplica())
	r.otherInFlight = max(int(report.GetInFlight())-r.inFlight, 0)
	r.limit = int(report.GetLimit())
	r.reportedAt = now
	if report.GetState() != pb.ReplicaState_REPLICA_STATE_UNSPECIFIED {
		t.setState(r, report.GetState())
	}
}

// setState applies a reported state. A replica that becomes warm starts with an empty
// history. Otherwise its latency while cold would make it a straggler, and earlier
// refusals would keep it paused, for seconds after its owner admits the full load.
func (t *Table) setState(r *replica, state pb.ReplicaState) {
	if state == pb.ReplicaState_REPLICA_STATE_WARM && r.restricted() {
		r.latency = 0
		r.updatedAt = time.Time{}
		r.failures = 0
		r.pausedUntil = time.Time{}
	}
	if r.state == pb.ReplicaState_REPLICA_STATE_COLD {
		t.cold--
	}
	if state == pb.ReplicaState_REPLICA_STATE_COLD {
		t.cold++
	}
	r.state = state
}

// Latency returns a replica's recent latency, or 0 if there is none.
func (t *Table) Latency(name string) time.Duration {
	if r := t.replicas[name]; r != nil {
		return time.Duration(r.latency)
	}
	return 0
}

// State returns a replica's last reported state.
func (t *Table) State(name string) pb.ReplicaState {
	if r := t.replicas[name]; r != nil {
		return r.state
	}
	return pb.ReplicaState_REPLICA_STATE_UNSPECIFIED
}

// Prune removes the replicas that are not in the index.
func (t *Table) Prune(index *config.Index) {
	for name, r := range t.replicas {
		if index.Replicas[name] != nil {
			continue
		}
		t.setState(r, pb.ReplicaState_REPLICA_STATE_UNSPECIFIED)
		delete(t.replicas, name)
	}
}

func (t *Table) replica(name string) *replica {
	r := t.replicas[name]
	if r == nil {
		r = &replica{}
		t.replicas[name] = r
	}
	return r
}

// observe weights a sample by the time since the previous one. A rarely chosen
// replica has few samples, so each of them needs a greater weight.
func (r *replica) observe(now time.Time, latency time.Duration) {
	sample := float64(latency)
	if r.latency == 0 {
		r.latency = sample
		r.updatedAt = now
		return
	}
	idle := now.Sub(r.updatedAt)
	weight := max(latencyWeight, float64(idle)/float64(idle+staleAfter))
	r.latency += weight * (min(sample, outlierFactor*r.latency) - r.latency)
	r.updatedAt = now
}

func (r *replica) pause(now time.Time, first time.Duration) {
	pause := min(first<<min(r.failures, 10), maxPause)
	r.failures++
	r.pausedUntil = now.Add(pause)
}

// acceptsExtra reports whether the replica may receive hedges now: it is not cold,
// draining, lost, paused or at its limit.
func (r *replica) acceptsExtra(now time.Time) bool {
	full := r.limit > 0 && r.load(now) >= r.limit
	return !full && !r.restricted() && !now.Before(r.pausedUntil)
}

// load returns the number of requests in flight. An owner's report is used only for
// about the duration of one request. If it were used longer, a replica that was busy
// at the last report would count as full until another request is sent to it.
func (r *replica) load(now time.Time) int {
	if now.Sub(r.reportedAt) > time.Duration(r.latency) {
		return r.inFlight
	}
	return r.inFlight + r.otherInFlight
}

// restricted reports whether the replica's state limits it to a small share of
// requests.
func (r *replica) restricted() bool {
	switch r.state {
	case pb.ReplicaState_REPLICA_STATE_COLD,
		pb.ReplicaState_REPLICA_STATE_DRAINING,
		pb.ReplicaState_REPLICA_STATE_LOST:
		return true
	default:
		return false
	}
}
