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

// maxFuzzMessages limits the messages read from one input.
const maxFuzzMessages = 32

// unreachableServices fails all calls to peers and to the platform.
type unreachableServices struct{}

func (unreachableServices) Gossip(context.Context, string, *pb.GossipRequest) (*pb.GossipResponse, error) {
	return nil, errUnreachable
}

func (unreachableServices) Pull(context.Context, string, *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error) {
	return nil, errUnreachable
}

func (unreachableServices) Get(context.Context, string) (Entry, error) {
	return Entry{}, errUnreachable
}

func (unreachableServices) Watch(context.Context, string, uint64) (Entry, error) {
	return Entry{}, errUnreachable
}

func (unreachableServices) VMs(context.Context) ([]membership.ListedVM, error) {
	return nil, errUnreachable
}

func newIsolatedNode() *Fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		Settings: &pb.Settings{Node: "self", Fleet: "test", DataCentre: "a", PeerAddress: "10.0.0.1:1"},
		Peers:    unreachableServices{},
		Platform: unreachableServices{},
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

// FuzzGossip sends a stream of arbitrary gossip requests to a node. The node must
// stay usable in its own table and put no configuration in force. Its incarnation
// must not decrease within a boot. Its table and its responses must stay within
// their limits, and messages of another fleet or protocol version must be rejected.
//
//	go test ./node/fleet -run NONE -fuzz FuzzGossip -fuzztime 10m
func FuzzGossip(f *testing.F) {
	dead := &pb.MemberChange{Node: "self", Boot: 7, Incarnation: 4, State: pb.MemberState_MEMBER_STATE_DEAD}
	other := &pb.MemberChange{Node: "b", Boot: 9, Incarnation: 1, State: pb.MemberState_MEMBER_STATE_ALIVE, DataCentre: "a", PeerAddress: "10.0.0.2:1"}
	goneChange := proto.CloneOf(other)
	goneChange.State = pb.MemberState_MEMBER_STATE_GONE
	otherBoot := &pb.MemberChange{Node: "self", Boot: 8, Incarnation: 1, State: pb.MemberState_MEMBER_STATE_ALIVE}
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(dead, other)}))
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(other), Join: true}, &pb.GossipRequest{Envelope: envelope(goneChange)}))
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(otherBoot, other), Target: "b"}, &pb.GossipRequest{Target: "self"}))
	f.Add(stream(&pb.GossipRequest{Envelope: envelope(&pb.MemberChange{Node: "c", State: 77})}))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newIsolatedNode()
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
	mismatched := req.GetEnvelope().GetFleet() != "test" || req.GetEnvelope().GetProtocol() != Protocol
	switch {
	case mismatched && (err == nil || len(n.Members()) != members):
		t.Fatalf("message of another fleet or protocol version was accepted: %v", req)
	case self.Name != "self" || !self.Usable():
		t.Fatalf("node is %v after %v", self, req)
	case self.Boot == was.Boot && self.Incarnation < was.Incarnation:
		t.Fatalf("incarnation decreased from %d to %d after %v", was.Incarnation, self.Incarnation, req)
	case n.Index() != nil:
		t.Fatal("a message put a configuration in force")
	case len(n.Members()) > membership.DefaultParams().MaxMembers+1:
		t.Fatalf("table has %d members", len(n.Members()))
	case err == nil && !req.GetJoin() && len(resp.GetEnvelope().GetChanges()) > membership.DefaultParams().MaxChanges+2:
		t.Fatalf("response contains %d changes", len(resp.GetEnvelope().GetChanges()))
	}
}
