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

// oneWay is the network delay between two nodes, and from a node to the platform.
const oneWay = 500 * time.Microsecond

var errUnreachable = errors.New("unreachable")

// cluster is an in-memory fleet: nodes, the network between them, and the platform.
// It runs inside a synctest bubble.
type cluster struct {
	t testing.TB

	mu       sync.Mutex
	nodes    map[string]*testNode // by peer address
	platform fakePlatform
	// drops reports whether the network drops messages between two nodes.
	drops func(a, b *testNode) bool
	// pingIntervalMs is the ping interval of the nodes, 0 for the default. Tests of
	// hours of virtual time use a longer interval.
	pingIntervalMs uint32
	// calls is the number of calls to the platform.
	calls int
	boots uint64
	// bytes is the total size of the marshalled messages between nodes.
	bytes int
	// releases is the number of consents released.
	releases int
}

type testNode struct {
	*Fleet
	name, dc, addr string
	cluster        *cluster
	cancel         context.CancelFunc
	done           chan struct{}
	// platformUnreachable partitions the node from the platform.
	platformUnreachable bool
	// paused is set while the node neither sends nor answers. It is closed on
	// resume.
	paused chan struct{}
	events []string
}

type fakePlatform struct {
	down     bool
	stale    *Entry
	entry    Entry
	changed  chan struct{}
	unlisted map[string]bool
}

// newCluster returns a cluster without nodes, which is stopped at the end of the
// test.
func newCluster(t testing.TB) *cluster {
	c := &cluster{
		t:        t,
		nodes:    make(map[string]*testNode),
		drops:    func(_, _ *testNode) bool { return false },
		platform: fakePlatform{changed: make(chan struct{}), unlisted: make(map[string]bool)},
	}
	t.Cleanup(c.stop)
	return c
}

// testConfiguration returns a configuration with data centres a to d and one
// replica in each.
func testConfiguration(version uint64) *pb.Configuration {
	conf := &pb.Configuration{Version: version, Sheet: &pb.Sheet{Fleet: "test", Tuning: &pb.Tuning{Owners: 2, Watchers: 2}}}
	var replicas []*pb.Replica
	for _, dc := range []string{"a", "b", "c", "d"} {
		conf.Sheet.DataCentres = append(conf.Sheet.DataCentres, &pb.DataCentre{Name: dc})
		replicas = append(replicas, &pb.Replica{Name: "r-" + dc, DataCentre: dc, Address: "127.0.0.1:1"})
	}
	conf.Sheet.Services = []*pb.Service{{
		Name: "timing", MaxDeadlineMs: 300,
		Generations: []*pb.Generation{{Id: 1, Shards: []*pb.Shard{{Name: "s", Replicas: replicas}}}},
	}}
	return conf
}

// publish stores a configuration in the platform.
func (c *cluster) publish(conf *pb.Configuration) {
	value, err := proto.Marshal(conf)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platform.entry = Entry{Value: value, Revision: c.platform.entry.Revision + 1}
	close(c.platform.changed)
	c.platform.changed = make(chan struct{})
}

