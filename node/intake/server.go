package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	policy "github.com/carobmill/carobmill/policy/intake"
)

// Options of a Server. The functions return the limits in force; 0 means that the
// configuration sets none.
type Options struct {
	Handler http.Handler
	Budget  *Budget
	// MaxHeaderBytes bounds the head of a request, and HeaderTimeout the time from its first
	// byte to its last.
	MaxHeaderBytes func() int64
	HeaderTimeout  func() time.Duration
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes func() int64
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout func() time.Duration
	// TransferTimeout bounds the reading of a body and the writing of an answer.
	TransferTimeout time.Duration
	// Reject writes the answer to a request that is not passed to the handler, whose body must not
	// be read; may be nil.
	Reject func(w http.ResponseWriter, r *http.Request, status int)
	// ConnContext returns the context of the requests on a connection; may be nil.
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
}

const (
	// defaultMaxHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply where the
	// configuration sets no limit. They also bound the limits of the configuration.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
)

func (o *Options) maxHeaderBytes() int64 {
	if o.MaxHeaderBytes != nil {
		if limit := o.MaxHeaderBytes(); limit > 0 {
			return min(limit, defaultMaxHeaderBytes)
		}
	}
	return defaultMaxHeaderBytes
}

func (o *Options) headerTimeout() time.Duration {
	return timeout(o.HeaderTimeout, defaultHeaderTimeout)
}

func (o *Options) idleTimeout() time.Duration {
	return timeout(o.IdleTimeout, defaultIdleTimeout)
}

// timeout returns the timeout of the configuration, bounded by a default.
func timeout(configured func() time.Duration, byDefault time.Duration) time.Duration {
	if configured != nil {
		if d := configured(); d > 0 {
			return min(d, byDefault)
		}
	}
	return byDefault
}

// Server is an HTTP server whose callers hold no more than a budget. Its handler receives
// complete requests; Body returns their bodies.
type Server struct {
	*http.Server
	options Options
}

// NewServer returns a server without listeners.
func NewServer(o Options) *Server {
	s := &Server{options: o}
	s.Server = &http.Server{
		Handler: http.HandlerFunc(s.serve),
		// A Conn rejects a head that exceeds its limit before this server does.
		MaxHeaderBytes:    defaultMaxHeaderBytes + 2*headSlop,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		ConnContext:       s.connContext,
		ConnState:         connState,
	}
	return s
}

// Serve accepts connections until the listener fails or the server is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(&listener{Listener: l, options: &s.options})
}

func (s *Server) connContext(ctx context.Context, conn net.Conn) context.Context {
	if s.options.ConnContext != nil {
		ctx = s.options.ConnContext(ctx, conn)
	}
	return withConn(ctx, conn)
}

// connState ends a request when its answer has been written.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}

// listener accepts connections within a budget.
type listener struct {
	net.Listener
	options *Options
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, options: l.options}
		if l.options.Budget.admit(c) {
			return c, nil
		}
		// The caller may repeat any request, since none was read.
		_ = conn.Close()
	}
}

// serve reads the body of a request and passes the request to the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		http.Error(w, "connection without a budget", http.StatusInternalServerError)
		return
	}
	data, err := s.receive(c, r)
	if err == nil && c.reservation.setPhase(policy.Serving) {
		r.Body = &body{Reader: bytes.NewReader(data), data: data}
		s.options.Handler.ServeHTTP(&responseWriter{ResponseWriter: w, conn: c, timeout: s.options.TransferTimeout}, r)
		return
	}
	if c.reservation.evicted() {
		// The deadlines of the connection have passed, so that w cannot be used.
		c.answer(http.StatusServiceUnavailable)
		panic(http.ErrAbortHandler)
	}
	s.reject(w, r, c, bodyStatus(err))
}

// receive returns the body of a request.
func (s *Server) receive(c *Conn, r *http.Request) ([]byte, error) {
	if !c.beginRequest(r.Header) {
		return nil, ErrNoMemory
	}
	if r.Body == http.NoBody {
		// net/http reads from the connection already, to notice when the caller disconnects.
		return nil, nil
	}
	// net/http removes the deadline at the end of the body. An error means that the connection
	// is closed; the next read reports it.
	_ = c.SetReadDeadline(time.Now().Add(s.options.TransferTimeout))
	return readBody(r, s.options.MaxBodyBytes(), c.reservation.Take)
}

// reject answers a request that is not passed to the handler.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, c *Conn, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.Header().Set("Connection", "close")
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	// net/http discards the remainder of the body up to this deadline.
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	if s.options.Reject != nil {
		s.options.Reject(w, r, status)
		return
	}
	w.WriteHeader(status)
}

// responseWriter bounds the time for writing an answer.
type responseWriter struct {
	http.ResponseWriter
	conn    *Conn
	timeout time.Duration
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	// After an eviction, the writes report that the connection is closed.
	w.conn.reservation.setPhase(policy.Sending)
	_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
}

// Unwrap implements the access of http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
