package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
)

// idDialect reads the ID of a reply and whether it is a refusal.
type idDialect struct{ plainDialect }

func (idDialect) Metadata(resp *http.Response) backend.ReplyMetadata {
	return backend.ReplyMetadata{RequestID: resp.Header.Get("Id"), NotRun: resp.Header.Get("Not-Run") != ""}
}

// endlessServer answers each request with prefix and then repeats filler until the client
// closes the connection.
type endlessServer struct {
	prefix, filler string
	// pause is the time between two bytes of filler; 0 for as fast as the client reads.
	pause time.Duration
	// sent counts bytes, open connections whose end the server has not noticed.
	sent, open atomic.Int64
}

// startServer serves each connection on a loopback address with serve, for the duration of the
// test. It returns a client with a share of the connections, and the replica to send to.
func startServer(c *qt.C, serve func(net.Conn), o backend.Options, share int) (*backend.Client, *config.Replica) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	client := backend.New(o)
	client.SetConnections("r", share)
	c.Cleanup(func() {
		client.Close()
		_ = l.Close()
	})
	return client, &config.Replica{Name: "r", Address: l.Addr().String(), Service: &config.Service{Spec: &pb.Service{}}}
}

// startEndless starts a server that does not end its replies. The kernel buffers little of them.
func startEndless(c *qt.C, prefix, filler string, pause time.Duration) (*endlessServer, *backend.Client, *config.Replica) {
	s := &endlessServer{prefix: prefix, filler: filler, pause: pause}
	o := backend.Options{MaxResultBytes: endlessMaxResult, CloseTimeout: endlessCloseTimeout}
	o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(endlessBuffer)
	}
	client, replica := startServer(c, s.serve, o, 1)
	return s, client, replica
}

