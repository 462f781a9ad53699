package coalesce

import "time"

// Policy is what a replica's service allows. The zero value sends each
// subrequest alone.
type Policy struct {
	// MaxBatch is how many subrequests the replica takes in one call; 0 counts
	// as 1.
	MaxBatch int
}

// Queue is what stands before the calls to one replica.
type Queue struct {
	// Waiting subrequests.
	Waiting int
	// Slots is how many calls may be in flight at once.
	Slots int
}

// Enabled reports whether calls may carry more than one subrequest.
func (p Policy) Enabled() bool {
	return p.MaxBatch > 1
}

// Calls returns how many calls the waiting subrequests amount to, the last one
// counted only when it is full. Bounds on waiting count these: a call takes a
// place for the same time, whatever it carries.
func (p Policy) Calls(waiting int) int {
	return waiting / max(p.MaxBatch, 1)
}

// MeetsDeadline reports whether a subrequest that joins the queue's end can be answered
// in the time that is left. All places have to turn over once for each full round
// of calls ahead of it, and then its own call takes the typical time. One that
// cannot is better refused at once: another replica may still answer it. Without
// coalescing, or a typical time, nothing is refused here.
func (p Policy) MeetsDeadline(q Queue, typical, left time.Duration) bool {
	if !p.Enabled() || typical <= 0 {
		return true
	}
	rounds := p.Calls(q.Waiting) / max(q.Slots, 1)
	return left >= time.Duration(rounds+1)*typical
}

// BatchSize returns how many waiting subrequests go with the next call when that many
// places are free, this call's among them. They are spread over the free places:
// a call that carries fewer is answered sooner, and nothing is saved by leaving a
// place empty while subrequests wait.
func (p Policy) BatchSize(q Queue, free int) int {
	if !p.Enabled() || q.Waiting <= 1 {
		return min(q.Waiting, 1)
	}
	free = max(free, 1)
	even := (q.Waiting + free - 1) / free
	return min(even, p.MaxBatch)
}
