package bench

import (
	"math/rand/v2"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/admission"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/query"
	"github.com/carobmill/carobmill/policy/routing"
	"github.com/carobmill/carobmill/policy/snapshot"
)

const (
	classHigh = 0
	classLow  = 1
	classes   = 2
	// expectedQuantile is the quantile of recent query latencies that admission
	// uses as the expected latency of a query.
	expectedQuantile = 0.5
)

// node is an entry node and an owner of replicas. owner.go contains the owner role.
type node struct {
	sim   *simulation
	index int
	dc    int
	rng   *rand.Rand

	routing   *routing.Table
	admission *admission.Controller
	hedges    *hedge.Budget
	retries   *hedge.Budget
	// warmLatencies estimates the subrequest latency of warm replicas.
	warmLatencies  hedge.Quantile
	queryLatencies [classes]hedge.Quantile
	lastAttempt    uint64
	inFlight       map[uint64]*attempt
	candidates     []*config.Replica
	snapshots      *snapshot.Table
	// newest is the newest snapshot reported by any replica. starting is true while a
	// query chooses its first snapshot. Only PinNewest uses them.
	newest   uint64
	starting bool
	owned    map[string]*ownedReplica
}

// attempt is a subrequest attempt that has no reply yet.
type attempt struct {
	query  *entryQuery
	at     time.Time
	owner  *node
	server *server
	task   *task
	job    *job
}

// entryQuery is the state of a query at its entry node.
type entryQuery struct {
	*query.Query
	id      int
	class   int
	node    *node
	started time.Time
	tickAt  time.Time
	ended   bool
}

func newNode(sim *simulation, index int) *node {
	s := sim.scenario
	rng := rand.New(rand.NewPCG(s.Seed, uint64(100+index)))
	return &node{
		sim: sim, index: index, dc: index % dataCentres, rng: rng,
		routing:   routing.New(rng),
		admission: admission.New(admission.Params{}),
		hedges:    hedge.NewBudget(5, max(10, s.Shards/10)),
		retries:   hedge.NewBudget(10, max(10, s.Shards/10)),
		snapshots: snapshot.NewTable(),
		inFlight:  make(map[uint64]*attempt),
		owned:     make(map[string]*ownedReplica),
	}
}

// arrive handles a query from a caller.
func (n *node) arrive(id, class int) {
	now := n.sim.loop.now()
	deadline := n.sim.scenario.Deadline
	if n.sim.scenario.Policy == Carobmill {
		expected := n.queryLatencies[class].At(expectedQuantile)
		decision := n.admission.Admit(now, uint32(class), deadline, expected)
		n.hedges.SetPressure(n.admission.Pressure())
		n.retries.SetPressure(n.admission.Pressure())
		if !decision.Admitted() {
			n.sim.recordRefused(id, class, 0)
			return
		}
	}
	q := &entryQuery{id: id, class: class, node: n, started: now}
	q.Query = query.New(n, query.Params{Service: n.sim.service, Deadline: now.Add(deadline)})
	n.starting = true
	first := q.Start(now)
	n.starting = false
	n.execute(q, first)
}

func (n *node) execute(q *entryQuery, step query.Step) {
	now := n.sim.loop.now()
	for _, c := range step.Cancel {
		n.cancel(c)
	}
	for _, s := range step.Send {
		n.send(q, s)
	}
	if q.Done() {
		n.end(q)
		return
	}
	next := q.NextTick()
	if !q.tickAt.IsZero() && q.tickAt.After(now) && !next.Before(q.tickAt) {
		return
	}
	q.tickAt = next
	n.sim.loop.after(next.Sub(now), func() { n.tick(q, next) })
}

func (n *node) tick(q *entryQuery, at time.Time) {
	if q.ended || !q.tickAt.Equal(at) {
		return
	}
	q.tickAt = time.Time{}
	n.execute(q, q.Tick(n.sim.loop.now()))
}

func (n *node) end(q *entryQuery) {
	if q.ended {
		return
	}
	q.ended = true
	now := n.sim.loop.now()
	took := now.Sub(q.started)
	answer := q.Answer()
	complete := answer.Outcome == query.Complete
	if n.sim.scenario.Policy == Carobmill {
		n.admission.Done(now, uint32(q.class), took, complete)
		if complete {
			n.queryLatencies[q.class].Observe(took)
		}
	}
	n.sim.recordEnded(q, answer, took)
}

