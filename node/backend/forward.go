package backend

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// ForwardRequest is a caller's request on its way to one replica, byte for byte. It is used
// once.
type ForwardRequest struct {
	// Replica that it goes to; its name is the replica's ID.
	Replica *config.Replica
	// RequestID of the caller's request, which the reply has to repeat.
	RequestID string
	Method    string
	// Target is the request target as it was received, path and query.
	Target string
	Host   string
	// Header is shared between attempts and not changed.
	Header http.Header
	Body   []byte
	// Deadline ends the work; the replica is told what is left.
	Deadline time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// ended is set when nobody waits for the reply any more.
	ended bool
	// stop ends the wait for a connection; nil while there is none.
	stop context.CancelFunc
	// wire carries the exchange; nil before and after.
	wire *wire
	done bool
}

// ForwardReply is what came of a Forward.
type ForwardReply struct {
	// Status is 0 when there was no complete reply.
	Status   int
	Header   http.Header
	Body     []byte
	Metadata ReplyMetadata
	// Evidence states whether the request can have run.
	Evidence pb.Evidence
	Reason   pb.Reason
	// Took is the time from the write to the end of the reply.
	Took time.Duration
}

// ReplyMetadata is what a reply says beside its status and body.
type ReplyMetadata struct {
	// RequestID that the reply answers; empty when it does not say.
	RequestID string
	// NotRun is the replica's word that it did not run the request.
	NotRun bool
	// OtherReplica is set when the reply came from a replica that was not meant.
	OtherReplica bool
	// Signature proves that the reply is the replica's own.
	Signature string
}

// Dialect is the way in which backend servers speak beside plain HTTP.
type Dialect interface {
	// SetHeaders adds to a request's header for which replica it is meant and how long
	// its caller will wait.
	SetHeaders(h http.Header, replicaID string, left time.Duration)
	// Metadata reads what a reply says beside its status and body.
	Metadata(resp *http.Response) ReplyMetadata
}

// authorityPrefix begins a target whose first segment could be taken for an authority
// when it is printed; it is parsed instead.
const authorityPrefix = "//"

// Forward sends a request to a replica on one connection and returns its reply. It
// never sends it twice: it takes another connection only after proof that nothing was
// written on the one before.
func (c *Client) Forward(f *ForwardRequest, dialect Dialect) ForwardReply {
	p := c.pool(f.Replica)
	for range attemptsOnStale {
		cn, reason := p.acquireFor(f)
		if cn == nil {
			return ForwardReply{Reason: reason, Evidence: pb.Evidence_EVIDENCE_NOT_RUN}
		}
		reply, stale := p.forward(cn, f, dialect)
		if !stale {
			return reply
		}
	}
	return ForwardReply{Reason: pb.Reason_REASON_CONNECTION, Evidence: pb.Evidence_EVIDENCE_NOT_RUN}
}

// Cancel tells that nobody waits for the reply any more. A wait for a connection ends at
// once; an exchange may go on for linger, so that its connection can be kept, and is
// cut after that.
func (f *ForwardRequest) Cancel(linger time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done {
		return
	}
	f.ended = true
	switch {
	case f.stop != nil:
		f.stop()
	case f.wire == nil:
	case linger <= 0:
		f.wire.kill()
	default:
		time.AfterFunc(linger, f.cut)
	}
}

// cut ends the exchange that is still under way.
func (f *ForwardRequest) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wire != nil {
		f.wire.kill()
	}
}

// begin takes the connection for the exchange, unless nobody waits any more.
func (f *ForwardRequest) begin(w *wire) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return false
	}
	f.wire = w
	return true
}

// finish gives the connection back, and reports whether anybody waits for the reply.
func (f *ForwardRequest) finish(done bool) (awaited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wire = nil
	f.done = done
	return !f.ended
}

// waitContext returns the context of a wait for a connection.
func (f *ForwardRequest) waitContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Deadline)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		cancel()
	}
	f.stop = cancel
	return ctx, func() {
		f.mu.Lock()
		f.stop = nil
		f.mu.Unlock()
		cancel()
	}
}

// acquireFor returns a connection, or nil and the reason why there is none.
func (p *pool) acquireFor(f *ForwardRequest) (*conn, pb.Reason) {
	p.mu.Lock()
	if p.limit > 0 && len(p.waiters) == 0 {
		if cn := p.takeLocked(); cn != nil {
			p.mu.Unlock()
			return cn, 0
		}
	}
	p.mu.Unlock()
	ctx, cancel := f.waitContext()
	defer cancel()
	cn, err := p.acquire(ctx)
	if err != nil {
		return nil, acquireReason(ctx, err)
	}
	return cn, 0
}

// Reachable reports whether a connection to an address can be opened before ctx ends.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	conn, err := c.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// The connection has told what it was opened for.
	_ = conn.Close()
	return true
}

