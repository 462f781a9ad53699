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
	"syscall"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/intake"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/load"
)

// ForwardRequest is a caller's request that is passed to one replica unchanged. It
// is used once.
type ForwardRequest struct {
	// Replica to send to; its name is the replica's ID.
	Replica *config.Replica
	// RequestID of the caller's request, which the reply must repeat.
	RequestID string
	Method    string
	// Target is the request target as received, path and query.
	Target string
	Host   string
	// Account is the name of the caller's account; empty without one.
	Account string
	// Header is shared between attempts and must not be modified.
	Header http.Header
	Body   []byte
	// Deadline of the request; the replica receives the remaining time.
	Deadline time.Time
	// TakeMemory takes memory in bytes for a large reply before it is read. It returns false
	// if there is none. Nil means no bound.
	TakeMemory func(size int64) bool

	// mu guards the fields below.
	mu sync.Mutex
	// cancelled is set by Cancel. aborted is set when the exchange's connection is closed
	// because of that.
	cancelled, aborted bool
	// cancelWait ends the wait for a connection; nil if there is no wait.
	cancelWait context.CancelFunc
	// conn carries the exchange; nil before and after it.
	conn      *netConn
	completed bool
}

// ForwardReply is the outcome of a ForwardRequest.
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
	// LoadAt is when the replica reported Metadata.Load: the time at which the head of the
	// reply arrived. Unset without a report.
	LoadAt time.Time
	// Lost is set when the connection ended before the reply was complete, and this node did
	// not close it.
	Lost bool
}

// ReplyMetadata is the part of a reply that depends on the Dialect.
type ReplyMetadata struct {
	// RequestID that the reply answers; empty if the reply has none.
	RequestID string
	// NotRun is set when the replica states that it did not run the request.
	NotRun bool
	// OtherReplica is set when another replica than the intended one replied.
	OtherReplica bool
	// Signature proves that the reply comes from the replica.
	Signature string
	// Load is what the replica reported about its load.
	Load load.Report
	// LoadFault describes a report that is not valid, and is empty otherwise.
	LoadFault string
}

// Dialect maps request and reply metadata to the HTTP headers of a backend server.
type Dialect interface {
	// SetHeaders adds the ID of the intended replica, the caller's account and the remaining
	// time of the request. An empty account adds none.
	SetHeaders(h http.Header, replicaID, account string, left time.Duration)
	// Metadata reads the metadata of a reply.
	Metadata(resp *http.Response) ReplyMetadata
}

// authorityPrefix starts a target whose first path segment would be printed as an
// authority. Such a target is parsed instead of passed on as opaque.
const authorityPrefix = "//"

// Forward sends a request to a replica on one connection and returns its reply. It
// never sends the request twice: it uses another connection only if nothing was
// written to the previous one.
func (c *Client) Forward(f *ForwardRequest, dialect Dialect) ForwardReply {
	p := c.pool(f.Replica)
	for range maxConnsPerAttempt {
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

// Cancel marks the reply as no longer needed. A wait for a connection ends at once.
// An exchange may continue for linger, so that its connection can be reused, and is
// then aborted.
func (f *ForwardRequest) Cancel(linger time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.completed {
		return
	}
	f.cancelled = true
	switch {
	case f.cancelWait != nil:
		f.cancelWait()
	case f.conn == nil:
	case linger <= 0:
		f.aborted = true
		f.conn.reset()
	default:
		time.AfterFunc(linger, f.abort)
	}
}

// abort closes the connection of an exchange that is still in flight.
func (f *ForwardRequest) abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		f.aborted = true
		f.conn.reset()
	}
}

// wasAborted reports whether this node closed the connection of the exchange.
func (f *ForwardRequest) wasAborted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.aborted
}

// attach sets the connection of the exchange, or returns false after Cancel.
func (f *ForwardRequest) attach(nc *netConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled {
		return false
	}
	f.conn = nc
	return true
}

// detach ends the exchange's use of the connection. It returns false after Cancel.
func (f *ForwardRequest) detach(completed bool) (awaited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = nil
	f.completed = completed
	return !f.cancelled
}

// waitContext returns the context of a wait for a connection.
func (f *ForwardRequest) waitContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Deadline)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled {
		cancel()
	}
	f.cancelWait = cancel
	return ctx, func() {
		f.mu.Lock()
		f.cancelWait = nil
		f.mu.Unlock()
		cancel()
	}
}

// acquireFor returns a connection, or nil and the reason why none is available.
func (p *pool) acquireFor(f *ForwardRequest) (*conn, pb.Reason) {
	p.mu.Lock()
	if p.limit > 0 && len(p.waiters) == 0 {
		if cn := p.tryAcquireLocked(f.RequestID); cn != nil {
			p.mu.Unlock()
			return cn, 0
		}
	}
	p.mu.Unlock()
	ctx, cancel := f.waitContext()
	defer cancel()
	cn, err := p.acquire(ctx, f.RequestID)
	if err != nil {
		return nil, acquireReason(ctx, err)
	}
	return cn, 0
}

// Refuses reports whether an address refuses connections: its host is up, and no process
// listens there.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.opts.Dial(ctx, "tcp", address)
	if err == nil {
		// Only the dial matters; an error on close does not.
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Reachable reports whether a connection to an address can be opened before ctx ends.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	conn, err := c.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Only the dial matters; an error on close does not.
	_ = conn.Close()
	return true
}

