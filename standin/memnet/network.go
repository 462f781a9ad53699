// Package memnet is an in-memory replacement for TCP in tests that run several nodes
// in one process. Its connections use only the time package, so a whole deployment
// runs in the virtual time of testing/synctest and test results do not depend on CPU
// load. Links between hosts have a delay and can be cut.
//
// A connection that sends over a cut link is blackholed: it drops all data
// permanently, also after the link is restored, as after a middlebox loses its state.
// New connections work after the link is restored.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// portBase is the port number below the ports that the network assigns.
	portBase = 20000
	// backlog limits the connections that wait for Accept.
	backlog = 1024
)

// Network is a set of hosts. Safe for concurrent use.
type Network struct {
	delay time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	listeners map[string]*Listener
	// lastPort is the last port that the network assigned.
	lastPort int
	cuts     map[link]bool
}

// link is an unordered pair of hosts.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// New returns a network whose links have the given one-way delay.
func New(delay time.Duration) *Network {
	return &Network{
		delay:     delay,
		listeners: make(map[string]*Listener),
		lastPort:  portBase,
		cuts:      make(map[link]bool),
	}
}

// Cut interrupts the link between two hosts.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[linkOf(a, b)] = true
}

// Restore restores the link between two hosts after a Cut.
func (n *Network) Restore(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, linkOf(a, b))
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[linkOf(a, b)]
}

// Listen opens a port on a host. The address is an IP address and a port; port 0
// assigns a port.
func (n *Network) Listen(host, address string) (*Listener, error) {
	tcp, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if tcp.Port == 0 {
		n.lastPort++
		tcp.Port = n.lastPort
	}
	if n.listeners[tcp.String()] != nil {
		return nil, errors.Errorf("listen %s: address is in use", tcp)
	}
	l := &Listener{
		network: n,
		host:    host,
		addr:    tcp,
		queue:   make(chan *Conn, backlog),
		closed:  make(chan struct{}),
	}
	n.listeners[tcp.String()] = l
	return l, nil
}

// Dialer returns a dial function for a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l != nil && n.isCut(host, l.host) {
		// A cut link drops the connection request, so the dial blocks until its
		// timeout.
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "dial "+address)
	}
	if err := n.waitRoundTrip(ctx); err != nil {
		return nil, errors.Wrap(err, "dial "+address)
	}
	if l == nil {
		return nil, connectionRefused(address)
	}
	client, server := n.pair(host, l)
	select {
	case <-l.closed:
		return nil, connectionRefused(address)
	case l.queue <- server:
		l.dropIfClosed()
		return client, nil
	default:
		return nil, connectionRefused(address)
	}
}

func connectionRefused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
}

// waitRoundTrip waits for one round trip.
func (n *Network) waitRoundTrip(ctx context.Context) error {
	timer := time.NewTimer(2 * n.delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Listener accepts connections at one address.
type Listener struct {
	network *Network
	host    string
	addr    *net.TCPAddr
	queue   chan *Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr.String())
		l.network.mu.Unlock()
		close(l.closed)
		l.dropIfClosed()
	})
	return nil
}

// dropIfClosed closes the connections that a closed listener has not accepted, as
// the kernel does. Otherwise their clients would wait forever.
func (l *Listener) dropIfClosed() {
	select {
	case <-l.closed:
	default:
		return
	}
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }
