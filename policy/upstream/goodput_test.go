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

// The shard of these tests has three replicas of two slots, one in each data centre.
// Each of eight nodes may have two requests in flight at a replica.
const (
	shardReplicas    = 3
	shardSlots       = 2
	shardNodes       = 8
	shardServiceTime = 11 * time.Millisecond
	shardObjective   = 88 * time.Millisecond
)

// shardCapacity is the number of requests per second that the shard can serve.
const shardCapacity = shardReplicas * shardSlots * float64(time.Second) / float64(shardServiceTime)

// shardRequest is a request in flight at a replica.
type shardRequest struct {
	node   int
	st     *upstream.State
	handle uint64
	sent   time.Duration
	ends   time.Duration
}

// endHeap is a heap of requests ordered by their end.
type endHeap []*shardRequest

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *endHeap) Push(x any) { *h = append(*h, x.(*shardRequest)) }

// Pop implements heap.Interface.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// overloadedShard simulates nodes that send requests to one shard in virtual time. Each
// slot of a replica serves its requests one after the other, in order of arrival.
type overloadedShard struct {
	rng       *rand.Rand
	start     time.Time
	at        time.Duration
	balancers []*upstream.Balancer
	freeAt    [shardReplicas][shardSlots]time.Duration
	inFlight  endHeap
}

func newOverloadedShard() *overloadedShard {
	s := &overloadedShard{rng: rand.New(rand.NewPCG(11, 12)), start: time.Unix(1000, 0)}
	var replicas []*registry.Replica
	for i := range shardReplicas {
		name := string(rune('0' + i))
		replicas = append(replicas, &registry.Replica{ID: name, Address: "10.0.0.1:80", DataCentre: name})
	}
	for range shardNodes {
		balancer := upstream.NewBalancer(rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
		balancer.SetReplicas(replicas)
		s.balancers = append(s.balancers, balancer)
	}
	return s
}

// run sends requests at a multiple of the shard's capacity. It returns the requests that
// were answered within the objective, as a fraction of the capacity and of all requests.
func (s *overloadedShard) run(load float64, length time.Duration) (goodput, inTime float64) {
	total, good := 0, 0
	until := s.at + length
	for s.at < until {
		s.at += time.Duration(s.rng.ExpFloat64() * float64(time.Second) / (load * shardCapacity))
		good += s.end(s.at)
		total++
		s.send(s.rng.IntN(shardNodes))
	}
	return float64(good) / (length.Seconds() * shardCapacity), float64(good) / float64(total)
}

// send sends a request of a node, unless no replica accepts it.
func (s *overloadedShard) send(node int) {
	now := s.start.Add(s.at)
	q := upstream.Request{
		Class: class, DataCentre: string(rune('0' + node%shardReplicas)), MaxInFlightPerReplica: 2, ColdPerSecond: -1,
	}
	st := s.balancers[node].Pick(now, q)
	if st == nil {
		return
	}
	replica := int(st.Replica.ID[0] - '0')
	slot := 0
	for i, freeAt := range s.freeAt[replica] {
		if freeAt < s.freeAt[replica][slot] {
			slot = i
		}
	}
	work := time.Duration((0.5 + s.rng.Float64()) * float64(shardServiceTime))
	ends := max(s.at, s.freeAt[replica][slot]) + work
	s.freeAt[replica][slot] = ends
	handle := s.balancers[node].RecordSent(now, st, q)
	heap.Push(&s.inFlight, &shardRequest{node: node, st: st, handle: handle, sent: s.at, ends: ends})
}

// end completes the requests that have ended and returns how many met the objective.
func (s *overloadedShard) end(now time.Duration) (good int) {
	for len(s.inFlight) > 0 && s.inFlight[0].ends <= now {
		e := heap.Pop(&s.inFlight).(*shardRequest)
		took := e.ends - e.sent
		if took <= shardObjective {
			good++
		}
		s.balancers[e.node].Done(s.start.Add(e.ends), e.st, upstream.Sample{
			Handle: e.handle, Class: class, Took: took, Result: upstream.Answered,
		})
	}
	return good
}

// Guards against goodput that collapses when the load exceeds a shard's capacity, and
// against an overload that outlasts its load. The bound on requests in flight keeps the
// queue at each replica short.
func TestGoodputStaysLevelAboveAShardsCapacity(t *testing.T) {
	c := qt.New(t)
	s := newOverloadedShard()
	_, inTime := s.run(0.5, 5*time.Second)
	c.Assert(inTime >= 0.99, qt.IsTrue, qt.Commentf("%.3f of the requests answered in time at half of the capacity", inTime))
	for _, load := range []float64{1, 2, 3} {
		goodput, _ := s.run(load, 5*time.Second)
		t.Logf("%.0fx: %.3f of the capacity answered in time", load, goodput)
		c.Assert(goodput >= 0.9, qt.IsTrue, qt.Commentf("%.3f of the capacity answered in time at %.0f times the capacity", goodput, load))
	}
	s.run(0.5, time.Second)
	_, inTime = s.run(0.5, 5*time.Second)
	c.Assert(inTime >= 0.99, qt.IsTrue, qt.Commentf("%.3f of the requests answered in time a second after the overload", inTime))
}
