package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Timing of the simulated ping loop.
const (
	simInterval = 200 * time.Millisecond
	simTimeout  = 150 * time.Millisecond
	simDelay    = 500 * time.Microsecond
	simHelpers  = 3
)

// simulation runs the protocol between the tables of all nodes in virtual time.
type simulation struct {
	now    time.Time
	rng    *rand.Rand
	events events
	seq    int
	nodes  map[string]*simNode // by address
	// partitioned reports whether messages between two nodes are lost.
	partitioned func(a, b *simNode) bool
	// bytes and messages are totals of sent messages, largest is the largest message
	// in bytes.
	bytes, messages, largest int
}

type simNode struct {
	*Table
	running bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type events []simEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(count int, seed uint64) *simulation {
	s := &simulation{
		now:         time.Unix(1000, 0),
		rng:         rand.New(rand.NewPCG(seed, 1)),
		nodes:       make(map[string]*simNode),
		partitioned: func(_, _ *simNode) bool { return false },
	}
	var all []*simNode
	for i := range count {
		all = append(all, s.start(i))
	}
	for _, n := range all {
		for _, other := range all {
			if other != n {
				n.records[other.self.ID()] = &record{Member: other.self}
			}
		}
		n.queue = gossipQueue{}
	}
	return s
}

func (s *simulation) start(i int) *simNode {
	self := Member{
		Name:          fmt.Sprintf("vm-%03d", i),
		Boot:          s.rng.Uint64(),
		DataCentre:    fmt.Sprintf("dc-%d", i%8),
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
	}
	n := &simNode{Table: New(self, DefaultParams(), rand.New(rand.NewPCG(s.rng.Uint64(), 2))), running: true}
	s.nodes[self.PeerAddress] = n
	s.after(time.Duration(s.rng.Int64N(int64(simInterval))), func() { s.pingLoop(n) })
	return n
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

// run advances virtual time and executes the events that become due.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// runUntil runs until a condition holds and returns the elapsed virtual time. The
// second result is false when the limit is exceeded.
func (s *simulation) runUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	began := s.now
	for !holds() {
		if s.now.Sub(began) > limit {
			return limit, false
		}
		s.run(s.pollInterval())
	}
	return s.now.Sub(began), true
}

// pollInterval is how often runUntil evaluates its condition. It is longer for large
// fleets, where the evaluation is expensive.
func (s *simulation) pollInterval() time.Duration {
	if len(s.nodes) > 100 {
		return 200 * time.Millisecond
	}
	return 20 * time.Millisecond
}

// pingLoop pings the next member and schedules itself again.
func (s *simulation) pingLoop(n *simNode) {
	if !n.running {
		return
	}
	s.after(simInterval/2+time.Duration(s.rng.Int64N(int64(simInterval))), func() { s.pingLoop(n) })
	n.Tick(s.now)
	target, ok := n.NextTarget()
	if !ok {
		return
	}
	s.ping(n, target, func(answered bool) {
		if answered || !n.running {
			return
		}
		s.pingThroughHelpers(n, target)
	})
}

// ping sends a ping and calls done with true if the target answers in time.
func (s *simulation) ping(n *simNode, target Member, done func(bool)) {
	gossiped := n.Changes()
	changes := append(gossiped[:len(gossiped):len(gossiped)], n.Self().Change())
	if change := n.NonAliveChange(target.ID()); change != nil {
		changes = append(changes, change)
	}
	other := s.send(n, target.PeerAddress, &pb.GossipRequest{Envelope: envelopeOf(n, changes)})
	if other == nil {
		s.after(simTimeout, func() {
			n.MarkUnsent(gossiped)
			done(false)
		})
		return
	}
	s.after(simDelay, func() {
		sender := n.Self().ID()
		s.applyAll(other, changes)
		answer := other.Changes()
		if change := other.NonAliveChange(sender); change != nil {
			answer = append(answer, change)
		}
		s.send(other, n.self.PeerAddress, &pb.GossipResponse{Envelope: envelopeOf(other, answer)})
		id := other.Self().ID()
		s.after(simDelay, func() {
			s.applyAll(n, answer)
			n.PingAnswered(s.now, id, target.PeerAddress)
			if target.State == dead && id == target.ID() {
				s.join(n, other)
			}
			done(id == target.ID())
		})
	})
}

// join applies the whole table of another member.
func (s *simulation) join(n, other *simNode) {
	all := other.AllChanges()
	s.send(other, n.self.PeerAddress, &pb.GossipResponse{Envelope: envelopeOf(other, all)})
	s.applyAll(n, all)
}

func (s *simulation) pingThroughHelpers(n *simNode, target Member) {
	answered := false
	for _, helper := range n.Helpers(target.ID(), simHelpers) {
		via := s.send(n, helper.PeerAddress, &pb.GossipRequest{Envelope: envelopeOf(n, nil), Target: target.Name})
		if via == nil {
			continue
		}
		s.ping(via, target, func(ok bool) {
			answered = answered || ok
			if changes := via.NonAliveChanges(target.Name); !ok && n.running {
				s.send(via, n.self.PeerAddress, &pb.GossipResponse{Envelope: envelopeOf(via, changes)})
				s.applyAll(n, changes)
			}
		})
	}
	s.after(2*simTimeout, func() {
		if !answered && n.running {
			n.PingFailed(s.now, target.ID())
		}
	})
}

// send counts a message and returns its receiver, or nil when the message is lost.
func (s *simulation) send(from *simNode, addr string, m proto.Message) *simNode {
	size := proto.Size(m)
	s.bytes += size
	s.messages++
	s.largest = max(s.largest, size)
	to := s.nodes[addr]
	if to == nil || !to.running || s.partitioned(from, to) {
		return nil
	}
	return to
}

func (s *simulation) applyAll(n *simNode, changes []*pb.MemberChange) {
	for _, c := range changes {
		if n.Apply(s.now, c) == DeclaredGone {
			n.Rejoin(s.rng.Uint64())
		}
	}
}

func envelopeOf(n *simNode, changes []*pb.MemberChange) *pb.Envelope {
	return &pb.Envelope{
		Fleet:         "production",
		Protocol:      1,
		Sender:        n.self.Name,
		Boot:          n.self.Boot,
		ConfigVersion: 920,
		Changes:       changes,
	}
}

// allNodes reports whether a condition holds at each running node.
func (s *simulation) allNodes(holds func(n *simNode) bool) bool {
	for _, n := range s.nodes {
		if n.running && !holds(n) {
			return false
		}
	}
	return true
}

func (s *simulation) anyNode(holds func(n *simNode) bool) bool {
	return !s.allNodes(func(n *simNode) bool { return !holds(n) })
}

// stateOf returns the state of a member in the table of n.
func (n *simNode) stateOf(of Member) pb.MemberState {
	m, _ := n.Lookup(of.ID())
	return m.State
}
