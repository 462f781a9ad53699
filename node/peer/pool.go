package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"github.com/carobmill/carobmill/api/peerv1"
)

const (
	// keepaliveTime is the shortest that grpc-go allows; silent connections
	// are found sooner, by the pings between members.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// closeGrace lets calls on a replaced connection end by themselves.
	closeGrace     = 5 * time.Second
	connectTimeout = time.Second
	maxBackoff     = time.Second
	// idleAfter closes a connection that no call has used for so long. It is longer
	// than a round of pings over a ping set, so that these keep their connections:
	// each holds some 28 KB at its two ends, and a node of 750 has 749 peers.
	idleAfter = time.Minute
	// maxMessage bounds a message between nodes: results of a whole owner's
	// part of a query.
	maxMessage = 64 << 20
)

// ErrClosed is returned after the pool was closed.
var ErrClosed = errors.New("peer pool is closed")

// Pool keeps one connection to each peer. Safe for concurrent use.
type Pool struct {
	creds  credentials.TransportCredentials
	dialer Dialer

	// mu guards conns, replaced and closed.
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// replaced connections are closed when their grace ends.
	replaced map[*grpc.ClientConn]*time.Timer
	closed   bool
}

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool; nil credentials mean no TLS, and a nil dialer
// TCP.
func NewPool(creds credentials.TransportCredentials, dialer Dialer) *Pool {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	if dialer == nil {
		dialer = (&net.Dialer{}).DialContext
	}
	return &Pool{creds: creds, dialer: dialer, conns: make(map[string]*grpc.ClientConn), replaced: make(map[*grpc.ClientConn]*time.Timer)}
}

// client returns the stub for a peer's address.
func (p *Pool) client(addr string) (peerv1.PeerClient, error) {
	conn, err := p.Connection(addr)
	if err != nil {
		return nil, err
	}
	return peerv1.NewPeerClient(conn), nil
}

// Connection returns the connection to a peer's address, which may still have to open.
func (p *Pool) Connection(addr string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if conn := p.conns[addr]; conn != nil {
		return conn, nil
	}
	conn, err := p.dial(addr)
	if err != nil {
		return nil, err
	}
	p.conns[addr] = conn
	return conn, nil
}

func (p *Pool) dial(addr string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithDisableRetry(),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return p.dialer(ctx, "tcp", address)
		}),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithIdleTimeout(idleAfter),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  50 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
	)
	return conn, errors.Wrapf(err, "connection to peer %s", addr)
}

// Replace makes the next call to a peer use a new connection. A connection whose
// pings go unanswered may have been forgotten by something between the two ends,
// while new ones work; waiting for it would make a healthy peer look dead. Calls
// on the old one get some time to end.
func (p *Pool) Replace(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[addr]
	if conn == nil {
		return
	}
	delete(p.conns, addr)
	p.replaced[conn] = time.AfterFunc(closeGrace, func() {
		p.mu.Lock()
		delete(p.replaced, conn)
		p.mu.Unlock()
		_ = conn.Close()
	})
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
	for conn, timer := range p.replaced {
		timer.Stop()
		_ = conn.Close()
	}
	clear(p.replaced)
}

type sentKey struct{}

// withSent returns a context for one call and the flag that tells whether its
// first bytes were handed to a connection. While the flag is unset the peer
// cannot have seen the call.
func withSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// sentHandler sets the flag of withSent.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, out := s.(*stats.OutHeader); !out {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
