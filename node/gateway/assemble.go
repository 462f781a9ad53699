package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/admin"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/intake"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/quota"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/node/upgrader"
	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/quarantine"
	policyquota "github.com/carobmill/carobmill/policy/quota"
	"github.com/carobmill/carobmill/policy/retrybudget"
	"github.com/carobmill/carobmill/policy/upgrade"
)

const (
	// dialTimeout bounds the opening of a connection to a replica, also a busy one.
	dialTimeout = 500 * time.Millisecond
	// closedConnHold is how long a closed connection still counts against a replica's
	// connection limit when the replica does not confirm the close.
	closedConnHold = 2 * time.Second
	// smallNodeRegisterDelay is how long a node on a small VM follows the store before it
	// registers. Such a node follows the store only while it has no coordinator. Without
	// the delay, a short loss of coordinators would register it and reduce the other nodes'
	// shares of the fleet's budgets.
	smallNodeRegisterDelay = 2 * time.Second
	// balancerReactionTime is the time that the balancer takes to stop sending callers to
	// an unready node: it probes every second and acts on the second failure.
	balancerReactionTime = 2200 * time.Millisecond
	// maxGrantTTL is how long a node tests a version without an instruction of the node that
	// leads the upgrade. A third of the rollback bound limits it further.
	maxGrantTTL = 1500 * time.Millisecond
	// adminHeaderTimeout bounds the time to read the headers of an operator's request.
	adminHeaderTimeout = 10 * time.Second
)

// New builds a forwarding node from validated settings. It opens no listener or connection.
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

		quarantined: make(chan struct{}, 1),
	}
	g.requests, g.endRequests = context.WithCancel(context.Background())
	self := coordinator.Member{
		Node:       settings.GetNode(),
		Address:    settings.GetPeerAddress(),
		DataCentre: settings.GetDataCentre(),
		Capacity:   settings.GetForwarding().GetCapacity(),
	}
	g.intake = intake.NewBudget(intake.MachineOf(settings.GetLimits()).Limits())
	metrics.AddGaugeSource(g.intake.Report)
	g.store = directory.CountCalls(adapter.Store())
	g.buildDirectory(self, g.store)
	g.buildQuota(self)
	g.buildExchange(self)
	g.buildForwarder(self, adapter.Dialect())
	g.buildUpgrader(self, g.store)
	g.buildRelay(self, credentials)
	g.buildListeners(adapter, metricsHandler)
	return g, nil
}

// buildDirectory builds the directory, which follows the store.
func (g *Gateway) buildDirectory(self coordinator.Member, store directory.Store) {
	g.metrics.AddGaugeSource(g.reportStore)
	client := relay.NewHistoryClient(g.peers)
	o := directory.Options{
		Store:       store,
		Node:        self,
		Log:         g.log,
		UpdateBound: time.Duration(g.settings.GetForwarding().GetNewsBoundMs()) * time.Millisecond,
		History:     client,
		Feeds:       client,

		ReadsPerSecond: g.settings.GetForwarding().GetStoreReadsPerS(),
		AnswerBound:    revocationBound(g.settings.GetForwarding()),
		Prepare:        func(v *directory.View) { g.forwarder.Prepare(v) },
		Changed:        g.viewChanged,
		Quarantined:    func(f quarantine.Fingerprint) { g.forwarder.Refuse(f) },
	}
	if !self.FollowsStoreAtStart() {
		o.RegisterAfter = smallNodeRegisterDelay
	}
	g.directory = directory.New(o)
}

// buildQuota builds the usage caps of accounts.
func (g *Gateway) buildQuota(self coordinator.Member) {
	forwarding := g.settings.GetForwarding()
	g.metrics.AddGaugeSource(g.reportAccounts)
	g.quota = quota.New(quota.Options{
		Self: self,
		Bound: policyquota.Bound{
			Window: seconds(forwarding.GetQuotaWindowS()),
			Ratio:  forwarding.GetQuotaRatio(),
			Slack:  forwarding.GetQuotaSlack(),
		},
		Peers: relay.NewQuotaClient(g.peers),
		Fleet: g.directory.Fleet,
		Accounts: func() (*account.Table, uint64) {
			v := g.directory.View()
			if v == nil {
				return nil, 0
			}
			return v.Index.Accounts, v.Index.Version
		},
		Available: func() bool { return g.directory.Synced() && !g.stopping() },
		Log:       g.log,
		Event:     g.recordEvent,
	})
}

