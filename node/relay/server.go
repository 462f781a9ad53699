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
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// catchUp is how long a coordinator waits for a configuration that the sender has
	// seen already, which is part of the sender's wait for its offer. A call to the
	// store takes 4 ms.
	catchUp = 50 * time.Millisecond
	// lookEvery is how often it looks whether something has changed.
	lookEvery = 10 * time.Millisecond
	// newsEvery is how often is looked whether waiting heartbeats have news to hear. A
	// coordinator that leaves goes on serving for seconds.
	newsEvery = 100 * time.Millisecond
	// maxWait bounds how long a heartbeat waits for news.
	maxWait = 5 * time.Second
)

// Follower knows what the store holds.
type Follower interface {
	View() *directory.View
	Fleet() coordinator.Fleet
	// Synced reports whether the store was read; there may be no configuration in it.
	Synced() bool
	// PollNow asks for updates at once.
	PollNow()
	// MarkReliedOn notes that another node relies on this one.
	MarkReliedOn()
	// Stale reports whether the store has not answered for a while.
	Stale() bool
}

// Local answers requests by asking the shards from this node.
type Local interface {
	Serve(ctx context.Context, req *forward.Request) forward.Answer
	// Isolated reports whether no other data centre is in reach.
	Isolated() bool
	// ServeBatch sends the attempts of a batch for another node.
	ServeBatch(ctx context.Context, b *forward.Batch, deliver func(forward.PartReplies) error) error
}

// ServerOptions of a Server.
type ServerOptions struct {
	Follower Follower
	Local    Local
	// Leaving reports whether the node is shutting down: it takes requests that still
	// come, and tells senders to use others.
	Leaving func() bool
}

// Server is the coordinator's side.
type Server struct {
	peerv1.UnimplementedCoordinatorServer
	opts ServerOptions
	news *news
}

// NewServer returns a grpc server of the coordinator's side; nil credentials mean plain
// TCP.
func NewServer(o ServerOptions, creds credentials.TransportCredentials) *grpc.Server {
	server := grpc.NewServer(peer.ServerOptions(creds)...)
	s := &Server{opts: o}
	s.news = &news{look: s.state}
	peerv1.RegisterCoordinatorServer(server, s)
	return server
}

// Relay implements peerv1.CoordinatorServer. It begins only when the sender says so after
// its offer: a process that was paused meanwhile would run a request that its sender has
// given to another coordinator.
func (s *Server) Relay(stream grpc.BidiStreamingServer[pb.RelayMessage, pb.RelayResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	now := time.Now()
	m := first.GetRequest()
	if m == nil {
		return status.Error(codes.InvalidArgument, "the first message holds no request")
	}
	if refusal := s.refuse(stream.Context(), m.GetLeastVersion()); refusal != 0 {
		return stream.Send(refused(refusal))
	}
	if err := stream.Send(&pb.RelayResponse{Event: &pb.RelayResponse_Offer{Offer: true}}); err != nil {
		return err
	}
	// An error here means that the sender has gone, or given the request to another one.
	if word, err := stream.Recv(); err != nil || !word.GetBegin() {
		return err
	}
	answer := s.opts.Local.Serve(stream.Context(), decode(m, now))
	if answer.Outcome == forward.NotRun && s.opts.Local.Isolated() {
		return stream.Send(refused(pb.RelayRefusal_RELAY_REFUSAL_ISOLATED))
	}
	return stream.Send(&pb.RelayResponse{Event: &pb.RelayResponse_Answer{Answer: encodeAnswer(&answer)}})
}

func refused(why pb.RelayRefusal) *pb.RelayResponse {
	return &pb.RelayResponse{Event: &pb.RelayResponse_Refusal{Refusal: why}}
}

// refuse returns why a request is not begun with, or 0.
func (s *Server) refuse(ctx context.Context, leastVersion uint64) pb.RelayRefusal {
	until := time.Now().Add(catchUp)
	for {
		v := s.opts.Follower.View()
		switch {
		case v == nil:
			return pb.RelayRefusal_RELAY_REFUSAL_NO_CONFIGURATION
		case v.Index.Version >= leastVersion:
			return 0
		case time.Now().After(until) || ctx.Err() != nil || s.opts.Follower.Stale():
			return pb.RelayRefusal_RELAY_REFUSAL_BEHIND
		}
		s.opts.Follower.PollNow()
		work.Sleep(ctx, lookEvery)
	}
}

// maxBatch bounds the replicas of a batch.
const maxBatch = 4096

// Gather implements peerv1.CoordinatorServer.
func (s *Server) Gather(m *pb.GatherBatch, stream grpc.ServerStreamingServer[pb.PartReplies]) error {
	if len(m.GetReplicas()) > maxBatch {
		return status.Error(codes.InvalidArgument, "the batch holds too many replicas")
	}
	return s.opts.Local.ServeBatch(stream.Context(), decodeBatch(m, time.Now()), func(r forward.PartReplies) error {
		return stream.Send(encodeReplies(r))
	})
}

// Heartbeat implements peerv1.CoordinatorServer.
func (s *Server) Heartbeat(ctx context.Context, m *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	s.opts.Follower.MarkReliedOn()
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait))
	defer cancel()
	now := s.state()
	if !now.unavailable && now.condition.Configured && now.fleetRevision <= m.GetFleetRevision() {
		now = s.news.await(ctx, now)
	}
	resp := &pb.HeartbeatResponse{
		Unavailable:   now.unavailable,
		Configured:    now.condition.Configured,
		Stale:         now.condition.Stale,
		Isolated:      now.condition.Isolated,
		FleetRevision: now.fleetRevision,
	}
	if v := s.opts.Follower.View(); v != nil {
		resp.MaxBodyBytes = uint64(max(v.Index.Limits.MaxBodyBytes, 0))
	}
	if fleet := s.opts.Follower.Fleet(); fleet.Revision > m.GetFleetRevision() {
		resp.FleetRevision = fleet.Revision
		resp.Fleet = encodeFleet(fleet)
	}
	return resp, nil
}

// state is what heartbeats tell.
func (s *Server) state() state {
	return state{
		unavailable: s.opts.Leaving() || !s.opts.Follower.Synced(),
		condition: coordinator.Condition{
			Configured: s.opts.Follower.View() != nil,
			Stale:      s.opts.Follower.Stale(),
			Isolated:   s.opts.Local.Isolated(),
		},
		fleetRevision: s.opts.Follower.Fleet().Revision,
	}
}
