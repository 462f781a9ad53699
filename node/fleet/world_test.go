package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/membership"
)

// oneWay is the delay between two nodes and to the platform.
const oneWay = 500 * time.Microsecond

var errUnreachable = errors.New("unreachable")

// world is a fleet in memory: nodes, the network between them, and the platform.
// It runs inside a synctest bubble.
type world struct {
	t testing.TB

	mu       sync.Mutex
	nodes    map[string]*testNode // by peer address
	platform platformFake
	// cut says whether messages between two nodes are lost.
	cut func(a, b *testNode) bool
	// pingIntervalMs is 0 for the default; tests of hours ping less.
	pingIntervalMs uint32
	// calls to the platform.
	calls int
	boots uint64
	// bytes of marshalled messages between nodes.
	bytes int
	// releases counts consents given back.
	releases int
}

type testNode struct {
	*Fleet
	name, dc, addr string
	w              *world
	cancel         context.CancelFunc
	done           chan struct{}
	// offPlatform cuts the node off from the platform.
	offPlatform bool
	// paused nodes neither send nor answer until the channel closes.
	paused chan struct{}
	events []string
}

type platformFake struct {
	down     bool
	stale    *Entry
	entry    Entry
	changed  chan struct{}
	unlisted map[string]bool
}

// newWorld returns a world without nodes, which ends with the test.
func newWorld(t testing.TB) *world {
	w := &world{
		t:        t,
		nodes:    make(map[string]*testNode),
		cut:      func(_, _ *testNode) bool { return false },
		platform: platformFake{changed: make(chan struct{}), unlisted: make(map[string]bool)},
	}
	t.Cleanup(w.stop)
	return w
}

// sheetOf returns a configuration with data centres a to d and three replicas.
func sheetOf(version uint64) *pb.Configuration {
	c := &pb.Configuration{Version: version, Sheet: &pb.Sheet{Fleet: "test", Tuning: &pb.Tuning{Owners: 2, Watchers: 2}}}
	var replicas []*pb.Replica
	for _, dc := range []string{"a", "b", "c", "d"} {
		c.Sheet.DataCentres = append(c.Sheet.DataCentres, &pb.DataCentre{Name: dc})
		replicas = append(replicas, &pb.Replica{Name: "r-" + dc, DataCentre: dc, Address: "127.0.0.1:1"})
	}
	c.Sheet.Services = []*pb.Service{{
		Name: "timing", MaxDeadlineMs: 300,
		Generations: []*pb.Generation{{Id: 1, Shards: []*pb.Shard{{Name: "s", Replicas: replicas}}}},
	}}
	return c
}

// publish stores a configuration in the platform.
func (w *world) publish(c *pb.Configuration) {
	value, err := proto.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.entry = Entry{Value: value, Revision: w.platform.entry.Revision + 1}
	close(w.platform.changed)
	w.platform.changed = make(chan struct{})
}

