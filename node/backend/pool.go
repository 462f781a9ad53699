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
	errNoShare = errors.New("the node has no share of the replica's connections")
	errShut    = errors.New("client is closed")
)

// pool holds the connections to one replica.
type pool struct {
	client  *Client
	name    string
	address string
	h2      bool

	// mu guards the fields below and those of conn that say so.
	mu sync.Mutex
	// limit is the node's share of the replica's connections.
	limit int
	// closing connections count against the share until the backend server has
	// closed its end.
	closing  int
	dialling int
	conns    []*conn
	waiters  []chan grant
	// slowest is a slowly falling maximum of the time that replies took.
	slowest time.Duration
	// examining is set while an examination for silent connections runs.
	examining bool
}

// conn is one connection of a pool.
type conn struct {
	wire *wire
	cc   *http.ClientConn

	// Guarded by pool.mu.
	inFlight int
	used     uint64
	lastUsed time.Time
	closed   bool
	silent   bool
	// suspect connections carry nothing until a probe has answered on them.
	suspect bool
	// idleFor is how long the server keeps the connection while it is idle; 0 when
	// it does not say.
	idleFor time.Duration
}

// grant hands a connection, or the reason why there is none, to a waiter.
type grant struct {
	conn *conn
	err  error
}

func acquireReason(ctx context.Context, err error) pb.Reason {
	switch {
	case errors.Is(err, errNoShare), errors.Is(err, errShut):
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

// acquire returns a connection for one exchange, waiting in order of arrival
// while the share is in use. Nothing has been sent when it fails.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	if p.limit <= 0 {
		p.mu.Unlock()
		return nil, errNoShare
	}
	if len(p.waiters) == 0 {
		if cn := p.takeLocked(); cn != nil {
			p.mu.Unlock()
			return cn, nil
		}
	}
	w := make(chan grant, 1)
	p.waiters = append(p.waiters, w)
	p.dialLocked()
	p.mu.Unlock()
	select {
	case g := <-w:
		return g.conn, g.err
	case <-ctx.Done():
		p.giveUp(w)
		return nil, ctx.Err()
	}
}

// giveUp removes a waiter; a connection that it was granted meanwhile goes back.
func (p *pool) giveUp(w chan grant) {
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return
	}
	if g := <-w; g.conn != nil {
		p.release(g.conn, true)
	}
}

// takeLocked returns the connection with room that was used last, so that
// surplus ones fall idle, or nil. Connections that the other end closed go.
func (p *pool) takeLocked() *conn {
	p.pruneLocked()
	var best *conn
	for _, cn := range p.conns {
		if cn.suspect || cn.inFlight >= p.room() {
			continue
		}
		if best == nil || cn.lastUsed.After(best.lastUsed) {
			best = cn
		}
	}
	if best != nil {
		best.inFlight++
		best.lastUsed = time.Now()
	}
	return best
}

func (p *pool) room() int {
	if p.h2 {
		return streamsPerConnection
	}
	return 1
}

// pruneLocked drops connections that have failed, and idle ones that are old
// or above the share.
func (p *pool) pruneLocked() {
	now := time.Now()
	allowed := p.allowedLocked()
	kept := len(p.conns)
	p.conns = slices.DeleteFunc(p.conns, func(cn *conn) bool {
		idle := cn.inFlight == 0 && !cn.suspect
		surplus := idle && kept > allowed
		old := idle && now.Sub(cn.lastUsed) > cn.keepFor(p.client.opts.IdleTimeout)
		if !cn.closed && !surplus && !old && cn.cc.Err() == nil {
			return false
		}
		kept--
		p.closeLocked(cn)
		return true
	})
}

// keepFor is how long the connection is kept while it is idle.
func (cn *conn) keepFor(own time.Duration) time.Duration {
	if cn.idleFor > 0 {
		return min(cn.idleFor, own)
	}
	return own
}

// closeLocked closes a connection; its place in the share is free again when
// the backend server has closed its end too.
func (p *pool) closeLocked(cn *conn) {
	if cn.closed {
		return
	}
	cn.closed = true
	p.closing++
	// The error of closing a connection that is given up tells nothing.
	_ = cn.cc.Close()
	_ = cn.wire.Close()
	go func() {
		<-cn.wire.ended
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closing--
		p.dialLocked()
	}()
}

// allowedLocked is how many connections may be open now: the share less those
// closing, which still count at the backend server. While all are closing, a
// reserve of a third can be opened, and no more until the server lets some go.
// With K owners of floor(limit/(K+1)) connections each and K up to 3, all of them
// silent and the reserve used is still within the limit.
func (p *pool) allowedLocked() int {
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
	for p.dialling < want && len(p.conns)+p.dialling < p.allowedLocked() {
		p.dialling++
		go p.dial()
	}
}

// dial opens one connection for whoever waits first when it is ready.
func (p *pool) dial() {
	cn, err := p.connect()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling--
	if err != nil {
		p.failLocked(err)
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

// connect opens a connection that is not in the pool yet.
func (p *pool) connect() (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.client.opts.DialTimeout)
	defer cancel()
	transport := p.client.http1
	if p.h2 {
		transport = p.client.h2c
	}
	slot := &wireSlot{lost: func() { p.client.opts.OnDisconnect(p.name) }}
	cc, err := transport.NewClientConn(context.WithValue(ctx, wireKey{}, slot), "http", p.address)
	if err != nil {
		p.client.stats.dialErrors.Add(1)
		return nil, errors.Wrap(err, "dial")
	}
	p.client.stats.dialled.Add(1)
	return &conn{wire: slot.wire, cc: cc, lastUsed: time.Now()}, nil
}

// failLocked tells the first waiter, or all that share the dial, that it failed.
func (p *pool) failLocked(err error) {
	n := min(1, len(p.waiters))
	if p.h2 {
		n = len(p.waiters)
	}
	for _, w := range p.waiters[:n] {
		w <- grant{err: err}
	}
	p.waiters = slices.Delete(p.waiters, 0, n)
}

func (p *pool) grantLocked() {
	for len(p.waiters) > 0 {
		cn := p.takeLocked()
		if cn == nil {
			return
		}
		p.waiters[0] <- grant{conn: cn}
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
}

// release gives a connection back after an exchange; unless keep, it is closed.
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
			w <- grant{err: errNoShare}
		}
		p.waiters = nil
		return
	}
	p.dialLocked()
}

// shut closes every connection, also those in use.
func (p *pool) shut() {
	p.setLimit(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.conns {
		p.closeLocked(cn)
		cn.wire.kill()
	}
	p.conns = nil
}
