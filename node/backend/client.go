package backend

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Client sends attempts to backend servers. It is safe for concurrent use.
type Client struct {
	opts  Options
	http1 *http.Transport
	h2c   *http.Transport
	stats stats

	// mu guards the maps.
	mu     sync.Mutex
	pools  map[string]*pool
	shares map[string]int
}

// Stats counts events since the client was created.
type Stats struct {
	// Dialled connections and failed dials.
	Dialled, DialErrors uint64
	// SilentClosed connections received no data while others worked.
	SilentClosed uint64
	// CancelledClosed counts cancelled HTTP/1.1 exchanges that ended without a
	// result, mostly because the connection was closed after CancelGrace.
	// CancelledFinished counts cancelled exchanges whose result still arrived.
	CancelledClosed, CancelledFinished uint64
	// Mismatched replies belonged to another attempt, snapshot, generation or
	// shard, or were missing from a batch.
	Mismatched uint64
	// BytesIn and BytesOut on connections to backend servers.
	BytesIn, BytesOut uint64
	// Batches written, with BatchItems subrequests in total.
	Batches, BatchItems uint64
	// LoadRejected counts load reports that were not valid.
	LoadRejected uint64
}

type stats struct {
	dialled, dialErrors, silentClosed, cancelledClosed, cancelledFinished, mismatched atomic.Uint64
	batches, batchItems, bytesIn, bytesOut, loadRejected                              atomic.Uint64
}

// New returns a client. It opens no connections to a replica before SetConnections.
func New(opts Options) *Client {
	c := &Client{
		opts:   opts.withDefaults(),
		pools:  make(map[string]*pool),
		shares: make(map[string]int),
	}
	c.http1 = c.transport(func(p *http.Protocols) { p.SetHTTP1(true) })
	c.h2c = c.transport(func(p *http.Protocols) { p.SetUnencryptedHTTP2(true) })
	return c
}

func (c *Client) transport(set func(*http.Protocols)) *http.Transport {
	protocols := new(http.Protocols)
	set(protocols)
	return &http.Transport{
		DialContext:            c.dialNetConn,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: defaultSendPingTimeout,
			PingTimeout:     c.opts.ProbeTimeout,
		},
	}
}

// dialResultKey is the context key of a *dialResult.
type dialResultKey struct{}

// dialResult receives the connection that dialNetConn opens, and holds the
// callback for when the peer closes that connection.
type dialResult struct {
	conn         *netConn
	onDisconnect func()
}

func (c *Client) dialNetConn(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := c.opts.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	result, ok := ctx.Value(dialResultKey{}).(*dialResult)
	if !ok {
		return inner, nil
	}
	// The rest of a valid reply is discarded, since the peer then closes in an orderly way.
	maxDrain := c.opts.MaxResultBytes + maxResponseHeaderBytes
	result.conn = newNetConn(inner, c.opts.CloseTimeout, maxDrain, result.onDisconnect, &c.stats)
	return result.conn, nil
}

// SetConnections sets the node's share of the replica's connections. Surplus
// connections are closed as soon as they are idle. With 0, every call is refused
// as not run.
func (c *Client) SetConnections(replica string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares[replica] = n
	if p := c.pools[replica]; p != nil {
		p.setLimit(n)
	}
}

// Connections returns the number of open connections to the replica.
func (c *Client) Connections(replica string) int {
	c.mu.Lock()
	p := c.pools[replica]
	c.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.open()
}

// Forget closes the replica's connections once they are idle and removes the
// replica's state.
func (c *Client) Forget(replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.shares, replica)
	if p := c.pools[replica]; p != nil {
		p.setLimit(0)
		delete(c.pools, replica)
	}
}

// Close closes all connections, including those with an exchange in flight.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.pools {
		p.closeAll()
		delete(c.pools, name)
	}
	clear(c.shares)
}