// start runs a node; name and address stay the same when it is restarted.
func (w *world) start(name, dc string, seeds ...string) *testNode {
	w.mu.Lock()
	w.boots++
	boot := w.boots
	w.mu.Unlock()
	n := &testNode{name: name, dc: dc, addr: "10.0.0." + name, w: w, done: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.Fleet = New(Options{
		Settings: &pb.Settings{
			Node: name, Fleet: "test", DataCentre: dc, PeerAddress: n.addr, Seeds: seeds,
			Timing: &pb.Timing{PingIntervalMs: w.pingIntervalMs},
		},
		Peers:    n,
		Platform: (*platformOf)(n),
		Boot:     boot,
		Log:      log,
		Rand:     rand.New(rand.NewPCG(boot, 7)),
		Event: func(kind, subject, detail string) {
			w.mu.Lock()
			defer w.mu.Unlock()
			n.events = append(n.events, fmt.Sprintf("%s %s %s", kind, subject, detail))
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w.mu.Lock()
	w.nodes[n.addr] = n
	w.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	return n
}

// kill ends a node without a word to the others.
func (n *testNode) kill() {
	n.w.mu.Lock()
	if n.w.nodes[n.addr] == n {
		delete(n.w.nodes, n.addr)
	}
	n.w.mu.Unlock()
	n.cancel()
	<-n.done
}

// fleetOfEight starts 8 nodes over data centres a to d, two by two.
func (w *world) fleetOfEight() []*testNode {
	var nodes []*testNode
	for i := range 8 {
		nodes = append(nodes, w.start(fmt.Sprint(i), string(rune('a'+i/2%4)), "10.0.0.0", "10.0.0.1"))
	}
	return nodes
}

// startEight publishes a configuration and starts 8 nodes, which have 5 s to put it
// in force and to know each other.
func (w *world) startEight(c *pb.Configuration) []*testNode {
	w.publish(c)
	nodes := w.fleetOfEight()
	w.until(5*time.Second, "all nodes start", func() bool { return allAt(nodes, c.GetVersion())() && allKnow(nodes, 8)() })
	return nodes
}

// stop ends every node, as a synctest bubble demands.
func (w *world) stop() {
	w.mu.Lock()
	var nodes []*testNode
	for _, n := range w.nodes {
		nodes = append(nodes, n)
	}
	w.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	synctest.Wait()
}

// pause stops a node's messages in both directions; resume lets those that wait
// go on, late.
func (n *testNode) pause() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.paused = make(chan struct{})
}

func (n *testNode) resume() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	close(n.paused)
	n.paused = nil
}

// replicas are those of the configuration in force.
func (n *testNode) replicas() map[string]*config.Replica {
	if index := n.Index(); index != nil {
		return index.Replicas
	}
	return nil
}

// owns reports whether the node is among a replica's owners.
func (n *testNode) owns(r *config.Replica) bool {
	return slices.ContainsFunc(n.Owners(r), func(m Member) bool { return m.Name == n.name })
}

// saw reports whether the node recorded an event.
func (n *testNode) saw(event string) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return slices.Contains(n.events, event)
}

func (n *testNode) isPaused() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.paused != nil
}

// split loses the messages between the pairs of nodes that cut names; nil heals
// the network.
func (w *world) split(cut func(a, b *testNode) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cut == nil {
		cut = func(_, _ *testNode) bool { return false }
	}
	w.cut = cut
}

// cutPlatform cuts nodes off from the platform.
func (w *world) cutPlatform(nodes []*testNode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range nodes {
		n.offPlatform = true
	}
	// Watches that are open end too.
	close(w.platform.changed)
	w.platform.changed = make(chan struct{})
}

func (w *world) setPlatformDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.down = down
	close(w.platform.changed)
	w.platform.changed = make(chan struct{})
}

// restore has the platform start from a copy that counts revisions from 1.
func (w *world) restore(c *pb.Configuration) {
	w.mu.Lock()
	w.platform.entry.Revision = 0
	w.mu.Unlock()
	w.publish(c)
}

// setStale has the platform answer from the past.
func (p *platformFake) setStale(w *world, entry *Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.stale = entry
}

// callsPerSecond lets time pass and returns the rate of calls to the platform.
func (w *world) callsPerSecond(d time.Duration) float64 {
	w.mu.Lock()
	before := w.calls
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.calls-before) / d.Seconds()
}

func nodesName(i int) string { return fmt.Sprint(i) }

