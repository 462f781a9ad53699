package coalesce

import "time"

// Policy holds the batching limits of a replica's service. The zero value sends each
// subrequest alone.
type Policy struct {
	// MaxBatch is the maximum number of subrequests in one call; 0 counts as 1.
	MaxBatch int
}

// Queue describes the load of one replica before a call.
type Queue struct {
	// Waiting is the number of queued subrequests.
	Waiting int
	// Slots is the maximum number of concurrent calls.
	Slots int
}

// Enabled reports whether a call may carry more than one subrequest.
func (p Policy) Enabled() bool {
	return p.MaxBatch > 1
}

// Calls returns the number of full calls that the waiting subrequests make. Queue
// limits count calls, because a call occupies a slot for the same time whatever its
// batch size.
func (p Policy) Calls(waiting int) int {
	return waiting / max(p.MaxBatch, 1)
}

// MeetsDeadline reports whether a subrequest that joins the end of the queue can be
// answered in the remaining time. All slots have to complete one call for each full
// round of calls ahead of it, and its own call takes the typical time. The caller
// should refuse a subrequest that cannot meet its deadline, because another replica
// may still answer it. The result is true if batching is disabled or the typical time
// is unknown.
func (p Policy) MeetsDeadline(q Queue, typical, remaining time.Duration) bool {
	if !p.Enabled() || typical <= 0 {
		return true
	}
	rounds := p.Calls(q.Waiting) / max(q.Slots, 1)
	return remaining >= time.Duration(rounds+1)*typical
}

// BatchSize returns the number of queued subrequests that the next call carries. free
// is the number of free slots, including the slot of this call. The queue is spread
// evenly over the free slots, because a call with fewer subrequests is answered
// sooner.
func (p Policy) BatchSize(q Queue, free int) int {
	if !p.Enabled() || q.Waiting <= 1 {
		return min(q.Waiting, 1)
	}
	free = max(free, 1)
	even := (q.Waiting + free - 1) / free
	return min(even, p.MaxBatch)
}
