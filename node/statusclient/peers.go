package statusclient

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/platform"
)

// sender is the sender name in the envelopes of status requests. The envelopes announce no
// member changes, so no node adds the sender as a member.
const sender = "carobmillctl"

// ErrNoVM is returned if the VM list is empty or contains only leaving VMs.
var ErrNoVM = errors.New("VM list is empty or all VMs are leaving")

// Peers requests the status from the peer listeners of the VMs on the platform's VM list.
// It tries the VMs in order until one responds, and tries that one first the next time:
// terminated VMs can stay at the head of the list for a long time. Not safe for concurrent
// use.
type Peers struct {
	fleet string
	vms   platform.VMList
	creds credentials.TransportCredentials
	// lastAddress is the address that responded to the last request.
	lastAddress string
}

// NewPeers returns a client of the nodes of a fleet. Nil credentials mean no TLS.
func NewPeers(fleet string, vms platform.VMList, creds credentials.TransportCredentials) *Peers {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Peers{fleet: fleet, vms: vms, creds: creds}
}

// Addresses is a fixed list of the peer addresses of nodes (IP address and port), in place
// of the platform's VM list.
type Addresses []string

// VMs returns a VM for each address. The error is always nil.
func (a Addresses) VMs(context.Context) ([]platform.VM, error) {
	list := make([]platform.VM, len(a))
	for i, address := range a {
		list[i].PeerAddress = address
	}
	return list, nil
}

// Status returns the status of every node in the member list of the first VM that responds.
// The error is ErrNoVM if the VM list is empty or contains only leaving VMs.
func (p *Peers) Status(ctx context.Context) ([]*pb.NodeStatus, error) {
	if p.lastAddress != "" {
		if nodes, err := p.fetch(ctx, p.lastAddress); err == nil {
			return nodes, nil
		}
	}
	vms, err := p.vms.VMs(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	err = ErrNoVM
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		var nodes []*pb.NodeStatus
		nodes, err = p.fetch(ctx, vm.PeerAddress)
		if err == nil {
			p.lastAddress = vm.PeerAddress
			return nodes, nil
		}
	}
	return nil, err
}

func (p *Peers) fetch(ctx context.Context, address string) ([]*pb.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxStatusBytes)))
	if err != nil {
		return nil, errors.Wrap(err, "create connection")
	}
	defer func() { _ = conn.Close() }()
	resp, err := peerv1.NewPeerClient(conn).Status(ctx, &pb.StatusRequest{
		Envelope: &pb.Envelope{Fleet: p.fleet, Protocol: fleet.Protocol, Sender: sender},
		Fleet:    true,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "request status from %s", address)
	}
	return resp.GetNodes(), nil
}
