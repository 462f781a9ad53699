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

// batchRetryInterval is the time before batches are tried again at a replica that
// does not support the batch call although the sheet sets max_batch. Each failed
// batch costs its subrequests a retry.
const batchRetryInterval = time.Minute

// batchPolicy returns the batching policy that applies to the replica now. A replica
// that is not warm, or that is suspected to be cold, receives single calls only: a
// batch would exceed the load that a cold replica can handle. A service with silent
// cold starts receives no batches, because a batch in flight cannot be recalled when
// the replica turns cold. Caller holds mu.
func (r *ownedReplica) batchPolicy(now time.Time) coalesce.Policy {
	spec := r.replica.Service.Spec
	if spec.GetSilentColdStart() || now.Before(r.batchPausedUntil) || !r.limiter.MayQueue(now, 0) {
		return coalesce.Policy{}
	}
	return coalesce.Policy{MaxBatch: int(spec.GetMaxBatch())}
}

// mayQueue reports whether a task that got no slot may wait in the queue. Caller
// holds mu.
func (r *ownedReplica) mayQueue(t *task, now time.Time) bool {
	policy := r.batchPolicy(now)
	if !r.limiter.MayQueue(now, policy.Calls(len(r.queue))) {
		return false
	}
	remaining := time.Duration(math.MaxInt64)
	if deadline, hasDeadline := t.ctx.Deadline(); hasDeadline {
		remaining = deadline.Sub(now)
	}
	q := coalesce.Queue{Waiting: len(r.queue), Slots: r.limiter.Limit()}
	return policy.MeetsDeadline(q, t.req.Typical, remaining)
}

// dequeueGroup removes from the queue the tasks that share the slot acquired for
// the first task. A non-idempotent request and a trial are sent alone, because their
// evidence must refer to that request only. Caller holds mu, and the queue is not empty.
func (r *ownedReplica) dequeueGroup(now time.Time) []*task {
	reads := 0
	for reads < len(r.queue) && !r.queue[reads].req.Execute && r.queue[reads].req.Trial == 0 {
		reads++
	}
	// InFlight already includes the slot of this call.
	free := r.limiter.Limit() - r.limiter.InFlight() + 1
	size := max(r.batchPolicy(now).BatchSize(coalesce.Queue{Waiting: reads}, free), 1)
	group := r.queue[:size:size]
	r.queue = r.queue[size:]
	for _, t := range group {
		t.epoch = r.epoch
	}
	r.limiter.SetBatchSize(size)
	return group
}

// startGroup starts tasks that share one slot.
func (r *ownedReplica) startGroup(group []*task) {
	if len(group) == 1 {
		r.start(group[0])
		return
	}
	if r.owner.Pool.Go(func() { r.runBatch(group) }) {
		return
	}
	r.releaseSlot(limit.Sample{Result: limit.ResultNotSent, Items: len(group)})
	for _, t := range group {
		refuse(t, pb.Reason_REASON_LIMIT, nil)
	}
}

// runBatch sends tasks to the backend server in one call. Each task is answered as
// soon as its own reply arrives.
func (r *ownedReplica) runBatch(group []*task) {
	started := time.Now()
	r.mu.Lock()
	replica := r.replica
	r.mu.Unlock()
	shared := &batchSlot{
		slot:  slot{replica: r, latency: r.owner.latencyOf(replica.Service.Name)},
		items: len(group),
	}
	items := make([]backend.Item, 0, len(group))
	for _, t := range group {
		shared.typical = max(shared.typical, t.req.Typical)
		call := r.call(t.req)
		items = append(items, backend.Item{Ctx: t.ctx, Call: call, Done: func(reply backend.Reply) {
			r.mu.Lock()
			r.applyReply(reply, time.Now())
			report := r.report()
			r.mu.Unlock()
			shared.itemReplied(reply)
			r.finish(t, reply, t.result(reply, started, report))
		}})
	}
	epoch := group[0].epoch
	reply := r.owner.Backend.DoBatch(backend.Batch{
		Replica:   replica,
		Items:     items,
		Gate:      func() bool { return r.maySend(epoch) },
		OnRelease: shared.serverDone,
	})
	if reply.BatchUnsupported {
		r.pauseBatching(time.Now())
	}
	shared.replied(reply)
}

// pauseBatching disables batches for batchRetryInterval.
func (r *ownedReplica) pauseBatching(now time.Time) {
	r.mu.Lock()
	r.batchPausedUntil = now.Add(batchRetryInterval)
	r.mu.Unlock()
	r.owner.Ring.Add(ring.BatchUnserved, r.name, "the backend server does not support the batch call")
}

// batchSlot is the slot that a batch holds in a replica's concurrency limit. The
// limiter observes the reply that completes the first half of the items, and the
// outcome of the call only when that half is not reached. The mutex of slot also
// guards the fields of batchSlot, except items.
type batchSlot struct {
	slot
	items int
	// replies counts the replies of the replica; shed is set if one item was shed.
	replies int
	shed    bool
	// observed is set when the limiter has observed the first half of the items.
	observed bool
	// ended is set when the call has ended.
	ended bool
}

// itemReplied counts the reply to one item and reports the reply that completes the
// first half of the items to the limiter. It holds mu until the limiter is updated:
// otherwise the slot could be released before, when the last item is cancelled.
func (s *batchSlot) itemReplied(reply backend.Reply) {
	result := resultOf(reply)
	if result != limit.ResultOK && result != limit.ResultShed && result != limit.ResultError {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies++
	s.shed = s.shed || result == limit.ResultShed
	if s.observed || s.ended || 2*s.replies < s.items {
		return
	}
	s.observed = true
	if s.shed {
		result = limit.ResultShed
	}
	peerLatency := max(s.typical, s.latency.value())
	if reply.OK() {
		s.latency.observe(reply.Took)
	}
	s.replica.observeMedian(limit.Sample{
		Latency:     reply.Took,
		Result:      result,
		PeerLatency: peerLatency,
		ReportsCold: reply.Cold,
	})
}

// observeMedian reports the median reply of a batch in flight to the limiter.
func (r *ownedReplica) observeMedian(sample limit.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.ObserveMedian(time.Now(), sample)
	r.updateState()
}

// replied records the outcome of the batch call.
func (s *batchSlot) replied(reply backend.Reply) {
	peerLatency := max(s.typical, s.latency.value())
	s.mu.Lock()
	s.ended = true
	s.sample = limit.Sample{
		Latency:        reply.Took,
		Result:         resultOf(reply),
		PeerLatency:    peerLatency,
		Items:          s.items,
		MedianObserved: s.observed,
	}
	s.mu.Unlock()
	s.complete()
}
