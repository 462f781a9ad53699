// Package memnet stands in for TCP in tests of several nodes in one process. Its
// connections live in memory and use only the time package, so that a whole
// deployment runs in the virtual time of testing/synctest: a busy machine then
// changes no verdict. Links between hosts have a delay and can be cut.
//
// A connection over a cut link goes silent for good, also after the link is
// mended, as when something between the two ends has lost track of it; new
// connections work again.
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
	// firstPort is the first port that Listen draws for port 0.
	firstPort = 20000
	// backlog bounds the connections that wait for Accept.
	backlog = 1024
)

// Network is a set of hosts. Safe for concurrent use.
type Network struct {
	delay time.Duration

	// mu guards everything below.
	mu        sync.Mutex
	listeners map[string]*Listener
	port      int
	cuts      map[link]bool
}

// link is an unordered pair of hosts.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// New returns a network whose links take the given time one way.
func New(delay time.Duration) *Network {
	return &Network{
		delay:     delay,
		listeners: make(map[string]*Listener),
		port:      firstPort,
		cuts:      make(map[link]bool),
	}
}

// Cut cuts the link between two hosts.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[linkOf(a, b)] = true
}

// Restore ends a cut.
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

// Listen opens a port of a host. Addresses are IP numbers and ports; port 0
// draws a free one.
func (n *Network) Listen(host, address string) (*Listener, error) {
	tcp, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if tcp.Port == 0 {
		n.port++
		tcp.Port = n.port
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

// Dialer returns the function by which a host opens connections.
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
		// Nothing answers: the attempt ends with its own timeout.
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "dial "+address)
	}
	if err := n.travel(ctx); err != nil {
		return nil, errors.Wrap(err, "dial "+address)
	}
	if l == nil {
		return nil, refused(address)
	}
	client, server := n.pair(host, l)
	select {
	case <-l.closed:
		return nil, refused(address)
	case l.queue <- server:
		l.dropIfClosed()
		return client, nil
	default:
		return nil, refused(address)
	}
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
}

// travel waits for a round trip.
func (n *Network) travel(ctx context.Context) error {
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

// dropIfClosed ends the connections that a closed port has not accepted, as the
// kernel does; their callers would else wait for ever.
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
