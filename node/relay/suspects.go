package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/quarantine"
)

const (
	// pushPeers is the number of random nodes that receive a change at once. Each of them
	// passes it on, so that it reaches hundreds of nodes in a few steps.
	pushPeers = 16
	// pushInterval is the least time between two pushes. The crashes of one request come
	// together.
	pushInterval = 10 * time.Millisecond
	// exchangeInterval is the average time between two exchanges of a node with records. By
	// them, changes reach nodes that were cut off or have just started.
	exchangeInterval = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// joinExchanges is the number of nodes whose records a node fetches after its start.
	joinExchanges = 3
)

// SuspectTable holds a node's records of requests that are suspected of crashing replicas.
type SuspectTable interface {
	// Suspects returns the newest records.
	Suspects() []quarantine.Record
	// SuspectChanges returns the records that changed since the last call.
	SuspectChanges() []quarantine.Record
	MergeSuspects(records []quarantine.Record)
}

// SuspectSyncOptions are the options of a SuspectSync.
type SuspectSyncOptions struct {
	// Self is the name of this node.
	Self  string
	Pool  *peer.Pool
	Fleet func() coordinator.Fleet
	Table SuspectTable
	Log   logrus.FieldLogger
}

// SuspectSync exchanges the records of a SuspectTable with the other nodes of a fleet.
type SuspectSync struct {
	opts    SuspectSyncOptions
	changed chan struct{}
}

// NewSuspectSync returns a SuspectSync, which Run starts.
func NewSuspectSync(o SuspectSyncOptions) *SuspectSync {
	return &SuspectSync{opts: o, changed: make(chan struct{}, 1)}
}

// NotifyChanged makes Run push the changes of the table. It does not block.
func (s *SuspectSync) NotifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run exchanges records until ctx ends.
func (s *SuspectSync) Run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	exchanges.Go(func() { s.join(ctx) })
	timer := time.NewTimer(exchangeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			if records := s.opts.Table.SuspectChanges(); len(records) > 0 {
				s.exchangeWith(ctx, &exchanges, pushPeers, records)
				// There may be more changes than one message holds.
				s.NotifyChanged()
				work.Sleep(ctx, pushInterval)
			}
		case <-timer.C:
			timer.Reset(exchangeInterval/2 + rand.N(exchangeInterval))
			if records := s.opts.Table.Suspects(); len(records) > 0 {
				s.exchangeWith(ctx, &exchanges, 1, records)
			}
		}
	}
}

// join fetches the records of some other nodes once the fleet is known.
func (s *SuspectSync) join(ctx context.Context) {
	for ctx.Err() == nil && len(s.peers(1)) == 0 {
		work.Sleep(ctx, exchangeInterval)
	}
	for _, m := range s.peers(joinExchanges) {
		s.exchange(ctx, m, s.opts.Table.Suspects())
	}
}

// exchangeWith exchanges records with up to n other nodes, without waiting for them.
func (s *SuspectSync) exchangeWith(ctx context.Context, exchanges *sync.WaitGroup, n int, records []quarantine.Record) {
	for _, m := range s.peers(n) {
		exchanges.Go(func() { s.exchange(ctx, m, records) })
	}
}

// peers returns up to n random nodes of the fleet other than this one.
func (s *SuspectSync) peers(n int) []coordinator.Member {
	members := slices.DeleteFunc(slices.Clone(s.opts.Fleet().Members), func(m coordinator.Member) bool {
		return m.Node == s.opts.Self || m.Address == ""
	})
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}

// exchange sends records to a node and merges those that it returns. A node that cannot be
// reached gets them from others, or at a later exchange; the release before has no such call.
func (s *SuspectSync) exchange(ctx context.Context, to coordinator.Member, records []quarantine.Record) {
	conn, err := s.opts.Pool.Connection(to.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := peerv1.NewCoordinatorClient(conn).ExchangeSuspects(ctx, &pb.SuspectExchange{
		Records: encodeSuspects(records, time.Now()),
	})
	if err != nil {
		if status.Code(err) != codes.Unimplemented {
			s.opts.Log.WithError(err).WithField("peer", to.Node).Debug("records of suspected requests not exchanged")
		}
		return
	}
	s.opts.Table.MergeSuspects(decodeSuspects(resp.GetRecords(), time.Now()))
}

// ExchangeSuspects implements peerv1.CoordinatorServer.
func (s *Server) ExchangeSuspects(_ context.Context, m *pb.SuspectExchange) (*pb.SuspectExchange, error) {
	now := time.Now()
	s.opts.Local.MergeSuspects(decodeSuspects(m.GetRecords(), now))
	return &pb.SuspectExchange{Records: encodeSuspects(s.opts.Local.Suspects(), now)}, nil
}

func encodeSuspects(records []quarantine.Record, now time.Time) []*pb.SuspectRecord {
	list := make([]*pb.SuspectRecord, 0, len(records))
	for _, r := range records {
		m := &pb.SuspectRecord{Fingerprint: r.Fingerprint[:], RefusedForUs: microseconds(r.RefusedUntil.Sub(now))}
		for _, c := range r.Crashes {
			m.Crashes = append(m.Crashes, &pb.ReplicaCrash{
				Replica: c.Replica, Service: c.Service, Trial: c.Trial, AgeUs: microseconds(now.Sub(c.At)),
			})
		}
		for _, a := range r.Answers {
			m.Answers = append(m.Answers, &pb.ReplicaAnswer{Service: a.Service, AgeUs: microseconds(now.Sub(a.At))})
		}
		list = append(list, m)
	}
	return list
}

// decodeSuspects decodes records that arrived now. It skips records without a valid
// fingerprint, and what exceeds the bounds of a message.
func decodeSuspects(list []*pb.SuspectRecord, now time.Time) []quarantine.Record {
	var records []quarantine.Record
	for _, m := range list[:min(len(list), quarantine.MaxRecords)] {
		var r quarantine.Record
		if len(m.GetFingerprint()) != len(r.Fingerprint) {
			continue
		}
		copy(r.Fingerprint[:], m.GetFingerprint())
		for _, c := range m.GetCrashes()[:min(len(m.GetCrashes()), quarantine.MaxCrashes)] {
			r.Crashes = append(r.Crashes, quarantine.Crash{
				Replica: c.GetReplica(), Service: c.GetService(), Trial: c.GetTrial(), At: now.Add(-duration(c.GetAgeUs())),
			})
		}
		for _, a := range m.GetAnswers()[:min(len(m.GetAnswers()), quarantine.MaxCrashes)] {
			r.Answers = append(r.Answers, quarantine.Answer{Service: a.GetService(), At: now.Add(-duration(a.GetAgeUs()))})
		}
		if us := m.GetRefusedForUs(); us > 0 {
			r.RefusedUntil = now.Add(duration(us))
		}
		records = append(records, r)
	}
	return records
}
