package fleet

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/membership"
)

// maxFuzzMessages bounds the messages read from one input.
const maxFuzzMessages = 32

// deaf answers no call.
type deaf struct{}

func (deaf) Gossip(context.Context, string, *pb.GossipRequest) (*pb.GossipResponse, error) {
	return nil, errUnreachable
}

func (deaf) Pull(context.Context, string, *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error) {
	return nil, errUnreachable
}

func (deaf) Get(context.Context, string) (Entry, error) { return Entry{}, errUnreachable }

func (deaf) Watch(context.Context, string, uint64) (Entry, error) { return Entry{}, errUnreachable }

func (deaf) VMs(context.Context) ([]membership.ListedVM, error) { return nil, errUnreachable }

func lonely() *Fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		Settings: &pb.Settings{Node: "self", Fleet: "test", DataCentre: "a", PeerAddress: "10.0.0.1:1"},
		Peers:    deaf{},
		Platform: deaf{},
		Boot:     7,
		Log:      log,
	})
}

func stream(messages ...*pb.GossipRequest) []byte {
	var out bytes.Buffer
	for _, m := range messages {
		_, _ = protodelim.MarshalTo(&out, m)
	}
	return out.Bytes()
}

func envelope(changes ...*pb.MemberChange) *pb.Envelope {
	return &pb.Envelope{Fleet: "test", Protocol: Protocol, Sender: "b", Boot: 9, ConfigVersion: 3, Changes: changes}
}

// FuzzGossip feeds a stream of any messages of the fleet to a node. It must stay
// a live member in its own eyes unless its boot is called gone, put no
// configuration in force, keep its table and its answers within their bounds,
// and take nothing from messages of another fleet or protocol.
//
// Long run: go test ./node/fleet -run NONE -fuzz FuzzGossip -fuzztime 10m
func FuzzGossip(f *testing.F) {
	dead := &pb.MemberChange{Node: "self", Boot: 7, Incarnation: 4, State: pb.MemberState_MEMBER_STATE_DEAD}
	other := &pb.MemberChange{Node: "b", Boot: 9, Incarnation: 1, State: pb.MemberState_MEMBER_STATE_ALIVE, DataCentre: "a", PeerAddress: "10.0.0.2:1"}
	goneAfter := proto.CloneOf(other)
	goneAfter.State = pb.MemberState_MEMBER_STATE_GONE
	twin := &pb.MemberChange{Node: "self", Boot: 8, Incarnation: 1, State: pb.MemberState_MEMBER_STATE_ALIVE}
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(dead, other)}))
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(other), Join: true}, &pb.GossipRequest{Envelope: envelope(goneAfter)}))
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(twin, other), Target: "b"}, &pb.GossipRequest{Target: "self"}))
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(&pb.MemberChange{Node: "c", State: 77})}))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := lonely()
		in := bytes.NewReader(data)
		for range maxFuzzMessages {
			req := &pb.GossipRequest{}
			if protodelim.UnmarshalFrom(in, req) != nil {
				return
			}
			checkGossip(t, n, req)
		}
	})
}

func checkGossip(t *testing.T, n *Fleet, req *pb.GossipRequest) {
	was := n.Self()
	members := len(n.Members())
	resp, err := n.HandleGossip(context.Background(), req)
	self := n.Self()
	foreign := req.GetEnvelope().GetFleet() != "test" || req.GetEnvelope().GetProtocol() != Protocol
	switch {
	case foreign && (err == nil || len(n.Members()) != members):
		t.Fatalf("message of another fleet or protocol was taken in: %v", req)
	case self.Name != "self" || !self.Usable():
		t.Fatalf("node is %v after %v", self, req)
	case self.Boot == was.Boot && self.Incarnation < was.Incarnation:
		t.Fatalf("incarnation fell from %d to %d after %v", was.Incarnation, self.Incarnation, req)
	case n.Index() != nil:
		t.Fatal("a message put a configuration in force")
	case len(n.Members()) > membership.DefaultParams().MaxMembers+1:
		t.Fatalf("%d members", len(n.Members()))
	case err == nil && !req.GetJoin() && len(resp.GetEnvelope().GetChanges()) > membership.DefaultParams().MaxChanges+2:
		t.Fatalf("answer carries %d changes", len(resp.GetEnvelope().GetChanges()))
	}
}
