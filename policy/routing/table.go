package routing

import (
	"math/rand/v2"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Result is how a subrequest ended, as far as the choice of a replica goes.
type Result int

const (
	// ResultOK means that the replica answered.
	ResultOK Result = iota
	// ResultFailed means that the replica answered with an error or lost the
	// connection.
	ResultFailed
	// ResultCancelled means that the subrequest was given up: the latency is a
	// lower bound.
	ResultCancelled
	// ResultRefused means that an owner refused for a limit, a cold replica or
	// because it does not own the replica. It says nothing about latency.
	ResultRefused
	// ResultNoPeer means that no owner of the replica could be reached.
	ResultNoPeer
)

const (
	// latencyWeight smooths the latency of a busy replica over some ten answers.
	latencyWeight = 0.1
	// staleAfter is the idle time that makes an answer count as much as all
	// earlier ones.
	staleAfter = time.Second
	// outlier bounds one answer to so many times the average: a few random slow
	// answers must not look like a slow replica.
	outlier = 3
	// firstLatency stands for a replica without answers, until siblings are
	// known: low enough that each is tried.
	firstLatency = time.Millisecond
	// refusedPause is how long a replica is avoided after a refusal; it doubles
	// with each in a row up to maxPause.
	refusedPause = 5 * time.Millisecond
	// failedPause is the same after a failure.
	failedPause = 20 * time.Millisecond
	maxPause    = time.Second
)

// replica is what one node knows about one replica.
type replica struct {
	// latency is a moving average in nanoseconds; 0 before the first answer.
	latency float64
	// answered is when latency last changed.
	answered time.Time
	inFlight int
	// elsewhere is what an owner reported at newsAt beyond this node's own
	// requests, and limit that owner's limit.
	elsewhere int
	limit     int
	newsAt    time.Time
	state     pb.ReplicaState
	// pausedUntil is when the replica is chosen again after failures in a row.
	pausedUntil time.Time
	failures    int
	// offered is when the replica last got its share as a slow or cold one.
	offered time.Time
}

// Table holds the recent latency and load of all replicas that a node uses.
type Table struct {
	rng      *rand.Rand
	replicas map[string]*replica
	// cold counts replicas that were last reported cold.
	cold int
	// usable is scratch space of Pick, kept to avoid an allocation each.
	usable []choice
}

// New returns a table that knows nothing. rng is used by Pick.
func New(rng *rand.Rand) *Table {
	return &Table{rng: rng, replicas: make(map[string]*replica)}
}

// Sent counts a subrequest to a replica; Done must follow.
func (t *Table) Sent(name string, now time.Time) {
	r := t.of(name)
	r.inFlight++
	if r.state != pb.ReplicaState_REPLICA_STATE_WARM {
		r.offered = now
	}
}

// Done ends a subrequest.
func (t *Table) Done(name string, now time.Time, latency time.Duration, result Result) {
	r := t.of(name)
	r.inFlight = max(r.inFlight-1, 0)
	switch result {
	case ResultOK:
		r.failures = 0
		r.pausedUntil = time.Time{}
		r.observe(now, latency)
	case ResultCancelled:
		// A request that has lasted so long can be expected to last as long
		// again.
		if float64(latency) > r.latency {
			r.observe(now, 2*latency)
		}
		if r.state == pb.ReplicaState_REPLICA_STATE_COLD {
			// It took the copy: the refusals before were for a taken place.
			r.failures = 0
		}
	case ResultRefused:
		r.pause(now, refusedPause)
	case ResultFailed, ResultNoPeer:
		r.pause(now, failedPause)
	}
}

// ApplyReport applies what an owner reported about a replica.
func (t *Table) ApplyReport(news *pb.ReplicaNews, now time.Time) {
	r := t.of(news.GetReplica())
	r.elsewhere = max(int(news.GetInFlight())-r.inFlight, 0)
	r.limit = int(news.GetLimit())
	r.newsAt = now
	if news.GetState() != pb.ReplicaState_REPLICA_STATE_UNSPECIFIED {
		t.become(r, news.GetState())
	}
}

// become applies a reported state. What was seen of a replica that was cold, lost
// or draining says nothing about it once it is warm: its cold latency would make
// it a straggler and its refusals keep it out, both for seconds after its owner
// gave it its full share.
func (t *Table) become(r *replica, state pb.ReplicaState) {
	if state == pb.ReplicaState_REPLICA_STATE_WARM && r.avoided() {
		r.latency = 0
		r.answered = time.Time{}
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

// Latency returns a replica's recent latency, 0 when unknown.
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

// Prune forgets the replicas that the index does not name.
func (t *Table) Prune(index *config.Index) {
	for name, r := range t.replicas {
		if index.Replicas[name] != nil {
			continue
		}
		t.become(r, pb.ReplicaState_REPLICA_STATE_UNSPECIFIED)
		delete(t.replicas, name)
	}
}

func (t *Table) of(name string) *replica {
	r := t.replicas[name]
	if r == nil {
		r = &replica{}
		t.replicas[name] = r
	}
	return r
}

// observe weighs an answer by the time since the one before: of a replica that
// is rarely chosen few answers come, and each must tell more.
func (r *replica) observe(now time.Time, latency time.Duration) {
	sample := float64(latency)
	if r.latency == 0 {
		r.latency = sample
		r.answered = now
		return
	}
	idle := now.Sub(r.answered)
	weight := max(latencyWeight, float64(idle)/float64(idle+staleAfter))
	r.latency += weight * (min(sample, outlier*r.latency) - r.latency)
	r.answered = now
}

func (r *replica) pause(now time.Time, first time.Duration) {
	pause := min(first<<min(r.failures, 10), maxPause)
	r.failures++
	r.pausedUntil = now.Add(pause)
}

// bears reports whether the replica may get extra subrequests now: it is neither
// cold, draining, lost, refusing nor at its limit.
func (r *replica) bears(now time.Time) bool {
	full := r.limit > 0 && r.load(now) >= r.limit
	return !full && !r.avoided() && !now.Before(r.pausedUntil)
}

// load is the requests in flight, as far as known. What an owner reported holds
// for about as long as those requests take; kept longer, a replica that was busy
// at the last news would count as full until somebody chose it all the same.
func (r *replica) load(now time.Time) int {
	if now.Sub(r.newsAt) > time.Duration(r.latency) {
		return r.inFlight
	}
	return r.inFlight + r.elsewhere
}

// avoided reports whether the replica gets less than an ordinary share.
func (r *replica) avoided() bool {
	switch r.state {
	case pb.ReplicaState_REPLICA_STATE_COLD,
		pb.ReplicaState_REPLICA_STATE_DRAINING,
		pb.ReplicaState_REPLICA_STATE_LOST:
		return true
	default:
		return false
	}
}
