package relay

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/upgrade"
)

// UpgradeClient passes grants of upgrades to other nodes. Safe for concurrent use.
type UpgradeClient struct{ pool *peer.Pool }

// NewUpgradeClient returns a client that uses the connections of a pool.
func NewUpgradeClient(pool *peer.Pool) UpgradeClient { return UpgradeClient{pool} }

// GrantUpgrade passes a grant to a node and returns the report of the node's gate. known is
// false if the node does not know the order, or knows a later leader.
func (c UpgradeClient) GrantUpgrade(ctx context.Context, to coordinator.Member, g upgrade.Grant) (r upgrade.Report, known bool, err error) {
	conn, err := c.pool.Connection(to.Address)
	if err != nil {
		return r, false, err
	}
	resp, err := peerv1.NewCoordinatorClient(conn).GrantUpgrade(ctx, &pb.UpgradeGrant{
		Service: g.Service, Order: g.Order, Term: g.Term, Phase: pb.UpgradePhase(g.Phase), Inquire: g.Inquire,
		Trial: g.Trial,
	})
	if err != nil || resp.GetUnknown() {
		return r, false, err
	}
	return decodeUpgradeReport(resp), true, nil
}

// GrantUpgrade implements peerv1.CoordinatorServer.
func (s *Server) GrantUpgrade(_ context.Context, m *pb.UpgradeGrant) (*pb.UpgradeReport, error) {
	if s.opts.Upgrades == nil || !validPhase(m.GetPhase()) {
		return nil, status.Error(codes.InvalidArgument, "unknown phase of an upgrade")
	}
	r, known := s.opts.Upgrades.Grant(upgrade.Grant{
		Service: m.GetService(), Order: m.GetOrder(), Term: m.GetTerm(), Phase: upgrade.Phase(m.GetPhase()), Inquire: m.GetInquire(),
		Trial: m.GetTrial(),
	})
	if !known {
		return &pb.UpgradeReport{Unknown: true}, nil
	}
	return encodeUpgradeReport(&r), nil
}

func validPhase(p pb.UpgradePhase) bool { return p >= 0 && p <= pb.UpgradePhase_UPGRADE_PHASE_REVERT }

func encodeUpgradeReport(r *upgrade.Report) *pb.UpgradeReport {
	m := &pb.UpgradeReport{
		Order: r.Order, Term: r.Term, Phase: pb.UpgradePhase(r.Phase), ElapsedUs: microseconds(r.Elapsed),
		Requests: uint64(r.Requests), Exposed: uint64(r.Exposed), OldInFlight: uint64(r.OldInFlight),
		Trial: r.Trial,
	}
	for i := range r.Samples {
		s := &r.Samples[i]
		sample := &pb.UpgradeSample{
			Phase: pb.UpgradePhase(s.Phase), Route: s.Route, Replica: s.Replica,
			Answers: uint64(s.Answers), Failures: uint64(s.Failures),
		}
		sample.FirstBucket, sample.Latencies = encodeLatencies(s.Latencies[:])
		m.Samples = append(m.Samples, sample)
	}
	return m
}

// encodeLatencies returns the counts between the first and the last bucket that is not empty.
func encodeLatencies(counts []int) (first uint32, encoded []uint32) {
	from, to := 0, len(counts)
	for from < to && counts[from] == 0 {
		from++
	}
	for to > from && counts[to-1] == 0 {
		to--
	}
	for _, n := range counts[from:to] {
		encoded = append(encoded, uint32(n))
	}
	return uint32(from), encoded
}

// maxUpgradeSamples bounds the samples that are read from one report.
const maxUpgradeSamples = 4096

// decodeUpgradeReport decodes a report. It skips what exceeds the bounds of a message.
func decodeUpgradeReport(m *pb.UpgradeReport) upgrade.Report {
	r := upgrade.Report{
		Order: m.GetOrder(), Term: m.GetTerm(), Elapsed: duration(m.GetElapsedUs()),
		Requests: count(m.GetRequests()), Exposed: count(m.GetExposed()), OldInFlight: count(m.GetOldInFlight()),
		Trial: m.GetTrial(),
	}
	if validPhase(m.GetPhase()) {
		r.Phase = upgrade.Phase(m.GetPhase())
	}
	for _, s := range m.GetSamples()[:min(len(m.GetSamples()), maxUpgradeSamples)] {
		if !validPhase(s.GetPhase()) {
			continue
		}
		sample := upgrade.Sample{
			Phase: upgrade.Phase(s.GetPhase()), Route: s.GetRoute(), Replica: s.GetReplica(),
			Answers: count(s.GetAnswers()), Failures: count(s.GetFailures()),
		}
		first := min(int(s.GetFirstBucket()), upgrade.Buckets)
		for i, n := range s.GetLatencies()[:min(len(s.GetLatencies()), upgrade.Buckets-first)] {
			sample.Latencies[first+i] = count(uint64(n))
		}
		r.Samples = append(r.Samples, sample)
	}
	return r
}

// maxCount bounds counts, so that sums of malformed messages do not overflow.
const maxCount = 1 << 40

func count(n uint64) int { return int(min(n, maxCount)) }
