package backend_test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
)

// copyServer sends a late second copy of each reply: on each connection, the reply to a request
// begins with the copy of the previous one. It refuses the first refusals requests and runs the
// others.
type copyServer struct {
	refusals int
	client   *backend.Client
	replica  *config.Replica

	// mu guards the fields below.
	mu    sync.Mutex
	seen  int
	runs  map[string]int
	conns int
}

func startCopyServer(c *qt.C, refusals, share int) *copyServer {
	s := &copyServer{refusals: refusals, runs: make(map[string]int)}
	s.client, s.replica = startServer(c, s.serve, backend.Options{}, share)
	return s
}

func (s *copyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.mu.Lock()
	s.conns++
	s.mu.Unlock()
	reader := bufio.NewReader(conn)
	second := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		reply := s.answer(req.Header.Get("Id"))
		if _, err := conn.Write([]byte(second + reply)); err != nil {
			return
		}
		second = reply
	}
}

func (s *copyServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	if s.seen <= s.refusals {
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	s.runs[id]++
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

func (s *copyServer) forward(id string) backend.ForwardReply {
	return s.client.Forward(&backend.ForwardRequest{
		Replica: s.replica, RequestID: id, Method: http.MethodPost, Target: "/", Host: "h",
		Header: http.Header{"Id": {id}}, Deadline: time.Now().Add(testTimeout),
	}, idDialect{})
}

// Guards against a late copy of a refusal that counts as the reply to a later attempt of the same
// request: it would be sent once more, or refused as not run, although the replica runs it.
func TestCopyOfRefusalIsNotTheReplyToTheNextAttempt(t *testing.T) {
	for _, share := range []int{1, 2, 6} {
		t.Run(strconv.Itoa(share), func(t *testing.T) {
			c := qt.New(t)
			const refusals = 3
			s := startCopyServer(c, refusals, share)
			for range refusals {
				refused := s.forward("q")
				c.Assert(refused.Status, qt.Equals, http.StatusServiceUnavailable)
				c.Assert(refused.Evidence, qt.Equals, pb.Evidence_EVIDENCE_NOT_RUN)
			}
			last := s.forward("q")
			c.Check(last.Status, qt.Equals, http.StatusOK)
			c.Check(last.Evidence, qt.Equals, pb.Evidence_EVIDENCE_RAN)
			s.mu.Lock()
			defer s.mu.Unlock()
			c.Check(s.runs["q"], qt.Equals, 1)
		})
	}
}

// Guards against a copy that counts as the reply to a later request with a repeated ID, and against
// repeated IDs that wait although they may use another connection.
func TestRepeatedIDsDoNotShareAConnection(t *testing.T) {
	c := qt.New(t)
	s := startCopyServer(c, 0, 2)
	const rounds = 20
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range rounds {
				reply := s.forward("q")
				c.Check(reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_RAN)
			}
		})
	}
	callers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Check(s.runs["q"], qt.Equals, 4*rounds)
	c.Check(s.conns, qt.Equals, 4*rounds)
}
