package backend

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type connKey struct{}

// listener enforces the connection limit and tracks open connections for fault
// injection. mu guards conns and is locked before the server's mu.
type listener struct {
	net.Listener
	server *Server

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept returns the next connection within the limit. Connections above the limit
// are reset and counted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, readableAt: time.Now().Add(l.server.opts.ConnectTime), closed: make(chan struct{})}
		c.onClose = func() { l.remove(c) }
		if l.server.takeFault(FaultResetOnAccept) || !l.add(c) {
			c.reset()
			continue
		}
		return c, nil
	}
}

func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.opts.Connections; limit > 0 && len(l.conns) >= limit {
		s.counts.RefusedConnections++
		return false
	}
	l.conns[c] = struct{}{}
	s.counts.Accepted++
	s.counts.Connections = len(l.conns)
	s.counts.MaxConnections = max(s.counts.MaxConnections, len(l.conns))
	return true
}

// connState stops tracking a connection that the HTTP server has closed.
func (l *listener) connState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if tracked, ok := c.(*conn); ok {
		l.remove(tracked)
	}
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.server.mu.Lock()
	l.server.counts.Connections = len(l.conns)
	l.server.mu.Unlock()
}

func (l *listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

func (l *listener) resetAll() {
	for _, c := range l.open() {
		c.reset()
	}
}

// conn is a connection with fault injection. A blackholed connection drops its data
// in both directions without being closed, as after a middlebox loses its state.
type conn struct {
	net.Conn
	// readableAt is the earliest time of the first read.
	readableAt time.Time
	blackholed atomic.Bool
	// resetAfter is the number of bytes to read before the connection is reset; 0
	// disables the reset.
	resetAfter atomic.Int64
	once       sync.Once
	closed     chan struct{}
	// onClose removes the connection from the listener's set.
	onClose func()
}

func (c *conn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	if remaining := c.resetAfter.Load(); remaining > 0 && int64(len(p)) > remaining {
		p = p[:remaining]
	}
	n, err := c.Conn.Read(p)
	if c.resetAfter.Load() > 0 && c.resetAfter.Add(-int64(n)) <= 0 {
		c.reset()
		return 0, io.ErrUnexpectedEOF
	}
	if !c.blackholed.Load() {
		return n, err
	}
	// A close by the peer does not arrive either, so the connection still counts
	// towards the limit until the server closes it.
	<-c.closed
	return 0, net.ErrClosed
}

func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close removes the connection from the listener's set and closes it.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	// Runs before the close because the client may open its next connection as soon
	// as it sees this close. Otherwise a client within the limit would count as one
	// connection above the limit.
	c.onClose()
	return c.Conn.Close()
}

func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// SetLinger(0) makes Close send a TCP reset instead of FIN.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
