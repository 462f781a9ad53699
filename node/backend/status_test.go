package backend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
)

// Guards against a reply without a final status that counts as an answer, as a refusal, or as a
// reason to use its connection again.
func TestReplyWithoutFinalStatusIsMismatched(t *testing.T) {
	for _, header := range []string{"", "Not-Run: true\r\n"} {
		for _, status := range []string{"000", "001", "099", "101"} {
			t.Run(status+header, func(t *testing.T) {
				c := qt.New(t)
				closed := make(chan error, 1)
				serve := func(conn net.Conn) {
					defer func() { _ = conn.Close() }()
					reader := bufio.NewReader(conn)
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Broken\r\nId: q\r\n%sContent-Length: 2\r\n\r\nok", status, header)
					_, err := reader.ReadByte()
					closed <- err
				}
				client, replica := startServer(c, serve, backend.Options{}, 1)
				reply := client.Forward(&backend.ForwardRequest{
					Replica: replica, RequestID: "q", Method: http.MethodGet, Target: "/", Host: "h",
					Header: http.Header{}, Deadline: time.Now().Add(testTimeout),
				}, idDialect{})
				c.Check(reply.Status, qt.Equals, 0)
				c.Check(reply.Evidence, qt.Equals, pb.Evidence_EVIDENCE_UNKNOWN)
				c.Check(reply.Reason, qt.Equals, pb.Reason_REASON_MISMATCH)
				select {
				case err := <-closed:
					c.Check(err, qt.IsNotNil)
				case <-time.After(testTimeout):
					c.Error("the connection stays open")
				}
			})
		}
	}
}
