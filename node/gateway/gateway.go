// Package gateway assembles a forwarding node. The node follows the platform's store,
// forwards callers' requests to the replicas registered there, and finishes requests in
// flight before it stops. An Adapter implements the protocols of the platform.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/intake"
	"github.com/carobmill/carobmill/node/observation"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/quota"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/node/upgrader"
	"github.com/carobmill/carobmill/policy/route"
)

// Adapter connects a forwarding node to a platform.
type Adapter interface {
	// Store is the platform's store.
	Store() directory.Store
	// Dialect is the protocol of the backend servers.
	Dialect() backend.Dialect
	// Handler returns the HTTP handler for callers. Its requests have their whole bodies, which
	// intake.Body returns.
	Handler(Service) http.Handler
}

// Service answers callers' requests.
type Service interface {
	Serve(ctx context.Context, req *forward.Request) forward.Answer
	// Closing reports whether a caller's connection is to be closed after an answer.
	Closing(a *forward.Answer) bool
}

// Gateway is one forwarding node.
type Gateway struct {
	settings *pb.Settings
	log      logrus.FieldLogger
	// boot is a random ID of this run of the process.
	boot      uint64
	ring      *ring.Ring
	metrics   *telemetry.Metrics
	store     *directory.CountedStore
	directory *directory.Directory
	backends  *backend.Client
	forwarder *forward.Forwarder
	relay     *relay.Relay
	suspects  *relay.SuspectSync
	upgrader  *upgrader.Upgrader
	quota     *quota.Quota
	exchange  *observation.Exchange
	peers     *peer.Pool

	intake       *intake.Budget
	callerServer *intake.Server
	adminServer  *http.Server
	peerServer   *grpc.Server

	// unservingSince is when this node became unable to answer callers; nil while it can.
	unservingSince atomic.Pointer[time.Time]
	// stop is set when a graceful shutdown begins. closing is set when callers' connections are
	// to be closed after their answers.
	stop    atomic.Pointer[forward.Stop]
	closing atomic.Bool
	// requests is the context of all requests of callers. endRequests ends it, and with it the
	// requests that have no answer yet.
	requests    context.Context
	endRequests context.CancelFunc
	// quarantined is signalled when this node has quarantined a request.
	quarantined chan struct{}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// recordEvent adds a decision to the ring and logs it.
func (g *Gateway) recordEvent(kind, subject, detail string) {
	g.ring.Add(ring.Kind(kind), subject, detail)
	g.log.WithFields(logrus.Fields{"kind": kind, "subject": subject}).Info(detail)
}

// suspectsChanged passes on a change of the requests that are suspected of crashing replicas.
func (g *Gateway) suspectsChanged() {
	g.suspects.NotifyChanged()
	select {
	case g.quarantined <- struct{}{}:
	default:
	}
}

// storeQuarantined writes the requests that this node quarantines to the store, until ctx
// ends.
func (g *Gateway) storeQuarantined(ctx context.Context) {
	var writes sync.WaitGroup
	defer writes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.quarantined:
		}
		for _, f := range g.forwarder.Quarantined() {
			writes.Go(func() { g.directory.Quarantine(ctx, f) })
		}
	}
}

// viewChanged applies a new view of the directory.
func (g *Gateway) viewChanged(v *directory.View) {
	g.forwarder.Update(v)
	g.exchange.SetReplicas(dataCentres(v))
	g.upgrader.ViewChanged()
}

// record counts a request that was answered by this node, for its own caller or for a node
// that relayed the request.
func (g *Gateway) record(r *route.Route, account string, a *forward.Answer, took time.Duration) {
	if account != "" {
		g.metrics.AccountRequest(account, a.Outcome.String())
	}
	g.countQuery(telemetry.Query{Service: r.Name, Class: r.Name, Latency: took, OnTime: took <= r.Objective}, a)
}

// relayedRoute is the route label of requests that were relayed. Only the coordinator
// matches them to a route.
const relayedRoute = "relayed"