// forward performs one exchange on a connection. stale is set when the connection was
// closed before anything was written.
func (p *pool) forward(cn *conn, f *ForwardRequest, dialect Dialect) (reply ForwardReply, stale bool) {
	if !f.attach(cn.netConn) {
		p.release(cn, true)
		return ForwardReply{Reason: pb.Reason_REASON_CANCELLED, Evidence: pb.Evidence_EVIDENCE_NOT_RUN}, false
	}
	writes := cn.netConn.writeCount()
	sent := time.Now()
	resp, err := cn.cc.RoundTrip(f.request(p.address, dialect))
	if err != nil {
		return p.handleForwardError(cn, f, writes, sent)
	}
	reply = ForwardReply{Status: resp.StatusCode, Header: resp.Header, Metadata: dialect.Metadata(resp)}
	p.recordLoad(&reply)
	reply.Body, err = f.readBody(resp, p.client.opts.MaxResultBytes)
	_ = resp.Body.Close()
	awaited := f.detach(true)
	reply.Took = time.Since(sent)
	// A late second reply to an earlier request could be mistaken for the reply to this
	// one, and its refusal for a valid "not run". A reply without an ID is therefore
	// rejected too. So is one without a final status, whose other fields are not reliable.
	mismatched := reply.Metadata.RequestID != f.RequestID || !ValidStatus(resp.StatusCode)
	switch {
	case err != nil:
		p.release(cn, false)
		return failedRead(f, err, awaited, reply.Took), false
	case mismatched:
		// The connection's requests and replies are out of step.
		p.client.stats.mismatched.Add(1)
		p.release(cn, false)
		return failedForward(pb.Reason_REASON_MISMATCH, reply.Took), false
	}
	p.observeLatency(reply.Took)
	p.recordIdleTimeout(cn, resp.Header)
	p.release(cn, !resp.Close)
	if reply.Metadata.NotRun || reply.Metadata.OtherReplica {
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	} else {
		reply.Evidence = pb.Evidence_EVIDENCE_RAN
	}
	return reply, false
}

// recordLoad sets the time of a reply's load report, and counts a report that is not valid.
func (p *pool) recordLoad(reply *ForwardReply) {
	if reply.Metadata.Load.Known() {
		reply.LoadAt = time.Now()
	}
	if reply.Metadata.LoadFault != "" {
		p.client.stats.loadRejected.Add(1)
	}
}

func failedForward(reason pb.Reason, took time.Duration) ForwardReply {
	return ForwardReply{Reason: reason, Evidence: pb.Evidence_EVIDENCE_UNKNOWN, Took: took}
}

// ValidStatus reports whether a status is that of a complete answer: not an informational one, and
// with three digits. net/http also reads others.
func ValidStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

const maxStatus = 999

// failedRead returns the outcome of an exchange whose reply was not read completely.
func failedRead(f *ForwardRequest, err error, awaited bool, took time.Duration) ForwardReply {
	reason := pb.Reason_REASON_CONNECTION
	noMemory := errors.Is(err, intake.ErrNoMemory)
	switch {
	case !awaited:
		reason = pb.Reason_REASON_CANCELLED
	case noMemory:
		// The replica has not failed.
		reason = pb.Reason_REASON_DEADLINE
	}
	// The status line alone is no evidence when the reply was truncated.
	reply := failedForward(reason, took)
	reply.Lost = !noMemory && !errors.Is(err, errReplyTooLarge) && !f.wasAborted()
	return reply
}

// handleForwardError returns the outcome of an exchange without a reply and closes its
// connection.
func (p *pool) handleForwardError(cn *conn, f *ForwardRequest, writes uint64, sent time.Time) (ForwardReply, bool) {
	awaited := f.detach(false)
	reply := failedForward(pb.Reason_REASON_CONNECTION, time.Since(sent))
	if cn.netConn.blockWrites(writes) {
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	}
	reply.Lost = reply.Evidence != pb.Evidence_EVIDENCE_NOT_RUN && !f.wasAborted()
	silent := !receivedSince(cn, sent)
	p.release(cn, false)
	if awaited {
		return reply, reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
	}
	reply.Reason = pb.Reason_REASON_CANCELLED
	if silent {
		p.closeInactive(sent)
	}
	return reply, false
}

// closeInactive closes idle connections that were opened before the given time and have
// received nothing since. It is called after a cancelled exchange without any reply byte:
// where a middlebox has dropped its state, each such connection would lose one request. If
// the replica was only slow, new connections have to be opened.
func (p *pool) closeInactive(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.conns[:0]
	for _, other := range p.conns {
		if other.inFlight == 0 && !other.suspect && other.netConn.openedAt.Before(since) && !receivedSince(other, since) {
			p.closeLocked(other)
			continue
		}
		kept = append(kept, other)
	}
	clear(p.conns[len(kept):])
	p.conns = kept
	p.dialLocked()
}

// keepAliveMargin is subtracted from the idle timeout that a server reports, so that a
// request is not sent while the server closes the connection.
const keepAliveMargin = time.Second

// recordIdleTimeout reads the server's idle timeout from the Keep-Alive header.
func (p *pool) recordIdleTimeout(cn *conn, h http.Header) {
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
		cn.serverIdleTimeout = max(idle-keepAliveMargin, idle/2)
		p.mu.Unlock()
	}
}

// request builds the HTTP request. The target is passed on as received: parsing and
// printing it could change its escapes.
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
	dialect.SetHeaders(req.Header, f.Replica.Name, f.Account, max(0, time.Until(f.Deadline)))
	// GetBody stays unset, so that net/http cannot replay the request.
	if len(f.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(f.Body))
		req.ContentLength = int64(len(f.Body))
	} else {
		req.Body = http.NoBody
	}
	return req
}
