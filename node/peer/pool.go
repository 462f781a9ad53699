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
	// keepaliveTime is the minimum that grpc-go allows. The pings between members detect
	// dead connections earlier.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// closeGrace is how long a replaced connection stays open for its calls to finish.
	closeGrace     = 5 * time.Second
	connectTimeout = time.Second
	maxBackoff     = time.Second
	// idleTimeout is the time after which an unused connection is closed. Without it, the
	// nodes of a large fleet would hold memory for a connection to every other node: some
	// 28 KB at the two ends of each, and a node of 750 has 749 peers. The
	// timeout is longer than a round of pings over the ping set, so connections to members
	// of the ping set stay open.
	idleTimeout = time.Minute
	// maxMessageBytes bounds a message between nodes. The largest ones carry the results
	// of one owner for a query.
	maxMessageBytes = 64 << 20
)

// ErrClosed is returned for calls after Pool.Close.
var ErrClosed = errors.New("peer connection pool is closed")

// Pool holds one connection to each peer. Safe for concurrent use.
type Pool struct {
	creds  credentials.TransportCredentials
	dialer Dialer

	// mu guards conns, replaced and closed.
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// replaced are the connections to close after closeGrace, with their timers.
	replaced map[*grpc.ClientConn]*time.Timer
	closed   bool
}

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool. Nil credentials mean no TLS, and a nil dialer means
// plain TCP connections.
func NewPool(creds credentials.TransportCredentials, dialer Dialer) *Pool {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	if dialer == nil {
		dialer = (&net.Dialer{}).DialContext
	}
	return &Pool{creds: creds, dialer: dialer, conns: make(map[string]*grpc.ClientConn), replaced: make(map[*grpc.ClientConn]*time.Timer)}
}

// client returns the gRPC stub for the peer at an address.
func (p *Pool) client(addr string) (peerv1.PeerClient, error) {
	conn, err := p.Connection(addr)
	if err != nil {
		return nil, err
	}
	return peerv1.NewPeerClient(conn), nil
}

// Connection returns the connection to the peer at an address. The connection may not be
// established yet.
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
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
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

// Replace makes the next call to a peer use a new connection. A network device between
// the ends, such as a firewall, can drop the state of a connection while new connections
// work; without Replace, a healthy peer then appears dead. Calls on the old connection
// have closeGrace to finish.
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

// withSent returns a context for one call, and a flag that is set when the headers of the
// call are queued on a connection, before its first message. While the flag is unset, the
// peer cannot have received a message of the call.
func withSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// sentHandler is a stats.Handler that sets the flag of withSent.
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