// forward carries one exchange on a connection. stale is set when the connection had
// been closed before anything was written.
func (p *pool) forward(cn *conn, f *ForwardRequest, dialect Dialect) (reply ForwardReply, stale bool) {
	if !f.begin(cn.wire) {
		p.release(cn, true)
		return ForwardReply{Reason: pb.Reason_REASON_CANCELLED, Evidence: pb.Evidence_EVIDENCE_NOT_RUN}, false
	}
	writes := cn.wire.written()
	sent := time.Now()
	resp, err := cn.cc.RoundTrip(f.request(p.address, dialect))
	if err != nil {
		return p.forwardFailed(cn, f, writes, sent)
	}
	reply = ForwardReply{Status: resp.StatusCode, Header: resp.Header, Metadata: dialect.Metadata(resp)}
	limit := p.client.opts.MaxResultBytes
	reply.Body, err = readBody(resp, limit+1)
	_ = resp.Body.Close()
	awaited := f.finish(true)
	reply.Took = time.Since(sent)
	// A late second answer to an earlier request would be taken for this one's, a
	// refusal among them for a true "not run"; so one without an ID fits nothing.
	misfit := reply.Metadata.RequestID != f.RequestID
	switch {
	case err != nil || int64(len(reply.Body)) > limit:
		p.release(cn, false)
		reason := pb.Reason_REASON_CONNECTION
		if !awaited {
			reason = pb.Reason_REASON_CANCELLED
		}
		// The status line alone proves nothing when the reply was cut.
		return failedForward(reason, reply.Took), false
	case misfit:
		// The connection's requests and replies are out of step.
		p.client.stats.mismatched.Add(1)
		p.release(cn, false)
		return failedForward(pb.Reason_REASON_MISMATCH, reply.Took), false
	}
	p.observe(reply.Took)
	p.learnIdleTimeout(cn, resp.Header)
	p.release(cn, !resp.Close)
	if reply.Metadata.NotRun || reply.Metadata.OtherReplica {
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	} else {
		reply.Evidence = pb.Evidence_EVIDENCE_RAN
	}
	return reply, false
}

func failedForward(reason pb.Reason, took time.Duration) ForwardReply {
	return ForwardReply{Reason: reason, Evidence: pb.Evidence_EVIDENCE_UNKNOWN, Took: took}
}

// forwardFailed judges an exchange without a reply and closes its connection.
func (p *pool) forwardFailed(cn *conn, f *ForwardRequest, writes uint64, sent time.Time) (ForwardReply, bool) {
	awaited := f.finish(false)
	reply := failedForward(pb.Reason_REASON_CONNECTION, time.Since(sent))
	if cn.wire.seal(writes) {
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	}
	silent := !heard(cn, sent)
	p.release(cn, false)
	if awaited {
		return reply, reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
	}
	reply.Reason = pb.Reason_REASON_CANCELLED
	if silent {
		p.closeUnheard(sent)
	}
	return reply, false
}

// closeUnheard closes idle connections that were opened before an exchange began that
// got no byte, and have received nothing since: where a middlebox has dropped its state, each
// of them would swallow one request. A replica that was only slow costs new connections.
func (p *pool) closeUnheard(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.conns[:0]
	for _, other := range p.conns {
		if other.inFlight == 0 && !other.suspect && other.wire.start.Before(since) && !heard(other, since) {
			p.closeLocked(other)
			continue
		}
		kept = append(kept, other)
	}
	clear(p.conns[len(kept):])
	p.conns = kept
	p.dialLocked()
}

// keepAliveMargin is taken off the idle time that a server states, so that a request
// does not cross its close.
const keepAliveMargin = time.Second

// learnIdleTimeout reads how long the server keeps an idle connection.
func (p *pool) learnIdleTimeout(cn *conn, h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			continue
		}
		idle := time.Duration(seconds) * time.Second
		p.mu.Lock()
		cn.idleFor = max(idle-keepAliveMargin, idle/2)
		p.mu.Unlock()
	}
}

// request builds one attempt. The target is passed on as it came: parsing and
// printing it again could change its escapes.
func (f *ForwardRequest) request(address string, dialect Dialect) *http.Request {
	req := new(http.Request)
	req.Method = f.Method
	req.URL = &url.URL{Scheme: "http", Host: address, Opaque: f.Target}
	if strings.HasPrefix(f.Target, authorityPrefix) {
		if parsed, err := url.ParseRequestURI(f.Target); err == nil {
			parsed.Scheme, parsed.Host = "http", address
			req.URL = parsed
		}
	}
	req.Host = f.Host
	req.Proto, req.ProtoMajor, req.ProtoMinor = "HTTP/1.1", 1, 1
	req.Header = maps.Clone(f.Header)
	dialect.SetHeaders(req.Header, f.Replica.Name, max(0, time.Until(f.Deadline)))
	// GetBody stays unset: nothing may replay the request.
	if len(f.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(f.Body))
		req.ContentLength = int64(len(f.Body))
	} else {
		req.Body = http.NoBody
	}
	return req
}
