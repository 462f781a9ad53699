package upstream_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// server is a replica with a few slots and a bounded queue.
type server struct {
	work  time.Duration
	slots []time.Time
	// ends of the requests that are there, for the length of the queue.
	ends []time.Time
}

const serverQueue = 18

// take returns when a request that arrives now is done; false when it is refused.
func (s *server) take(now time.Time) (time.Time, upstream.Load, bool) {
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	s.ends = kept
	load := upstream.Load{Running: min(len(s.ends), len(s.slots)), Waiting: max(0, len(s.ends)-len(s.slots)), Slots: len(s.slots)}
	if load.Waiting >= serverQueue {
		return now, load, false
	}
	first := 0
	for i := range s.slots {
		if s.slots[i].Before(s.slots[first]) {
			first = i
		}
	}
	begin := now
	if s.slots[first].After(now) {
		begin = s.slots[first]
	}
	s.slots[first] = begin.Add(s.work)
	s.ends = append(s.ends, s.slots[first])
	return s.slots[first], load, true
}

// ended is an attempt whose answer is on its way.
type ended struct {
	at     time.Time
	set    *upstream.Set
	state  *upstream.State
	sample upstream.Sample
}

type queue []ended

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(ended)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// All three replicas of a shard turn five times slower while eight nodes send a third
// more than they can then do. Unpaced, each replica's queue is full all the time:
// answers take half a second and no caller gets one inside its objective. Paced, a good
// part of what the replicas can do is in time, and when they are well again all is.
func TestOverloadedShardGoesOnAnsweringInTime(t *testing.T) {
	c := qt.New(t)
	const (
		nodes     = 8
		perSecond = 160
		usual     = 15 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(7, 8))
	servers := make(map[string]*server)
	var replicas []*registry.Replica
	for _, id := range []string{"r0", "r1", "r2"} {
		replicas = append(replicas, &registry.Replica{ID: id, DataCentre: "a"})
		servers[id] = &server{work: usual, slots: make([]time.Time, 3)}
	}
	var sets []*upstream.Set
	for i := range nodes {
		set := upstream.NewSet(rand.New(rand.NewPCG(uint64(i), 9)))
		set.Keep(replicas)
		sets = append(sets, set)
	}
	begin := time.Unix(1000, 0)
	slow, well := begin.Add(5*time.Second), begin.Add(15*time.Second)
	var flying queue
	inTime := make(map[string]int)
	phase := func(at time.Time) string {
		switch {
		case at.After(well.Add(3 * time.Second)):
			return "after"
		case at.After(well):
			return "recovery"
		case at.After(slow.Add(2 * time.Second)):
			return "slow"
		}
		return "before"
	}
	for at := begin; at.Before(well.Add(8 * time.Second)); at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond)) {
		for len(flying) > 0 && !flying[0].at.After(at) {
			e := heap.Pop(&flying).(ended)
			e.set.Done(e.at, e.state, e.sample)
		}
		for _, s := range servers {
			s.work = usual
			if at.After(slow) && at.Before(well) {
				s.work = 5 * usual
			}
		}
		set := sets[rng.IntN(nodes)]
		q := request()
		st := set.Pick(at, q)
		if st == nil {
			continue
		}
		done, load, ok := servers[st.Replica.ID].take(at)
		sample := upstream.Sample{
			Handle: set.Sent(at, st, q), Class: class, Took: done.Sub(at), Objective: objective, Load: &load,
		}
		if !ok {
			sample.Result = upstream.Refused
		} else if sample.Took <= objective {
			inTime[phase(at)]++
		}
		heap.Push(&flying, ended{at: done, set: set, state: st, sample: sample})
	}
	c.Logf("in time: %v", inTime)
	// Eight seconds at 120 a second could be done at best.
	c.Assert(inTime["slow"] >= 240, qt.IsTrue, qt.Commentf("%d of at most 960 in time while slow", inTime["slow"]))
	c.Assert(inTime["after"] >= 5*perSecond*95/100, qt.IsTrue, qt.Commentf("%d in time after recovery", inTime["after"]))
}
