package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

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
	// cut is set when the reply did not arrive in full.
	cut bool
	// deadline that the server was given; zero when there is none.
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
		writes: cn.wire.written(),
		first:  first,
		sent:   time.Now(),
		done:   make(chan Reply, 1),
	}
}

// run carries the exchange until its reply or the end of ctx, whichever comes
// first. stale is set when the connection had been closed before anything was
// written; settled has not been called then.
func (ex *exchange) run(ctx context.Context, settled func()) (reply Reply, stale bool) {
	// The exchange outlives ctx by up to CancelGrace, so that a cancelled
	// attempt whose reply is on its way does not cost its connection.
	inner, cancel := context.WithCancel(context.Background())
	ex.cancel = cancel
	ex.deadline, _ = ctx.Deadline()
	go ex.carry(ex.request(inner), settled)
	silence := time.NewTimer(ex.pool.silenceAfter())
	defer silence.Stop()
	for {
		select {
		case reply := <-ex.done:
			return reply, reply.Reason == reasonStale
		case <-ctx.Done():
			return ex.abandon(ctx, settled), false
		case <-silence.C:
			if !ex.call.Execute {
				go ex.pool.examine(ex.conn, ex.sent)
			}
		}
	}
}

// reasonStale marks, inside this package only, an exchange that can be begun
// anew on another connection.
const reasonStale = pb.Reason(-1)

// carry performs the exchange, gives the connection back and delivers the reply.
func (ex *exchange) carry(req *http.Request, settled func()) {
	defer ex.cancel()
	reply, keep := ex.roundTrip(req)
	reply.Took = time.Since(ex.sent)
	reply.NewConnection = ex.first
	if reply.OK() {
		ex.pool.observe(reply.Took)
	}
	ex.pool.release(ex.conn, keep)
	if reply.Reason != reasonStale {
		ex.settle(keep && !ex.cut, settled)
	}
	ex.done <- reply
}

// lateServer is how much later than its deadline a busy backend server may let go of a
// request. A server that closes its end says so itself, mostly within a millisecond; one
// that waits for a processor takes several times its deadline's usual lag.
const lateServer = 100 * time.Millisecond

// settle calls settled when the backend server has let go of the request. After
// a complete reply that is at once. Otherwise the server still runs it until it
// has noticed the close, or until the deadline that it was given: releasing a
// limit before that would put more in flight at a cold server than it bears.
func (ex *exchange) settle(complete bool, settled func()) {
	if complete || ex.conn.wire.unwritten(ex.writes) {
		settled()
		return
	}
	wait := ex.pool.client.opts.CloseTimeout
	if !ex.deadline.IsZero() {
		wait = min(wait, max(0, time.Until(ex.deadline))+lateServer)
	}
	ended := ex.conn.wire.ended
	if ex.pool.h2 {
		// A stream's reset is not confirmed. A busy server takes as long to notice it as
		// to notice a deadline.
		wait = min(wait, lateServer)
	}
	go func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
		}
		settled()
	}()
}

// abandon ends the wait for a reply because ctx has ended. A stream is reset at
// once; an HTTP/1.1 connection is given CancelGrace before it is closed.
func (ex *exchange) abandon(ctx context.Context, settled func()) Reply {
	reply := Reply{
		Reason:        contextReason(ctx),
		Evidence:      ex.evidence(),
		Took:          time.Since(ex.sent),
		NewConnection: ex.first,
	}
	bound := ex.pool.client.opts.CancelGrace
	if ex.pool.h2 || reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN {
		bound = 0
	}
	timer := time.AfterFunc(max(bound, 0), ex.cancel)
	go func() {
		defer timer.Stop()
		ex.settleLate(<-ex.done, settled)
	}()
	return reply
}

// settleLate deals with the end of an exchange that nobody waits for.
func (ex *exchange) settleLate(late Reply, settled func()) {
	if late.Reason == reasonStale {
		settled()
	}
	if late.OK() {
		ex.pool.client.stats.finished.Add(1)
		return
	}
	if ex.pool.h2 {
		return
	}
	ex.pool.client.stats.closed.Add(1)
	ex.pool.examineIfMute(ex.conn, ex.sent)
}

// evidence states whether the request can have left. Under HTTP/2 other streams
// write to the connection too, so that only doubt can be stated.
func (ex *exchange) evidence() pb.Evidence {
	if !ex.pool.h2 && ex.conn.wire.seal(ex.writes) {
		return pb.Evidence_EVIDENCE_NOT_RUN
	}
	return pb.Evidence_EVIDENCE_UNKNOWN
}

// roundTrip returns the reply and whether the connection can be used again.
func (ex *exchange) roundTrip(req *http.Request) (reply Reply, keep bool) {
	resp, err := ex.conn.cc.RoundTrip(req)
	if err != nil {
		ex.cut = true
		return ex.failed(req.Context())
	}
	defer func() {
		// What a failed close means for the connection, the pool sees by itself.
		_ = resp.Body.Close()
	}()
	reply = parseState(resp.Header)
	if ex.call.batch != nil && resp.StatusCode == http.StatusOK {
		return ex.readItems(reply, resp.Body)
	}
	limit := ex.pool.client.opts.MaxResultBytes
	body, err := readBody(resp, limit+1)
	if err != nil {
		ex.cut = true
		// The status line alone proves nothing when the reply was cut.
		reply.Reason, reply.Evidence = pb.Reason_REASON_CONNECTION, pb.Evidence_EVIDENCE_UNKNOWN
		return reply, ex.pool.h2
	}
	if ex.path == pathStatus {
		return statusReply(reply, resp.StatusCode), true
	}
	parseAnswer(resp).judge(&reply, ex.call)
	reply.BatchUnsupported = ex.call.batch != nil && unserved(resp.StatusCode)
	if reply.Reason == pb.Reason_REASON_MISMATCH {
		ex.pool.client.stats.mismatched.Add(1)
		// Under HTTP/1.1 the connection's requests and replies are out of step.
		return reply, ex.pool.h2
	}
	if int64(len(body)) > limit {
		ex.cut = true
		reply.Reason = pb.Reason_REASON_BACKEND
		return reply, ex.pool.h2
	}
	if reply.OK() {
		reply.Result = body
	}
	return reply, true
}

// readBody reads at most limit bytes.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > limit {
		return io.ReadAll(io.LimitReader(resp.Body, limit))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// failed judges an exchange without a reply.
func (ex *exchange) failed(ctx context.Context) (Reply, bool) {
	reply := Reply{
		Reason:   pb.Reason_REASON_CONNECTION,
		Evidence: ex.evidence(),
		Silent:   ex.pool.wasCondemned(ex.conn),
	}
	if reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN && ctx.Err() == nil {
		reply.Reason = reasonStale
	}
	// A stream that ends does not end its connection; pruning drops it if it did.
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
	// GetBody stays unset: nothing may replay the request.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	return req
}

const maxRequestHeaders = 8

// setHeaders sets the call's headers. Their values share one array, since this
// runs for every subrequest.
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
