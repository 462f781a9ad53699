package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/admin"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/entry"
	"github.com/carobmill/carobmill/node/execute"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/node/work"
)

// claimShare is the part of the calls to the platform that claims of idempotency
// keys may take up. The rest is for the configuration and the VM list, which must
// get through when callers send more keyed requests than the platform bears.
const claimShare = 0.75

// Node is one carobmill process.
type Node struct {
	settings *pb.Settings
	log      logrus.FieldLogger
	boot     uint64

	ring     *ring.Ring
	platform *platform.Client
	// idle closes the idle connections to the platform.
	idle     func()
	fleet    *fleet.Fleet
	peers    *peer.Client
	pool     *peer.Pool
	workers  *work.Pool
	backends *backend.Client
	owner    *owner.Owner
	entry    *entry.Entry
	executor *execute.Executor
	metrics  *telemetry.Metrics
	callers  *caller.Handler

	callerServer *http.Server
	adminServer  *http.Server
	peerServer   *grpc.Server

	wrap Wrappers

	// stopping is set when a graceful shutdown has begun.
	stopping atomic.Bool
}

// lazyEnvelopes lets the peer client exist before the fleet that it serves.
type lazyEnvelopes struct {
	*fleet.Fleet
}

// New builds a node from checked settings. It opens nothing yet. A nil dialer
// opens TCP connections.
func New(settings *pb.Settings, log logrus.FieldLogger, dialer peer.Dialer) (*Node, error) {
	return NewWithWrappers(settings, log, dialer, Wrappers{})
}

// NewWithWrappers is New with something put between the node's parts.
func NewWithWrappers(settings *pb.Settings, log logrus.FieldLogger, dialer peer.Dialer, wrap Wrappers) (*Node, error) {
	creds, err := peer.Credentials(settings.GetTls())
	if err != nil {
		return nil, err
	}
	limits := settings.GetLimits()
	transport := platformTransport(dialer)
	metrics, metricsHandler := telemetry.New()
	n := &Node{
		settings: settings,
		log:      log.WithField("node", settings.GetNode()),
		boot:     rand.Uint64(),
		ring:     ring.New(int(limits.GetRingSize()), metrics.Decision),
		platform: platform.New(settings.GetPlatformUrl(), float64(limits.GetPlatformCallsPerSecond()), transport),
		idle:     transport.CloseIdleConnections,
		metrics:  metrics,
		pool:     peer.NewPool(creds.Client, dialer),
		workers:  work.NewPool(int(limits.GetWorkers())),
		wrap:     wrap,
	}
	n.backends = backend.New(backend.Options{
		Dial:           dialer,
		MaxResultBytes: int64(limits.GetMaxResultBytes()),
		Event:          n.event,
		OnDisconnect:   func(replica string) { n.owner.ConnectionLost(replica) },
	})
	metrics.AddGaugeSource(n.backends.Report)
	envelopes := &lazyEnvelopes{}
	n.peers = peer.NewClient(n.pool, envelopes)
	n.fleet = fleet.New(fleet.Options{
		Settings: settings,
		Peers:    n.peers,
		Platform: fleetPlatform{client: n.platform},
		Boot:     n.boot,
		Log:      n.log,
		Event:    n.event,
		InFlight: func(replica string) int { return n.owner.InFlight(replica) },
	})
	envelopes.Fleet = n.fleet
	n.assemble(creds.Server, metricsHandler)
	return n, nil
}

// platformTransport returns a transport of the node's own, so that its idle
// connections end with it.
func platformTransport(dialer peer.Dialer) *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if dialer != nil {
		transport.DialContext = dialer
	}
	return transport
}