// recordRelayed counts a request that was relayed. The objective of its route is
// unavailable here, so each answered request counts as on time.
func (g *Gateway) recordRelayed(a *forward.Answer, took time.Duration) {
	answered := a.Outcome == forward.Passed || a.Outcome == forward.Merged
	g.countQuery(telemetry.Query{Service: relayedRoute, Class: relayedRoute, Latency: took, OnTime: answered}, a)
}

func (g *Gateway) countQuery(q telemetry.Query, a *forward.Answer) {
	switch a.Outcome {
	case forward.Passed, forward.Merged:
		q.Outcome, q.Coverage = telemetry.OutcomeComplete, 1
		if a.Missing > 0 {
			q.Outcome = telemetry.OutcomePartial
			q.Coverage = float64(len(a.Signatures)) / float64(len(a.Signatures)+a.Missing)
		}
	case forward.NotRun, forward.NoRoute, forward.Unauthenticated, forward.OverCap:
		q.Outcome = telemetry.OutcomeRefused
	default:
		q.Outcome = telemetry.OutcomeUnknown
	}
	g.metrics.Query(q)
}

// bytesPerMegabit converts Mbit to bytes.
const bytesPerMegabit = 1e6 / 8

// Serve implements Service.
func (g *Gateway) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	forwarding := g.settings.GetForwarding()
	req.TransitReserve = transitReserve(ctx, forwarding.GetCapacity())
	if r := intake.ReservationOf(ctx); r != nil {
		req.TakeMemory = r.Take
	}
	if stop := g.stop.Load(); stop != nil {
		req.AnswerBy = stop.AnswerBy
	}
	req.LinkBytesPerSecond = forwarding.GetLinkMbps() * bytesPerMegabit
	a := g.relay.Serve(ctx, req)
	if a.Outcome == forward.NotRun {
		a.RetryAfter = max(a.RetryAfter, g.balancerDelay(time.Now()))
	}
	return a
}

// callerLimits returns the limits of the configuration; zero without one.
func (g *Gateway) callerLimits() route.Limits {
	if v := g.directory.View(); v != nil {
		return v.Index.Limits
	}
	return route.Limits{}
}

// maxBodyBytes bounds the body of a request.
func (g *Gateway) maxBodyBytes() int64 {
	if limit := g.callerLimits().MaxBodyBytes; limit > 0 {
		return limit
	}
	if limit := g.relay.MaxBodyBytes(); limit > 0 {
		return limit
	}
	return int64(g.settings.GetLimits().GetMaxBodyBytes())
}

// Closing implements Service. A caller that a stopping node refuses reaches another node only on a
// new connection.
func (g *Gateway) Closing(a *forward.Answer) bool {
	serving, _ := g.serving()
	return g.closing.Load() || !serving || g.stop.Load() != nil && a.Outcome == forward.NotRun
}

// Ready reports whether the balancer may send callers to this node, and if not, the reason.
func (g *Gateway) Ready() (bool, string) {
	if g.stopping() {
		return false, "shutting down"
	}
	return g.serving()
}

// stopping reports whether a graceful shutdown has begun.
func (g *Gateway) stopping() bool { return g.stop.Load() != nil }

// serving reports whether this node can answer callers, itself or through a coordinator,
// and if not, the reason.
func (g *Gateway) serving() (bool, string) {
	reason := g.unreadyReason()
	if reason == "" {
		g.unservingSince.Store(nil)
		return true, ""
	}
	now := time.Now()
	g.unservingSince.CompareAndSwap(nil, &now)
	return false, reason
}

// unreadyReason returns why this node cannot answer callers; empty if it can.
func (g *Gateway) unreadyReason() string {
	switch {
	case g.relay.Ready():
		return ""
	case g.relay.Isolated():
		return "the coordinators in this data centre reach no other data centre"
	case g.directory.View() == nil:
		return "no configuration is loaded and no coordinator is reachable"
	case g.forwarder.Isolated():
		return "no other data centre is reachable"
	}
	return ""
}

