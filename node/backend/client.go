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

// Client sends attempts to backend servers. Safe for concurrent use.
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

// Stats counts what happened to connections since the client was made.
type Stats struct {
	// Dialled connections and failed dials.
	Dialled, DialErrors uint64
	// SilentClosed connections went silent while others worked.
	SilentClosed uint64
	// CancelledClosed connections were given up because a cancelled exchange did not
	// finish in time; connections of CancelledFinished ones were kept.
	CancelledClosed, CancelledFinished uint64
	// Mismatched replies belonged to another attempt, snapshot or shard, or were
	// missing in a batch.
	Mismatched uint64
	// BytesIn and BytesOut crossed connections to backend servers.
	BytesIn, BytesOut uint64
	// Batches were written, with BatchItems subrequests.
	Batches, BatchItems uint64
}

type stats struct {
	dialled, dialErrors, condemned, closed, finished, mismatched atomic.Uint64
	batches, batchItems, bytesIn, bytesOut                       atomic.Uint64
}

// New makes a client. Replicas have no connections until SetConnections.
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
		DialContext:            c.dialWire,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: defaultPingAfter,
			PingTimeout:     c.opts.ProbeTimeout,
		},
	}
}

// wireKey is the context key of a wireSlot.
type wireKey struct{}

// wireSlot is where dialWire leaves a connection, and what it is told to call
// when the other end closes it.
type wireSlot struct {
	wire *wire
	lost func()
}

func (c *Client) dialWire(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := c.opts.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	slot, ok := ctx.Value(wireKey{}).(*wireSlot)
	if !ok {
		return inner, nil
	}
	slot.wire = newWire(inner, c.opts.CloseTimeout, slot.lost, &c.stats)
	return slot.wire, nil
}

// SetConnections sets the node's share of the replica's connections. Surplus
// connections are closed as soon as they are idle; with 0 every call is refused
// as not run.
func (c *Client) SetConnections(replica string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares[replica] = n
	if p := c.pools[replica]; p != nil {
		p.setLimit(n)
	}
}

// Connections returns the connections that are open to the replica.
func (c *Client) Connections(replica string) int {
	c.mu.Lock()
	p := c.pools[replica]
	c.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.open()
}

// Forget closes the replica's connections once they are idle and drops what is
// known about it.
func (c *Client) Forget(replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.shares, replica)
	if p := c.pools[replica]; p != nil {
		p.setLimit(0)
		delete(c.pools, replica)
	}
}

// Close closes every connection, also those with an exchange under way.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.pools {
		p.shut()
		delete(c.pools, name)
	}
	clear(c.shares)
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	return Stats{
		Dialled:           c.stats.dialled.Load(),
		DialErrors:        c.stats.dialErrors.Load(),
		SilentClosed:      c.stats.condemned.Load(),
		CancelledClosed:   c.stats.closed.Load(),
		CancelledFinished: c.stats.finished.Load(),
		Mismatched:        c.stats.mismatched.Load(),
		BytesIn:           c.stats.bytesIn.Load(),
		BytesOut:          c.stats.bytesOut.Load(),
		Batches:           c.stats.batches.Load(),
		BatchItems:        c.stats.batchItems.Load(),
	}
}

// Report gives the counts and the open connections to a metrics source.
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

// pool returns the replica's pool. A changed address or protocol starts a new
// one, since a name may move to another backend server.
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

// attemptsOnStale bounds how often Do takes another connection because the one
// it got was closed before anything was written.
const attemptsOnStale = 3

// Do carries one attempt. It returns as soon as ctx ends. It never sends the
// attempt twice: it takes another connection only after proof that nothing was
// written on the one before.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	path := pathQuery
	if call.Execute {
		path = pathExecute
	}
	settled := call.OnRelease
	if settled == nil {
		settled = func() {}
	}
	return c.attempt(ctx, call, http.MethodPost, path, settled)
}

// Poll asks the replica for its state. The reply holds no result.
func (c *Client) Poll(ctx context.Context, r *config.Replica) Reply {
	return c.attempt(ctx, Call{Replica: r}, http.MethodGet, pathStatus, func() {})
}

func (c *Client) attempt(ctx context.Context, call Call, method, path string, settled func()) Reply {
	p := c.pool(call.Replica)
	var reply Reply
	for range attemptsOnStale {
		begin := time.Now()
		cn, err := p.acquire(ctx)
		if err != nil {
			settled()
			return notRun(acquireReason(ctx, err))
		}
		if call.Execute && !p.prove(ctx, cn) {
			reply = notRun(pb.Reason_REASON_CONNECTION)
			continue
		}
		queued := time.Since(begin)
		if call.Gate != nil && !call.Gate() {
			p.release(cn, true)
			settled()
			return notRun(pb.Reason_REASON_COLD)
		}
		ex := newExchange(p, cn, &call, method, path)
		var stale bool
		reply, stale = ex.run(ctx, settled)
		reply.Queued += queued
		if !stale {
			return reply
		}
	}
	settled()
	reply.Reason = pb.Reason_REASON_CONNECTION
	return reply
}