// Stats returns the current counts.
func (c *Client) Stats() Stats {
	return Stats{
		Dialled:           c.stats.dialled.Load(),
		DialErrors:        c.stats.dialErrors.Load(),
		SilentClosed:      c.stats.silentClosed.Load(),
		CancelledClosed:   c.stats.cancelledClosed.Load(),
		CancelledFinished: c.stats.cancelledFinished.Load(),
		Mismatched:        c.stats.mismatched.Load(),
		BytesIn:           c.stats.bytesIn.Load(),
		BytesOut:          c.stats.bytesOut.Load(),
		Batches:           c.stats.batches.Load(),
		BatchItems:        c.stats.batchItems.Load(),
		LoadRejected:      c.stats.loadRejected.Load(),
	}
}

// Report passes the counts and the number of open connections to a metrics source.
func (c *Client) Report(set func(name string, value float64)) {
	s := c.Stats()
	for name, value := range map[string]uint64{
		"backend_dials":                 s.Dialled,
		"backend_dial_errors":           s.DialErrors,
		"backend_connections_condemned": s.SilentClosed,
		"backend_losers_closed":         s.CancelledClosed,
		"backend_losers_finished":       s.CancelledFinished,
		"backend_replies_mismatched":    s.Mismatched,
		"backend_bytes_in":              s.BytesIn,
		"backend_bytes_out":             s.BytesOut,
		"backend_batches":               s.Batches,
		"backend_batch_items":           s.BatchItems,
		"load_reports_rejected":         s.LoadRejected,
	} {
		set(name, float64(value))
	}
	c.mu.Lock()
	pools := slices.Collect(maps.Values(c.pools))
	c.mu.Unlock()
	open := 0
	for _, p := range pools {
		open += p.open()
	}
	set("backend_connections", float64(open))
}

// pool returns the replica's pool. If the address or protocol has changed, it
// creates a new pool, since the name may now belong to another backend server.
func (c *Client) pool(r *config.Replica) *pool {
	h2 := r.Service != nil && r.Service.Spec.GetProtocol() == pb.Protocol_PROTOCOL_H2C
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[r.Name]
	if p != nil && p.address == r.Address && p.h2 == h2 {
		return p
	}
	if p != nil {
		p.setLimit(0)
	}
	p = &pool{client: c, name: r.Name, address: r.Address, h2: h2, limit: c.shares[r.Name]}
	c.pools[r.Name] = p
	return p
}

// maxConnsPerAttempt limits how many connections an attempt acquires one after the
// other when each fails before the request is written.
const maxConnsPerAttempt = 3

// Do sends one attempt and returns as soon as ctx ends. It never sends the
// attempt twice: it uses another connection only if nothing was written to the
// previous one.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	path := pathQuery
	if call.Execute {
		path = pathExecute
	}
	onRelease := call.OnRelease
	if onRelease == nil {
		onRelease = func() {}
	}
	return c.attempt(ctx, call, http.MethodPost, path, onRelease)
}

// Poll requests the replica's state. The reply holds no result.
func (c *Client) Poll(ctx context.Context, r *config.Replica) Reply {
	return c.attempt(ctx, Call{Replica: r}, http.MethodGet, pathStatus, func() {})
}

func (c *Client) attempt(ctx context.Context, call Call, method, path string, onRelease func()) Reply {
	p := c.pool(call.Replica)
	var reply Reply
	for range maxConnsPerAttempt {
		begin := time.Now()
		// Attempts have IDs of their own, so that any connection suits.
		cn, err := p.acquire(ctx, "")
		if err != nil {
			onRelease()
			return notRun(acquireReason(ctx, err))
		}
		if call.Execute && !p.verifyAlive(ctx, cn) {
			reply = notRun(pb.Reason_REASON_CONNECTION)
			continue
		}
		queued := time.Since(begin)
		if call.Gate != nil && !call.Gate() {
			p.release(cn, true)
			onRelease()
			return notRun(pb.Reason_REASON_COLD)
		}
		ex := newExchange(p, cn, &call, method, path)
		var stale bool
		reply, stale = ex.run(ctx, onRelease)
		reply.Queued += queued
		if !stale {
			return reply
		}
	}
	onRelease()
	reply.Reason = pb.Reason_REASON_CONNECTION
	return reply
}