// start starts a node. A restarted node has the same name and address as before.
func (c *cluster) start(name, dc string, seeds ...string) *testNode {
	c.mu.Lock()
	c.boots++
	boot := c.boots
	c.mu.Unlock()
	n := &testNode{name: name, dc: dc, addr: "10.0.0." + name, cluster: c, done: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.Fleet = New(Options{
		Settings: &pb.Settings{
			Node: name, Fleet: "test", DataCentre: dc, PeerAddress: n.addr, Seeds: seeds,
			Timing: &pb.Timing{PingIntervalMs: c.pingIntervalMs},
		},
		Peers:    n,
		Platform: (*platformClient)(n),
		Boot:     boot,
		Log:      log,
		Rand:     rand.New(rand.NewPCG(boot, 7)),
		Event: func(kind, subject, detail string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			n.events = append(n.events, fmt.Sprintf("%s %s %s", kind, subject, detail))
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.mu.Lock()
	c.nodes[n.addr] = n
	c.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	return n
}

// kill stops a node without an announcement to the other nodes.
func (n *testNode) kill() {
	n.cluster.mu.Lock()
	if n.cluster.nodes[n.addr] == n {
		delete(n.cluster.nodes, n.addr)
	}
	n.cluster.mu.Unlock()
	n.cancel()
	<-n.done
}

// startEightNodes starts 8 nodes, two in each of the data centres a to d.
func (c *cluster) startEightNodes() []*testNode {
	var nodes []*testNode
	for i := range 8 {
		nodes = append(nodes, c.start(fmt.Sprint(i), string(rune('a'+i/2%4)), "10.0.0.0", "10.0.0.1"))
	}
	return nodes
}

// startReadyFleet publishes a configuration and starts 8 nodes. Within 5 s, the
// configuration must be in force and all nodes must see each other as alive.
func (c *cluster) startReadyFleet(conf *pb.Configuration) []*testNode {
	c.publish(conf)
	nodes := c.startEightNodes()
	c.waitFor(5*time.Second, "all nodes start", func() bool { return allAtVersion(nodes, conf.GetVersion())() && allSeeAlive(nodes, 8)() })
	return nodes
}

// stop stops all nodes. A synctest bubble requires that all its goroutines end.
func (c *cluster) stop() {
	c.mu.Lock()
	var nodes []*testNode
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	c.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	synctest.Wait()
}

// pause blocks a node's messages in both directions. After resume, blocked messages
// continue.
func (n *testNode) pause() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.paused = make(chan struct{})
}

func (n *testNode) resume() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	close(n.paused)
	n.paused = nil
}

// replicas returns the replicas of the configuration in force.
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

// hasEvent reports whether the node recorded an event.
func (n *testNode) hasEvent(event string) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return slices.Contains(n.events, event)
}

func (n *testNode) isPaused() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.paused != nil
}

// partition drops the messages between the pairs of nodes for which drops returns
// true. A nil argument ends the partition.
func (c *cluster) partition(drops func(a, b *testNode) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if drops == nil {
		drops = func(_, _ *testNode) bool { return false }
	}
	c.drops = drops
}

// disconnectFromPlatform partitions nodes from the platform.
func (c *cluster) disconnectFromPlatform(nodes []*testNode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range nodes {
		n.platformUnreachable = true
	}
	// Long polls in flight end too.
	close(c.platform.changed)
	c.platform.changed = make(chan struct{})
}

func (c *cluster) setPlatformDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platform.down = down
	close(c.platform.changed)
	c.platform.changed = make(chan struct{})
}

// restoreFromBackup restarts the platform's revisions at 1.
func (c *cluster) restoreFromBackup(conf *pb.Configuration) {
	c.mu.Lock()
	c.platform.entry.Revision = 0
	c.mu.Unlock()
	c.publish(conf)
}

// setStaleEntry makes the platform return an outdated entry. A nil entry ends this.
func (p *fakePlatform) setStaleEntry(c *cluster, entry *Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.stale = entry
}

// callsPerSecond sleeps for d and returns the rate of calls to the platform.
func (c *cluster) callsPerSecond(d time.Duration) float64 {
	c.mu.Lock()
	before := c.calls
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.calls-before) / d.Seconds()
}

func nodeName(i int) string { return fmt.Sprint(i) }