// assemble builds the parts that stand on the fleet.
func (n *Node) assemble(serverCreds credentials.TransportCredentials, metricsHandler http.Handler) {
	limits := n.settings.GetLimits()
	inForce := n.wrap.fleet(n.fleet)
	n.owner = owner.New(owner.Options{
		Fleet:        inForce,
		Backend:      n.wrap.backend(n.backends),
		Reporter:     n.peers,
		Pool:         n.workers,
		Ring:         n.ring,
		PollInterval: milliseconds(n.settings.GetTiming().GetBackendPollMs()),
		Boot:         n.boot,
	})
	n.entry = entry.New(entry.Options{
		Fleet:      inForce,
		Peers:      n.peers,
		Local:      n.owner,
		Ring:       n.ring,
		Metrics:    n.metrics,
		MaxQueries: int(limits.GetMaxQueries()),
		Boot:       n.boot,
	})
	claims := n.platform.WithBudgetShare(claimShare)
	n.executor = execute.New(execute.Options{
		Fleet:  n.settings.GetFleet(),
		Index:  n.fleet.Index,
		Sender: n.entry,
		Picker: n.entry,
		Claims: claims,
		Leases: claims,
		Log:    n.log,
		Event:  n.event,
	})
	n.metrics.AddGaugeSource(n.executor.Report)
	n.callers = caller.NewHandler(caller.Options{
		Querier:      n.entry,
		Executor:     n.executor,
		MaxBodyBytes: int64(limits.GetMaxBodyBytes()),
	})
	n.callerServer = &http.Server{
		Handler:           n.callers,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
		ReadHeaderTimeout: caller.ReadHeaderTimeout,
		IdleTimeout:       caller.IdleTimeout,
	}
	n.adminServer = &http.Server{
		Handler: admin.NewHandler(admin.Options{
			Ready:   n.Ready,
			Status:  n,
			Ring:    n.ring,
			Metrics: metricsHandler,
		}),
		ReadHeaderTimeout: caller.ReadHeaderTimeout,
	}
	n.peerServer = peer.NewServer(n.fleet, n.owner, n, serverCreds)
}

// event records a decision of one of the parts, which log what matters to
// operators themselves.
func (n *Node) event(kind, subject, detail string) {
	n.ring.Add(ring.Kind(kind), subject, detail)
	n.log.WithFields(logrus.Fields{"kind": kind, "subject": subject}).Debug(detail)
}

// Ready reports whether the balancer may send callers here, and why not.
func (n *Node) Ready() (bool, string) {
	if n.stopping.Load() {
		return false, "shutting down"
	}
	return n.fleet.Ready()
}

// Run opens the node's ports and serves until ctx ends, then shuts down
// gracefully. An error means that a port could not be opened or failed.
func (n *Node) Run(ctx context.Context) error {
	l, err := Listen(n.settings)
	if err != nil {
		return err
	}
	return n.Serve(ctx, l)
}

// Serve is Run on ports that are open already. It closes them.
func (n *Node) Serve(ctx context.Context, l *Listeners) error {
	// The parts outlive ctx, because work in flight needs them until the end
	// of the shutdown.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { n.owner.Run(background) })
	parts.Go(func() { _ = n.fleet.Run(background) })
	failed := make(chan error, 3)
	go func() { failed <- n.peerServer.Serve(l.Peer) }()
	go func() { failed <- n.adminServer.Serve(l.Admin) }()
	go func() { failed <- n.callerServer.Serve(l.Caller) }()
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(background)
	case err = <-failed:
	}
	stop()
	n.close()
	parts.Wait()
	return err
}

// Listeners are the open ports of a node.
type Listeners struct {
	Peer, Admin, Caller net.Listener
}

// Listen opens the ports that the settings name.
func Listen(settings *pb.Settings) (*Listeners, error) {
	l := &Listeners{}
	wanted := []struct {
		addr string
		into *net.Listener
	}{
		{settings.GetPeerAddress(), &l.Peer},
		{settings.GetAdminAddress(), &l.Admin},
		{settings.GetCallerAddress(), &l.Caller},
	}
	for _, w := range wanted {
		open, err := net.Listen("tcp", w.addr)
		if err != nil {
			l.Close()
			return nil, errors.Wrap(err, "listener")
		}
		*w.into = open
	}
	return l, nil
}

// Close closes the ports that are open.
func (l *Listeners) Close() {
	for _, open := range []net.Listener{l.Peer, l.Admin, l.Caller} {
		if open != nil {
			_ = open.Close()
		}
	}
}

func milliseconds(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
