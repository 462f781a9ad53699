package backend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
)

const (
	largeReply = 1 << 20
	smallReply = 32 << 10
)

// serveBodies answers each request with a body of the size that its path states, with or without its
// length.
func serveBodies(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	size := 0
	length := "Connection: close"
	if _, err := fmt.Sscanf(req.RequestURI, "/length/%d", &size); err == nil {
		length = fmt.Sprint("Content-Length: ", size)
	} else if _, err := fmt.Sscanf(req.RequestURI, "/close/%d", &size); err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: q\r\n%s\r\n\r\n%s", length, strings.Repeat("b", size))
}

// Guards against large replies that are read without memory for them, and against a replica that
// counts as failed because its reply found none.
func TestLargeReplyWaitsForMemory(t *testing.T) {
	for _, tc := range []struct {
		path string
		size int
		// refusals is how often no memory is available; -1 for always.
		refusals int
		ok       bool
	}{
		{"/length/", largeReply, 0, true},
		{"/length/", largeReply, 3, true},
		{"/length/", largeReply, -1, false},
		{"/length/", smallReply, -1, true},
		{"/close/", largeReply, 3, true},
		{"/close/", largeReply, -1, false},
		{"/close/", smallReply, -1, true},
	} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			c := qt.New(t)
			client, replica := startServer(c, serveBodies, backend.Options{}, 1)
			refusals, taken := tc.refusals, int64(0)
			wait := testTimeout
			if !tc.ok {
				wait = 200 * time.Millisecond
			}
			reply := client.Forward(&backend.ForwardRequest{
				Replica: replica, RequestID: "q", Method: http.MethodGet, Target: fmt.Sprint(tc.path, tc.size), Host: "h",
				Header: http.Header{}, Deadline: time.Now().Add(wait),
				TakeMemory: func(size int64) bool {
					if refusals != 0 {
						refusals--
						return false
					}
					taken += size
					return true
				},
			}, idDialect{})
			if !tc.ok {
				c.Check(reply.Status, qt.Equals, 0)
				c.Check(reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_UNKNOWN)
				c.Check(reply.Reason, qt.Equals, pb.Reason_REASON_DEADLINE)
				c.Check(reply.Lost, qt.IsFalse)
				return
			}
			c.Check(reply.Status, qt.Equals, http.StatusOK)
			c.Check(len(reply.Body), qt.Equals, tc.size)
			c.Check(taken >= int64(tc.size-2*smallReply), qt.IsTrue, qt.Commentf("%d bytes taken", taken))
		})
	}
}

// Guards against a reply without end that is read on after its request has ended, when its memory
// counts no more.
func TestReplyOfEndedRequestTakesNoMemory(t *testing.T) {
	c := qt.New(t)
	s, client, replica := startEndless(c, endlessHead+"\r\n", "z", 0)
	taken := 0
	f := &backend.ForwardRequest{
		Replica: replica, RequestID: "q", Method: http.MethodGet, Target: "/", Host: "h",
		Header: http.Header{}, Deadline: time.Now().Add(testTimeout),
	}
	f.TakeMemory = func(size int64) bool {
		if taken += int(size); taken > smallReply {
			f.Cancel(testTimeout)
		}
		return true
	}
	reply := client.Forward(f, idDialect{})
	c.Check(reply.Status, qt.Equals, 0)
	c.Check(reply.Reason, qt.Equals, pb.Reason_REASON_CANCELLED)
	c.Check(taken <= 3*smallReply, qt.IsTrue, qt.Commentf("%d bytes taken", taken))
	s.checkCutOff(c)
}