// waitUntilResumed returns when the node is not paused or ctx ends.
func (n *testNode) waitUntilResumed(ctx context.Context) error {
	n.cluster.mu.Lock()
	paused := n.paused
	n.cluster.mu.Unlock()
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

// deliver delivers a message across the network and returns the receiver. If the
// message is dropped, deliver waits until ctx ends.
func (n *testNode) deliver(ctx context.Context, addr string, m proto.Message) (*testNode, error) {
	if err := n.waitUntilResumed(ctx); err != nil {
		return nil, err
	}
	if !work.Sleep(ctx, oneWay) {
		return nil, ctx.Err()
	}
	n.cluster.mu.Lock()
	n.cluster.bytes += proto.Size(m)
	if gossip, ok := m.(*pb.GossipRequest); ok {
		n.cluster.releases += len(gossip.GetReleases())
	}
	other := n.cluster.nodes[addr]
	lost := other != nil && n.cluster.drops(n, other)
	n.cluster.mu.Unlock()
	if other == nil {
		return nil, errUnreachable
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return other, other.waitUntilResumed(ctx)
}

// Gossip implements Peers.
func (n *testNode) Gossip(ctx context.Context, addr string, req *pb.GossipRequest) (*pb.GossipResponse, error) {
	other, err := n.deliver(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	resp, err := other.HandleGossip(ctx, proto.Clone(req).(*pb.GossipRequest))
	if err != nil {
		return nil, err
	}
	if _, err := other.deliver(ctx, n.addr, resp); err != nil {
		return nil, err
	}
	return proto.Clone(resp).(*pb.GossipResponse), nil
}

// Pull implements Peers.
func (n *testNode) Pull(ctx context.Context, addr string, req *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error) {
	other, err := n.deliver(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	resp, err := other.HandlePull(ctx, proto.Clone(req).(*pb.PullConfigurationRequest))
	if err != nil {
		return nil, err
	}
	if _, err := other.deliver(ctx, n.addr, resp); err != nil {
		return nil, err
	}
	return proto.Clone(resp).(*pb.PullConfigurationResponse), nil
}

// platformClient implements Platform for one node.
type platformClient testNode

func (p *platformClient) call(ctx context.Context) error {
	if !work.Sleep(ctx, oneWay) {
		return ctx.Err()
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.cluster.calls++
	if p.cluster.platform.down || p.platformUnreachable {
		return errUnreachable
	}
	return nil
}

func (p *platformClient) read() (Entry, <-chan struct{}) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if p.cluster.platform.stale != nil {
		return *p.cluster.platform.stale, p.cluster.platform.changed
	}
	return p.cluster.platform.entry, p.cluster.platform.changed
}

func (p *platformClient) Get(ctx context.Context, _ string) (Entry, error) {
	if err := p.call(ctx); err != nil {
		return Entry{}, err
	}
	entry, _ := p.read()
	if entry.Revision == 0 {
		return Entry{}, ErrNoConfiguration
	}
	return entry, nil
}

func (p *platformClient) Watch(ctx context.Context, _ string, after uint64) (Entry, error) {
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
			p.cluster.mu.Lock()
			lost := p.cluster.platform.down || p.platformUnreachable
			p.cluster.mu.Unlock()
			if lost {
				return Entry{}, errUnreachable
			}
		case <-ctx.Done():
			return Entry{}, ctx.Err()
		}
	}
}

func (p *platformClient) VMs(ctx context.Context) ([]membership.ListedVM, error) {
	if err := p.call(ctx); err != nil {
		return nil, err
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	var list []membership.ListedVM
	for _, n := range p.cluster.nodes {
		if !p.cluster.platform.unlisted[n.name] {
			list = append(list, membership.ListedVM{Name: n.name, DataCentre: n.dc, PeerAddress: n.addr})
		}
	}
	return list, nil
}

// waitFor waits in virtual time until a condition holds and returns the duration.
// It fails the test after limit.
func (c *cluster) waitFor(limit time.Duration, what string, holds func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for time.Since(start) <= limit {
		synctest.Wait()
		if holds() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("condition not met within %v: %s", limit, what)
	return 0
}

func allAtVersion(nodes []*testNode, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.configVersion() != version {
				return false
			}
		}
		return true
	}
}

func allSeeAlive(nodes []*testNode, alive int) func() bool {
	return func() bool {
		for _, n := range nodes {
			count := 0
			for _, m := range n.Members() {
				if m.State == pb.MemberState_MEMBER_STATE_ALIVE {
					count++
				}
			}
			if count != alive {
				return false
			}
		}
		return true
	}
}
