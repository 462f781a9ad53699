package backend_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
)

// plainDialect adds no headers and reads no metadata.
type plainDialect struct{}

func (plainDialect) SetHeaders(http.Header, string, string, time.Duration) {}
func (plainDialect) Metadata(*http.Response) backend.ReplyMetadata         { return backend.ReplyMetadata{} }

// Guards against a replica that receives a cancelled request once it reads again, although
// the request was still in this node's send buffer when it was cancelled.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	c := qt.New(t)
	smallBuffer := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	l, err := smallBuffer.Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	client := backend.New(backend.Options{})
	defer client.Close()
	f := &backend.ForwardRequest{
		Replica:   &config.Replica{Name: "r", Address: l.Addr().String()},
		RequestID: "q", Method: http.MethodPost, Target: "/", Host: "h",
		Header: http.Header{}, Body: bytes.Repeat([]byte("b"), 64<<10), Deadline: time.Now().Add(time.Minute),
	}
	client.SetConnections("r", 1)
	replies := make(chan backend.ForwardReply, 1)
	go func() { replies <- client.Forward(f, plainDialect{}) }()
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	first := make([]byte, 1)
	_, err = io.ReadFull(conn, first)
	c.Assert(err, qt.IsNil)
	f.Cancel(0)
	<-replies
	rest, err := io.ReadAll(conn)
	c.Check(len(rest) < len(f.Body), qt.IsTrue, qt.Commentf("%d bytes", len(rest)))
	c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
}
