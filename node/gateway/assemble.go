package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/admin"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/retrybudget"
)

const (
	// dialTimeout bounds a connection to a replica. Inside a region it takes a
	// millisecond or two, and ten where the replica is busy.
	dialTimeout = 500 * time.Millisecond
	// holdClosed is how long a closed connection counts against a replica's limit
	// when the replica does not confirm it.
	holdClosed = 2 * time.Second
	// smallRegistersAfter is how long a node on a small VM, which follows the store only
	// while it reaches no coordinator, does so before it registers.
	smallRegistersAfter = 2 * time.Second
	// balancerNotices is how long the balancer takes to send callers elsewhere: it asks
	// every second and acts on the second miss.
	balancerNotices = 2200 * time.Millisecond
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to send them.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers; above any limit that operators
	// let callers rely on.
	idleTimeout = 2 * time.Minute
)

// New builds a forwarding node from checked settings. It opens nothing yet.
func New(settings *pb.Settings, log logrus.FieldLogger, adapter Adapter) (*Gateway, error) {
	credentials, err := peer.Credentials(settings.GetTls())
	if err != nil {
		return nil, err
	}
	metrics, metricsHandler := telemetry.New()
	g := &Gateway{
		settings: settings,
		log:      log.WithField("node", settings.GetNode()),
		boot:     rand.Uint64(),
		ring:     ring.New(int(settings.GetLimits().GetRingSize()), metrics.Decision),
		metrics:  metrics,
		peers:    peer.NewPool(credentials.Client, nil),
	}
	own := coordinator.Member{
		Node:       settings.GetNode(),
		Address:    settings.GetPeerAddress(),
		DataCentre: settings.GetDataCentre(),
		Capacity:   settings.GetForwarding().GetCapacity(),
	}
	g.buildDirectory(own, adapter.Store())
	g.buildForwarder(own, adapter.Dialect())
	g.buildRelay(own, credentials)
	g.buildListeners(adapter, metricsHandler)
	return g, nil
}

// buildDirectory builds what follows the store.
func (g *Gateway) buildDirectory(own coordinator.Member, store directory.Store) {
	o := directory.Options{
		Store:       store,
		Node:        own,
		Log:         g.log,
		UpdateBound: time.Duration(g.settings.GetForwarding().GetNewsBoundMs()) * time.Millisecond,
		Changed:     g.changed,
	}
	if !own.FollowsStoreAtStart() {
		o.RegisterAfter = smallRegistersAfter
	}
	g.directory = directory.New(o)
}

// buildForwarder builds what asks the shards from this node.
func (g *Gateway) buildForwarder(own coordinator.Member, dialect backend.Dialect) {
	g.backends = backend.New(backend.Options{
		DialTimeout:    dialTimeout,
		CloseTimeout:   holdClosed,
		MaxResultBytes: int64(g.settings.GetLimits().GetMaxResultBytes()),
		Event:          g.event,
	})
	g.metrics.AddSource(g.backends.Report)
	forwarding := g.settings.GetForwarding()
	g.forwarder = forward.New(forward.Options{
		Source:      g.directory,
		Backend:     g.backends,
		Dialect:     dialect,
		DataCentre:  g.settings.GetDataCentre(),
		BatchSender: relay.NewNeighbours(own, g.peers, g.directory.Fleet, g.log),
		RetryBudget: retrybudget.Bound{
			Ratio:  forwarding.GetExtraRatio(),
			Slack:  forwarding.GetExtraSlack(),
			Window: seconds(forwarding.GetExtraWindowS()),
		},
		Log:    g.log,
		Record: g.record,
	})
}

// buildRelay builds both sides of relaying: to coordinators, and as one.
func (g *Gateway) buildRelay(own coordinator.Member, credentials peer.CredentialPair) {
	g.relay = relay.New(relay.Options{
		Self:       own,
		Pool:       g.peers,
		Directory:  g.directory,
		Follow:     g.directory.Follow,
		Local:      g.forwarder,
		Registered: g.directory.RegisteredNodes,
		Leaving:    g.stopping.Load,
		Log:        g.log,
		Record:     g.recordRelayed,
	})
	g.peerServer = relay.NewServer(relay.ServerOptions{
		Directory: g.directory,
		Local:     g.forwarder,
		Leaving:   g.stopping.Load,
	}, credentials.Server)
}

// buildListeners builds the servers of callers and operators.
func (g *Gateway) buildListeners(adapter Adapter, metrics http.Handler) {
	g.callerServer = &http.Server{
		Handler:           adapter.Handler(g),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       withCallerConn,
	}
	g.adminServer = &http.Server{
		Handler: admin.NewHandler(admin.Options{
			Ready:   g.Ready,
			Status:  g,
			Ring:    g.ring,
			Metrics: metrics,
		}),
		ReadHeaderTimeout: headerTimeout,
	}
}
