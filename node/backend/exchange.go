package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// exchange is one request and its reply on one connection.
type exchange struct {
	pool   *pool
	conn   *conn
	call   *Call
	method string
	path   string
	// writes is the connection's write count before the request.
	writes uint64
	first  bool
	// truncated is set when the reply did not arrive completely.
	truncated bool
	// deadline sent to the server; zero if there is none.
	deadline time.Time
	sent     time.Time
	cancel   context.CancelFunc
	done     chan Reply
}

func newExchange(p *pool, cn *conn, call *Call, method, path string) *exchange {
	p.mu.Lock()
	first := cn.used == 0
	cn.used++
	p.mu.Unlock()
	return &exchange{
		pool:   p,
		conn:   cn,
		call:   call,
		method: method,
		path:   path,
		writes: cn.netConn.writeCount(),
		first:  first,
		sent:   time.Now(),
		done:   make(chan Reply, 1),
	}
}

// run performs the exchange and waits for its reply or the end of ctx, whichever
// is first. stale is set when the connection was closed before anything was
// written; onRelease has not been called in that case.
func (ex *exchange) run(ctx context.Context, onRelease func()) (reply Reply, stale bool) {
	// The exchange outlives ctx by up to CancelGrace, so that the connection can
	// be reused if the reply to a cancelled attempt arrives within that time.
	inner, cancel := context.WithCancel(context.Background())
	ex.cancel = cancel
	ex.deadline, _ = ctx.Deadline()
	go ex.perform(ex.request(inner), onRelease)
	silence := time.NewTimer(ex.pool.silenceTimeout())
	defer silence.Stop()
	for {
		select {
		case reply := <-ex.done:
			return reply, reply.Reason == reasonStale
		case <-ctx.Done():
			return ex.abandon(ctx, onRelease), false
		case <-silence.C:
			if !ex.call.Execute {
				go ex.pool.checkSilence(ex.conn, ex.sent)
			}
		}
	}
}

// reasonStale is internal to this package. It marks an exchange that can be
// repeated on another connection.
const reasonStale = pb.Reason(-1)

// perform does the exchange, releases the connection and delivers the reply.
func (ex *exchange) perform(req *http.Request, onRelease func()) {
	defer ex.cancel()
	reply, keep := ex.roundTrip(req)
	reply.Took = time.Since(ex.sent)
	reply.NewConnection = ex.first
	if reply.OK() {
		ex.pool.observeLatency(reply.Took)
	}
	ex.pool.release(ex.conn, keep)
	if reply.Reason != reasonStale {
		ex.scheduleRelease(keep && !ex.truncated, onRelease)
	}
	ex.done <- reply
}

// serverReleaseDelay is how long after its deadline, or after a stream reset, a busy
// backend server may still work on a request. Under HTTP/1.1 a server that releases the
// request earlier confirms that by closing its end of the connection.
const serverReleaseDelay = 100 * time.Millisecond

// scheduleRelease calls onRelease when the backend server no longer works on the
// request: at once after a complete reply, or if nothing was written. Otherwise the
// server works on the request until it notices the close, or until the deadline it was
// given. An earlier release could exceed the concurrency limit of a cold server. The
// wait is at most CloseTimeout.
func (ex *exchange) scheduleRelease(complete bool, onRelease func()) {
	if complete || ex.conn.netConn.writesBlockedSince(ex.writes) {
		onRelease()
		return
	}
	wait := ex.pool.client.opts.CloseTimeout
	if !ex.deadline.IsZero() {
		wait = min(wait, max(0, time.Until(ex.deadline))+serverReleaseDelay)
	}
	peerClosed := ex.conn.netConn.peerClosed
	if ex.pool.h2 {
		// A stream reset is not confirmed. A busy server may notice the reset as late
		// as it notices a deadline.
		wait = min(wait, serverReleaseDelay)
	}
	go func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-peerClosed:
		case <-timer.C:
		}
		onRelease()
	}()
}

// abandon returns the outcome of an exchange whose ctx has ended. A stream is reset
// at once. An HTTP/1.1 connection is closed after CancelGrace, or at once if nothing was
// written.
func (ex *exchange) abandon(ctx context.Context, onRelease func()) Reply {
	reply := Reply{
		Reason:        contextReason(ctx),
		Evidence:      ex.evidence(),
		Took:          time.Since(ex.sent),
		NewConnection: ex.first,
	}
	grace := ex.pool.client.opts.CancelGrace
	if ex.pool.h2 || reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN {
		grace = 0
	}
	timer := time.AfterFunc(max(grace, 0), ex.cancel)
	go func() {
		defer timer.Stop()
		ex.finishAbandoned(<-ex.done, onRelease)
	}()
	return reply
}