// balancerDelay returns how long the balancer may still send callers to this node although
// it cannot answer them. A caller that retries earlier may be refused again, and many
// callers retry only once.
func (g *Gateway) balancerDelay(now time.Time) time.Duration {
	since := g.unservingSince.Load()
	if since == nil {
		return 0
	}
	return balancerReactionTime - now.Sub(*since)
}

// NodeStatus implements admin.Status. It reports this node only.
func (g *Gateway) NodeStatus(context.Context, bool) []*pb.NodeStatus {
	ready, reason := g.Ready()
	status := &pb.NodeStatus{
		Node:          g.settings.GetNode(),
		DataCentre:    g.settings.GetDataCentre(),
		Boot:          g.boot,
		Ready:         ready,
		UnreadyReason: reason,
		MembersAlive:  uint32(len(g.directory.Fleet().Members)),
		Upgrades:      g.upgradeStatus(),
	}
	status.Accounts, status.QuotaManager = g.accountStatus()
	status.ObservationCollector, status.Observations = g.observationStatus()
	status.Feed = g.directory.FeedInUse()
	if age, known := g.directory.StoreAge(); known {
		status.StoreAgeUs = uint64(age.Microseconds())
	}
	status.SilentServices = g.forwarder.SilentServices()
	status.Rooms, status.Admission = g.admissionStatus()
	if v := g.directory.View(); v != nil {
		status.ConfigVersion = v.Index.Version
	}
	return []*pb.NodeStatus{status}
}

// Listeners holds the open listeners of a node.
type Listeners struct {
	Callers, Operators, Peers net.Listener
}

// Run opens the node's listeners and serves until ctx ends, then shuts down gracefully. It
// returns an error when a listener cannot be opened or fails.
func (g *Gateway) Run(ctx context.Context) error {
	var opened []net.Listener
	for _, address := range []string{
		g.settings.GetCallerAddress(), g.settings.GetAdminAddress(), g.settings.GetPeerAddress(),
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range opened {
				_ = l.Close()
			}
			return errors.Wrap(err, "listener")
		}
		opened = append(opened, l)
	}
	return g.RunOn(ctx, Listeners{Callers: opened[0], Operators: opened[1], Peers: opened[2]})
}

// RunOn is like Run, with listeners that are already open. It closes them.
func (g *Gateway) RunOn(ctx context.Context, listeners Listeners) error {
	g.log.WithFields(logrus.Fields{
		"callers": listeners.Callers.Addr().String(), "data_centre": g.settings.GetDataCentre(), "boot": g.boot,
	}).Info("start")
	// Requests in flight need the directory and the forwarder until the shutdown ends,
	// after ctx.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { g.directory.Run(background) })
	tasks.Go(func() { g.directory.Register(ctx) })
	tasks.Go(func() { g.forwarder.Run(background) })
	tasks.Go(func() { g.relay.Run(background) })
	tasks.Go(func() { g.suspects.Run(background) })
	tasks.Go(func() { g.upgrader.Run(background) })
	tasks.Go(func() { g.quota.Run(background) })
	tasks.Go(func() { g.exchange.Run(background) })
	tasks.Go(func() { g.storeQuarantined(background) })
	listenerErrs := make(chan error, 3)
	go func() { listenerErrs <- g.adminServer.Serve(listeners.Operators) }()
	go func() { listenerErrs <- g.callerServer.Serve(listeners.Callers) }()
	go func() { listenerErrs <- g.peerServer.Serve(listeners.Peers) }()
	var err error
	select {
	case <-ctx.Done():
		g.shutdown()
	case err = <-listenerErrs:
		g.log.WithError(err).Error("listener failed")
	}
	stop()
	g.endRequests()
	_ = g.callerServer.Close()
	_ = g.adminServer.Close()
	g.peerServer.Stop()
	g.peers.Close()
	g.backends.Close()
	g.metrics.Close()
	tasks.Wait()
	g.log.Info("stop")
	return err
}
