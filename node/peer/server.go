package peer

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/owner"
)

const (
	// firstMessageDelay is when an owner without results sends an empty message. The
	// sender of a scatter fails the call if it receives no message within
	// firstMessageTimeout. Otherwise a query waits until its deadline for an owner that
	// is dead, paused or unreachable.
	firstMessageDelay   = 20 * time.Millisecond
	firstMessageTimeout = 120 * time.Millisecond
)

// Fleet handles the membership and configuration messages.
type Fleet interface {
	Envelopes
	HandleGossip(ctx context.Context, req *pb.GossipRequest) (*pb.GossipResponse, error)
	HandlePull(ctx context.Context, req *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error)
}

// Owner runs requests at the replicas of which this node is the owner.
type Owner interface {
	Submit(ctx context.Context, req owner.Request, reply func(*pb.SubrequestResult))
	Execute(ctx context.Context, req owner.Request) *pb.SubrequestResult
	ReportsSince(service string, since uint64) ([]*pb.ReplicaNews, uint64)
	HandleReport(sender string, req *pb.ReportReplicaRequest) *pb.ReportReplicaResponse
}

// Status returns the status of this node, or of every node of the fleet.
type Status interface {
	NodeStatus(ctx context.Context, fleet bool) []*pb.NodeStatus
}

// Server handles the messages of other nodes.
type Server struct {
	peerv1.UnimplementedPeerServer
	fleet  Fleet
	owner  Owner
	status Status

	active activeScatters
}

// NewServer returns a gRPC server for the messages between nodes. Nil credentials mean
// no TLS.
func NewServer(fleet Fleet, o Owner, s Status, creds credentials.TransportCredentials) *grpc.Server {
	server := grpc.NewServer(ServerOptions(creds)...)
	peerv1.RegisterPeerServer(server, &Server{
		fleet:  fleet,
		owner:  o,
		status: s,
	})
	return server
}

// ServerOptions returns the options of a gRPC server for messages between nodes. Nil
// credentials mean no TLS.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	return options
}

// checkEnvelope checks and applies the envelope of a request. A request of another fleet
// or protocol is rejected before any part of it runs.
func (s *Server) checkEnvelope(envelope *pb.Envelope) error {
	if err := s.fleet.Receive(envelope); err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return nil
}

// Cancel implements peerv1.PeerServer.
func (s *Server) Cancel(_ context.Context, req *pb.CancelRequest) (*pb.CancelResponse, error) {
	if err := s.checkEnvelope(req.GetEnvelope()); err != nil {
		return nil, err
	}
	s.active.cancel(req.GetEnvelope().GetBoot(), req.GetAttempts())
	return &pb.CancelResponse{Envelope: s.fleet.Envelope()}, nil
}

// Execute implements peerv1.PeerServer.
func (s *Server) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	if err := s.checkEnvelope(req.GetEnvelope()); err != nil {
		return &pb.ExecuteResponse{
			Attempt:  req.GetAttempt(),
			Reason:   pb.Reason_REASON_PEER,
			Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
		}, nil
	}
	ctx, cancel := withTimeout(ctx, req.GetTimeoutUs())
	defer cancel()
	resp := owner.ToExecute(s.owner.Execute(ctx, owner.FromExecute(req, req.GetEnvelope().GetBoot())))
	resp.Envelope = s.fleet.Envelope()
	return resp, nil
}

// Gossip implements peerv1.PeerServer.
func (s *Server) Gossip(ctx context.Context, req *pb.GossipRequest) (*pb.GossipResponse, error) {
	if err := s.checkEnvelope(req.GetEnvelope()); err != nil {
		return nil, err
	}
	return s.fleet.HandleGossip(ctx, req)
}

// PullConfiguration implements peerv1.PeerServer.
func (s *Server) PullConfiguration(ctx context.Context, req *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error) {
	if err := s.checkEnvelope(req.GetEnvelope()); err != nil {
		return nil, err
	}
	return s.fleet.HandlePull(ctx, req)
}

// ReportReplica implements peerv1.PeerServer.
func (s *Server) ReportReplica(_ context.Context, req *pb.ReportReplicaRequest) (*pb.ReportReplicaResponse, error) {
	if err := s.checkEnvelope(req.GetEnvelope()); err != nil {
		return nil, err
	}
	resp := s.owner.HandleReport(req.GetEnvelope().GetSender(), req)
	resp.Envelope = s.fleet.Envelope()
	return resp, nil
}

// Status implements peerv1.PeerServer.
func (s *Server) Status(ctx context.Context, req *pb.StatusRequest) (*pb.StatusResponse, error) {
	if err := s.checkEnvelope(req.GetEnvelope()); err != nil {
		return nil, err
	}
	nodes := s.status.NodeStatus(ctx, req.GetFleet())
	if !req.GetFleet() {
		removeAliveMembers(nodes)
	}
	return &pb.StatusResponse{Envelope: s.fleet.Envelope(), Nodes: nodes}, nil
}

// removeAliveMembers removes the alive members from each node's member list. Otherwise,
// the data of a status request for the whole fleet grows with the square of the fleet's
// size.
func removeAliveMembers(nodes []*pb.NodeStatus) {
	for _, n := range nodes {
		n.Members = slices.DeleteFunc(n.Members, func(m *pb.MemberChange) bool {
			return m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE
		})
	}
}

// withTimeout bounds a request by the timeout that its sender set.
func withTimeout(ctx context.Context, timeoutUs uint64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, owner.DurationFromMicroseconds(timeoutUs))
}
