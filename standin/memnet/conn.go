package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is one end of an in-memory connection.
type Conn struct {
	network       *Network
	local, remote net.Addr
	link          link
	// in carries data from the other end, out carries data to it. The out of one end
	// is the in of the other.
	in, out *stream
	// blackholed is shared by both ends.
	blackholed *atomic.Bool
}

// pair creates both ends of a connection from a host to a listener.
func (n *Network) pair(host string, l *Listener) (client, server *Conn) {
	n.mu.Lock()
	n.lastPort++
	local := &net.TCPAddr{IP: l.addr.IP, Port: n.lastPort}
	n.mu.Unlock()
	up, down := newStream(), newStream()
	blackholed := &atomic.Bool{}
	between := linkOf(host, l.host)
	client = &Conn{network: n, local: local, remote: l.addr, link: between, in: down, out: up, blackholed: blackholed}
	server = &Conn{network: n, local: l.addr, remote: local, link: between, in: up, out: down, blackholed: blackholed}
	return client, server
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn. It never blocks.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.out.write(p, time.Now().Add(c.network.delay))
}

// isBlackholed reports whether the connection drops its data. After a write or close
// on a cut link, the connection drops its data even when the link is restored.
func (c *Conn) isBlackholed() bool {
	if c.network.isCut(c.link.a, c.link.b) {
		c.blackholed.Store(true)
	}
	return c.blackholed.Load()
}

// Close implements net.Conn. The other end reads the data sent before the close,
// then io.EOF.
func (c *Conn) Close() error {
	_ = c.CloseWrite()
	c.in.closeReader()
	return nil
}

// CloseWrite closes the sending direction only.
func (c *Conn) CloseWrite() error {
	if !c.isBlackholed() {
		c.out.closeWriter(time.Now().Add(c.network.delay))
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn; writes never block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// segment is data in transit that becomes readable at a given time.
type segment struct {
	data []byte
	at   time.Time
}

// stream is one direction of a connection.
type stream struct {
	// mu guards the fields below.
	mu       sync.Mutex
	segments []segment
	// eofAt is when the end of the stream reaches the reader; zero while the writer
	// is open.
	eofAt time.Time
	// readerClosed is set when the reader closes its end.
	readerClosed bool
	deadline     time.Time
	// changed is closed and replaced whenever a waiting reader must poll again.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

// wake makes waiting readers poll again. Caller holds mu.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(p []byte, at time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eofAt.IsZero() {
		return 0, net.ErrClosed
	}
	if s.readerClosed {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	}
	s.segments = append(s.segments, segment{data: append([]byte(nil), p...), at: at})
	s.wake()
	return len(p), nil
}

// closeWriter ends the stream; the reader sees io.EOF at the given time.
func (s *stream) closeWriter(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eofAt.IsZero() {
		s.eofAt = at
		s.wake()
	}
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.wake()
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.wake()
}

func (s *stream) read(p []byte) (int, error) {
	for {
		n, wait, err := s.poll(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		wait.sleep()
	}
}

// forever is the time limit of a wait that only a change of the stream ends.
const forever = time.Duration(1<<63 - 1)

// wait is a reader's wait for readable data. It ends after the time limit or when
// changed is closed.
type wait struct {
	limit   time.Duration
	changed <-chan struct{}
}

func (w wait) sleep() {
	if w.limit == forever {
		<-w.changed
		return
	}
	timer := time.NewTimer(w.limit)
	defer timer.Stop()
	select {
	case <-w.changed:
	case <-timer.C:
	}
}

// poll reads available data, or returns how long to wait for it.
func (s *stream) poll(p []byte) (int, wait, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.readerClosed:
		return 0, wait{}, net.ErrClosed
	case !s.deadline.IsZero() && !now.Before(s.deadline):
		return 0, wait{}, os.ErrDeadlineExceeded
	case len(s.segments) > 0 && !now.Before(s.segments[0].at):
		return s.readSegment(p), wait{}, nil
	case len(s.segments) == 0 && !s.eofAt.IsZero() && !now.Before(s.eofAt):
		return 0, wait{}, io.EOF
	}
	return 0, wait{limit: s.untilReadable(now), changed: s.changed}, nil
}

// readSegment moves data of the first segment to p. Caller holds mu.
func (s *stream) readSegment(p []byte) int {
	n := copy(p, s.segments[0].data)
	s.segments[0].data = s.segments[0].data[n:]
	if len(s.segments[0].data) == 0 {
		s.segments = s.segments[1:]
	}
	return n
}

// untilReadable returns the time until the next data, the end of the stream or the
// deadline. Caller holds mu.
func (s *stream) untilReadable(now time.Time) time.Duration {
	remaining := forever
	if !s.deadline.IsZero() {
		remaining = s.deadline.Sub(now)
	}
	if len(s.segments) > 0 {
		remaining = min(remaining, s.segments[0].at.Sub(now))
	} else if !s.eofAt.IsZero() {
		remaining = min(remaining, s.eofAt.Sub(now))
	}
	return remaining
}
