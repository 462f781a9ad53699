package backend

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// halfOpenConn is a connection whose peer keeps its end open until closed is closed.
type halfOpenConn struct {
	net.Conn
	reading, closed chan struct{}
}

func (h *halfOpenConn) Read([]byte) (int, error) {
	close(h.reading)
	<-h.closed
	return 0, io.EOF
}

func (h *halfOpenConn) CloseWrite() error               { return nil }
func (h *halfOpenConn) Close() error                    { return nil }
func (h *halfOpenConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a transport whose reader waits for the lock that is held until the peer closes
// its end. In virtual time such a wait never ends.
func TestReadFailsAtOnceWhileConnectionCloses(t *testing.T) {
	c := qt.New(t)
	inner := &halfOpenConn{reading: make(chan struct{}), closed: make(chan struct{})}
	nc := newNetConn(inner, time.Minute, 1, func() {}, &stats{})
	c.Assert(nc.Close(), qt.IsNil)
	<-inner.reading
	result := make(chan error, 1)
	go func() {
		_, err := nc.Read(make([]byte, 1))
		result <- err
	}()
	select {
	case err := <-result:
		c.Check(err, qt.ErrorIs, net.ErrClosed)
	case <-time.After(10 * time.Second):
		c.Error("the read waits for the peer")
	}
	close(inner.closed)
	<-nc.peerClosed
}
