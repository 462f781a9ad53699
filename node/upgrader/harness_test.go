package upgrader_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/upgrader"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upgrade"
)

const (
	period = 12 * time.Second
	// viewDelay is the time until a node learns of a change in the store.
	viewDelay = time.Second
)

var (
	errAway = errors.New("the store does not answer")
	errDown = errors.New("the node does not answer")
)

// store is the platform's store, with one order. Its leases expire.
type store struct {
	// mu guards the fields below.
	mu       sync.Mutex
	record   upgrade.Record
	revision uint64
	leases   uint64
	// lease is that of the leader.
	lease  uint64
	expiry time.Time
	// statuses holds all states that were written, and calls counts the calls.
	statuses []upgrade.State
	calls    int
	away     bool
	// loseAnswers makes writes take effect and fail.
	loseAnswers bool
	// hangRenewals makes renewals wait for the end of their context.
	hangRenewals atomic.Bool
}

// expireLocked ends the lease when it is due. s.mu is held.
func (s *store) expireLocked() {
	if s.record.Leader.Node != "" && time.Now().After(s.expiry) {
		s.record.Leader = upgrade.Leader{}
	}
}

// callLocked counts a call. s.mu is held.
func (s *store) callLocked() error {
	s.calls++
	s.expireLocked()
	if s.away {
		return errAway
	}
	return nil
}

func (s *store) LeadUpgrade(_ context.Context, r upgrade.Record, node string, ttl time.Duration) (term, lease uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.callLocked(); err != nil {
		return 0, 0, err
	}
	s.leases++
	if r != s.record {
		return 0, s.leases, directory.ErrConflict
	}
	s.revision++
	s.lease = s.leases
	s.record.Leader, s.expiry = upgrade.Leader{Node: node, Term: s.revision}, time.Now().Add(ttl)
	if r.State() != upgrade.Running {
		s.writeLocked(upgrade.Running)
	}
	if s.loseAnswers {
		return 0, s.lease, errAway
	}
	return s.revision, s.lease, nil
}

func (s *store) EndUpgrade(_ context.Context, r upgrade.Record, final upgrade.State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.callLocked(); err != nil {
		return err
	}
	if r != s.record {
		return directory.ErrConflict
	}
	s.revision++
	s.writeLocked(final)
	s.record.Leader = upgrade.Leader{}
	if s.loseAnswers {
		return errAway
	}
	return nil
}

func (s *store) writeLocked(state upgrade.State) {
	s.record.Status = upgrade.Status{Service: "s", Version: "v2", State: state, Revision: s.revision}
	s.statuses = append(s.statuses, state)
}

func (s *store) Renew(ctx context.Context, lease uint64) error {
	if s.hangRenewals.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.callLocked(); err != nil {
		return err
	}
	if lease != s.lease || s.record.Leader.Node == "" {
		return directory.ErrLeaseEnded
	}
	s.expiry = time.Now().Add(time.Second)
	return nil
}

func (s *store) Revoke(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease == s.lease {
		s.record.Leader = upgrade.Leader{}
	}
	return s.callLocked()
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) read() upgrade.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return s.record
}

// node is one node with the gate of the service.
type node struct {
	name string
	*upgrader.Upgrader
	fleet *fleet
	kill  context.CancelFunc

	// mu guards the fields below.
	mu     sync.Mutex
	view   *directory.View
	gate   *upgrade.Gate
	killed bool
	polled bool
}

func (n *node) View() *directory.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

func (n *node) Fleet() coordinator.Fleet {
	var f coordinator.Fleet
	for _, other := range n.fleet.nodes {
		f.Members = append(f.Members, coordinator.Member{Node: other.name, Capacity: 1})
	}
	return f
}

func (n *node) PollNow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.polled = true
}

func (n *node) ApplyUpgrade(g upgrade.Grant) (upgrade.Report, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.gate == nil || !n.gate.Apply(now, g) {
		return upgrade.Report{}, false
	}
	return n.gate.Report(now, 0), true
}

// GrantUpgrade implements upgrader.Peers.
func (n *node) GrantUpgrade(_ context.Context, to coordinator.Member, g upgrade.Grant) (upgrade.Report, bool, error) {
	for _, other := range n.fleet.nodes {
		if other.name != to.Node {
			continue
		}
		other.mu.Lock()
		killed := other.killed
		other.mu.Unlock()
		if killed {
			return upgrade.Report{}, false, errDown
		}
		r, known := other.Grant(g)
		return r, known, nil
	}
	return upgrade.Report{}, false, errDown
}

