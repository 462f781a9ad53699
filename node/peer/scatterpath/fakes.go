package scatterpath

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/entry"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/policy/config"
)

// oneOwner is a fleet in which one node owns every replica.
type oneOwner struct {
	peer.Fleet
	index  *config.Index
	self   fleet.Member
	owners []fleet.Member
}

func (f *oneOwner) Index() *config.Index                   { return f.index }
func (f *oneOwner) Owners(*config.Replica) []fleet.Member  { return f.owners }
func (f *oneOwner) MayUseCold(*config.Replica) bool        { return true }
func (f *oneOwner) OwnersPerReplica(r *config.Replica) int { return 1 }
func (f *oneOwner) Self() fleet.Member                     { return f.self }
func (f *oneOwner) Revision() uint64                       { return 1 }
func (f *oneOwner) Ready() (bool, string)                  { return true, "" }
func (f *oneOwner) ReportCallFailure(string)               {}
func (f *oneOwner) Receive(*pb.Envelope) error             { return nil }

func (f *oneOwner) Envelope() *pb.Envelope {
	return &pb.Envelope{Fleet: "rift", Protocol: 1, Sender: f.self.Name, Boot: f.self.Boot, ConfigVersion: 7}
}

// instantBackend answers each call at once, or after a delay of half to one and a
// half times the given one.
type instantBackend struct {
	owner.Backend
	delay time.Duration
}

var instantResult = []byte(`{"shard":"timing-0001","digest":"0123456789abcdef"}`)

func (i instantBackend) Do(_ context.Context, call backend.Call) backend.Reply {
	if i.delay > 0 {
		time.Sleep(i.delay/2 + time.Duration(rand.Int64N(int64(i.delay))))
	}
	call.OnRelease()
	return backend.Reply{Evidence: pb.Evidence_EVIDENCE_RAN, Snapshot: 70_000, Generation: 3, Oldest: 69_990,
		Newest: 70_000, Incarnation: "i", Result: instantResult, Took: 4 * time.Millisecond}
}

func (instantBackend) Poll(context.Context, *config.Replica) backend.Reply {
	return backend.Reply{Evidence: pb.Evidence_EVIDENCE_NOT_RUN, Incarnation: "i", Oldest: 69_990, Newest: 70_000}
}
func (instantBackend) SetConnections(string, int) {}
func (instantBackend) Connections(string) int     { return 1 }

// newIndex returns one service of shards with one replica each.
func newIndex(shards int) (*config.Index, error) {
	gen := &pb.Generation{Id: 3, FirstSnapshot: 1}
	for i := range shards {
		name := fmt.Sprintf("timing-%04d", i)
		gen.Shards = append(gen.Shards, &pb.Shard{Name: name, Replicas: []*pb.Replica{{
			Name: name + "-a", DataCentre: "dc", Address: "127.0.0.1:1",
		}}})
	}
	return config.New(&pb.Configuration{Version: 7, Sheet: &pb.Sheet{
		DataCentres: []*pb.DataCentre{{Name: "dc"}},
		Services: []*pb.Service{{Name: "timing", Slots: 64, Connections: 64, ColdInFlight: 64, DefaultDeadlineMs: 20_000,
			MaxDeadlineMs: 20_000, Classes: []*pb.Class{{Name: "checkpoint"}}, Generations: []*pb.Generation{gen}}},
	}})
}

// meteredConn counts the bytes of both directions.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (m *meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.bytes.Add(int64(n))
	return n, err
}

func (m *meteredConn) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.bytes.Add(int64(n))
	return n, err
}

// countingPeers counts the messages that answer scatters.
type countingPeers struct {
	entry.Peers
	messages *atomic.Int64
}

func (p countingPeers) Scatter(ctx context.Context, to fleet.Member, req *pb.ScatterRequest, receive func(*pb.ScatterResponse)) ([]*pb.SubrequestResult, error) {
	return p.Peers.Scatter(ctx, to, req, func(resp *pb.ScatterResponse) {
		p.messages.Add(1)
		receive(resp)
	})
}