func (s *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if conn.(*net.TCPConn).SetWriteBuffer(endlessBuffer) != nil {
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	_, err := conn.Write([]byte(s.prefix))
	block := bytes.Repeat([]byte(s.filler), 1+(32<<10)/len(s.filler))
	for at := 0; err == nil; at = (at + 1) % len(block) {
		out := block
		if s.pause > 0 {
			time.Sleep(s.pause)
			out = block[at : at+1]
		}
		var n int
		n, err = conn.Write(out)
		s.sent.Add(int64(n))
	}
}

// checkCutOff waits until the server has noticed that the connections are closed.
func (s *endlessServer) checkCutOff(c *qt.C) {
	c.Helper()
	for end := time.Now().Add(testTimeout); s.open.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(s.open.Load(), qt.Equals, int64(0))
	c.Check(s.sent.Load() < endlessMaxSent, qt.IsTrue, qt.Commentf("%d bytes were sent", s.sent.Load()))
}

const (
	endlessHead    = "HTTP/1.1 200 OK\r\nId: q\r\n"
	endlessRefusal = "HTTP/1.1 503 Service Unavailable\r\nId: q\r\nNot-Run: true\r\n" +
		"Carobmill-Attempt: a\r\nCarobmill-Not-Run: true\r\n\r\n"
)

// endlessReplies lists bytes without end in each part of a reply. complete is set if a whole
// reply comes before them.
var endlessReplies = []struct {
	name, prefix, filler string
	complete             bool
}{
	{name: "no answer", filler: "z"},
	{name: "status line", prefix: "HTTP/1.1 200 ", filler: "O"},
	{name: "header value", prefix: endlessHead + "X: ", filler: "z"},
	{name: "header lines", prefix: endlessHead, filler: "X: z\r\n"},
	{name: "informational responses", filler: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{name: "body", prefix: endlessHead + "\r\n", filler: "z"},
	{name: "body of a refusal", prefix: endlessRefusal, filler: "z"},
	{name: "body of stated length", prefix: endlessHead + "Content-Length: 1000000000000\r\n\r\n", filler: "z"},
	{name: "chunks", prefix: endlessHead + "Transfer-Encoding: chunked\r\n\r\n", filler: "1\r\nz\r\n"},
	{name: "chunk extension", prefix: endlessHead + "Transfer-Encoding: chunked\r\n\r\n1;", filler: "z"},
	{name: "chunk extensions", prefix: endlessHead + "Transfer-Encoding: chunked\r\n\r\n", filler: "1;zzzzzzzzzzzzzzzz\r\nz\r\n"},
	{name: "trailers", prefix: endlessHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", filler: "X: z\r\n"},
	{name: "after a reply", prefix: endlessHead + "Content-Length: 2\r\n\r\nok", filler: "z", complete: true},
}

const (
	endlessTimeLimit    = 400 * time.Millisecond
	endlessCloseTimeout = 200 * time.Millisecond
	endlessMaxResult    = 256 << 10
	// endlessMaxAllocated allows for a buffer that doubles until it holds the greatest reply.
	endlessMaxAllocated = 8 * endlessMaxResult
	// endlessBuffer is the size of the kernel's buffer on each side, which may use twice as much.
	endlessBuffer = 64 << 10
	// endlessMaxSent allows for a reply of the greatest size, read once as a reply and once while
	// the connection closes, in chunks of a byte, which take six bytes each, and for the buffers.
	endlessMaxSent = 7*endlessMaxResult + 4*endlessBuffer + 64<<10
)

// Guards against a replica that sends bytes without end: its connection must be closed at the
// size limit or the deadline, without reading on, and the request counts as possibly run.
func TestEndlessReplyIsCutOff(t *testing.T) {
	for _, pause := range []time.Duration{0, 2 * time.Millisecond} {
		for _, tc := range endlessReplies {
			t.Run(fmt.Sprint(tc.name, " ", pause), func(t *testing.T) {
				if pause > 0 {
					t.Parallel()
				}
				c := qt.New(t)
				s, client, replica := startEndless(c, tc.prefix, tc.filler, pause)
				f := &backend.ForwardRequest{
					Replica: replica, RequestID: "q", Method: http.MethodGet, Target: "/", Host: "h",
					Header: http.Header{}, Deadline: time.Now().Add(endlessTimeLimit),
				}
				limit := time.AfterFunc(endlessTimeLimit, func() { f.Cancel(0) })
				defer limit.Stop()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				reply := client.Forward(f, idDialect{})
				runtime.ReadMemStats(&after)
				if pause == 0 {
					allocated := after.TotalAlloc - before.TotalAlloc
					c.Check(allocated < endlessMaxAllocated, qt.IsTrue, qt.Commentf("%d bytes allocated", allocated))
				}
				if tc.complete {
					c.Check(reply.Status, qt.Equals, http.StatusOK)
				} else {
					c.Check(reply.Status, qt.Equals, 0)
					c.Check(reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_UNKNOWN)
				}
				s.checkCutOff(c)
			})
		}
	}
}

// Guards against the same for the requests of ordinary nodes: queries, batches of them and status
// requests.
func TestEndlessReplyToQueryIsCutOff(t *testing.T) {
	call := backend.Call{Shard: "s0", Generation: 1, Snapshot: 7, Class: "checkpoint", Attempt: "a"}
	requests := map[string]func(context.Context, *backend.Client, *config.Replica) backend.Reply{
		"query": func(ctx context.Context, client *backend.Client, r *config.Replica) backend.Reply {
			query := call
			query.Replica = r
			return client.Do(ctx, query)
		},
		"batch": func(ctx context.Context, client *backend.Client, r *config.Replica) (reply backend.Reply) {
			done := func(r backend.Reply) { reply = r }
			client.DoBatch(backend.Batch{Replica: r, Items: []backend.Item{{Ctx: ctx, Call: call, Done: done}}})
			return reply
		},
		"status": func(ctx context.Context, client *backend.Client, r *config.Replica) backend.Reply {
			return client.Poll(ctx, r)
		},
	}
	for name, send := range requests {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond} {
			for _, tc := range endlessReplies[:len(endlessReplies)-1] {
				t.Run(fmt.Sprint(name, " ", tc.name, " ", pause), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					s, client, replica := startEndless(c, tc.prefix, tc.filler, pause)
					ctx, cancel := context.WithTimeout(context.Background(), endlessTimeLimit)
					defer cancel()
					reply := send(ctx, client, replica)
					c.Check(reply.OK(), qt.IsFalse)
					if name != "status" {
						c.Check(reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_UNKNOWN)
					}
					s.checkCutOff(c)
				})
			}
		}
	}
}