// fleet is some nodes, replicas of two versions, and requests.
type fleet struct {
	store *store
	nodes []*node
	bad   bool
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// newFleet starts a fleet. One more node counts in it that does not follow the store.
func newFleet(size int, bad bool) *fleet {
	f := &fleet{store: &store{revision: 7, record: upgrade.Record{
		Order: upgrade.Order{Service: "s", Version: "v2", Period: period, Revision: 5},
	}}, bad: bad}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range size + 1 {
		n := &node{name: "n" + strconv.Itoa(i), fleet: f}
		n.Upgrader = upgrader.New(upgrader.Options{
			Self: coordinator.Member{Node: n.name, Capacity: 1}, Directory: n, Store: f.store, Peers: n, Gates: n,
			Leaving: func() bool { return false }, Log: log, Event: func(string, string, string) {},
		})
		f.nodes = append(f.nodes, n)
	}
	for i, n := range f.nodes {
		nodeCtx, kill := context.WithCancel(ctx)
		n.kill = kill
		f.tasks.Go(func() { n.Run(nodeCtx) })
		if i == size {
			break
		}
		f.tasks.Go(func() { n.follow(nodeCtx) })
		f.tasks.Go(func() { n.request(nodeCtx) })
	}
	return f
}

func (f *fleet) close() {
	f.stop()
	f.tasks.Wait()
}

func replicas() []*registry.Replica {
	var list []*registry.Replica
	for i, version := range []string{"v1", "v1", "v1", "v2", "v2", "v2"} {
		list = append(list, &registry.Replica{
			ID: "r" + strconv.Itoa(i), Service: "s", Version: version, DataCentre: string(rune('a' + i%3)),
		})
	}
	return list
}

// follow updates the node's view each viewDelay, and on PollNow, while the store answers.
func (n *node) follow(ctx context.Context) {
	for last := (time.Time{}); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		n.mu.Lock()
		due := n.polled || time.Since(last) >= viewDelay
		n.mu.Unlock()
		n.fleet.store.mu.Lock()
		away := n.fleet.store.away
		n.fleet.store.mu.Unlock()
		if !due || away {
			continue
		}
		last = time.Now()
		record := n.fleet.store.read()
		n.mu.Lock()
		n.polled = false
		n.view = &directory.View{
			Replicas: map[string][]*registry.Replica{"s": replicas()},
			Upgrades: map[string]directory.Upgrade{"s": {Record: record, Witnessed: true}},
		}
		switch {
		case !record.Active():
			n.gate = nil
		case n.gate == nil:
			bound := upgrade.Bound{Share: 0.1, Slack: 50, GrantTTL: time.Second}
			n.gate = upgrade.NewGate(time.Now(), record.Order, bound, 0.5, true)
			n.gate.SetReplicas(replicas())
		}
		n.mu.Unlock()
		n.ViewChanged()
	}
}

// From badFrom on, failedFraction of the requests fail at a bad version.
const (
	badFrom        = 5 * time.Second
	failedFraction = 0.6
)

// request sends requests through the node's gate.
func (n *node) request(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(n.name[1]), 0))
	began := time.Now()
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		n.mu.Lock()
		if n.gate != nil {
			choice := n.gate.Choose(time.Now(), false, float64(len(n.fleet.nodes)))
			list := replicas()
			rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			for _, r := range list {
				if n.gate.Eligible(r, choice.New) {
					n.gate.Sent(r, false)
					n.gate.Ended(time.Now(), upgrade.Result{
						Route: "r", Replica: r, Answered: true, Took: 10 * time.Millisecond,
						Failed: n.fleet.bad && time.Since(began) >= badFrom && n.gate.IsNew(r) && rng.Float64() < failedFraction,
					})
					break
				}
			}
		}
		n.mu.Unlock()
	}
}

// crashLeader ends the node that leads without a goodbye, once there is one. It does nothing
// if the upgrade has ended.
func (f *fleet) crashLeader() {
	for f.store.read().Active() {
		name := f.store.read().Leader.Node
		for _, n := range f.nodes {
			if n.name == name {
				n.mu.Lock()
				n.killed = true
				n.mu.Unlock()
				n.kill()
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}
