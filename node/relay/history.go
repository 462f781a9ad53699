package relay

import (
	"context"
	"math"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// maxFeedWaitMs bounds how long a question of a follower is held, in milliseconds.
	maxFeedWaitMs = 5000
	// maxOutageGrace bounds the grace that another node passes on.
	maxOutageGrace = 5 * time.Second
)

// HistoryClient implements directory.History and directory.Feeds over the connections between nodes. Safe for
// concurrent use.
type HistoryClient struct{ pool *peer.Pool }

var (
	_ directory.History = HistoryClient{}
	_ directory.Feeds   = HistoryClient{}
)

// NewHistoryClient returns a client that uses the connections of a pool.
func NewHistoryClient(pool *peer.Pool) HistoryClient { return HistoryClient{pool} }

// ReplicaChanges implements directory.History.
func (c HistoryClient) ReplicaChanges(ctx context.Context, from coordinator.Member, after uint64) (directory.ReplicaChanges, error) {
	conn, err := c.pool.Connection(from.Address)
	if err != nil {
		return directory.ReplicaChanges{}, err
	}
	resp, err := peerv1.NewCoordinatorClient(conn).ReplicaChanges(ctx, &pb.ReplicaChangesRequest{After: after})
	if err != nil {
		return directory.ReplicaChanges{}, err
	}
	if resp.GetUnknown() || resp.GetRevision() <= after {
		return directory.ReplicaChanges{}, directory.ErrHistoryUnknown
	}
	return decodeReplicaChanges(resp, time.Now()), nil
}

// FeedChanges implements directory.Feeds.
func (c HistoryClient) FeedChanges(ctx context.Context, from coordinator.Member, r directory.FeedRequest) (directory.FeedChanges, error) {
	conn, err := c.pool.Connection(from.Address)
	if err != nil {
		return directory.FeedChanges{}, err
	}
	resp, err := peerv1.NewCoordinatorClient(conn).ReplicaChanges(ctx, &pb.ReplicaChangesRequest{
		After: r.After, WaitMs: uint64(r.Wait.Milliseconds()), Feed: true, Turn: r.Turn,
	})
	if err != nil {
		return directory.FeedChanges{}, err
	}
	if resp.GetUnknown() {
		return directory.FeedChanges{}, directory.ErrHistoryUnknown
	}
	return decodeFeedChanges(resp, time.Now()), nil
}

// ReplicaChanges implements peerv1.CoordinatorServer.
func (s *Server) ReplicaChanges(ctx context.Context, m *pb.ReplicaChangesRequest) (*pb.ReplicaChangesResponse, error) {
	if m.GetFeed() {
		wait := time.Duration(min(m.GetWaitMs(), maxFeedWaitMs)) * time.Millisecond
		changes, err := s.opts.Directory.FeedChanges(ctx, directory.FeedRequest{After: m.GetAfter(), Wait: wait, Turn: m.GetTurn()})
		if err != nil {
			return &pb.ReplicaChangesResponse{Unknown: true}, nil
		}
		changes.Serves = changes.Serves && !s.opts.Leaving()
		return encodeFeedChanges(&changes, time.Now()), nil
	}
	changes, err := s.opts.Directory.ReplicaChanges(m.GetAfter())
	if err != nil {
		return &pb.ReplicaChangesResponse{Unknown: true}, nil
	}
	return encodeReplicaChanges(&changes, time.Now()), nil
}

func encodeFeedChanges(c *directory.FeedChanges, now time.Time) *pb.ReplicaChangesResponse {
	m := encodeReplicaChanges(&c.ReplicaChanges, now)
	for _, r := range c.Others {
		m.Others = append(m.Others, &pb.StoreRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
	}
	m.Feed, m.Waiting = c.Serves, c.Waiting
	m.StoreAgeUs, m.HeldUs, m.OutageGraceUs = microseconds(c.Age), microseconds(c.Held), microseconds(c.OutageGrace)
	return m
}

// decodeFeedChanges decodes an answer that arrived now.
func decodeFeedChanges(m *pb.ReplicaChangesResponse, now time.Time) directory.FeedChanges {
	c := directory.FeedChanges{
		ReplicaChanges: decodeReplicaChanges(m, now),
		Serves:         m.GetFeed(),
		Age:            duration(m.GetStoreAgeUs()),
		Held:           duration(m.GetHeldUs()),
		OutageGrace:    min(duration(m.GetOutageGraceUs()), maxOutageGrace),
		Waiting:        m.GetWaiting(),
	}
	for _, r := range m.GetOthers() {
		c.Others = append(c.Others, directory.StoredRecord{
			Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Removed: r.GetRemoved(),
		})
	}
	return c
}

func encodeReplicaChanges(c *directory.ReplicaChanges, now time.Time) *pb.ReplicaChangesResponse {
	m := &pb.ReplicaChangesResponse{
		Revision: c.Revision, Changes: make([]*pb.ReplicaChange, 0, len(c.Changes)), Listing: c.Listing, ReplicaIds: c.Replicas,
	}
	for i := range c.Changes {
		change := &c.Changes[i]
		r := &change.Replica
		p := &pb.ReplicaChange{Id: r.ID, Revision: change.Revision, Removed: change.Removed}
		if !change.Removed {
			p.Service, p.Address, p.DataCentre, p.Version = r.Service, r.Address, r.DataCentre, r.Version
			p.Slots, p.Draining, p.Incarnation = uint32(max(r.Slots, 0)), r.Draining, r.Incarnation
			p.ColdUs = microseconds(r.ColdUntil.Sub(now))
		}
		m.Changes = append(m.Changes, p)
	}
	return m
}

// decodeReplicaChanges decodes changes that arrived now.
func decodeReplicaChanges(m *pb.ReplicaChangesResponse, now time.Time) directory.ReplicaChanges {
	c := directory.ReplicaChanges{Revision: m.GetRevision(), Listing: m.GetListing(), Replicas: m.GetReplicaIds()}
	for _, p := range m.GetChanges() {
		r := registry.Replica{
			ID: p.GetId(), Service: p.GetService(), Address: p.GetAddress(), DataCentre: p.GetDataCentre(), Version: p.GetVersion(),
			Slots: int(min(p.GetSlots(), math.MaxInt32)), Draining: p.GetDraining(), Incarnation: p.GetIncarnation(),
		}
		if cold := duration(p.GetColdUs()); cold > 0 {
			r.ColdUntil = now.Add(cold)
		}
		c.Changes = append(c.Changes, registry.Change{Replica: r, Revision: p.GetRevision(), Removed: p.GetRemoved()})
	}
	return c
}
