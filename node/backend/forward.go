package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/upstream"
)

// Forward is a caller's request that is passed on byte for byte.
type Forward struct {
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
	// Linger says, when ctx has ended, how long the exchange may go on so that its
	// connection can be kept.
	Linger func() time.Duration
}

// ForwardReply is what came of a Forward.
type ForwardReply struct {
	// Status is 0 when there was no complete reply.
	Status int
	Header http.Header
	Body   []byte
	Notes  ReplyNotes
	// Evidence states whether the request can have run.
	Evidence pb.Evidence
	Reason   pb.Reason
	// Took is the time from the write to the end of the reply.
	Took time.Duration
}

// ReplyNotes is what a reply says beside its status and body.
type ReplyNotes struct {
	// RequestID that the reply answers; empty when it does not say.
	RequestID string
	// NotRun is the replica's word that it did not run the request.
	NotRun bool
	// OtherReplica is set when the reply came from a replica that was not meant.
	OtherReplica bool
	// Signature proves that the reply is the replica's own.
	Signature string
	// Load is nil when the reply does not tell it.
	Load *upstream.Load
}

// Dialect is the way in which backend servers speak beside plain HTTP.
type Dialect interface {
	// Address adds to a request's header for which replica it is meant and how long
	// its caller will wait.
	Address(h http.Header, replicaID string, left time.Duration)
	// Notes reads what a reply says beside its status and body.
	Notes(resp *http.Response) ReplyNotes
}

// authorityPrefix begins a target whose first segment could be taken for an authority
// when it is printed; it is parsed instead.
const authorityPrefix = "//"

// Forward sends a request to a replica on one connection and returns its reply. It
// never sends it twice: it takes another connection only after proof that nothing was
// written on the one before.
func (c *Client) Forward(ctx context.Context, f *Forward, dialect Dialect) ForwardReply {
	p := c.pool(f.Replica)
	for range attemptsOnStale {
		cn, err := p.acquire(ctx)
		if err != nil {
			return ForwardReply{Reason: acquireReason(ctx, err), Evidence: pb.Evidence_EVIDENCE_NOT_RUN}
		}
		reply, stale := p.forward(ctx, cn, f, dialect)
		if !stale {
			return reply
		}
	}
	return ForwardReply{Reason: pb.Reason_REASON_CONNECTION, Evidence: pb.Evidence_EVIDENCE_NOT_RUN}
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
func (p *pool) forward(ctx context.Context, cn *conn, f *Forward, dialect Dialect) (reply ForwardReply, stale bool) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		linger := f.Linger()
		if linger <= 0 {
			cancel()
			return
		}
		time.AfterFunc(linger, cancel)
	})
	defer stop()
	writes := cn.wire.written()
	sent := time.Now()
	resp, err := cn.cc.RoundTrip(f.request(inner, p.address, dialect))
	if err != nil {
		return p.forwardFailed(ctx, cn, writes, sent)
	}
	reply = ForwardReply{Status: resp.StatusCode, Header: resp.Header, Notes: dialect.Notes(resp)}
	limit := p.client.opts.MaxResultBytes
	reply.Body, err = readBody(resp, limit+1)
	_ = resp.Body.Close()
	reply.Took = time.Since(sent)
	misfit := reply.Notes.RequestID != "" && reply.Notes.RequestID != f.RequestID
	switch {
	case err != nil || int64(len(reply.Body)) > limit:
		p.release(cn, false)
		// The status line alone proves nothing when the reply was cut.
		return failedForward(pb.Reason_REASON_CONNECTION, reply.Took), false
	case misfit:
		// The connection's requests and replies are out of step.
		p.client.stats.mismatched.Add(1)
		p.release(cn, false)
		return failedForward(pb.Reason_REASON_MISMATCH, reply.Took), false
	}
	p.observe(reply.Took)
	p.learnIdleTimeout(cn, resp.Header)
	p.release(cn, !resp.Close)
	if reply.Notes.NotRun || reply.Notes.OtherReplica {
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
func (p *pool) forwardFailed(ctx context.Context, cn *conn, writes uint64, sent time.Time) (ForwardReply, bool) {
	reply := failedForward(pb.Reason_REASON_CONNECTION, time.Since(sent))
	if cn.wire.seal(writes) {
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	}
	silent := !heard(cn, sent)
	p.release(cn, false)
	if ctx.Err() != nil {
		reply.Reason = contextReason(ctx)
		if silent {
			p.closeUnheard(sent)
		}
		return reply, false
	}
	return reply, reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
}

// closeUnheard closes idle connections that were opened before an exchange began that
// got no byte, and have received nothing since.
//
// Failure: something between the two ends forgot all open connections, which then
// swallow every request. Symptom: each of them costs one request its wait. Closing
// the others with the first one bounds that to one for each replica; a replica that
// was only slow costs new connections.
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
func (f *Forward) request(ctx context.Context, address string, dialect Dialect) *http.Request {
	req := new(http.Request).WithContext(ctx)
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
	req.Header = f.Header.Clone()
	dialect.Address(req.Header, f.Replica.Name, max(0, time.Until(f.Deadline)))
	// GetBody stays unset: nothing may replay the request.
	if len(f.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(f.Body))
		req.ContentLength = int64(len(f.Body))
	} else {
		req.Body = http.NoBody
	}
	return req
}