func (n *node) send(q *entryQuery, s query.Send) {
	now := n.sim.loop.now()
	if !s.Extra {
		n.hedges.Sent(1)
		n.retries.Sent(1)
	}
	owner := n.sim.ownerFor(n, s.Replica)
	n.routing.Sent(s.Replica.Name, now)
	a := &attempt{query: q, at: now, owner: owner, server: n.sim.server(s.Replica)}
	n.inFlight[s.Attempt] = a
	delay := n.networkDelay(owner)
	n.sim.loop.after(delay, func() {
		owner.serve(a, s, func(r *pb.SubrequestResult) {
			n.sim.loop.after(delay, func() { n.reply(s, r) })
		})
	})
}

func (n *node) cancel(c query.Cancelled) {
	a := n.inFlight[c.Attempt]
	if a == nil {
		return
	}
	delete(n.inFlight, c.Attempt)
	now := n.sim.loop.now()
	n.routing.Done(c.Replica.Name, now, now.Sub(a.at), routing.ResultCancelled)
	n.sim.loop.after(n.networkDelay(a.owner), func() { a.owner.cancelAtOwner(a, c.Replica) })
}

func (n *node) reply(s query.Send, r *pb.SubrequestResult) {
	a := n.inFlight[s.Attempt]
	if a == nil {
		return
	}
	delete(n.inFlight, s.Attempt)
	now := n.sim.loop.now()
	took := now.Sub(a.at)
	n.routing.Done(s.Replica.Name, now, took, routingResult(r))
	n.routing.ApplyReport(r.GetNews(), now)
	n.recordSnapshot(r.GetNews())
	if r.GetReason() == pb.Reason_REASON_UNSPECIFIED &&
		r.GetNews().GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
		n.warmLatencies.Observe(took)
	}
	n.execute(a.query, a.query.Reply(now, r))
}

func routingResult(r *pb.SubrequestResult) routing.Result {
	switch r.GetReason() {
	case pb.Reason_REASON_UNSPECIFIED, pb.Reason_REASON_NO_SNAPSHOT:
		return routing.ResultOK
	case pb.Reason_REASON_LIMIT, pb.Reason_REASON_COLD, pb.Reason_REASON_LEAVING, pb.Reason_REASON_SHED:
		return routing.ResultRefused
	default:
		return routing.ResultFailed
	}
}

// Pick implements query.Env.
func (n *node) Pick(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	if n.sim.scenario.Policy == Carobmill {
		return n.pick(shard, pinned, tried)
	}
	candidates := n.untried(shard, pinned, snapshot.Dropped, tried)
	if len(candidates) == 0 {
		return nil
	}
	return candidates[n.rng.IntN(len(candidates))]
}

// PickHedge implements query.Env.
func (n *node) PickHedge(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	return n.routing.PickHedge(n.untried(shard, pinned, n.requiredHolding(), tried), n.sim.loop.now())
}

// PickWarmUp implements query.Env.
func (n *node) PickWarmUp(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	if n.sim.scenario.Policy == Baseline || !n.routing.AnyCold() {
		return nil
	}
	r := n.routing.PickWarmUp(n.untried(shard, pinned, max(n.requiredHolding(), snapshot.Unknown), tried), n.sim.loop.now())
	if r == nil || !n.hedges.TakeSpare() {
		return nil
	}
	return r
}

// requiredHolding returns the worst Holding state of a replica that may receive a
// hedge. A warm-up copy also accepts snapshot.Unknown.
func (n *node) requiredHolding() snapshot.Holding {
	if n.sim.scenario.Rollout.Every == 0 {
		return snapshot.MayHold
	}
	return snapshot.Holds
}

// NextAttempt implements query.Env.
func (n *node) NextAttempt() uint64 {
	n.lastAttempt++
	return n.lastAttempt
}

// TakeHedge implements query.Env.
func (n *node) TakeHedge() bool { return n.hedges.Take() }

// TakeRetry implements query.Env.
func (n *node) TakeRetry() bool {
	return n.sim.scenario.Policy == Baseline || n.retries.Take()
}

// HedgeAfter implements query.Env.
func (n *node) HedgeAfter(answered, total int, slowest time.Duration) time.Duration {
	if n.sim.scenario.Policy == Baseline {
		return hedge.Never
	}
	return hedge.After(hedge.Progress{
		Answered: answered, Total: total, Slowest: slowest,
		Overloaded: n.admission.Pressure() >= 1,
	}, &n.warmLatencies)
}

// reportedWarm reports whether the last reported state of a replica is warm. It is
// always true for the baseline policy.
func (n *node) reportedWarm(replica string) bool {
	return n.sim.scenario.Policy == Baseline ||
		n.routing.State(replica) == pb.ReplicaState_REPLICA_STATE_WARM
}

// networkDelay returns the one-way delay to a node.
func (n *node) networkDelay(to *node) time.Duration {
	switch {
	case n == to:
		return 0
	case n.dc == to.dc:
		return 100 * time.Microsecond
	default:
		return 500 * time.Microsecond
	}
}
