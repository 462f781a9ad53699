package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/intake"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/upgrade"
)

const (
	// catchUpTimeout is how long a coordinator waits for the configuration version that the
	// sender requires. The sender's offerTimeout includes this wait. A call to the store
	// takes 4 ms.
	catchUpTimeout = 50 * time.Millisecond
	// pollInterval is the time between two checks while a request waits for a configuration
	// or a coordinator.
	pollInterval = 10 * time.Millisecond
	// statePollInterval is the time between two checks for a state change that waiting
	// heartbeats report. A coordinator that shuts down serves for longer than that.
	statePollInterval = 100 * time.Millisecond
	// maxHeartbeatWait bounds how long a heartbeat waits for a state change.
	maxHeartbeatWait = 5 * time.Second
)

// Directory provides this node's view of the store.
type Directory interface {
	View() *directory.View
	Fleet() coordinator.Fleet
	// Synced reports whether the store was read. It may hold no configuration.
	Synced() bool
	// PollNow polls the store without waiting for the next interval.
	PollNow()
	// MarkReliedOn records that another node depends on this node's view.
	MarkReliedOn()
	// ReplicaChanges returns the changes of replicas after a revision, or an error if not all
	// of them are known.
	ReplicaChanges(after uint64) (directory.ReplicaChanges, error)
	// FeedChanges returns the changes of all areas after a revision. It waits for an update of the
	// store first if the request asks for it.
	FeedChanges(ctx context.Context, r directory.FeedRequest) (directory.FeedChanges, error)
	// ReadPages returns the number of calls of the last full read of the store.
	ReadPages() int
	// Stale reports whether the store has not answered for some time.
	Stale() bool
}

// LocalForwarder answers requests by sending them from this node to the shards.
type LocalForwarder interface {
	Serve(ctx context.Context, req *forward.Request) forward.Answer
	// Isolated reports whether no other data centre is reachable.
	Isolated() bool
	// SuspectIsolation records that another node of the data centre is isolated.
	SuspectIsolation()
	// ServeBatch sends the attempts of another node's batch.
	ServeBatch(ctx context.Context, b *forward.Batch, deliver func(forward.PartReplies) error) error
	SuspectTable
}

// ServerOptions are the options of a Server.
type ServerOptions struct {
	Directory Directory
	Local     LocalForwarder
	// Upgrades applies the grants of other nodes that lead upgrades; may be nil.
	Upgrades UpgradeGrants
	// Quota answers the reports of usage caps; may be nil.
	Quota QuotaManager
	// Observations collects the observations of other nodes; may be nil.
	Observations ObservationCollector
	// Memory is the budget of callers' requests; may be nil.
	Memory *intake.Budget
	// Leaving reports whether the node is shutting down. It still accepts requests, but
	// reports itself as unavailable to senders.
	Leaving func() bool
}

// UpgradeGrants applies grants of upgrades.
type UpgradeGrants interface {
	// Grant applies a grant and returns the report of this node's gate. known is false if
	// this node does not know the order, or knows a later leader.
	Grant(g upgrade.Grant) (r upgrade.Report, known bool)
}

// Server accepts requests and batches from other nodes.
type Server struct {
	peerv1.UnimplementedCoordinatorServer
	opts     ServerOptions
	notifier *stateNotifier
	senders  senders
	delivery deliveryDelays
}

// NewServer returns a gRPC server with a Server registered. With nil creds it uses plain
// TCP.
func NewServer(o ServerOptions, creds credentials.TransportCredentials) *grpc.Server {
	server := grpc.NewServer(peer.ServerOptions(creds)...)
	s := &Server{opts: o}
	s.notifier = &stateNotifier{read: s.currentState}
	peerv1.RegisterCoordinatorServer(server, s)
	return server
}

