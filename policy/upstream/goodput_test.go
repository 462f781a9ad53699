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

// The shard of these tests: three replicas of two slots, one in each data centre, and
// eight nodes that each have two places at a replica.
const (
	shardReplicas  = 3
	shardSlots     = 2
	shardNodes     = 8
	shardWork      = 11 * time.Millisecond
	shardObjective = 88 * time.Millisecond
)

// shardCapacity is how many requests a second the shard can serve.
const shardCapacity = shardReplicas * shardSlots * float64(time.Second) / float64(shardWork)

// exchange is a request at a replica.
type exchange struct {
	node   int
	st     *upstream.State
	handle uint64
	sent   time.Duration
	ends   time.Duration
}

// byEnd orders exchanges by their end.
type byEnd []*exchange

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byEnd) Push(x any) { *h = append(*h, x.(*exchange)) }

// Pop implements heap.Interface.
func (h *byEnd) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// overloadedShard plays nodes that send requests to one shard in virtual time. Each slot of
// a replica works on one request after the other, in the order in which they came.
type overloadedShard struct {
	rng   *rand.Rand
	start time.Time
	at    time.Duration
	sets  []*upstream.Balancer
	free  [shardReplicas][shardSlots]time.Duration
	out   byEnd
}

func newOverloadedShard() *overloadedShard {
	s := &overloadedShard{rng: rand.New(rand.NewPCG(11, 12)), start: time.Unix(1000, 0)}
	var replicas []*registry.Replica
	for i := range shardReplicas {
		name := string(rune('0' + i))
		replicas = append(replicas, &registry.Replica{ID: name, Address: "10.0.0.1:80", DataCentre: name})
	}
	for range shardNodes {
		set := upstream.NewBalancer(rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
		set.SetReplicas(replicas)
		s.sets = append(s.sets, set)
	}
	return s
}

// play sends requests at a multiple of the shard's capacity and returns the share of it that
// was answered inside the objective, and the share of requests that were.
func (s *overloadedShard) play(load float64, length time.Duration) (goodput, inTime float64) {
	asked, good := 0, 0
	until := s.at + length
	for s.at < until {
		s.at += time.Duration(s.rng.ExpFloat64() * float64(time.Second) / (load * shardCapacity))
		good += s.end(s.at)
		asked++
		s.send(s.rng.IntN(shardNodes))
	}
	return float64(good) / (length.Seconds() * shardCapacity), float64(good) / float64(asked)
}

// send sends a request of a node, unless no replica has room.
func (s *overloadedShard) send(node int) {
	now := s.start.Add(s.at)
	q := upstream.Request{
		Class: class, DataCentre: string(rune('0' + node%shardReplicas)), MaxInFlightPerReplica: 2, ColdPerSecond: -1,
	}
	st := s.sets[node].Pick(now, q)
	if st == nil {
		return
	}
	replica := int(st.Replica.ID[0] - '0')
	slot := 0
	for i, free := range s.free[replica] {
		if free < s.free[replica][slot] {
			slot = i
		}
	}
	work := time.Duration((0.5 + s.rng.Float64()) * float64(shardWork))
	ends := max(s.at, s.free[replica][slot]) + work
	s.free[replica][slot] = ends
	handle := s.sets[node].RecordSent(now, st, q)
	heap.Push(&s.out, &exchange{node: node, st: st, handle: handle, sent: s.at, ends: ends})
}

// end ends the exchanges that are over and returns how many were inside the objective.
func (s *overloadedShard) end(now time.Duration) (good int) {
	for len(s.out) > 0 && s.out[0].ends <= now {
		e := heap.Pop(&s.out).(*exchange)
		took := e.ends - e.sent
		if took <= shardObjective {
			good++
		}
		s.sets[e.node].Done(s.start.Add(e.ends), e.st, upstream.Sample{
			Handle: e.handle, Class: class, Took: took, Result: upstream.Answered,
		})
	}
	return good
}

// Callers ask for two and three times what a shard can serve. What it can serve is answered
// inside the objective, and the rest is turned away at once: the nodes' places bound the
// queue at each replica. When the load falls again, nothing of the overload remains.
func TestGoodputStaysLevelAboveAShardsCapacity(t *testing.T) {
	c := qt.New(t)
	s := newOverloadedShard()
	_, inTime := s.play(0.5, 5*time.Second)
	c.Assert(inTime >= 0.99, qt.IsTrue, qt.Commentf("%.3f in time at half of the capacity", inTime))
	for _, load := range []float64{1, 2, 3} {
		goodput, _ := s.play(load, 5*time.Second)
		t.Logf("%.0fx: %.3f of the capacity answered in time", load, goodput)
		c.Assert(goodput >= 0.9, qt.IsTrue, qt.Commentf("%.3f of the capacity at %.0f times the load", goodput, load))
	}
	s.play(0.5, time.Second)
	_, inTime = s.play(0.5, 5*time.Second)
	c.Assert(inTime >= 0.99, qt.IsTrue, qt.Commentf("%.3f in time a second after the overload", inTime))
}