// waitWhilePaused returns once the node runs, or ctx ends.
func (n *testNode) waitWhilePaused(ctx context.Context) error {
	n.w.mu.Lock()
	paused := n.paused
	n.w.mu.Unlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reach finds a node across the network, or waits until ctx ends as a lost
// packet does.
func (n *testNode) reach(ctx context.Context, addr string, m proto.Message) (*testNode, error) {
	if err := n.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	if !work.Sleep(ctx, oneWay) {
		return nil, ctx.Err()
	}
	n.w.mu.Lock()
	n.w.bytes += proto.Size(m)
	if gossip, ok := m.(*pb.GossipRequest); ok {
		n.w.releases += len(gossip.GetReleases())
	}
	other := n.w.nodes[addr]
	lost := other != nil && n.w.cut(n, other)
	n.w.mu.Unlock()
	if other == nil {
		return nil, errUnreachable
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return other, other.waitWhilePaused(ctx)
}

// Gossip implements Peers.
func (n *testNode) Gossip(ctx context.Context, addr string, req *pb.GossipRequest) (*pb.GossipResponse, error) {
	other, err := n.reach(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	resp, err := other.HandleGossip(ctx, proto.Clone(req).(*pb.GossipRequest))
	if err != nil {
		return nil, err
	}
	if _, err := other.reach(ctx, n.addr, resp); err != nil {
		return nil, err
	}
	return proto.Clone(resp).(*pb.GossipResponse), nil
}

// Pull implements Peers.
func (n *testNode) Pull(ctx context.Context, addr string, req *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error) {
	other, err := n.reach(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	resp, err := other.HandlePull(ctx, proto.Clone(req).(*pb.PullConfigurationRequest))
	if err != nil {
		return nil, err
	}
	if _, err := other.reach(ctx, n.addr, resp); err != nil {
		return nil, err
	}
	return proto.Clone(resp).(*pb.PullConfigurationResponse), nil
}

// platformOf is a node's path to the platform.
type platformOf testNode

func (p *platformOf) call(ctx context.Context) error {
	if !work.Sleep(ctx, oneWay) {
		return ctx.Err()
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.calls++
	if p.w.platform.down || p.offPlatform {
		return errUnreachable
	}
	return nil
}

func (p *platformOf) read() (Entry, <-chan struct{}) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.platform.stale != nil {
		return *p.w.platform.stale, p.w.platform.changed
	}
	return p.w.platform.entry, p.w.platform.changed
}

func (p *platformOf) Get(ctx context.Context, _ string) (Entry, error) {
	if err := p.call(ctx); err != nil {
		return Entry{}, err
	}
	entry, _ := p.read()
	if entry.Revision == 0 {
		return Entry{}, ErrNoConfiguration
	}
	return entry, nil
}

func (p *platformOf) Watch(ctx context.Context, _ string, after uint64) (Entry, error) {
	if err := p.call(ctx); err != nil {
		return Entry{}, err
	}
	for {
		entry, changed := p.read()
		if entry.Revision > after {
			return entry, nil
		}
		select {
		case <-changed:
			p.w.mu.Lock()
			lost := p.w.platform.down || p.offPlatform
			p.w.mu.Unlock()
			if lost {
				return Entry{}, errUnreachable
			}
		case <-ctx.Done():
			return Entry{}, ctx.Err()
		}
	}
}

func (p *platformOf) VMs(ctx context.Context) ([]membership.ListedVM, error) {
	if err := p.call(ctx); err != nil {
		return nil, err
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	var list []membership.ListedVM
	for _, n := range p.w.nodes {
		if !p.w.platform.unlisted[n.name] {
			list = append(list, membership.ListedVM{Name: n.name, DataCentre: n.dc, PeerAddress: n.addr})
		}
	}
	return list, nil
}

// until waits for a condition in virtual time and returns how long it took, or
// fails the test after limit.
func (w *world) until(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for time.Since(began) <= limit {
		synctest.Wait()
		if holds() {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("not within %v: %s", limit, what)
	return 0
}

func allAt(nodes []*testNode, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.version() != version {
				return false
			}
		}
		return true
	}
}

func allKnow(nodes []*testNode, usable int) func() bool {
	return func() bool {
		for _, n := range nodes {
			count := 0
			for _, m := range n.Members() {
				if m.State == pb.MemberState_MEMBER_STATE_ALIVE {
					count++
				}
			}
			if count != usable {
				return false
			}
		}
		return true
	}
}
