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
	// publishCalls bounds the deployment's own calls to the platform a second.
	publishCalls  = 100
	publisher     = "deployment"
	readyTimeout  = 60 * time.Second
	conditionPoll = 10 * time.Millisecond
)

// Options of a deployment.
type Options struct {
	// Sheet to put into force. The addresses of its replicas are replaced.
	Sheet *pb.Sheet
	// NodesPerDataCentre defaults to 2.
	NodesPerDataCentre int
	// KeepAddresses lets the backend servers listen at the sheet's own addresses,
	// and PlatformAddress is where the platform listens; for nodes that run as
	// processes of their own.
	KeepAddresses   bool
	PlatformAddress string
	// Backend may change the stand-in of one replica before it starts.
	Backend func(o *backend.Options)
	// Settings may change the settings of one node before it starts.
	Settings func(s *pb.Settings)
	// Wrappers puts something between the parts of each node.
	Wrappers node.Wrappers
	Log      logrus.FieldLogger
	// Network replaces TCP on loopback, for tests in virtual time. Its hosts are
	// the data centres, and PlatformHost and CallerHost.
	Network *memnet.Network
}

// Hosts of a Network besides the data centres.
const (
	PlatformHost = "platform"
	CallerHost   = "callers"
)

// Deployment is a running deployment.
type Deployment struct {
	Options
	Platform *platform.Server
	// PlatformURL is where the platform's stand-in listens.
	PlatformURL string
	// Backends are the backend servers by replica.
	Backends map[string]*backend.Server
	Nodes    []*Node

	client *nodeplatform.Client
	// transport is that of callers and of the operator.
	transport *http.Transport
	version   uint64
}

// listen opens a port of a host.
func (d *Deployment) listen(host, address string) (net.Listener, error) {
	if d.Network != nil {
		return d.Network.Listen(host, address)
	}
	return net.Listen("tcp", address)
}

// dialer returns the function by which a host opens connections; nil is TCP.
func (d *Deployment) dialer(host string) peer.Dialer {
	if d.Network == nil {
		return nil
	}
	return d.Network.Dialer(host)
}

// Start brings a deployment up and waits until every node is ready.
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

// StartStandins starts the platform and the backend servers alone.
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
	d.client = nodeplatform.New(d.PlatformURL, publishCalls, d.transport)
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

// Publish puts a sheet into force as the next version.
func (d *Deployment) Publish(ctx context.Context, s *pb.Sheet) error {
	configuration, err := sheet.Compile(s, d.version+1, uuid.NewString(), publisher)
	if err != nil {
		return err
	}
	value, err := proto.Marshal(configuration)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	key := configstate.Key(s.GetFleet())
	var revision uint64
	if d.version > 0 {
		entry, err := d.client.Get(ctx, key)
		if err != nil {
			return errors.Wrap(err, "publish")
		}
		revision = entry.Revision
	}
	if _, err := d.client.CompareAndSwap(ctx, key, revision, value); err != nil {
		return errors.Wrap(err, "publish")
	}
	d.version++
	return nil
}

// Version returns the configuration version published last.
func (d *Deployment) Version() uint64 { return d.version }

// WaitReady waits until every started node is ready and every replica in service
// has an owner that may use it: a fresh fleet takes some seconds to agree on who
// that is.
func (d *Deployment) WaitReady(ctx context.Context) error {
	if err := Wait(ctx, readyTimeout, d.unready); err != nil {
		return err
	}
	return Wait(ctx, readyTimeout, func() string { return d.unowned(ctx) })
}

// unowned names a replica that no owner may use yet; empty when there is none.
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
			return "no owner may use " + name + " yet"
		}
	}
	return ""
}

// inService reports whether the nodes' configuration has a replica in service.
func (d *Deployment) inService(replica string) bool {
	for _, n := range d.Nodes {
		if index := n.Index(); n.Running() && index != nil {
			r := index.Replicas[replica]
			return r != nil && r.InService
		}
	}
	return false
}

// unready names a node that is not ready and why; empty when all are.
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

// Wait polls until missing returns the empty string; otherwise the error holds
// what it returned last.
func Wait(ctx context.Context, limit time.Duration, missing func() string) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(conditionPoll)
	defer ticker.Stop()
	for {
		reason := missing()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("not in %s: %s", limit, reason)
		case <-ticker.C:
		}
	}
}

// Close shuts the nodes down gracefully, all at once, and ends the stand-ins.
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
