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

// issueCertificate returns the settings of a new certificate issued by an authority.
func issueCertificate(c *qt.C, a *authority.Authority) *pb.Tls {
	files, err := a.Issue(c.TempDir())
	c.Assert(err, qt.IsNil)
	return files
}

func newAuthority(c *qt.C) *authority.Authority {
	a, err := authority.New()
	c.Assert(err, qt.IsNil)
	return a
}

// fakeNode is a node that accepts only messages of the fleet "f".
type fakeNode struct{ peer.Fleet }

func (fakeNode) Envelope() *pb.Envelope { return &pb.Envelope{Fleet: "f", Protocol: fleet.Protocol} }

func (fakeNode) Receive(env *pb.Envelope) error {
	if env.GetFleet() != "f" || env.GetProtocol() != fleet.Protocol {
		return &fleet.NameMismatchError{Fleet: env.GetFleet()}
	}
	return nil
}

func (fakeNode) NodeStatus(context.Context, bool) []*pb.NodeStatus {
	return []*pb.NodeStatus{{Node: "a", ConfigVersion: 7}}
}

func serve(c *qt.C, creds credentials.TransportCredentials) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := peer.NewServer(fakeNode{}, nil, fakeNode{}, creds)
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

// Guards against a failed status request when a terminated VM is still at the head of the
// VM list and the next one is leaving: the client contacts the next live VM.
func TestUnreachableAndLeavingVMsAreSkipped(t *testing.T) {
	c := qt.New(t)
	vms := vmList{
		{Name: "terminated", PeerAddress: "127.0.0.1:1"},
		{Name: "leaving", PeerAddress: serve(c, nil), Leaving: true},
		{Name: "a", PeerAddress: serve(c, nil)},
	}
	nodes, err := statusclient.NewPeers("f", vms, nil).Status(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(nodes[0].GetConfigVersion(), qt.Equals, uint64(7))
	_, err = statusclient.NewPeers("other", vms, nil).Status(t.Context())
	c.Assert(err, qt.ErrorMatches, `.*message of another fleet "other".*`)
	_, err = statusclient.NewPeers("f", vms[:2], nil).Status(t.Context())
	c.Assert(err, qt.ErrorMatches, `request status from 127.0.0.1:1: .*`)
}

// With mutual TLS, a node rejects a client without a certificate of the fleet's authority,
// and a client rejects a node without one.
func TestOnlyCertificatesOfFleetAuthorityAreAccepted(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	node := credentialsOf(c, issueCertificate(c, ours))
	request := func(client, server credentials.TransportCredentials) error {
		vms := vmList{{Name: "a", PeerAddress: serve(c, server)}}
		_, err := statusclient.NewPeers("f", vms, client).Status(t.Context())
		return err
	}
	c.Assert(request(credentialsOf(c, issueCertificate(c, ours)).Client, node.Server), qt.IsNil)
	c.Assert(request(nil, node.Server), qt.IsNotNil)
	c.Assert(request(credentialsOf(c, issueCertificate(c, theirs)).Client, node.Server), qt.IsNotNil)
	c.Assert(request(node.Client, credentialsOf(c, issueCertificate(c, theirs)).Server), qt.IsNotNil)
	c.Assert(request(node.Client, nil), qt.IsNotNil)
}
