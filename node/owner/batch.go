package owner

import (
	"math"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/policy/coalesce"
	"github.com/carobmill/carobmill/policy/limit"
)

// unservedRest is how long a replica that does not know the batch call gets single
// calls. The sheet promises that it serves batches; one release or one server may
// lag behind, and each try costs its subrequests a retry.
const unservedRest = time.Minute

// coalescing is what the replica's service allows now. A replica that is not warm,
// or that is under suspicion, gets single calls only, since a batch would take it
// above what it bears in one step. Services whose replicas turn cold without a
// sign get none at all: a batch that is under way then comes too late to be held
// back. Caller holds mu.
func (r *owned) coalescing(now time.Time) coalesce.Policy {
	spec := r.replica.Service.Spec
	if spec.GetSilentColdStart() || now.Before(r.singleUntil) || !r.limiter.MayQueue(now, 0) {
		return coalesce.Policy{}
	}
	return coalesce.Policy{MaxBatch: int(spec.GetMaxBatch())}
}

// mayWait reports whether a task that found no place may join the queue. Caller
// holds mu.
func (r *owned) mayWait(t *task, now time.Time) bool {
	policy := r.coalescing(now)
	if !r.limiter.MayQueue(now, policy.Calls(len(r.queue))) {
		return false
	}
	left := time.Duration(math.MaxInt64)
	if deadline, limited := t.ctx.Deadline(); limited {
		left = deadline.Sub(now)
	}
	q := coalesce.Queue{Waiting: len(r.queue), Slots: r.limiter.Limit()}
	return policy.MeetsDeadline(q, t.req.Typical, left)
}

// takeGroup removes from the queue the tasks that share the place that its head
// has just got. A non-idempotent request goes alone: its evidence has to be its
// own. Caller holds mu, and the queue is not empty.
func (r *owned) takeGroup(now time.Time) []*task {
	reads := 0
	for reads < len(r.queue) && !r.queue[reads].req.Execute {
		reads++
	}
	// The place of this call is taken already.
	free := r.limiter.Limit() - r.limiter.InFlight() + 1
	size := max(r.coalescing(now).BatchSize(coalesce.Queue{Waiting: reads}, free), 1)
	group := r.queue[:size:size]
	r.queue = r.queue[size:]
	for _, t := range group {
		t.epoch = r.epoch
	}
	r.limiter.SetBatchSize(size)
	return group
}

// launch starts tasks that hold one place together.
func (r *owned) launch(group []*task) {
	if len(group) == 1 {
		r.start(group[0])
		return
	}
	if r.owner.Pool.Go(func() { r.runBatch(group) }) {
		return
	}
	r.giveBack(limit.Sample{Result: limit.ResultNotSent, Items: len(group)})
	for _, t := range group {
		refuse(t, pb.Reason_REASON_LIMIT, nil)
	}
}

// runBatch carries tasks to the backend server in one call. Each is answered as
// soon as its own reply is there.
func (r *owned) runBatch(group []*task) {
	started := time.Now()
	r.mu.Lock()
	replica := r.replica
	r.mu.Unlock()
	shared := &batchPlace{
		place: place{replica: r, recent: r.owner.recentOf(replica.Service.Name)},
		items: len(group),
	}
	items := make([]backend.Item, 0, len(group))
	for _, t := range group {
		shared.typical = max(shared.typical, t.req.Typical)
		call := r.call(t.req)
		items = append(items, backend.Item{Ctx: t.ctx, Call: call, Done: func(reply backend.Reply) {
			r.mu.Lock()
			r.learn(reply, time.Now())
			news := r.news()
			r.mu.Unlock()
			shared.answered(reply)
			t.reply(t.result(reply, started, news))
		}})
	}
	epoch := group[0].epoch
	reply := r.owner.Backend.DoBatch(backend.Batch{
		Replica:   replica,
		Items:     items,
		Gate:      func() bool { return r.current(epoch) },
		OnRelease: shared.settled,
	})
	if reply.BatchUnsupported {
		r.restFromBatches(time.Now())
	}
	shared.replied(reply)
}

// restFromBatches sends single calls for a while.
func (r *owned) restFromBatches(now time.Time) {
	r.mu.Lock()
	r.singleUntil = now.Add(unservedRest)
	r.mu.Unlock()
	r.owner.Ring.Add(ring.BatchUnserved, r.name, "the backend server does not know the batch call")
}

// batchPlace is the place of a batch in a replica's limit. It is judged by the
// replies to its items instead of the reply to the call. The mutex of place guards
// its fields too, but for items.
type batchPlace struct {
	place
	items int
	// replies that the replica gave, and whether it shed one of them.
	replies int
	shed    bool
	// judged is set once the limiter has heard of the batch's first half.
	judged bool
	// ended is set with the outcome of the call.
	ended bool
}

// answered counts the reply to one item, and judges the batch by the one that
// completes its first half. It holds mu until the limiter has heard of it: the
// place might be given back meanwhile, as the last item is given up.
func (p *batchPlace) answered(reply backend.Reply) {
	result := resultOf(reply)
	if result != limit.ResultOK && result != limit.ResultShed && result != limit.ResultError {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies++
	p.shed = p.shed || result == limit.ResultShed
	if p.judged || p.ended || 2*p.replies < p.items {
		return
	}
	p.judged = true
	if p.shed {
		result = limit.ResultShed
	}
	siblings := max(p.typical, p.recent.level())
	if reply.OK() {
		p.recent.observe(reply.Took)
	}
	p.replica.judge(limit.Sample{
		Latency:     reply.Took,
		Result:      result,
		PeerLatency: siblings,
		ReportsCold: reply.Cold,
	})
}

// judge tells the limiter how a batch does that goes on.
func (r *owned) judge(sample limit.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.ObserveMedian(time.Now(), sample)
	r.noteState()
}

// replied takes the outcome of the call as a whole.
func (p *batchPlace) replied(reply backend.Reply) {
	siblings := max(p.typical, p.recent.level())
	p.mu.Lock()
	p.ended = true
	p.sample = limit.Sample{
		Latency:        reply.Took,
		Result:         resultOf(reply),
		PeerLatency:    siblings,
		Items:          p.items,
		MedianObserved: p.judged,
	}
	p.mu.Unlock()
	p.half()
}
