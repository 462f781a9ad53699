package backend

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

var (
	errNoShare      = errors.New("the node has no share of the replica's connections")
	errClientClosed = errors.New("client is closed")
)

// pool holds the connections to one replica.
type pool struct {
	client  *Client
	name    string
	address string
	h2      bool

	// mu guards the fields below and the marked fields of conn.
	mu sync.Mutex
	// limit is the node's share of the replica's connections.
	limit int
	// closing connections count against the share until the backend server has
	// closed its end.
	closing  int
	dialling int
	conns    []*conn
	waiters  []waiter
	// slowestReply is a slowly decaying maximum of the reply times.
	slowestReply time.Duration
	// checking is set while a check for silent connections runs.
	checking bool
}

// conn is one connection of a pool.
type conn struct {
	netConn *netConn
	cc      *http.ClientConn

	// Guarded by pool.mu.
	inFlight int
	used     uint64
	lastUsed time.Time
	// lastID is the ID of the last request that the connection was granted for.
	lastID string
	closed bool
	silent bool
	// suspect connections are not used until a probe has been answered on them.
	suspect bool
	// serverIdleTimeout is how long the server keeps the connection open while it is
	// idle; 0 if not reported.
	serverIdleTimeout time.Duration
}

// waiter waits for a connection for the request with an ID, which may be empty.
type waiter struct {
	ready chan grant
	id    string
}

// grant passes a connection, or the reason why none is available, to a waiter.
type grant struct {
	conn *conn
	err  error
}

func acquireReason(ctx context.Context, err error) pb.Reason {
	switch {
	case errors.Is(err, errNoShare), errors.Is(err, errClientClosed):
		return pb.Reason_REASON_LIMIT
	case ctx.Err() != nil:
		return contextReason(ctx)
	}
	return pb.Reason_REASON_CONNECTION
}

func contextReason(ctx context.Context) pb.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pb.Reason_REASON_DEADLINE
	}
	return pb.Reason_REASON_CANCELLED
}

// acquire returns a connection for one exchange of the request with an ID, which may be empty.
// While the share is in use, exchanges wait in order of arrival. When acquire fails, nothing has
// been sent.
func (p *pool) acquire(ctx context.Context, id string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	if p.limit <= 0 {
		p.mu.Unlock()
		return nil, errNoShare
	}
	if len(p.waiters) == 0 {
		if cn := p.tryAcquireLocked(id); cn != nil {
			p.mu.Unlock()
			return cn, nil
		}
	}
	w := waiter{ready: make(chan grant, 1), id: id}
	p.waiters = append(p.waiters, w)
	p.grantLocked()
	p.dialLocked()
	p.mu.Unlock()
	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
		p.removeWaiter(w)
		return nil, ctx.Err()
	}
}

// removeWaiter removes a waiter and releases a connection granted in the meantime.
func (p *pool) removeWaiter(w waiter) {
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return
	}
	if g := <-w.ready; g.conn != nil {
		p.release(g.conn, true)
	}
}

// tryAcquireLocked returns the most recently used connection that suits the request with an ID,
// or nil if there is none. Preferring recently used connections lets surplus ones reach their
// idle timeout. tryAcquireLocked prunes the connections first.
func (p *pool) tryAcquireLocked(id string) *conn {
	p.pruneLocked()
	var best *conn
	for _, cn := range p.conns {
		if !p.hasCapacity(cn) || !cn.suits(id) {
			continue
		}
		if best == nil || cn.lastUsed.After(best.lastUsed) {
			best = cn
		}
	}
	if best != nil {
		best.inFlight++
		best.lastUsed = time.Now()
		best.lastID = id
	}
	return best
}

// hasCapacity reports whether a connection can carry another exchange. The caller holds p.mu.
func (p *pool) hasCapacity(cn *conn) bool {
	return !cn.suspect && cn.inFlight < p.maxInFlight()
}

// suits reports whether a connection may carry the request with an ID. A second copy of a reply
// may arrive in place of the next one. If the next request had the same ID, the copy would count
// as its reply, and a copied refusal as evidence that a request has not run although it has.
// The caller holds pool.mu.
func (cn *conn) suits(id string) bool { return id == "" || cn.lastID != id }

// closeUnsuitableLocked closes idle connections that suit no waiter, where the share leaves no
// room for others. grantLocked calls it: the connections that are idle then suit none.
func (p *pool) closeUnsuitableLocked() {
	if len(p.waiters) == 0 || len(p.conns)+p.dialling < p.maxOpenLocked() {
		return
	}
	unserved := len(p.waiters)
	p.conns = slices.DeleteFunc(p.conns, func(cn *conn) bool {
		if unserved == 0 || cn.inFlight > 0 || cn.suspect {
			return false
		}
		unserved--
		p.closeLocked(cn)
		return true
	})
}

func (p *pool) maxInFlight() int {
	if p.h2 {
		return streamsPerConnection
	}
	return 1
}

