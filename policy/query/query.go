package query

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Env is the access of a query to the tables that it shares with the other queries of its
// node.
type Env interface {
	// Pick returns a replica for a shard, or nil when no usable one is left. It skips
	// replicas for which tried returns true.
	Pick(shard *config.Shard, snapshot uint64, tried func(*config.Replica) bool) *config.Replica
	// PickHedge is Pick for a hedge. It also skips replicas that are cold, slow, full or
	// refusing.
	PickHedge(shard *config.Shard, snapshot uint64, tried func(*config.Replica) bool) *config.Replica
	// PickWarmUp returns a cold replica that should receive a copy of a shard's
	// subrequest, or nil when there is none or no spare budget.
	PickWarmUp(shard *config.Shard, snapshot uint64, tried func(*config.Replica) bool) *config.Replica
	// Snapshot returns the newest snapshot that every shard can serve. If there is none, it
	// returns the one that most shards can serve, or 0 when no snapshot is known.
	Snapshot() uint64
	// NextAttempt returns an attempt id that this node has not used before.
	NextAttempt() uint64
	// TakeHedge and TakeRetry consume one extra subrequest from the budget of the
	// service, and report whether one was available.
	TakeHedge() bool
	TakeRetry() bool
	// HedgeAfter returns the age from which an attempt may be hedged. It is called at the
	// start and after each answer. slowest is the longest latency of an answer to a shard
	// without a hedge. Query does not record these latencies and passes 0.
	HedgeAfter(answered, total int, slowest time.Duration) time.Duration
}

// Params are the parameters of a query.
type Params struct {
	Service *config.Service
	// Deadline is when the answer must be assembled.
	Deadline time.Time
	// EarlyAfter is the time since the start from which an answer with at least
	// EarlyCoverage is returned without the remaining shards. 0 waits for the deadline.
	EarlyAfter    time.Duration
	EarlyCoverage float64
	// Trace enables the recording of steps.
	Trace bool
}

// Send is a subrequest for one shard to one replica.
type Send struct {
	Attempt    uint64
	Shard      *config.Shard
	Replica    *config.Replica
	Snapshot   uint64
	Generation uint64
	// Extra marks a hedge or a warm-up, which an owner never queues.
	Extra bool
}

// Step lists the messages to send after an event: first Cancel, then Send.
type Step struct {
	Send   []Send
	Cancel []Cancelled
}

// Cancelled is an outstanding attempt whose reply is no longer needed.
type Cancelled struct {
	Attempt uint64
	Replica *config.Replica
}

type shardPhase int

const (
	shardWaiting shardPhase = iota
	shardAnswered
	shardAbsent
)

// shardState is the state of one shard in the query.
type shardState struct {
	phase    shardPhase
	result   ShardResult
	attempts int
	reason   pb.Reason
	// mayHaveRun is set unless every attempt so far is certain not to have run.
	mayHaveRun bool
	// outstanding counts attempts without a reply, except warm-ups.
	outstanding int
	// warmUps counts warm-ups without a reply.
	warmUps int
	// hedges counts the hedges sent, and sentAt is when the latest attempt was sent. No
	// hedge is tried before noHedgeBefore.
	hedges        int
	sentAt        time.Time
	noHedgeBefore time.Time
	tried         []*config.Replica
	// rounds counts how often tried was cleared, and resumeAt is when the next round
	// begins.
	rounds   int
	resumeAt time.Time
}

func (s *shardState) hasTried(r *config.Replica) bool {
	for _, t := range s.tried {
		if t == r {
			return true
		}
	}
	return false
}

// attempt is a subrequest without a reply.
type attempt struct {
	shard   int
	replica *config.Replica
	// snapshot is the requested one; with 0, the replica chooses.
	snapshot uint64
	// warmUp marks a copy that the shard does not wait for.
	warmUp bool
}

// Query is one read query. Not safe for concurrent use.
type Query struct {
	env    Env
	params Params
	start  time.Time

	snapshot   uint64
	generation *config.Generation
	shards     []shardState
	// pending counts shards that are neither answered nor absent.
	pending  int
	answered int
	attempts map[uint64]attempt
	// paused counts shards that wait for their next round, and resumeAt is when the
	// first of these rounds begins.
	paused   int
	resumeAt time.Time

	// hedgeAfter is the age from which an attempt may be hedged, and hedgeAt the earliest
	// such time, zero when there is none. waiting holds the pending shards, and possibly
	// some that have ended since its last use; it is nil before its first use.
	hedgeAfter time.Duration
	hedgeAt    time.Time
	slowest    time.Duration
	waiting    []int
	endReason  pb.Reason
	done       bool
	stats      Stats
	trace      []TraceEvent

	// tried calls hasTried of picking, the shard for which a replica is being chosen.
	tried   func(*config.Replica) bool
	picking *shardState
}

// New returns a query that has not started.
func New(env Env, params Params) *Query {
	q := &Query{env: env, params: params}
	q.tried = func(r *config.Replica) bool { return q.picking.hasTried(r) }
	return q
}

// triedFor returns the filter that Pick applies for a shard. All shards share one function,
// because a closure per choice would be allocated otherwise.
func (q *Query) triedFor(s *shardState) func(*config.Replica) bool {
	q.picking = s
	return q.tried
}