// Relay implements peerv1.CoordinatorServer. It runs the request only after the sender has
// confirmed the offer. Otherwise a coordinator that was paused could run a request that the
// sender has already sent to another coordinator.
func (s *Server) Relay(stream grpc.BidiStreamingServer[pb.RelayMessage, pb.RelayResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	now := time.Now()
	m := first.GetRequest()
	if m == nil {
		return status.Error(codes.InvalidArgument, "first message contains no request")
	}
	if refusal := s.refusalReason(stream.Context(), m.GetLeastVersion()); refusal != 0 {
		return stream.Send(refusalResponse(refusal))
	}
	req := decodeRelayRequest(m, now)
	release := s.reserveMemory(req)
	defer release()
	if !req.HasMemory(req.ReceivedCost()) {
		return stream.Send(refusalResponse(pb.RelayRefusal_RELAY_REFUSAL_NO_MEMORY))
	}
	if err := stream.Send(&pb.RelayResponse{Event: &pb.RelayResponse_Offer{Offer: true}}); err != nil {
		return err
	}
	// An error means that the sender has cancelled the request or sent it to another
	// coordinator.
	if message, err := stream.Recv(); err != nil || !message.GetBegin() {
		return err
	}
	s.delivery.apply(req)
	answer := s.opts.Local.Serve(stream.Context(), req)
	if answer.Outcome == forward.NotRun && s.opts.Local.Isolated() {
		return stream.Send(refusalResponse(pb.RelayRefusal_RELAY_REFUSAL_ISOLATED))
	}
	return stream.Send(&pb.RelayResponse{Event: &pb.RelayResponse_Answer{Answer: encodeAnswer(&answer)}})
}

// reserveMemory lets a request of another node take memory, until release.
func (s *Server) reserveMemory(req *forward.Request) (release func()) {
	if s.opts.Memory == nil {
		return func() {}
	}
	r := s.opts.Memory.Reserve()
	req.TakeMemory = r.Take
	return r.Release
}

func refusalResponse(reason pb.RelayRefusal) *pb.RelayResponse {
	return &pb.RelayResponse{Event: &pb.RelayResponse_Refusal{Refusal: reason}}
}

// refusalReason returns why a request is refused before an offer, or 0 if it is not.
func (s *Server) refusalReason(ctx context.Context, minVersion uint64) pb.RelayRefusal {
	until := time.Now().Add(catchUpTimeout)
	for {
		v := s.opts.Directory.View()
		switch {
		case v == nil:
			return pb.RelayRefusal_RELAY_REFUSAL_NO_CONFIGURATION
		case v.Index.Version >= minVersion:
			return 0
		case time.Now().After(until) || ctx.Err() != nil || s.opts.Directory.Stale():
			return pb.RelayRefusal_RELAY_REFUSAL_BEHIND
		}
		s.opts.Directory.PollNow()
		work.Sleep(ctx, pollInterval)
	}
}

// maxBatchReplicas bounds the replicas of a batch.
const maxBatchReplicas = 4096

// Gather implements peerv1.CoordinatorServer.
func (s *Server) Gather(m *pb.GatherBatch, stream grpc.ServerStreamingServer[pb.PartReplies]) error {
	if len(m.GetReplicas()) > maxBatchReplicas {
		return status.Error(codes.InvalidArgument, "batch contains too many replicas")
	}
	b := decodeBatch(m, time.Now())
	release := s.reserveMemory(b.Request)
	defer release()
	return s.opts.Local.ServeBatch(stream.Context(), b, func(r forward.PartReplies) error {
		return stream.Send(encodeReplies(r, time.Now()))
	})
}

// Heartbeat implements peerv1.CoordinatorServer.
func (s *Server) Heartbeat(ctx context.Context, m *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	s.opts.Directory.MarkReliedOn()
	s.delivery.observe(duration(m.GetDeliveryUs()))
	if m.GetIsolatedPeer() {
		s.opts.Local.SuspectIsolation()
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(m.GetWaitMs())*time.Millisecond, maxHeartbeatWait))
	defer cancel()
	current := s.currentState()
	if !current.unavailable && current.condition.Configured && current.fleetRevision <= m.GetFleetRevision() {
		current = s.notifier.await(ctx, current)
	}
	resp := &pb.HeartbeatResponse{
		Unavailable:   current.unavailable,
		Configured:    current.condition.Configured,
		Stale:         current.condition.Stale,
		Isolated:      current.condition.Isolated,
		FleetRevision: current.fleetRevision,
		StorePages:    uint32(s.opts.Directory.ReadPages()),
		Senders:       uint32(s.senders.record(time.Now(), m.GetNode())),
	}
	if v := s.opts.Directory.View(); v != nil {
		resp.MaxBodyBytes = uint64(max(v.Index.Limits.MaxBodyBytes, 0))
	}
	if fleet := s.opts.Directory.Fleet(); fleet.Revision > m.GetFleetRevision() {
		resp.FleetRevision = fleet.Revision
		resp.Fleet = encodeFleet(fleet)
	}
	return resp, nil
}

// currentState returns the state that heartbeat responses report.
func (s *Server) currentState() heartbeatState {
	return heartbeatState{
		unavailable: s.opts.Leaving() || !s.opts.Directory.Synced(),
		condition: coordinator.Condition{
			Configured: s.opts.Directory.View() != nil,
			Stale:      s.opts.Directory.Stale(),
			Isolated:   s.opts.Local.Isolated(),
		},
		fleetRevision: s.opts.Directory.Fleet().Revision,
	}
}