// finishAbandoned handles the end of an exchange after abandon.
func (ex *exchange) finishAbandoned(late Reply, onRelease func()) {
	if late.Reason == reasonStale {
		onRelease()
	}
	if late.OK() {
		ex.pool.client.stats.cancelledFinished.Add(1)
		return
	}
	if ex.pool.h2 {
		return
	}
	ex.pool.client.stats.cancelledClosed.Add(1)
	ex.pool.checkSilenceAfterCancel(ex.conn, ex.sent)
}

// evidence reports whether the request can have been sent. When it returns "not run", it
// has blocked further writes on the connection. Under HTTP/2 other streams write to the
// same connection, so the result is always unknown.
func (ex *exchange) evidence() pb.Evidence {
	if !ex.pool.h2 && ex.conn.netConn.blockWrites(ex.writes) {
		return pb.Evidence_EVIDENCE_NOT_RUN
	}
	return pb.Evidence_EVIDENCE_UNKNOWN
}

// roundTrip returns the reply and whether the connection can be reused.
func (ex *exchange) roundTrip(req *http.Request) (reply Reply, keep bool) {
	resp, err := ex.conn.cc.RoundTrip(req)
	if err != nil {
		ex.truncated = true
		return ex.failedReply(req.Context())
	}
	defer func() {
		// The pool detects a broken connection by itself.
		_ = resp.Body.Close()
	}()
	reply = parseState(resp.Header)
	if ex.call.batch != nil && resp.StatusCode == http.StatusOK {
		return ex.readReplies(reply, resp.Body)
	}
	body, err := readBody(resp, ex.pool.client.opts.MaxResultBytes)
	oversized := errors.Is(err, errReplyTooLarge)
	if err != nil && !oversized {
		ex.truncated = true
		// The status line alone is no evidence when the reply was truncated.
		reply.Reason, reply.Evidence = pb.Reason_REASON_CONNECTION, pb.Evidence_EVIDENCE_UNKNOWN
		return reply, ex.pool.h2
	}
	if ex.path == pathStatus && !oversized {
		return statusReply(reply, resp.StatusCode), true
	}
	parseReplyFields(resp).classify(&reply, ex.call)
	reply.BatchUnsupported = ex.call.batch != nil && isUnsupported(resp.StatusCode)
	if reply.Reason == pb.Reason_REASON_MISMATCH {
		ex.pool.client.stats.mismatched.Add(1)
		// Under HTTP/1.1 the connection's requests and replies are out of step.
		return reply, ex.pool.h2
	}
	if oversized {
		ex.truncated = true
		reply.Reason, reply.Evidence = pb.Reason_REASON_BACKEND, pb.Evidence_EVIDENCE_UNKNOWN
		return reply, ex.pool.h2
	}
	if reply.OK() {
		reply.Result = body
	}
	return reply, true
}

// failedReply returns the outcome of an exchange without a reply.
func (ex *exchange) failedReply(ctx context.Context) (Reply, bool) {
	reply := Reply{
		Reason:   pb.Reason_REASON_CONNECTION,
		Evidence: ex.evidence(),
		Silent:   ex.pool.wasClosedSilent(ex.conn),
	}
	if reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN && ctx.Err() == nil {
		reply.Reason = reasonStale
	}
	// The end of a stream does not close the HTTP/2 connection; pruneLocked removes
	// the connection if it has failed.
	return reply, ex.pool.h2
}

func (ex *exchange) request(ctx context.Context) *http.Request {
	req := new(http.Request).WithContext(ctx)
	req.Method = ex.method
	req.URL = &url.URL{Scheme: "http", Host: ex.pool.address, Path: ex.path}
	req.Host = ex.pool.address
	req.Proto, req.ProtoMajor, req.ProtoMinor = "HTTP/1.1", 1, 1
	req.Header = make(http.Header, maxRequestHeaders)
	if ex.path == pathStatus {
		return req
	}
	body := ex.call.Body
	if ex.call.batch != nil {
		body = ex.call.batch.encode(&ex.pool.client.stats)
		ex.setBatchHeaders(req.Header)
	} else {
		ex.setHeaders(req.Header)
	}
	// GetBody stays unset, so that net/http cannot replay the request.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	return req
}

const maxRequestHeaders = 8

// setHeaders sets the call's headers. The values share one array to save
// allocations, since this runs for every subrequest.
func (ex *exchange) setHeaders(h http.Header) {
	call := ex.call
	values := make([]string, 0, maxRequestHeaders)
	set := func(name, value string) {
		values = append(values, value)
		n := len(values)
		h[name] = values[n-1 : n : n]
	}
	set("Content-Type", "application/json")
	set(headerShard, call.Shard)
	set(headerClass, call.Class)
	set(headerAttempt, call.Attempt)
	set(headerGeneration, strconv.FormatUint(call.Generation, 10))
	set(headerSnapshot, strconv.FormatUint(call.Snapshot, 10))
	if call.Execute {
		set(headerRequestID, call.RequestID)
	}
	if !ex.deadline.IsZero() {
		left := max(0, time.Until(ex.deadline).Microseconds())
		set(headerTimeout, strconv.FormatInt(left, 10))
	}
}
