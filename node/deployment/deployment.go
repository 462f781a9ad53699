package deployment

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/node"
	"github.com/carobmill/carobmill/node/peer"
	nodeplatform "github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/policy/configstate"
	"github.com/carobmill/carobmill/policy/sheet"
	"github.com/carobmill/carobmill/standin/backend"
	"github.com/carobmill/carobmill/standin/memnet"
	"github.com/carobmill/carobmill/standin/platform"
)

const (
	loopback = "127.0.0.1:0"
	// publishCallsPerSecond limits the calls that Publish makes to the platform.
	publishCallsPerSecond = 100
	publisher             = "deployment"
	readyTimeout          = 60 * time.Second
	conditionPollInterval = 10 * time.Millisecond
)

// Options configures a deployment.
type Options struct {
	// Sheet is the sheet to publish. The addresses of its replicas are overwritten.
	Sheet *pb.Sheet
	// NodesPerDataCentre is the number of nodes in each data centre. The default is 2.
	NodesPerDataCentre int
	// KeepAddresses makes the backend servers listen at the addresses in the sheet.
	// PlatformAddress is the listen address of the platform; the default is a free
	// port. Both are for nodes that run in separate processes.
	KeepAddresses   bool
	PlatformAddress string
	// Backend, if set, changes the options of each backend server before it starts.
	Backend func(o *backend.Options)
	// Settings, if set, changes the settings of each node before it starts.
	Settings func(s *pb.Settings)
	// Wrappers are applied to each node.
	Wrappers node.Wrappers
	Log      logrus.FieldLogger
	// Network replaces loopback TCP, for tests in virtual time. Its hosts are the data
	// centres, PlatformHost and CallerHost.
	Network *memnet.Network
}

// Hosts of Options.Network besides the data centres.
const (
	PlatformHost = "platform"
	CallerHost   = "callers"
)

// Deployment is a running deployment.
type Deployment struct {
	Options
	Platform *platform.Server
	// PlatformURL is the base URL of the platform stand-in.
	PlatformURL string
	// Backends holds the backend servers by replica name.
	Backends map[string]*backend.Server
	Nodes    []*Node

	client *nodeplatform.Client
	// transport is used by callers and by Publish.
	transport *http.Transport
	version   uint64
}

// listen opens a listener on a host of the network, or on TCP without a network.
func (d *Deployment) listen(host, address string) (net.Listener, error) {
	if d.Network != nil {
		return d.Network.Listen(host, address)
	}
	return net.Listen("tcp", address)
}

// dialer returns the dial function of a host, or nil for TCP.
func (d *Deployment) dialer(host string) peer.Dialer {
	if d.Network == nil {
		return nil
	}
	return d.Network.Dialer(host)
}

// Start starts a deployment and waits until it is ready, see WaitReady.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	if o.NodesPerDataCentre == 0 {
		o.NodesPerDataCentre = defaultNodes
	}
	d := &Deployment{Options: o, Backends: make(map[string]*backend.Server)}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// StartStandins starts only the platform and the backend servers.
func StartStandins(o Options) (*Deployment, error) {
	d := &Deployment{Options: o, Backends: make(map[string]*backend.Server)}
	if err := d.startStandins(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startStandins() error {
	d.Platform = platform.New(platform.Options{})
	address := d.PlatformAddress
	if address == "" {
		address = loopback
	}
	l, err := d.listen(PlatformHost, address)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	d.PlatformURL = d.Platform.Serve(l)
	d.transport = http.DefaultTransport.(*http.Transport).Clone()
	if d.Network != nil {
		d.transport.DialContext = d.Network.Dialer(CallerHost)
	}
	d.client = nodeplatform.New(d.PlatformURL, publishCallsPerSecond, d.transport)
	return d.startBackends()
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.startStandins(); err != nil {
		return err
	}
	if err := d.Publish(ctx, d.Sheet); err != nil {
		return err
	}
	if err := d.planNodes(); err != nil {
		return err
	}
	for _, n := range d.Nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	return d.WaitReady(ctx)
}

// Publish publishes a sheet as the next configuration version.
func (d *Deployment) Publish(ctx context.Context, s *pb.Sheet) error {
	configuration, err := sheet.Compile(s, d.version+1, uuid.NewString(), publisher)
	if err != nil {
		return err
	}
	value, err := proto.Marshal(configuration)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	key := configstate.Key(s.GetFleet())
	var revision uint64
	if d.version > 0 {
		entry, err := d.client.Get(ctx, key)
		if err != nil {
			return errors.Wrap(err, "read the published configuration")
		}
		revision = entry.Revision
	}
	if _, err := d.client.CompareAndSwap(ctx, key, revision, value); err != nil {
		return errors.Wrap(err, "publish configuration")
	}
	d.version++
	return nil
}

// Version returns the last published configuration version.
func (d *Deployment) Version() uint64 { return d.version }

// WaitReady waits until every running node is ready and every replica in service has an
// owner with a concurrency limit above zero. The nodes of a new fleet need a few seconds to
// agree on the owners.
func (d *Deployment) WaitReady(ctx context.Context) error {
	if err := Wait(ctx, readyTimeout, d.unready); err != nil {
		return err
	}
	return Wait(ctx, readyTimeout, func() string { return d.unowned(ctx) })
}

// unowned names a replica in service for which no owner has a concurrency limit above zero.
// The result is empty if there is none.
func (d *Deployment) unowned(ctx context.Context) string {
	usable := make(map[string]bool)
	for _, n := range d.Nodes {
		if !n.Running() {
			continue
		}
		for _, owned := range n.NodeStatus(ctx, false)[0].GetOwned() {
			if owned.GetNews().GetLimit() > 0 {
				usable[owned.GetReplica()] = true
			}
		}
	}
	for name := range d.Backends {
		if !usable[name] && d.inService(name) {
			return "no owner of replica " + name + " has a concurrency limit above zero"
		}
	}
	return ""
}

// inService reports whether a replica is in service in the configuration of the first
// running node that has one.
func (d *Deployment) inService(replica string) bool {
	for _, n := range d.Nodes {
		if index := n.Index(); n.Running() && index != nil {
			r := index.Replicas[replica]
			return r != nil && r.InService
		}
	}
	return false
}

// unready returns the name of a running node that is not ready, with the reason. The result
// is empty if all running nodes are ready.
func (d *Deployment) unready() string {
	for _, n := range d.Nodes {
		if !n.Running() {
			continue
		}
		if ready, reason := n.Ready(); !ready {
			return n.Settings.GetNode() + ": " + reason
		}
	}
	return ""
}

// Wait polls pending until it returns an empty string. After the timeout, or when ctx is
// cancelled, Wait returns an error with the last result of pending.
func Wait(ctx context.Context, timeout time.Duration, pending func() string) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(conditionPollInterval)
	defer ticker.Stop()
	for {
		reason := pending()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("condition not met within %s: %s", timeout, reason)
		case <-ticker.C:
		}
	}
}

// Close shuts down all nodes gracefully at the same time and then closes the stand-ins.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.cancel()
	}
	for _, n := range d.Nodes {
		n.running.Wait()
		if n.ports != nil {
			n.ports.Close()
		}
	}
	for _, server := range d.Backends {
		server.Close()
	}
	if d.transport != nil {
		d.transport.CloseIdleConnections()
	}
	if d.Platform != nil {
		_ = d.Platform.Close()
	}
}
