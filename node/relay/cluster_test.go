package relay_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/intake"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/policy/coordinator"
	policyintake "github.com/carobmill/carobmill/policy/intake"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/standin/memnet"
)

// node is one node of a fleet: the state of its view of the store, and the requests that
// its own forwarder received.
type node struct {
	member coordinator.Member
	host   string
	server *grpc.Server
	relay  *relay.Relay

	// mu guards the fields below.
	mu        sync.Mutex
	version   uint64
	following bool
	isolated  bool
	// suspected counts the reports of an isolated node.
	suspected int
	stale     bool
	leaving   bool
	fleet     coordinator.Fleet
	polls     int
	served    []forward.Request
	batches   []forward.Batch
	// answers are the indexes of the replicas for which a batch is answered.
	answers []int
	// block makes requests wait until their sender cancels them. cancelled counts those
	// requests.
	block     bool
	cancelled int
	// records holds the records of suspected requests that the node has merged.
	records []quarantine.Record
	// paused blocks the node's view of the store until it is closed; nil when the node
	// runs.
	paused chan struct{}
}

func (n *node) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *node) View() *directory.View {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.following || n.version == 0 {
		return nil
	}
	return &directory.View{Index: route.NewIndex(&route.Configuration{Version: n.version})}
}

func (n *node) Fleet() coordinator.Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.following {
		return coordinator.Fleet{}
	}
	return n.fleet
}

func (n *node) Synced() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.following
}

func (n *node) Stale() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stale
}

func (n *node) MarkReliedOn() {}

func (n *node) ReadPages() int { return 1 }

func (n *node) ReplicaChanges(uint64) (directory.ReplicaChanges, error) {
	return directory.ReplicaChanges{}, directory.ErrHistoryUnknown
}

func (n *node) FeedChanges(context.Context, directory.FeedRequest) (directory.FeedChanges, error) {
	return directory.FeedChanges{}, directory.ErrHistoryUnknown
}

func (n *node) PollNow() { n.update(func() { n.polls++ }) }

// ServeBatch answers for all replicas in n.answers in one message, or waits for ctx while
// requests block.
func (n *node) ServeBatch(ctx context.Context, b *forward.Batch, deliver func(forward.PartReplies) error) error {
	n.mu.Lock()
	n.batches = append(n.batches, *b)
	block, answers := n.block, n.answers
	n.mu.Unlock()
	if block {
		<-ctx.Done()
		return ctx.Err()
	}
	r := forward.PartReplies{Records: []byte(n.member.Node)}
	for _, i := range answers {
		r.Replies = append(r.Replies, forward.PartReply{Replica: i, Reply: backend.ForwardReply{
			Status: 200, Metadata: backend.ReplyMetadata{Signature: b.Replicas[i%len(b.Replicas)]}, Evidence: pb.Evidence_EVIDENCE_RAN,
		}})
	}
	return deliver(r)
}

// Suspects, SuspectChanges and MergeSuspects implement relay.SuspectTable.
func (n *node) Suspects() []quarantine.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.records
}

func (n *node) SuspectChanges() []quarantine.Record { return nil }

func (n *node) MergeSuspects(records []quarantine.Record) {
	n.update(func() { n.records = append(n.records, records...) })
}

func (n *node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

func (n *node) SuspectIsolation() { n.update(func() { n.suspected++ }) }

func (n *node) suspectedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.suspected
}

func (n *node) Leaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

func (n *node) Follow(on bool) { n.update(func() { n.following = on }) }

// Serve is the node's local forwarder.
func (n *node) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	n.mu.Lock()
	n.served = append(n.served, *req)
	block, version := n.block, n.version
	n.mu.Unlock()
	if block {
		<-ctx.Done()
		n.update(func() { n.cancelled++ })
		return forward.Answer{Outcome: forward.Late}
	}
	if n.Isolated() {
		return forward.Answer{Outcome: forward.NotRun, Version: version}
	}
	return forward.Answer{Outcome: forward.Passed, Status: 200, Body: []byte(n.member.Node), Version: version}
}

func (n *node) servedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.served)
}

// pause blocks the node's view of the store, which a request needs before it is accepted,
// until resume is called.
func (n *node) pause() (resume func()) {
	paused := make(chan struct{})
	n.update(func() { n.paused = paused })
	return func() {
		n.update(func() { n.paused = nil })
		close(paused)
	}
}

func (n *node) isFollowing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.following
}

// relayMemory is the memory of each node for the requests of other nodes, in bytes.
const relayMemory = 1 << 20

// cluster is two coordinators and one small node that relays its requests.
type cluster struct {
	*qt.C
	network      *memnet.Network
	fleet        coordinator.Fleet
	coordinators [2]*node
	small        *node
	// storeDown makes reading the registered nodes fail.
	storeDown atomic.Bool
}

// runTest runs a test in virtual time, after the small node has discovered the
// coordinators.
func runTest(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{C: qt.New(t), network: memnet.New(time.Millisecond)}
		ctx, cancel := context.WithCancel(t.Context())
		for i, name := range []string{"big-1", "big-2"} {
			c.coordinators[i] = c.startNode(ctx, name, 0.8, coordinator.Fleet{})
			c.fleet.Members = append(c.fleet.Members, c.coordinators[i].member)
		}
		c.fleet.Revision = 5
		for _, n := range c.coordinators {
			n.update(func() { n.fleet = c.fleet })
		}
		c.small = c.startNode(ctx, "small", 0.2, c.fleet)
		defer func() {
			cancel()
			for _, n := range []*node{c.coordinators[0], c.coordinators[1], c.small} {
				n.server.Stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(time.Second)
		test(c)
	})
}

// startNode starts a node. registered is the fleet that the store returns to it.
func (c *cluster) startNode(ctx context.Context, name string, capacity float64, registered coordinator.Fleet) *node {
	l, err := c.network.Listen(name, "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &node{
		host:    name,
		version: 3,
		answers: []int{0, 1},
		member:  coordinator.Member{Node: name, Address: l.Addr().String(), DataCentre: "a", Capacity: capacity},
	}
	n.server = relay.NewServer(relay.ServerOptions{
		Directory: n, Local: n, Leaving: n.Leaving,
		Memory: intake.NewBudget(policyintake.Limits{Memory: relayMemory}),
	}, nil)
	go func() { _ = n.server.Serve(l) }()
	log := discardLog()
	pool := peer.NewPool(nil, c.network.Dialer(name))
	n.relay = relay.New(relay.Options{
		Self: n.member, Pool: pool, Directory: n, Follow: n.Follow, Local: n, Leaving: n.Leaving, Log: log,
		Registered: func(context.Context) (coordinator.Fleet, error) {
			if c.storeDown.Load() {
				return coordinator.Fleet{}, errors.New("connection refused")
			}
			return registered, nil
		},
	})
	go func() {
		n.relay.Run(ctx)
		pool.Close()
	}()
	return n
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (c *cluster) sendRequest(method string) forward.Answer {
	req := &forward.Request{ID: "q", Method: method, Target: "/x", Arrived: time.Now(), CallerTimeout: 5 * time.Second}
	return c.small.relay.Serve(c.Context(), req)
}

func (c *cluster) Context() context.Context { return context.Background() }

// usedCoordinator returns the coordinator that the small node uses, and the other one.
func (c *cluster) usedCoordinator() (used, other *node) {
	name := string(c.sendRequest("GET").Body)
	for i, n := range c.coordinators {
		if n.member.Node == name {
			return n, c.coordinators[1-i]
		}
	}
	c.Fatalf("answer %q is not from a coordinator", name)
	return nil, nil
}
