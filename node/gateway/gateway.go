// Package gateway assembles a forwarding node: it follows the platform's store,
// forwards callers' requests to the replicas found there, and shuts down without
// cutting a request. What speaks to the outside is an Adapter.
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
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/policy/route"
)

// Adapter translates between a platform and the product.
type Adapter interface {
	// Store is the platform's store.
	Store() directory.Store
	// Dialect is how backend servers speak.
	Dialect() backend.Dialect
	// Handler serves callers.
	Handler(Service) http.Handler
}

// Service answers callers' requests.
type Service interface {
	Serve(ctx context.Context, req *forward.Request) forward.Answer
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes() int64
	// Closing reports whether connections are to be closed after their answer.
	Closing() bool
}

// Gateway is one forwarding node.
type Gateway struct {
	settings  *pb.Settings
	log       logrus.FieldLogger
	boot      uint64
	ring      *ring.Ring
	metrics   *telemetry.Metrics
	directory *directory.Directory
	backends  *backend.Client
	forwarder *forward.Forwarder
	relay     *relay.Relay
	peers     *peer.Pool

	callerServer *http.Server
	adminServer  *http.Server
	peerServer   *grpc.Server

	// unservingSince is the time since which this node cannot answer callers; nil while
	// it can.
	unservingSince atomic.Pointer[time.Time]
	// stopping is set when a graceful shutdown has begun, closing when connections
	// are to be closed after their answer.
	stopping, closing atomic.Bool
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// event records a decision of one of the parts.
func (g *Gateway) event(kind, subject, detail string) {
	g.ring.Add(ring.Kind(kind), subject, detail)
	g.log.WithFields(logrus.Fields{"kind": kind, "subject": subject}).Info(detail)
}

// changed takes a new view of the directory.
func (g *Gateway) changed(v *directory.View) { g.forwarder.Update(v) }

// record counts a request that was answered from this node.
func (g *Gateway) record(r *route.Route, a *forward.Answer, took time.Duration) {
	g.count(telemetry.Query{Service: r.Name, Class: r.Name, Took: took, OnTime: took <= r.Objective}, a)
}

// relayed stands for the route of requests that went to a coordinator, which alone knows
// it and counts them by it.
const relayed = "relayed"

// recordRelayed counts a request that went to a coordinator. On time is what it answered.
func (g *Gateway) recordRelayed(a *forward.Answer, took time.Duration) {
	answered := a.Outcome == forward.Passed || a.Outcome == forward.Merged
	g.count(telemetry.Query{Service: relayed, Class: relayed, Took: took, OnTime: answered}, a)
}

func (g *Gateway) count(q telemetry.Query, a *forward.Answer) {
	switch a.Outcome {
	case forward.Passed, forward.Merged:
		q.Outcome, q.Coverage = telemetry.OutcomeComplete, 1
		if a.Missing > 0 {
			q.Outcome = telemetry.OutcomePartial
			q.Coverage = float64(len(a.Signatures)) / float64(len(a.Signatures)+a.Missing)
		}
	case forward.NotRun, forward.NoRoute:
		q.Outcome = telemetry.OutcomeRefused
	default:
		q.Outcome = telemetry.OutcomeUnknown
	}
	g.metrics.Query(q)
}

// Serve implements Service.
func (g *Gateway) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	req.TransitReserve = reserve(ctx)
	a := g.relay.Serve(ctx, req)
	if a.Outcome == forward.NotRun {
		a.RetryAfter = max(a.RetryAfter, g.balancerDelay(time.Now()))
	}
	return a
}

// MaxBodyBytes implements Service.
func (g *Gateway) MaxBodyBytes() int64 {
	if v := g.directory.View(); v != nil && v.Index.Limits.MaxBodyBytes > 0 {
		return v.Index.Limits.MaxBodyBytes
	}
	if told := g.relay.MaxBodyBytes(); told > 0 {
		return told
	}
	return int64(g.settings.GetLimits().GetMaxBodyBytes())
}

// Closing implements Service.
func (g *Gateway) Closing() bool {
	serving, _ := g.serving()
	return g.closing.Load() || !serving
}

// Ready reports whether the balancer may send callers here, and why not.
func (g *Gateway) Ready() (bool, string) {
	if g.stopping.Load() {
		return false, "shutting down"
	}
	return g.serving()
}

// serving reports whether this node can answer callers, by itself or through a
// coordinator, and why not.
func (g *Gateway) serving() (bool, string) {
	why := g.whyNot()
	if why == "" {
		g.unservingSince.Store(nil)
		return true, ""
	}
	now := time.Now()
	g.unservingSince.CompareAndSwap(nil, &now)
	return false, why
}

func (g *Gateway) whyNot() string {
	switch {
	case g.relay.Ready():
		return ""
	case g.relay.CutOff():
		return "the coordinators next door reach no other data centre"
	case g.directory.View() == nil:
		return "no configuration is known, and no coordinator is in reach"
	case g.forwarder.Isolated():
		return "no other data centre is in reach"
	}
	return ""
}

// balancerDelay is how long the balancer may still send callers to this node although it
// cannot answer them. Who comes back earlier is refused again, and many callers come back
// only once.
func (g *Gateway) balancerDelay(now time.Time) time.Duration {
	since := g.unservingSince.Load()
	if since == nil {
		return 0
	}
	return balancerNotices - now.Sub(*since)
}

// NodeStatus implements admin.Status. It describes this node only.
func (g *Gateway) NodeStatus(context.Context, bool) []*pb.NodeStatus {
	ready, reason := g.Ready()
	status := &pb.NodeStatus{
		Node:          g.settings.GetNode(),
		DataCentre:    g.settings.GetDataCentre(),
		Boot:          g.boot,
		Ready:         ready,
		UnreadyReason: reason,
		MembersAlive:  uint32(len(g.directory.Fleet().Members)),
	}
	if v := g.directory.View(); v != nil {
		status.ConfigVersion = v.Index.Version
	}
	return []*pb.NodeStatus{status}
}

// Listeners are the open ports of a node.
type Listeners struct {
	Callers, Operators, Peers net.Listener
}

// Run opens the node's ports and serves until ctx ends, then shuts down gracefully. An
// error means that a port could not be opened or failed.
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

// RunOn is Run on ports that are open already. It closes them.
func (g *Gateway) RunOn(ctx context.Context, on Listeners) error {
	g.log.WithFields(logrus.Fields{
		"callers": on.Callers.Addr().String(), "data_centre": g.settings.GetDataCentre(), "boot": g.boot,
	}).Info("start")
	// What is known of the fleet outlives ctx, because work in flight needs it until
	// the end of the shutdown.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { g.directory.Run(background) })
	parts.Go(func() { g.directory.Register(ctx) })
	parts.Go(func() { g.forwarder.Run(background) })
	parts.Go(func() { g.relay.Run(background) })
	failed := make(chan error, 3)
	go func() { failed <- g.adminServer.Serve(on.Operators) }()
	go func() { failed <- g.callerServer.Serve(on.Callers) }()
	go func() { failed <- g.peerServer.Serve(on.Peers) }()
	var err error
	select {
	case <-ctx.Done():
		g.shutdown()
	case err = <-failed:
		g.log.WithError(err).Error("a listener has failed")
	}
	stop()
	_ = g.callerServer.Close()
	_ = g.adminServer.Close()
	g.peerServer.Stop()
	g.peers.Close()
	g.backends.Close()
	g.metrics.Close()
	parts.Wait()
	g.log.Info("stop")
	return err
}