// Done reports whether the answer is final.
func (q *Query) Done() bool { return q.done }

// Start pins the snapshot and sends the first attempts.
func (q *Query) Start(now time.Time) Step {
	q.start = now
	var step Step
	q.begin(now, q.env.Snapshot(), &step)
	q.finishIfComplete(now, &step)
	return step
}

// begin sends an attempt for every shard of the generation of a snapshot. With snapshot 0,
// the attempts go to the newest generation, and the replicas choose the snapshot.
func (q *Query) begin(now time.Time, snapshot uint64, step *Step) {
	q.snapshot = snapshot
	q.generation = q.params.Service.Latest()
	if gen := q.params.Service.GenerationOf(snapshot); snapshot != 0 && gen != nil {
		q.generation = gen
	}
	q.shards = make([]shardState, len(q.generation.Shards))
	q.pending = len(q.shards)
	q.answered = 0
	q.paused = 0
	q.waiting = nil
	q.slowest = 0
	q.attempts = make(map[uint64]attempt, len(q.shards))
	q.hedgeAt = time.Time{}
	q.hedgeAfter = neverHedge
	step.Send = make([]Send, 0, len(q.shards))
	// One array holds the first tried replica of all shards, to save an allocation each.
	tried := make([]*config.Replica, len(q.shards))
	for i := range q.shards {
		q.shards[i].tried = tried[i : i : i+1]
		if !q.sendAttempt(now, i, TraceSend, step) {
			q.markAbsent(now, i, pb.Reason_REASON_NO_REPLICA)
			continue
		}
		q.warmUp(now, i, step)
	}
	q.updateHedgeAge()
}

// sendAttempt sends one attempt for a shard. It returns false when no replica is left.
func (q *Query) sendAttempt(now time.Time, i int, kind TraceKind, step *Step) bool {
	s := &q.shards[i]
	shard := q.generation.Shards[i]
	replica := q.env.Pick(shard, q.snapshot, q.triedFor(s))
	if replica == nil {
		return false
	}
	q.sendTo(now, i, replica, kind, step)
	return true
}

func (q *Query) sendTo(now time.Time, i int, replica *config.Replica, kind TraceKind, step *Step) {
	s := &q.shards[i]
	s.tried = append(s.tried, replica)
	s.outstanding++
	s.sentAt = now
	q.advanceHedge(now.Add(q.hedgeAfter))
	q.dispatch(now, i, replica, kind, step)
}

// dispatch assigns an attempt id to a subrequest and adds it to the step.
func (q *Query) dispatch(now time.Time, i int, replica *config.Replica, kind TraceKind, step *Step) {
	id := q.env.NextAttempt()
	q.shards[i].attempts++
	q.attempts[id] = attempt{shard: i, replica: replica, snapshot: q.snapshot, warmUp: kind == TraceWarmUp}
	q.stats.Attempts++
	step.Send = append(step.Send, Send{
		Attempt:    id,
		Shard:      q.generation.Shards[i],
		Replica:    replica,
		Snapshot:   q.snapshot,
		Generation: q.generation.ID,
		Extra:      kind == TraceHedge || kind == TraceWarmUp,
	})
	q.record(now, TraceEvent{Kind: kind, Attempt: id, Shard: q.generation.Shards[i].Name, Replica: replica.Name})
}

// cancelShard cancels the outstanding attempts of one shard.
func (q *Query) cancelShard(i int, step *Step) {
	s := &q.shards[i]
	if s.outstanding == 0 && s.warmUps == 0 {
		return
	}
	for id, a := range q.attempts {
		if a.shard != i {
			continue
		}
		delete(q.attempts, id)
		step.Cancel = append(step.Cancel, Cancelled{Attempt: id, Replica: a.replica})
	}
	s.outstanding = 0
	s.warmUps = 0
}

// Cancel ends a query whose caller has disconnected.
func (q *Query) Cancel(now time.Time) Step {
	var step Step
	if !q.done {
		q.finish(now, pb.Reason_REASON_CANCELLED, &step)
	}
	return step
}

// finishIfComplete ends the query when no shard is pending.
func (q *Query) finishIfComplete(now time.Time, step *Step) {
	if !q.done && q.pending == 0 {
		q.finish(now, pb.Reason_REASON_UNSPECIFIED, step)
	}
}

func (q *Query) finish(now time.Time, reason pb.Reason, step *Step) {
	q.done = true
	q.endReason = reason
	q.record(now, TraceEvent{Kind: TraceEnd, Reason: reason})
	for id, a := range q.attempts {
		step.Cancel = append(step.Cancel, Cancelled{Attempt: id, Replica: a.replica})
		q.shards[a.shard].mayHaveRun = true
	}
	clear(q.attempts)
	step.Send = nil
}

func (q *Query) drop(now time.Time, r *pb.SubrequestResult) {
	q.stats.Dropped++
	q.record(now, TraceEvent{Kind: TraceDropped, Attempt: r.GetAttempt(), Shard: r.GetShard(), Replica: r.GetReplica(), Snapshot: r.GetSnapshot()})
}

func (q *Query) record(now time.Time, e TraceEvent) {
	if !q.params.Trace {
		return
	}
	e.At = now.Sub(q.start)
	q.trace = append(q.trace, e)
}
