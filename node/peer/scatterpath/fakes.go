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

// singleOwnerFleet is a fleet in which one node owns all replicas.
type singleOwnerFleet struct {
	peer.Fleet
	index  *config.Index
	self   fleet.Member
	owners []fleet.Member
}

func (f *singleOwnerFleet) Index() *config.Index                   { return f.index }
func (f *singleOwnerFleet) Owners(*config.Replica) []fleet.Member  { return f.owners }
func (f *singleOwnerFleet) MayUseCold(*config.Replica) bool        { return true }
func (f *singleOwnerFleet) OwnersPerReplica(r *config.Replica) int { return 1 }
func (f *singleOwnerFleet) Self() fleet.Member                     { return f.self }
func (f *singleOwnerFleet) Revision() uint64                       { return 1 }
func (f *singleOwnerFleet) Ready() (bool, string)                  { return true, "" }
func (f *singleOwnerFleet) ReportCallFailure(string)               {}
func (f *singleOwnerFleet) Receive(*pb.Envelope) error             { return nil }

func (f *singleOwnerFleet) Envelope() *pb.Envelope {
	return &pb.Envelope{Fleet: "rift", Protocol: 1, Sender: f.self.Name, Boot: f.self.Boot, ConfigVersion: 7}
}

// fakeBackend responds to each call after a random delay between 0.5 and 1.5 times delay.
type fakeBackend struct {
	owner.Backend
	delay time.Duration
}

var fakeResult = []byte(`{"shard":"timing-0001","digest":"0123456789abcdef"}`)

func (b fakeBackend) Do(_ context.Context, call backend.Call) backend.Reply {
	if b.delay > 0 {
		time.Sleep(b.delay/2 + time.Duration(rand.Int64N(int64(b.delay))))
	}
	call.OnRelease()
	return backend.Reply{Evidence: pb.Evidence_EVIDENCE_RAN, Snapshot: 70_000, Generation: 3, Oldest: 69_990,
		Newest: 70_000, Incarnation: "i", Result: fakeResult, Took: 4 * time.Millisecond}
}

func (fakeBackend) Poll(context.Context, *config.Replica) backend.Reply {
	return backend.Reply{Evidence: pb.Evidence_EVIDENCE_NOT_RUN, Incarnation: "i", Oldest: 69_990, Newest: 70_000}
}
func (fakeBackend) SetConnections(string, int) {}
func (fakeBackend) Connections(string) int     { return 1 }

// newIndex returns the configuration of one service with the given number of shards, each
// with one replica.
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

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingPeers counts the received response messages of Scatter calls.
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
