// Package scatterpath runs queries through an entry node and an owner node over loopback,
// to measure the cost of a subrequest in the nodes. One owner owns all replicas, and the
// backend servers are fakes without cost.
package scatterpath

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/entry"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/node/work"
)

// warmUpQueries is the number of queries after which all replicas are warm.
const warmUpQueries = 80

// Options are the options of New.
type Options struct {
	// Shards is the number of shards of each query.
	Shards int
	// RemoteOwner makes a node other than the entry node the owner of the replicas.
	RemoteOwner bool
	// Delay is the mean latency of a backend server. With 0, it responds at once.
	Delay time.Duration
}

// Path is an entry node with the owner node of its replicas.
type Path struct {
	entry    *entry.Entry
	bytes    atomic.Int64
	messages atomic.Int64
	// closers release the resources, in reverse order.
	closers []func()
}

// New returns a path with warm replicas. Close releases its resources. New fails if it
// cannot listen, the configuration is invalid, or a query fails.
func New(o Options) (*Path, error) {
	p := &Path{}
	if err := p.start(o); err != nil {
		p.Close()
		return nil, err
	}
	for range warmUpQueries {
		if _, err := p.Query(); err != nil {
			p.Close()
			return nil, errors.Wrap(err, "warm up")
		}
	}
	return p, nil
}

func (p *Path) start(o Options) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	remote := fleet.Member{Name: "far", Boot: 1 << 61, DataCentre: "dc", PeerAddress: l.Addr().String()}
	local := fleet.Member{Name: "near", Boot: 1 << 60, DataCentre: "dc"}
	ownerNode := local
	if o.RemoteOwner {
		ownerNode = remote
	}
	index, err := newIndex(o.Shards)
	if err != nil {
		_ = l.Close()
		return errors.Wrap(err, "configuration")
	}
	metrics, _ := telemetry.New()
	workers := work.NewPool(64 + o.Shards)
	events := ring.New(16, metrics.Decision)
	ownerService := owner.New(owner.Options{
		Fleet:   &singleOwnerFleet{index: index, self: ownerNode, owners: []fleet.Member{ownerNode}},
		Backend: fakeBackend{delay: o.Delay}, Pool: workers, Ring: events, PollInterval: time.Hour, Boot: ownerNode.Boot,
	})
	server := peer.NewServer(&singleOwnerFleet{self: remote}, ownerService, nil, nil)
	go func() { _ = server.Serve(l) }()
	pool := peer.NewPool(nil, p.dial)
	p.closers = []func(){metrics.Close, workers.Close, server.Stop, pool.Close}
	entryFleet := &singleOwnerFleet{index: index, self: local, owners: []fleet.Member{ownerNode}}
	p.entry = entry.New(entry.Options{
		Fleet: entryFleet, Peers: countingPeers{Peers: peer.NewClient(pool, entryFleet), messages: &p.messages}, Local: ownerService, Ring: events,
		Metrics: metrics, MaxQueries: 100, Boot: local.Boot,
	})
	return nil
}

func (p *Path) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &countingConn{Conn: conn, bytes: &p.bytes}, err
}

// Close stops both nodes.
func (p *Path) Close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// Query runs one query. Admission rejects some queries, because latencies of microseconds
// vary widely; the outcome of the result shows it.
func (p *Path) Query() (*entry.Result, error) {
	return p.entry.Query(context.Background(), entry.Request{
		Service: "timing", Class: "checkpoint", Query: []byte(`{"rider":"KE-1207"}`),
	})
}

// Bytes returns the bytes read and written so far on the entry node's connections.
func (p *Path) Bytes() int64 { return p.bytes.Load() }

// Messages returns the number of response messages of Scatter calls received so far.
func (p *Path) Messages() int64 { return p.messages.Load() }
