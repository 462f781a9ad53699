package owner

import (
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/limit"
)

// releaseSlot releases a slot and starts the queued tasks that may run now.
func (r *ownedReplica) releaseSlot(sample limit.Sample) {
	r.mu.Lock()
	now := time.Now()
	r.limiter.Release(now, sample)
	r.updateState()
	next, refused, reason := r.dequeue(now)
	var report *pb.ReplicaNews
	if len(refused) > 0 {
		report = r.report()
	}
	r.mu.Unlock()
	r.dispatch(next, refused, reason, report)
}

// dispatch starts and refuses tasks that were removed from the queue.
func (r *ownedReplica) dispatch(start [][]*task, refused []*task, reason pb.Reason, report *pb.ReplicaNews) {
	for _, t := range refused {
		refuse(t, reason, report)
	}
	for _, group := range start {
		r.startGroup(group)
	}
}

// expire refuses a task that is still queued when its context ends. Without it, the
// sender would wait until a slot is released, which may never happen if the requests
// in flight hang.
func (r *ownedReplica) expire(t *task) {
	r.mu.Lock()
	i := slices.Index(r.queue, t)
	if i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
	}
	report := r.report()
	r.mu.Unlock()
	if i >= 0 {
		refuse(t, pb.Reason_REASON_DEADLINE, report)
	}
}

// dequeue acquires slots for queued tasks. It returns the tasks to start, grouped by
// call, and the tasks to refuse: those whose context has ended, or all remaining tasks
// when the replica may not be used any more. The tasks of a group share one slot.
func (r *ownedReplica) dequeue(now time.Time) (start [][]*task, refused []*task, reason pb.Reason) {
	reason = pb.Reason_REASON_DEADLINE
	for len(r.queue) > 0 {
		t := r.queue[0]
		if t.ctx.Err() != nil {
			refused = append(refused, t)
			r.queue = r.queue[1:]
			continue
		}
		got := r.acquire(t, now)
		if got == pb.Reason_REASON_LIMIT {
			return start, refused, reason
		}
		if got != pb.Reason_REASON_UNSPECIFIED {
			refused = append(refused, r.queue...)
			r.queue = nil
			return start, refused, got
		}
		start = append(start, r.dequeueGroup(now))
	}
	return start, refused, reason
}
