package statusclient_test

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/credentials"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/statusclient"
	"github.com/carobmill/carobmill/standin/authority"
)

// issue returns keys of an authority.
func issue(c *qt.C, a *authority.Authority) *pb.Tls {
	files, err := a.Issue(c.TempDir())
	c.Assert(err, qt.IsNil)
	return files
}

func newAuthority(c *qt.C) *authority.Authority {
	a, err := authority.New()
	c.Assert(err, qt.IsNil)
	return a
}

// oneNode is a node that takes in messages of the fleet "f" alone.
type oneNode struct{ peer.Fleet }

func (oneNode) Envelope() *pb.Envelope { return &pb.Envelope{Fleet: "f", Protocol: fleet.Protocol} }

func (oneNode) Receive(env *pb.Envelope) error {
	if env.GetFleet() != "f" || env.GetProtocol() != fleet.Protocol {
		return &fleet.NameMismatchError{Fleet: env.GetFleet()}
	}
	return nil
}

func (oneNode) NodeStatus(context.Context, bool) []*pb.NodeStatus {
	return []*pb.NodeStatus{{Node: "a", ConfigVersion: 7}}
}

func serve(c *qt.C, creds credentials.TransportCredentials) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := peer.NewServer(oneNode{}, nil, oneNode{}, creds)
	go func() { _ = server.Serve(l) }()
	c.Cleanup(server.Stop)
	return l.Addr().String()
}

func credentialsOf(c *qt.C, files *pb.Tls) peer.CredentialPair {
	pair, err := peer.Credentials(files)
	c.Assert(err, qt.IsNil)
	return pair
}

type vmList []platform.VM

func (l vmList) VMs(context.Context) ([]platform.VM, error) { return l, nil }

// A VM that is gone still stands at the head of the platform's list, and another
// is leaving. The operator's tool asks the next one that lives.
func TestUnreachableAndLeavingVMsAreSkipped(t *testing.T) {
	c := qt.New(t)
	vms := vmList{
		{Name: "gone", PeerAddress: "127.0.0.1:1"},
		{Name: "leaving", PeerAddress: serve(c, nil), Leaving: true},
		{Name: "a", PeerAddress: serve(c, nil)},
	}
	nodes, err := statusclient.NewPeers("f", vms, nil).Status(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(nodes[0].GetConfigVersion(), qt.Equals, uint64(7))
	_, err = statusclient.NewPeers("other", vms, nil).Status(t.Context())
	c.Assert(err, qt.ErrorMatches, `.*message of another fleet "other".*`)
	_, err = statusclient.NewPeers("f", vms[:2], nil).Status(t.Context())
	c.Assert(err, qt.ErrorMatches, `ask 127.0.0.1:1 for status: .*`)
}

// Nodes speak mutual TLS. Somebody without a certificate, or with one of another
// authority, learns nothing from them; a node with a foreign certificate is not
// believed either.
func TestOnlyCertificatesOfFleetAuthorityAreAccepted(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	node := credentialsOf(c, issue(c, ours))
	ask := func(client, server credentials.TransportCredentials) error {
		vms := vmList{{Name: "a", PeerAddress: serve(c, server)}}
		_, err := statusclient.NewPeers("f", vms, client).Status(t.Context())
		return err
	}
	c.Assert(ask(credentialsOf(c, issue(c, ours)).Client, node.Server), qt.IsNil)
	c.Assert(ask(nil, node.Server), qt.IsNotNil)
	c.Assert(ask(credentialsOf(c, issue(c, theirs)).Client, node.Server), qt.IsNotNil)
	c.Assert(ask(node.Client, credentialsOf(c, issue(c, theirs)).Server), qt.IsNotNil)
	c.Assert(ask(node.Client, nil), qt.IsNotNil)
}