// pruneLocked removes connections that have failed, and idle ones that have timed
// out or exceed the share.
func (p *pool) pruneLocked() {
	now := time.Now()
	allowed := p.maxOpenLocked()
	kept := len(p.conns)
	p.conns = slices.DeleteFunc(p.conns, func(cn *conn) bool {
		idle := cn.inFlight == 0 && !cn.suspect
		surplus := idle && kept > allowed
		old := idle && now.Sub(cn.lastUsed) > cn.idleTimeout(p.client.opts.IdleTimeout)
		if !cn.closed && !surplus && !old && cn.cc.Err() == nil {
			return false
		}
		kept--
		p.closeLocked(cn)
		return true
	})
}

// idleTimeout returns how long the connection is kept while it is idle.
func (cn *conn) idleTimeout(clientTimeout time.Duration) time.Duration {
	if cn.serverIdleTimeout > 0 {
		return min(cn.serverIdleTimeout, clientTimeout)
	}
	return clientTimeout
}

// closeLocked closes a connection. The connection counts against the share until
// the backend server has closed its end too.
func (p *pool) closeLocked(cn *conn) {
	if cn.closed {
		return
	}
	cn.closed = true
	p.closing++
	// Close errors do not matter: the connection is not used again.
	_ = cn.cc.Close()
	_ = cn.netConn.Close()
	go func() {
		<-cn.netConn.peerClosed
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closing--
		p.dialLocked()
	}()
}

// maxOpenLocked returns how many connections may be open now: the share minus those
// closing, which the backend server still counts. While most or all are closing, a
// reserve of a third of the share, at least one connection, may be open; open and closing
// connections together stay within the share plus the reserve. With K owners of
// floor(L/(K+1)) connections each, where L is the backend server's connection limit, K is
// up to 3 and the share is at least 3, the total stays within L even if all connections
// are silent and the reserve is in use.
func (p *pool) maxOpenLocked() int {
	if p.limit <= 0 {
		return 0
	}
	reserve := max(1, p.limit/3)
	return max(0, p.limit-p.closing, min(reserve, p.limit+reserve-p.closing))
}

// dialLocked starts dials for the waiters as far as the share allows. HTTP/2
// waiters share one connection.
func (p *pool) dialLocked() {
	want := len(p.waiters)
	if p.h2 {
		want = min(want, 1)
	}
	for p.dialling < want && len(p.conns)+p.dialling < p.maxOpenLocked() {
		p.dialling++
		go p.dial()
	}
}

// dial opens one connection and grants it to the waiters in order.
func (p *pool) dial() {
	cn, err := p.connect()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling--
	if err != nil {
		p.failWaitersLocked(err)
		p.dialLocked()
		return
	}
	if p.limit <= 0 {
		p.closeLocked(cn)
		return
	}
	p.conns = append(p.conns, cn)
	p.grantLocked()
	p.dialLocked()
}

// connect opens a connection without adding it to the pool.
func (p *pool) connect() (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.client.opts.DialTimeout)
	defer cancel()
	transport := p.client.http1
	if p.h2 {
		transport = p.client.h2c
	}
	result := &dialResult{onDisconnect: func() { p.client.opts.OnDisconnect(p.name) }}
	cc, err := transport.NewClientConn(context.WithValue(ctx, dialResultKey{}, result), "http", p.address)
	if err != nil {
		p.client.stats.dialErrors.Add(1)
		return nil, errors.Wrap(err, "dial")
	}
	p.client.stats.dialled.Add(1)
	return &conn{netConn: result.conn, cc: cc, lastUsed: time.Now()}, nil
}

// failWaitersLocked passes a dial error to the first waiter, or under HTTP/2 to all
// waiters, since they share the dial.
func (p *pool) failWaitersLocked(err error) {
	n := min(1, len(p.waiters))
	if p.h2 {
		n = len(p.waiters)
	}
	for _, w := range p.waiters[:n] {
		w.ready <- grant{err: err}
	}
	p.waiters = slices.Delete(p.waiters, 0, n)
}

// grantLocked grants connections with capacity to the waiters that they suit, in order.
func (p *pool) grantLocked() {
	for i := 0; i < len(p.waiters) && slices.ContainsFunc(p.conns, p.hasCapacity); {
		cn := p.tryAcquireLocked(p.waiters[i].id)
		if cn == nil {
			i++
			continue
		}
		p.waiters[i].ready <- grant{conn: cn}
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.closeUnsuitableLocked()
}

// release returns a connection after an exchange, and closes it unless keep is set.
func (p *pool) release(cn *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.inFlight--
	if !keep {
		p.closeLocked(cn)
	}
	cn.lastUsed = time.Now()
	p.pruneLocked()
	p.grantLocked()
	p.dialLocked()
}

// open returns the number of usable connections.
func (p *pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneLocked()
	return len(p.conns)
}

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.pruneLocked()
	if n <= 0 {
		for _, w := range p.waiters {
			w.ready <- grant{err: errNoShare}
		}
		p.waiters = nil
		return
	}
	p.dialLocked()
}

// closeAll closes every connection, including those in use.
func (p *pool) closeAll() {
	p.setLimit(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.conns {
		p.closeLocked(cn)
		cn.netConn.closeNow()
	}
	p.conns = nil
}
