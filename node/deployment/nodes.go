package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/node"
	"github.com/carobmill/carobmill/node/settings"
	"github.com/carobmill/carobmill/standin/platform"
)

const (
	// defaultNodes is the number of nodes in each data centre today.
	defaultNodes = 2
	// Shutdown times are short because no balancer stands in front.
	balancerLagMs  = 200
	drainTimeoutMs = 5000
	// Ports of nodes lie below the range of outgoing connections.
	firstPort = 20000
	portCount = 12000
	portTries = 100
)

// Node is one node of a deployment, which can be stopped, killed and started
// again.
type Node struct {
	*node.Node
	Settings *pb.Settings

	deployment *Deployment
	// ports are open from planning to the first start, so that nothing else
	// takes them meanwhile.
	ports   *node.Listeners
	cancel  context.CancelFunc
	running sync.WaitGroup
	started atomic.Bool
}

// planNodes writes the settings of all nodes and the platform's VM list.
func (d *Deployment) planNodes() error {
	var vms []platform.VM
	for _, dc := range d.Sheet.GetDataCentres() {
		for i := range d.NodesPerDataCentre {
			n, err := d.planNode(fmt.Sprintf("%s-vm%d", dc.GetName(), i+1), dc.GetName())
			if err != nil {
				return err
			}
			s := n.Settings
			d.Nodes = append(d.Nodes, n)
			vms = append(vms, platform.VM{
				Name:        s.GetNode(),
				DataCentre:  s.GetDataCentre(),
				PeerAddress: s.GetPeerAddress(),
			})
		}
	}
	d.Platform.SetVMs(vms)
	return nil
}

func (d *Deployment) planNode(name, dc string) (*Node, error) {
	ports, err := d.openPorts(dc)
	if err != nil {
		return nil, err
	}
	s := settings.WithDefaults(&pb.Settings{
		Node:          name,
		Fleet:         d.Sheet.GetFleet(),
		DataCentre:    dc,
		PlatformUrl:   d.PlatformURL,
		PeerAddress:   ports.Peer.Addr().String(),
		AdminAddress:  ports.Admin.Addr().String(),
		CallerAddress: ports.Caller.Addr().String(),
		Timing: &pb.Timing{
			BalancerLagMs:  proto.Uint32(balancerLagMs),
			DrainTimeoutMs: drainTimeoutMs,
		},
	})
	if d.Settings != nil {
		d.Settings(s)
	}
	return &Node{Settings: s, deployment: d, ports: ports, cancel: func() {}}, nil
}

func (d *Deployment) openPorts(dc string) (*node.Listeners, error) {
	l := &node.Listeners{}
	for _, into := range []*net.Listener{&l.Peer, &l.Admin, &l.Caller} {
		open, err := d.openPort(dc)
		if err != nil {
			l.Close()
			return nil, err
		}
		*into = open
	}
	return l, nil
}

// openPort opens a port below the range that the kernel gives to outgoing
// connections, so that a node that starts again finds its ports free.
func (d *Deployment) openPort(dc string) (net.Listener, error) {
	if d.Network != nil {
		return d.Network.Listen(dc, loopback)
	}
	var lastErr error
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "free port")
}

// Start starts the node, or starts it anew with a new boot.
func (n *Node) Start(ctx context.Context) error {
	d := n.deployment
	dc := n.Settings.GetDataCentre()
	started, err := node.NewWithWrappers(n.Settings, d.Log, d.dialer(dc), d.Wrappers)
	if err != nil {
		return err
	}
	n.Node = started
	ports := n.ports
	n.ports = nil
	if ports == nil {
		if ports, err = n.listen(dc); err != nil {
			return err
		}
	}
	ctx, n.cancel = context.WithCancel(ctx)
	n.started.Store(true)
	n.running.Go(func() {
		defer n.started.Store(false)
		if err := started.Serve(ctx, ports); err != nil {
			d.Log.WithError(err).Warn("node has ended")
		}
	})
	return nil
}

// listen opens the ports that the node had before.
func (n *Node) listen(dc string) (*node.Listeners, error) {
	l := &node.Listeners{}
	for address, into := range map[string]*net.Listener{
		n.Settings.GetPeerAddress():   &l.Peer,
		n.Settings.GetAdminAddress():  &l.Admin,
		n.Settings.GetCallerAddress(): &l.Caller,
	} {
		open, err := n.deployment.listen(dc, address)
		if err != nil {
			l.Close()
			return nil, errors.Wrap(err, "port of a restarted node")
		}
		*into = open
	}
	return l, nil
}

// Running reports whether the node runs, a graceful shutdown included.
func (n *Node) Running() bool { return n.started.Load() }

// Stop shuts the node down gracefully.
func (n *Node) Stop() {
	n.cancel()
	n.running.Wait()
}

// Kill ends the node at once, with everything in flight.
func (n *Node) Kill() {
	n.Abort()
	n.running.Wait()
}
