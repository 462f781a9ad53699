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
	"github.com/carobmill/carobmill/node/intake"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/node/work"
)

// claimShare is the fraction of the platform call budget that claims of idempotency keys
// may use. The remainder is reserved for the configuration and the VM list. Without this
// reserve, many keyed requests would block configuration and VM list updates.
const claimShare = 0.75

// Node is a carobmill node. A production process runs one; tests run several.
type Node struct {
	settings *pb.Settings
	log      logrus.FieldLogger
	boot     uint64

	ring     *ring.Ring
	platform *platform.Client
	// closeIdle closes the idle connections to the platform.
	closeIdle func()
	fleet     *fleet.Fleet
	peers     *peer.Client
	pool      *peer.Pool
	workers   *work.Pool
	backends  *backend.Client
	owner     *owner.Owner
	entry     *entry.Entry
	executor  *execute.Executor
	metrics   *telemetry.Metrics
	callers   *caller.Handler

	callerServer *intake.Server
	adminServer  *http.Server
	peerServer   *grpc.Server

	wrappers Wrappers

	// stopping is set when a graceful shutdown begins.
	stopping atomic.Bool
}

// lazyEnvelopes holds the fleet for the peer client. The fleet is set after the peer client
// is created, because each needs the other.
type lazyEnvelopes struct {
	*fleet.Fleet
}

// New creates a node from validated settings. It opens no ports or connections. A nil
// dialer means TCP.
func New(settings *pb.Settings, log logrus.FieldLogger, dialer peer.Dialer) (*Node, error) {
	return NewWithWrappers(settings, log, dialer, Wrappers{})
}

// NewWithWrappers is New with wrappers around components of the node.
func NewWithWrappers(settings *pb.Settings, log logrus.FieldLogger, dialer peer.Dialer, wrappers Wrappers) (*Node, error) {
	creds, err := peer.Credentials(settings.GetTls())
	if err != nil {
		return nil, err
	}
	limits := settings.GetLimits()
	transport := platformTransport(dialer)
	metrics, metricsHandler := telemetry.New()
	n := &Node{
		settings:  settings,
		log:       log.WithField("node", settings.GetNode()),
		boot:      rand.Uint64(),
		ring:      ring.New(int(limits.GetRingSize()), metrics.Decision),
		platform:  platform.New(settings.GetPlatformUrl(), float64(limits.GetPlatformCallsPerSecond()), transport),
		closeIdle: transport.CloseIdleConnections,
		metrics:   metrics,
		pool:      peer.NewPool(creds.Client, dialer),
		workers:   work.NewPool(int(limits.GetWorkers())),
		wrappers:  wrappers,
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

// platformTransport returns a transport that no other node of the process shares, so that
// a node can close its idle connections when it stops.
func platformTransport(dialer peer.Dialer) *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if dialer != nil {
		transport.DialContext = dialer
	}
	return transport
}

// assemble creates the components that depend on the fleet.
func (n *Node) assemble(serverCreds credentials.TransportCredentials, metricsHandler http.Handler) {
	limits := n.settings.GetLimits()
	fleetView := n.wrappers.wrapFleet(n.fleet)
	n.owner = owner.New(owner.Options{
		Fleet:        fleetView,
		Backend:      n.wrappers.wrapBackend(n.backends),
		Reporter:     n.peers,
		Pool:         n.workers,
		Ring:         n.ring,
		PollInterval: milliseconds(n.settings.GetTiming().GetBackendPollMs()),
		Boot:         n.boot,
	})
	n.entry = entry.New(entry.Options{
		Fleet:      fleetView,
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
	n.callerServer = n.newCallerServer()
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

// newCallerServer returns the HTTP server for callers.
func (n *Node) newCallerServer() *intake.Server {
	limits := n.settings.GetLimits()
	budget := intake.NewBudget(intake.MachineOf(limits).Limits())
	n.metrics.AddGaugeSource(budget.Report)
	return intake.NewServer(intake.Options{
		Handler:         n.callers,
		Budget:          budget,
		MaxHeaderBytes:  func() int64 { return caller.MaxHeaderBytes },
		HeaderTimeout:   func() time.Duration { return caller.ReadHeaderTimeout },
		MaxBodyBytes:    func() int64 { return int64(limits.GetMaxBodyBytes()) },
		IdleTimeout:     func() time.Duration { return caller.IdleTimeout },
		TransferTimeout: milliseconds(limits.GetTransferTimeoutMs()),
		Reject:          n.callers.Reject,
	})
}

// event records a decision of a component and logs it at debug level. The components log
// the events that operators need.
func (n *Node) event(kind, subject, detail string) {
	n.ring.Add(ring.Kind(kind), subject, detail)
	n.log.WithFields(logrus.Fields{"kind": kind, "subject": subject}).Debug(detail)
}

// Ready reports whether the balancer may send callers to this node. If not, it returns the
// reason.
func (n *Node) Ready() (bool, string) {
	if n.stopping.Load() {
		return false, "shutting down"
	}
	return n.fleet.Ready()
}

// Run opens the node's ports and serves until ctx is cancelled, then shuts down gracefully.
// It returns an error if a port cannot be opened or a server fails.
func (n *Node) Run(ctx context.Context) error {
	l, err := Listen(n.settings)
	if err != nil {
		return err
	}
	return n.Serve(ctx, l)
}

// Serve is Run with open listeners. It closes them.
func (n *Node) Serve(ctx context.Context, l *Listeners) error {
	// The components outlive ctx, because requests in flight use them until the shutdown
	// ends.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var components sync.WaitGroup
	components.Go(func() { n.owner.Run(background) })
	components.Go(func() { _ = n.fleet.Run(background) })
	serveErr := make(chan error, 3)
	go func() { serveErr <- n.peerServer.Serve(l.Peer) }()
	go func() { serveErr <- n.adminServer.Serve(l.Admin) }()
	go func() { serveErr <- n.callerServer.Serve(l.Caller) }()
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(background)
	case err = <-serveErr:
	}
	stop()
	n.close()
	components.Wait()
	return err
}

// Listeners holds the listeners of a node.
type Listeners struct {
	Peer, Admin, Caller net.Listener
}

// Listen opens the ports in the settings.
func Listen(settings *pb.Settings) (*Listeners, error) {
	l := &Listeners{}
	ports := []struct {
		addr     string
		listener *net.Listener
	}{
		{settings.GetPeerAddress(), &l.Peer},
		{settings.GetAdminAddress(), &l.Admin},
		{settings.GetCallerAddress(), &l.Caller},
	}
	for _, p := range ports {
		open, err := net.Listen("tcp", p.addr)
		if err != nil {
			l.Close()
			return nil, errors.Wrap(err, "open listener")
		}
		*p.listener = open
	}
	return l, nil
}

// Close closes the listeners that are set.
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
