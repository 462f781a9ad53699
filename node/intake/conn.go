package intake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	policy "github.com/carobmill/carobmill/policy/intake"
)

const (
	// headSlop is how many bytes of the next part of a request may be read together with a
	// head, and how much a head may exceed its limit.
	headSlop = 4 << 10
	// lingerTimeout and lingerBytes bound the reading from a rejected connection. Without it,
	// the close resets the connection, and the caller may lose the rejection.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// retryAfterSeconds is the delay that a request without memory gets.
	retryAfterSeconds = "1"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	reservation *Reservation
	options     *Options

	// mu guards the fields below. It is released before the lock of the budget is taken.
	mu   sync.Mutex
	head headScanner
	// receiving is set from the first byte of a request until its head is complete, and
	// serving from then on until the answer is complete.
	receiving, serving bool
	// headDeadline is when the head must be complete, while receiving is set.
	headDeadline time.Time
	// interrupted is set once the connection was evicted. Its deadlines do not change any more.
	interrupted bool
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	return inner.SyscallConn()
}

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.reservation.Release()
	return c.Conn.Close()
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// interrupt ends all reads and writes of an evicted connection. The HTTP server then closes it.
func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetDeadline(past)
}

// errEnded ends the reading of a request that was answered here. The HTTP server writes nothing
// after an error of this kind, but does after io.EOF.
var errEnded = os.ErrDeadlineExceeded

// SetReadDeadline implements net.Conn. While a head is received and between requests, the deadline
// is at most that of the configuration. No deadline, which the HTTP server sets at the end of a
// head, is not changed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	if !t.IsZero() && !c.serving {
		limit := c.headDeadline
		if !c.receiving {
			limit = time.Now().Add(c.options.idleTimeout())
		}
		if t.After(limit) {
			t = limit
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetWriteDeadline, t) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// setDeadline calls set unless the connection was evicted.
func (c *Conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return set(t)
}

// Read implements net.Conn. The memory of a head is taken as its bytes arrive, before they are
// parsed. A head that exceeds its limit or finds no memory is rejected here, since the HTTP
// server passes only complete heads to its handler.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	size, lines, first, serving := c.scan(p[:n])
	if serving {
		return n, err
	}
	if first {
		c.beginHead()
	}
	taken := c.reservation.Take(policy.HeadCost(size, lines))
	switch {
	case c.reservation.evicted():
		if c.headBytes() > 0 {
			c.answer(http.StatusServiceUnavailable)
		}
		return 0, errEnded
	case int64(c.headBytes()) > c.options.maxHeaderBytes()+headSlop:
		c.reject(http.StatusRequestHeaderFieldsTooLarge, p)
		return 0, errEnded
	case !taken:
		c.reject(http.StatusServiceUnavailable, p)
		return 0, errEnded
	}
	return n, err
}

// scan returns how many bytes and lines are added to a head, and whether they are the first
// ones. While a request is served, the bytes belong to its body or to a later request.
func (c *Conn) scan(p []byte) (size, lines int, first, serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		return 0, 0, false, true
	}
	if len(p) > 0 && !c.receiving {
		first, c.receiving = true, true
		c.headDeadline = time.Now().Add(c.options.headerTimeout())
	}
	size, lines = c.head.scan(p)
	return size, lines, first, false
}

// headBytes returns the size of the head that is being read.
func (c *Conn) headBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.size
}

// beginHead is called with the first bytes of a request.
func (c *Conn) beginHead() {
	c.reservation.setPhase(policy.Receiving)
	c.mu.Lock()
	deadline := c.headDeadline
	c.mu.Unlock()
	// An error means that the connection is closed; the next read reports it.
	_ = c.SetReadDeadline(deadline)
}

// beginRequest is called with a complete head. It returns false if there is no memory for it.
func (c *Conn) beginRequest(h http.Header) bool {
	c.mu.Lock()
	received := c.receiving
	c.receiving, c.serving = false, true
	c.head = headScanner{}
	c.mu.Unlock()
	if !received {
		// The head arrived together with the end of the request before it.
		c.reservation.setPhase(policy.Receiving)
	}
	size, lines := 0, 0
	for name, values := range h {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return c.reservation.adjust(policy.HeadCost(size, lines))
}

// endRequest is called when a request and its answer are complete.
func (c *Conn) endRequest() {
	c.mu.Lock()
	c.serving = false
	c.mu.Unlock()
	c.reservation.adjust(0)
	c.reservation.setPhase(policy.Idle)
}

// answer writes a rejection, the last answer on the connection. It does not wait for a caller that
// does not read.
func (c *Conn) answer(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + retryAfterSeconds + "\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), retry)
	_ = c.CloseWrite()
}

// reject answers a request whose head is not read any further. The bytes that follow are
// discarded through buffer.
func (c *Conn) reject(status int, buffer []byte) {
	c.answer(status)
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}

// connKey is the context key of a connection.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ReservationOf returns the reservation of the request with a context; nil if its connection
// has none.
func ReservationOf(ctx context.Context) *Reservation {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.reservation
	}
	return nil
}
