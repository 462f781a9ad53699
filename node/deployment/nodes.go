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
	// defaultNodes is the default number of nodes in each data centre.
	defaultNodes = 2
	// The shutdown times are short because the deployment has no balancer.
	balancerLagMs  = 200
	drainTimeoutMs = 5000
	// The ports of nodes lie below the ephemeral port range.
	firstPort    = 20000
	portCount    = 12000
	portAttempts = 100
)

// Node is a node of a deployment. It can be stopped, killed and restarted.
type Node struct {
	*node.Node
	Settings *pb.Settings

	deployment *Deployment
	// ports are the listeners that planNode opened for the first start. They stay open
	// until then, so that no other process binds the ports.
	ports   *node.Listeners
	cancel  context.CancelFunc
	running sync.WaitGroup
	started atomic.Bool
}

// planNodes creates the nodes with their settings and sets the platform's VM list.
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
	for _, listener := range []*net.Listener{&l.Peer, &l.Admin, &l.Caller} {
		open, err := d.openPort(dc)
		if err != nil {
			l.Close()
			return nil, err
		}
		*listener = open
	}
	return l, nil
}

// openPort opens a listener on a port below the ephemeral range. Otherwise an outgoing
// connection could use the port while the node restarts.
func (d *Deployment) openPort(dc string) (net.Listener, error) {
	if d.Network != nil {
		return d.Network.Listen(dc, loopback)
	}
	var lastErr error
	for range portAttempts {
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "find a free port")
}

// Start starts the node. A restarted node has a new boot ID.
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
			d.Log.WithError(err).Warn("node stopped with an error")
		}
	})
	return nil
}

// listen opens the ports in the node's settings again.
func (n *Node) listen(dc string) (*node.Listeners, error) {
	l := &node.Listeners{}
	for address, listener := range map[string]*net.Listener{
		n.Settings.GetPeerAddress():   &l.Peer,
		n.Settings.GetAdminAddress():  &l.Admin,
		n.Settings.GetCallerAddress(): &l.Caller,
	} {
		open, err := n.deployment.listen(dc, address)
		if err != nil {
			l.Close()
			return nil, errors.Wrap(err, "listen for a restarted node")
		}
		*listener = open
	}
	return l, nil
}

// Running reports whether the node is running. A node in graceful shutdown is running.
func (n *Node) Running() bool { return n.started.Load() }

// Stop shuts down the node gracefully and waits until it has stopped.
func (n *Node) Stop() {
	n.cancel()
	n.running.Wait()
}

// Kill stops the node immediately. Requests in flight are cut off.
func (n *Node) Kill() {
	n.Abort()
	n.running.Wait()
}
