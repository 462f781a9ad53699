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
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/standin/memnet"
)

// node is one node of a fleet: what it knows of the store, and what its own forwarder
// was asked.
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
	stale     bool
	leaving   bool
	fleet     coordinator.Fleet
	hurried   int
	served    []forward.Request
	batches   []forward.Batch
	// answers are the positions of the replicas of a batch that have answered.
	answers []int
	// hold makes requests wait until their sender has gone; released counts those.
	hold     bool
	released int
	// standing blocks the node while it is open.
	standing chan struct{}
}

func (n *node) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *node) View() *directory.View {
	n.mu.Lock()
	standing := n.standing
	n.mu.Unlock()
	if standing != nil {
		<-standing
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

func (n *node) PollNow() { n.set(func() { n.hurried++ }) }

// ServeBatch answers for each replica at once, or for none while the node holds requests.
func (n *node) ServeBatch(ctx context.Context, b *forward.Batch, deliver func(forward.PartReplies) error) error {
	n.mu.Lock()
	n.batches = append(n.batches, *b)
	hold, answers := n.hold, n.answers
	n.mu.Unlock()
	if hold {
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

func (n *node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

func (n *node) Leaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

func (n *node) Follow(on bool) { n.set(func() { n.following = on }) }

// Serve stands in for the forwarder: what may not be repeated is not.
func (n *node) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	n.mu.Lock()
	n.served = append(n.served, *req)
	hold, version := n.hold, n.version
	n.mu.Unlock()
	if hold {
		<-ctx.Done()
		n.set(func() { n.released++ })
		return forward.Answer{Outcome: forward.Late}
	}
	if n.Isolated() {
		return forward.Answer{Outcome: forward.NotRun, Version: version}
	}
	return forward.Answer{Outcome: forward.Passed, Status: 200, Body: []byte(n.member.Node), Version: version}
}

func (n *node) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.served)
}

// stand makes the node's view of the store hang, on which a request waits before it is
// taken, until the returned function is called.
func (n *node) stand() (goOn func()) {
	held := make(chan struct{})
	n.set(func() { n.standing = held })
	return func() {
		n.set(func() { n.standing = nil })
		close(held)
	}
}

func (n *node) isFollowing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.following
}

// world is two coordinators and one small node.
type world struct {
	*qt.C
	network *memnet.Network
	fleet   coordinator.Fleet
	big     [2]*node
	small   *node
	// storeAway makes readings of the registered nodes fail.
	storeAway atomic.Bool
}

// run plays a test in virtual time, after the small node has found the coordinators.
func run(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{C: qt.New(t), network: memnet.New(time.Millisecond)}
		ctx, cancel := context.WithCancel(t.Context())
		for i, name := range []string{"big-1", "big-2"} {
			w.big[i] = w.start(ctx, name, 0.8, coordinator.Fleet{})
			w.fleet.Members = append(w.fleet.Members, w.big[i].member)
		}
		w.fleet.Revision = 5
		for _, n := range w.big {
			n.set(func() { n.fleet = w.fleet })
		}
		w.small = w.start(ctx, "small", 0.2, w.fleet)
		defer func() {
			cancel()
			for _, n := range []*node{w.big[0], w.big[1], w.small} {
				n.server.Stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(time.Second)
		test(w)
	})
}

// start starts a node; registered is the fleet that it reads from the store.
func (w *world) start(ctx context.Context, name string, capacity float64, registered coordinator.Fleet) *node {
	l, err := w.network.Listen(name, "127.0.0.1:0")
	w.Assert(err, qt.IsNil)
	n := &node{
		host:    name,
		version: 3,
		answers: []int{0, 1},
		member:  coordinator.Member{Node: name, Address: l.Addr().String(), DataCentre: "a", Capacity: capacity},
	}
	n.server = relay.NewServer(relay.ServerOptions{Directory: n, Local: n, Leaving: n.Leaving}, nil)
	go func() { _ = n.server.Serve(l) }()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := peer.NewPool(nil, w.network.Dialer(name))
	n.relay = relay.New(relay.Options{
		Self: n.member, Pool: pool, Directory: n, Follow: n.Follow, Local: n, Leaving: n.Leaving, Log: log,
		Registered: func(context.Context) (coordinator.Fleet, error) {
			if w.storeAway.Load() {
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

func (w *world) ask(method string) forward.Answer {
	req := &forward.Request{ID: "q", Method: method, Target: "/x", Arrived: time.Now(), CallerTimeout: 5 * time.Second}
	return w.small.relay.Serve(w.Context(), req)
}

func (w *world) Context() context.Context { return context.Background() }

// answering is the coordinator that the small node uses, and the other one.
func (w *world) answering() (used, other *node) {
	name := string(w.ask("GET").Body)
	for i, n := range w.big {
		if n.member.Node == name {
			return n, w.big[1-i]
		}
	}
	w.Fatalf("%q answered", name)
	return nil, nil
}
