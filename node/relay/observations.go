package relay

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/observation"
)

// ObservationClient exchanges observations with other nodes. Safe for concurrent use.
type ObservationClient struct{ pool *peer.Pool }

// NewObservationClient returns a client that uses the connections of a pool.
func NewObservationClient(pool *peer.Pool) ObservationClient { return ObservationClient{pool} }

// ObservationCollector answers reports of observations.
type ObservationCollector interface {
	Handle(r *observation.Report) observation.Reply
}

// ExchangeObservations passes a report to a node and returns its reply and the size of both
// messages.
func (c ObservationClient) ExchangeObservations(ctx context.Context, to coordinator.Member, r *observation.Report) (observation.Reply, int, error) {
	conn, err := c.pool.Connection(to.Address)
	if err != nil {
		return observation.Reply{}, 0, err
	}
	m := encodeObservationReport(r, time.Now())
	resp, err := peerv1.NewCoordinatorClient(conn).ExchangeObservations(ctx, m)
	if err != nil {
		return observation.Reply{}, 0, err
	}
	reply, valid := decodeObservationReply(resp, time.Now())
	if !valid {
		return observation.Reply{}, 0, status.Error(codes.DataLoss, "reply with malformed observations")
	}
	return reply, proto.Size(m) + proto.Size(resp), nil
}

// ExchangeObservations implements peerv1.CoordinatorServer.
func (s *Server) ExchangeObservations(_ context.Context, m *pb.ObservationReport) (*pb.ObservationReply, error) {
	if s.opts.Observations == nil {
		return nil, status.Error(codes.Unimplemented, "observations are not collected")
	}
	r, valid := decodeObservationReport(m, time.Now())
	if !valid {
		return nil, status.Error(codes.InvalidArgument, "report with malformed observations")
	}
	reply := s.opts.Observations.Handle(r)
	return encodeObservationReply(&reply, time.Now()), nil
}

// maxNameBytes bounds the names of nodes and the IDs of replicas in a report.
const maxNameBytes = 256

func encodeObservationReport(r *observation.Report, now time.Time) *pb.ObservationReport {
	return &pb.ObservationReport{
		Node: r.Node, Boot: r.Boot, CollectorBoot: r.CollectorBoot, Cursor: r.Cursor,
		Observations: encodeObservations(r.Observations, now),
	}
}

// decodeObservationReport decodes a report that arrived now, and reports whether it is valid.
func decodeObservationReport(m *pb.ObservationReport, now time.Time) (*observation.Report, bool) {
	if m.GetNode() == "" || len(m.GetNode()) > maxNameBytes {
		return nil, false
	}
	list, valid := decodeObservations(m.GetObservations(), now)
	return &observation.Report{
		Node: m.GetNode(), Boot: m.GetBoot(), CollectorBoot: m.GetCollectorBoot(), Cursor: m.GetCursor(), Observations: list,
	}, valid
}

func encodeObservationReply(r *observation.Reply, now time.Time) *pb.ObservationReply {
	return &pb.ObservationReply{
		Unavailable: r.Unavailable, Boot: r.Boot, Cursor: r.Cursor, Observations: encodeObservations(r.Observations, now),
	}
}

func decodeObservationReply(m *pb.ObservationReply, now time.Time) (observation.Reply, bool) {
	list, valid := decodeObservations(m.GetObservations(), now)
	return observation.Reply{
		Unavailable: m.GetUnavailable(), Boot: m.GetBoot(), Cursor: m.GetCursor(), Observations: list,
	}, valid
}

func encodeObservations(list []observation.Observation, now time.Time) []*pb.ReplicaObservation {
	encoded := make([]*pb.ReplicaObservation, 0, len(list))
	for i := range list {
		o := &list[i]
		encoded = append(encoded, &pb.ReplicaObservation{
			Replica: []byte(o.Replica), Load: EncodeLoad(o.Load, now.Sub(o.LoadAt)),
			Attempts: uint32(o.Attempts), Failures: uint32(o.Failures),
			SilentUs: microseconds(o.Silent), AgeUs: microseconds(now.Sub(o.At)),
		})
	}
	return encoded
}

// decodeObservations decodes observations that arrived now. valid is false if there are too
// many of them or one is malformed: nothing of such a message is used.
func decodeObservations(list []*pb.ReplicaObservation, now time.Time) (decoded []observation.Observation, valid bool) {
	if len(list) > observation.MaxPerMessage {
		return nil, false
	}
	for _, m := range list {
		o, valid := decodeObservation(m, now)
		if !valid {
			return nil, false
		}
		decoded = append(decoded, o)
	}
	return decoded, true
}

func decodeObservation(m *pb.ReplicaObservation, now time.Time) (observation.Observation, bool) {
	if len(m.GetReplica()) > maxNameBytes || m.GetAttempts() > load.MaxCount {
		return observation.Observation{}, false
	}
	o := observation.Observation{
		Replica: string(m.GetReplica()), Attempts: int(m.GetAttempts()), Failures: int(m.GetFailures()),
		Silent: duration(m.GetSilentUs()), At: now.Add(-duration(m.GetAgeUs())),
	}
	if l := m.GetLoad(); l != nil {
		report, age := DecodeLoad(l)
		if !report.Known() || l.GetPacePercent() > 0 && !report.Paced() {
			return observation.Observation{}, false
		}
		o.Load, o.LoadAt = report, now.Add(-age)
	}
	return o, o.Valid(now)
}
