// Package scatterpath is the way of a query from its entry node to the owner's call
// of a backend server and back, over loopback: for measurements of what a subrequest
// costs the nodes. One owner holds every replica, and backend servers cost nothing.
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

// warmUp is the queries after which every replica is warm.
const warmUp = 80

// Options of a path.
type Options struct {
	// Shards that each query asks.
	Shards int
	// RemoteOwner puts the owner at another node than the entry node.
	RemoteOwner bool
	// Delay is the mean time of a backend server; 0 answers at once.
	Delay time.Duration
}

// Path is an entry node and an owner node.
type Path struct {
	entry    *entry.Entry
	bytes    atomic.Int64
	messages atomic.Int64
	// closers end what runs, the last one first.
	closers []func()
}

// New returns a path whose replicas are warm. Close ends it. An error is one of
// listening, of the configuration or of a query.
func New(o Options) (*Path, error) {
	p := &Path{}
	if err := p.start(o); err != nil {
		p.Close()
		return nil, err
	}
	for range warmUp {
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
	far := fleet.Member{Name: "far", Boot: 1 << 61, DataCentre: "dc", PeerAddress: l.Addr().String()}
	near := fleet.Member{Name: "near", Boot: 1 << 60, DataCentre: "dc"}
	at := near
	if o.RemoteOwner {
		at = far
	}
	index, err := newIndex(o.Shards)
	if err != nil {
		_ = l.Close()
		return errors.Wrap(err, "configuration")
	}
	metrics, _ := telemetry.New()
	workers := work.NewPool(64 + o.Shards)
	events := ring.New(16, metrics.Decision)
	own := owner.New(owner.Options{
		Fleet:   &oneOwner{index: index, self: at, owners: []fleet.Member{at}},
		Backend: instantBackend{delay: o.Delay}, Pool: workers, Ring: events, PollInterval: time.Hour, Boot: at.Boot,
	})
	server := peer.NewServer(&oneOwner{self: far}, own, nil, nil)
	go func() { _ = server.Serve(l) }()
	pool := peer.NewPool(nil, p.dial)
	p.closers = []func(){metrics.Close, workers.Close, server.Stop, pool.Close}
	around := &oneOwner{index: index, self: near, owners: []fleet.Member{at}}
	p.entry = entry.New(entry.Options{
		Fleet: around, Peers: countingPeers{Peers: peer.NewClient(pool, around), messages: &p.messages}, Local: own, Ring: events,
		Metrics: metrics, MaxQueries: 100, Boot: near.Boot,
	})
	return nil
}

func (p *Path) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &meteredConn{Conn: conn, bytes: &p.bytes}, err
}

// Close ends both nodes.
func (p *Path) Close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// Query runs one query. Admission refuses some, which the result says: latencies of
// microseconds scatter widely.
func (p *Path) Query() (*entry.Result, error) {
	return p.entry.Query(context.Background(), entry.Request{
		Service: "timing", Class: "checkpoint", Query: []byte(`{"rider":"KE-1207"}`),
	})
}

// Bytes is what the entry node's connections carried so far, both directions.
func (p *Path) Bytes() int64 { return p.bytes.Load() }

// Messages is how many messages answered scatters so far.
func (p *Path) Messages() int64 { return p.messages.Load() }
