package bench

import (
	"container/heap"
	"time"
)

// event is a callback scheduled at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// loop runs events in the order of their virtual time. Events with the same time
// run in the order in which they were scheduled.
type loop struct {
	elapsed time.Duration
	seq     uint64
	queue   events
}

var epoch = time.Unix(1_000_000, 0)

func (l *loop) now() time.Time {
	return epoch.Add(l.elapsed)
}

func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.queue, event{at: l.elapsed + max(d, 0), seq: l.seq, run: run})
}

// run processes all events up to and including the given time.
func (l *loop) run(until time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= until {
		e := heap.Pop(&l.queue).(event)
		l.elapsed = e.at
		e.run()
	}
}
