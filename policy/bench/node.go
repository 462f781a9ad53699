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
	// expectedQuantile of recent query latencies is what a query is expected to
	// take.
	expectedQuantile = 0.5
)

// node is an entry node; its owner part is in owner.go.
type node struct {
	run   *run
	index int
	dc    int
	rng   *rand.Rand

	routing   *routing.Table
	admission *admission.Controller
	hedges    *hedge.Budget
	retries   *hedge.Budget
	// subrequests holds latencies of answers from warm replicas.
	subrequests hedge.Quantile
	queries     [classes]hedge.Quantile
	attempts    uint64
	running     map[uint64]*sent
	candidates  []*config.Replica
	snapshots   *snapshot.Table
	// newest is the newest snapshot that any replica was heard to hold, and starting
	// is set while a query chooses its first one; both serve PinNewest.
	newest   uint64
	starting bool
	owned    map[string]*owned
}

// sent is an attempt without a reply.
type sent struct {
	query  *entryQuery
	at     time.Time
	owner  *node
	server *server
	task   *task
	job    *job
}

// entryQuery is one query at its entry node.
type entryQuery struct {
	*query.Query
	id      int
	class   int
	node    *node
	started time.Time
	wakeAt  time.Time
	ended   bool
}

func newNode(r *run, index int) *node {
	s := r.scenario
	rng := rand.New(rand.NewPCG(s.Seed, uint64(100+index)))
	return &node{
		run: r, index: index, dc: index % dataCentres, rng: rng,
		routing:   routing.New(rng),
		admission: admission.New(admission.Params{}),
		hedges:    hedge.NewBudget(5, max(10, s.Shards/10)),
		retries:   hedge.NewBudget(10, max(10, s.Shards/10)),
		snapshots: snapshot.NewTable(),
		running:   make(map[uint64]*sent),
		owned:     make(map[string]*owned),
	}
}

// arrive is the arrival of a caller's query.
func (n *node) arrive(id, class int) {
	now := n.run.loop.now()
	deadline := n.run.scenario.Deadline
	if n.run.scenario.Policy == Carobmill {
		expected := n.queries[class].At(expectedQuantile)
		decision := n.admission.Admit(now, uint32(class), deadline, expected)
		n.hedges.SetPressure(n.admission.Pressure())
		n.retries.SetPressure(n.admission.Pressure())
		if !decision.Admitted() {
			n.run.refused(id, class, 0)
			return
		}
	}
	q := &entryQuery{id: id, class: class, node: n, started: now}
	q.Query = query.New(n, query.Params{Service: n.run.service, Deadline: now.Add(deadline)})
	n.starting = true
	first := q.Start(now)
	n.starting = false
	n.carryOut(q, first)
}

func (n *node) carryOut(q *entryQuery, step query.Step) {
	now := n.run.loop.now()
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
	if !q.wakeAt.IsZero() && q.wakeAt.After(now) && !next.Before(q.wakeAt) {
		return
	}
	q.wakeAt = next
	n.run.loop.after(next.Sub(now), func() { n.wake(q, next) })
}

func (n *node) wake(q *entryQuery, at time.Time) {
	if q.ended || !q.wakeAt.Equal(at) {
		return
	}
	q.wakeAt = time.Time{}
	n.carryOut(q, q.Tick(n.run.loop.now()))
}

func (n *node) end(q *entryQuery) {
	if q.ended {
		return
	}
	q.ended = true
	now := n.run.loop.now()
	took := now.Sub(q.started)
	answer := q.Answer()
	complete := answer.Outcome == query.Complete
	if n.run.scenario.Policy == Carobmill {
		n.admission.Done(now, uint32(q.class), took, complete)
		if complete {
			n.queries[q.class].Observe(took)
		}
	}
	n.run.ended(q, answer, took)
}

func (n *node) send(q *entryQuery, s query.Send) {
	now := n.run.loop.now()
	if !s.Extra {
		n.hedges.Sent(1)
		n.retries.Sent(1)
	}
	owner := n.run.ownerFor(n, s.Replica)
	n.routing.Sent(s.Replica.Name, now)
	a := &sent{query: q, at: now, owner: owner, server: n.run.server(s.Replica)}
	n.running[s.Attempt] = a
	hop := n.hop(owner)
	n.run.loop.after(hop, func() {
		owner.serve(a, s, func(r *pb.SubrequestResult) {
			n.run.loop.after(hop, func() { n.reply(s, r) })
		})
	})
}

func (n *node) cancel(c query.Cancelled) {
	a := n.running[c.Attempt]
	if a == nil {
		return
	}
	delete(n.running, c.Attempt)
	now := n.run.loop.now()
	n.routing.Done(c.Replica.Name, now, now.Sub(a.at), routing.ResultCancelled)
	n.run.loop.after(n.hop(a.owner), func() { a.owner.withdraw(a, c.Replica) })
}

func (n *node) reply(s query.Send, r *pb.SubrequestResult) {
	a := n.running[s.Attempt]
	if a == nil {
		return
	}
	delete(n.running, s.Attempt)
	now := n.run.loop.now()
	took := now.Sub(a.at)
	n.routing.Done(s.Replica.Name, now, took, routingResult(r))
	n.routing.ApplyReport(r.GetNews(), now)
	n.noteSnapshot(r.GetNews())
	if r.GetReason() == pb.Reason_REASON_UNSPECIFIED &&
		r.GetNews().GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
		n.subrequests.Observe(took)
	}
	n.carryOut(a.query, a.query.Reply(now, r))
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
	if n.run.scenario.Policy == Carobmill {
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
	return n.routing.PickHedge(n.untried(shard, pinned, n.surest(), tried), n.run.loop.now())
}

// PickWarmUp implements query.Env.
func (n *node) PickWarmUp(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	if n.run.scenario.Policy == Baseline || !n.routing.AnyCold() {
		return nil
	}
	r := n.routing.PickWarmUp(n.untried(shard, pinned, max(n.surest(), snapshot.Unknown), tried), n.run.loop.now())
	if r == nil || !n.hedges.TakeSpare() {
		return nil
	}
	return r
}

// surest is what must be known of a replica that is asked beside another.
func (n *node) surest() snapshot.Holding {
	if n.run.scenario.Rollout.Every == 0 {
		return snapshot.MayHold
	}
	return snapshot.Holds
}

// NextAttempt implements query.Env.
func (n *node) NextAttempt() uint64 {
	n.attempts++
	return n.attempts
}

// TakeHedge implements query.Env.
func (n *node) TakeHedge() bool { return n.hedges.Take() }

// TakeRetry implements query.Env.
func (n *node) TakeRetry() bool {
	return n.run.scenario.Policy == Baseline || n.retries.Take()
}

// HedgeAfter implements query.Env.
func (n *node) HedgeAfter(answered, total int, slowest time.Duration) time.Duration {
	if n.run.scenario.Policy == Baseline {
		return hedge.Never
	}
	return hedge.After(hedge.Progress{
		Answered: answered, Total: total, Slowest: slowest,
		Overloaded: n.admission.Pressure() >= 1,
	}, &n.subrequests)
}

// knowsWarm reports whether the last news of a replica called it warm.
func (n *node) knowsWarm(replica string) bool {
	return n.run.scenario.Policy == Baseline ||
		n.routing.State(replica) == pb.ReplicaState_REPLICA_STATE_WARM
}

// hop is the one-way delay to another node.
func (n *node) hop(to *node) time.Duration {
	switch {
	case n == to:
		return 0
	case n.dc == to.dc:
		return 100 * time.Microsecond
	default:
		return 500 * time.Microsecond
	}
}
