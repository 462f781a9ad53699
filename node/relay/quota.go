package relay

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/quota"
)

// QuotaClient passes reports of usage caps to other nodes. Safe for concurrent use.
type QuotaClient struct{ pool *peer.Pool }

// NewQuotaClient returns a client that uses the connections of a pool.
func NewQuotaClient(pool *peer.Pool) QuotaClient { return QuotaClient{pool} }

// QuotaManager answers reports of usage caps.
type QuotaManager interface {
	Handle(r *quota.Report) quota.Reply
}

// ReportQuota passes a report to a node and returns its reply.
func (c QuotaClient) ReportQuota(ctx context.Context, to coordinator.Member, r *quota.Report) (quota.Reply, error) {
	conn, err := c.pool.Connection(to.Address)
	if err != nil {
		return quota.Reply{}, err
	}
	resp, err := peerv1.NewCoordinatorClient(conn).ReportQuota(ctx, encodeQuotaReport(r))
	if err != nil {
		return quota.Reply{}, err
	}
	return decodeQuotaReply(resp), nil
}

// maxQuotaDemands bounds the accounts of a report.
const maxQuotaDemands = 10000

// ReportQuota implements peerv1.CoordinatorServer.
func (s *Server) ReportQuota(_ context.Context, m *pb.QuotaReport) (*pb.QuotaReply, error) {
	if s.opts.Quota == nil || !validQuotaReport(m) {
		return nil, status.Error(codes.InvalidArgument, "invalid report of usage caps")
	}
	reply := s.opts.Quota.Handle(decodeQuotaReport(m))
	return encodeQuotaReply(&reply), nil
}

// validQuotaReport reports whether all numbers are finite and within their ranges.
func validQuotaReport(m *pb.QuotaReport) bool {
	if !(m.GetShare() >= 0 && m.GetShare() <= 1) || len(m.GetDemands()) > maxQuotaDemands {
		return false
	}
	for _, d := range m.GetDemands() {
		for _, n := range []float64{d.GetRate(), d.GetBurst(), d.GetDue(), d.GetHeld(), d.GetReserve()} {
			if !(n >= 0 && n <= maxQuotaNumber) {
				return false
			}
		}
	}
	return true
}

// maxQuotaNumber bounds the numbers of a report.
const maxQuotaNumber = 1e12

func encodeQuotaReport(r *quota.Report) *pb.QuotaReport {
	m := &pb.QuotaReport{Node: r.Node, Version: r.Version, Share: r.Share, Probe: r.Probe}
	for _, d := range r.Demands {
		m.Demands = append(m.Demands, &pb.QuotaDemand{
			Account: d.Account, Rate: d.Rate, Burst: d.Burst, Due: d.Due, Held: d.Held, Reserve: d.Reserve,
		})
	}
	return m
}

func decodeQuotaReport(m *pb.QuotaReport) *quota.Report {
	r := &quota.Report{Node: m.GetNode(), Version: m.GetVersion(), Share: m.GetShare(), Probe: m.GetProbe()}
	for _, d := range m.GetDemands() {
		r.Demands = append(r.Demands, quota.Demand{
			Account: d.GetAccount(), Rate: d.GetRate(), Burst: d.GetBurst(), Due: d.GetDue(), Held: d.GetHeld(), Reserve: d.GetReserve(),
		})
	}
	return r
}

func encodeQuotaReply(r *quota.Reply) *pb.QuotaReply {
	m := &pb.QuotaReply{Unavailable: r.Unavailable}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &pb.QuotaGrant{Allowance: g.Allowance, WaitUs: microseconds(g.Wait)})
	}
	return m
}

func decodeQuotaReply(m *pb.QuotaReply) quota.Reply {
	r := quota.Reply{Unavailable: m.GetUnavailable()}
	for _, g := range m.GetGrants() {
		// A manager grants no more than was asked for; anything else counts as nothing.
		allowance := g.GetAllowance()
		if !(allowance >= 0 && allowance <= maxQuotaNumber) {
			allowance = 0
		}
		r.Grants = append(r.Grants, quota.Grant{Allowance: allowance, Wait: min(duration(g.GetWaitUs()), time.Hour)})
	}
	return r
}