// buildForwarder builds the forwarder, which sends requests from this node to the shards.
func (g *Gateway) buildForwarder(self coordinator.Member, dialect backend.Dialect) {
	g.backends = backend.New(backend.Options{
		DialTimeout:    dialTimeout,
		CloseTimeout:   closedConnHold,
		MaxResultBytes: int64(g.settings.GetLimits().GetMaxResultBytes()),
		Event:          g.recordEvent,
	})
	g.metrics.AddGaugeSource(g.backends.Report)
	g.metrics.AddGaugeSource(g.reportAdmission)
	forwarding := g.settings.GetForwarding()
	g.forwarder = forward.New(forward.Options{
		Source:      g.directory,
		Backend:     g.backends,
		Dialect:     dialect,
		Node:        self.Node,
		DataCentre:  g.settings.GetDataCentre(),
		BatchSender: relay.NewNeighbours(self, g.peers, g.directory.Fleet, g.log),
		RetryBudget: retrybudget.Bound{
			Ratio:  forwarding.GetExtraRatio(),
			Slack:  forwarding.GetExtraSlack(),
			Window: seconds(forwarding.GetExtraWindowS()),
		},
		Exposure: upgrade.Bound{
			Share:    forwarding.GetExposureRatio(),
			Slack:    forwarding.GetExposureSlack(),
			GrantTTL: min(maxGrantTTL, time.Duration(forwarding.GetRollbackBoundMs())*time.Millisecond/3),
		},
		RevocationBound: revocationBound(forwarding),
		Quota:           g.quota,
		Observer:        g.exchange,
		Log:             g.log,
		Record:          g.record,
		Capacity:        forwarding.GetCapacity(),
		FairAdmission:   forwarding.GetFairAdmission(),
		Admitted:        g.recordAdmission,
		Event:           g.recordEvent,
		SuspectsChanged: g.suspectsChanged,
	})
	g.metrics.AddGaugeSource(g.forwarder.ReportLoad)
	g.suspects = relay.NewSuspectSync(relay.SuspectSyncOptions{
		Self:  self.Node,
		Pool:  g.peers,
		Fleet: g.directory.Fleet,
		Table: g.forwarder,
		Log:   g.log,
	})
}

// revocationBound returns the time after which keys count as outdated; 0 for never.
func revocationBound(f *pb.Forwarding) time.Duration {
	if !f.GetStrictRevocation() {
		return 0
	}
	return time.Duration(f.GetRevocationBoundMs()) * time.Millisecond
}

// buildUpgrader builds the upgrader, which moves services to other versions.
func (g *Gateway) buildUpgrader(self coordinator.Member, store directory.Store) {
	g.metrics.AddGaugeSource(g.reportUpgrades)
	g.upgrader = upgrader.New(upgrader.Options{
		Self:      self,
		Directory: g.directory,
		Store:     store,
		Peers:     relay.NewUpgradeClient(g.peers),
		Gates:     g.forwarder,
		Leaving:   g.stopping,
		Log:       g.log,
		Event:     g.recordEvent,
	})
}

// buildRelay builds the client that relays requests to coordinators, and the server that
// accepts relayed requests.
func (g *Gateway) buildRelay(self coordinator.Member, credentials peer.CredentialPair) {
	g.relay = relay.New(relay.Options{
		Self:       self,
		Pool:       g.peers,
		Directory:  g.directory,
		Follow:     g.directory.Follow,
		Local:      g.forwarder,
		Registered: g.directory.RegisteredNodes,
		Leaving:    g.stopping,

		ReadsPerSecond: g.settings.GetForwarding().GetStoreReadsPerS(),
		Log:            g.log,
		Record:         g.recordRelayed,
	})
	g.peerServer = relay.NewServer(relay.ServerOptions{
		Directory: g.directory,
		Local:     g.forwarder,
		Upgrades:  g.upgrader,
		Quota:     g.quota,
		Leaving:   g.stopping,
		Memory:    g.intake,

		Observations: g.exchange,
	}, credentials.Server)
}

// buildListeners builds the HTTP servers for callers and operators.
func (g *Gateway) buildListeners(adapter Adapter, metrics http.Handler) {
	g.callerServer = intake.NewServer(intake.Options{
		Handler:         adapter.Handler(g),
		Budget:          g.intake,
		MaxHeaderBytes:  func() int64 { return g.callerLimits().MaxHeaderBytes },
		HeaderTimeout:   func() time.Duration { return g.callerLimits().HeaderTimeout },
		MaxBodyBytes:    g.maxBodyBytes,
		IdleTimeout:     func() time.Duration { return g.callerLimits().IdleTimeout },
		TransferTimeout: time.Duration(g.settings.GetLimits().GetTransferTimeoutMs()) * time.Millisecond,
		ConnContext:     withCallerConn,
	})
	g.callerServer.BaseContext = func(net.Listener) context.Context { return g.requests }
	g.adminServer = &http.Server{
		Handler: admin.NewHandler(admin.Options{
			Ready:   g.Ready,
			Status:  g,
			Ring:    g.ring,
			Metrics: metrics,
		}),
		ReadHeaderTimeout: adminHeaderTimeout,
	}
}
