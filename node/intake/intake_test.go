package intake_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/intake"
	policy "github.com/carobmill/carobmill/policy/intake"
	"github.com/carobmill/carobmill/standin/memnet"
)

const (
	maxHeaderBytes  = 8 << 10
	maxBodyBytes    = 64 << 10
	headerTimeout   = 3 * time.Second
	idleTimeout     = 15 * time.Second
	transferTimeout = 20 * time.Second

	serverAddress = "10.0.0.1:80"
)

// harness is a server in virtual time.
type harness struct {
	*qt.C
	budget *intake.Budget
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// served counts the requests that reached the handler.
	served atomic.Int64
	// work is how long the handler takes, in nanoseconds.
	work atomic.Int64
}

// run starts a server with a budget, runs a test, and checks that the budget is unused once
// all connections are closed.
func run(t *testing.T, limits policy.Limits, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		h := &harness{C: qt.New(t), budget: intake.NewBudget(limits), dial: network.Dialer("caller")}
		listener, err := network.Listen("node", serverAddress)
		h.Assert(err, qt.IsNil)
		server := intake.NewServer(intake.Options{
			Handler:         http.HandlerFunc(h.serve),
			Budget:          h.budget,
			MaxHeaderBytes:  func() int64 { return maxHeaderBytes },
			HeaderTimeout:   func() time.Duration { return headerTimeout },
			MaxBodyBytes:    func() int64 { return maxBodyBytes },
			IdleTimeout:     func() time.Duration { return idleTimeout },
			TransferTimeout: transferTimeout,
		})
		go func() { _ = server.Serve(listener) }()
		test(h)
		_ = server.Close()
		// Handlers may be at work.
		time.Sleep(5 * time.Minute)
		h.Check(h.gauge("caller_connections"), qt.Equals, 0.0)
		h.Check(h.gauge("caller_memory_bytes"), qt.Equals, 0.0)
	})
}

func (h *harness) serve(w http.ResponseWriter, r *http.Request) {
	h.served.Add(1)
	time.Sleep(time.Duration(h.work.Load()))
	if r.Context().Err() != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%d bytes", len(intake.Body(r)))
}

func (h *harness) gauge(name string) (value float64) {
	h.budget.Report(func(n string, v float64) {
		if n == name {
			value = v
		}
	})
	return value
}

// client is a caller's connection.
type client struct {
	*harness
	conn    net.Conn
	answers *bufio.Reader
}

func (h *harness) connect() *client {
	conn, err := h.dial(context.Background(), "tcp", serverAddress)
	h.Assert(err, qt.IsNil)
	h.Cleanup(func() { _ = conn.Close() })
	return &client{harness: h, conn: conn, answers: bufio.NewReader(conn)}
}

// send sends a part of a request. The server may have closed the connection.
func (c *client) send(text string) { _, _ = io.WriteString(c.conn, text) }

// answer returns the next answer and its body; nil if the connection ends without one.
func (c *client) answer() (*http.Response, string) {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(body)
}

// checkAnswer checks the status and the body of the next answer. Status 0 is the end of the
// connection without an answer.
func (c *client) checkAnswer(status int, body string) {
	resp, got := c.answer()
	if status == 0 || resp == nil {
		c.Check(resp == nil, qt.Equals, status == 0)
		return
	}
	c.Check(resp.StatusCode, qt.Equals, status)
	if status == http.StatusOK {
		c.Check(got, qt.Equals, body)
		return
	}
	c.Check(resp.Close, qt.IsTrue)
	if status == http.StatusServiceUnavailable {
		c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n"

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// wide is a budget that holds any crowd of these tests.
var wide = policy.Limits{Memory: 64 << 20, Connections: 100}

func TestRequestsOfAConnectionAreServed(t *testing.T) {
	run(t, wide, func(h *harness) {
		c := h.connect()
		c.send(get + "\r\n")
		c.checkAnswer(http.StatusOK, "0 bytes")
		c.send(post(5) + "01234")
		c.checkAnswer(http.StatusOK, "5 bytes")
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n3\r\n567\r\n0\r\n\r\n")
		c.checkAnswer(http.StatusOK, "8 bytes")
		c.send(post(maxBodyBytes) + strings.Repeat("b", maxBodyBytes))
		c.checkAnswer(http.StatusOK, fmt.Sprint(maxBodyBytes, " bytes"))
		time.Sleep(idleTimeout * 4 / 5)
		c.send(get + "A: " + strings.Repeat("b", maxHeaderBytes-len(get)) + "\r\n\r\n")
		c.checkAnswer(http.StatusOK, "0 bytes")
		h.Check(h.gauge("caller_memory_bytes"), qt.Equals, float64(policy.ConnectionCost))
	})
}

// Guards against a request that is counted as one that arrived before its connection was idle.
func TestPipelinedRequestsAreServed(t *testing.T) {
	run(t, wide, func(h *harness) {
		c := h.connect()
		c.send(strings.Repeat(post(3)+"012"+get+"\r\n", 20))
		for range 20 {
			c.checkAnswer(http.StatusOK, "3 bytes")
			c.checkAnswer(http.StatusOK, "0 bytes")
		}
	})
}

// Guards against a handler that waits longer for its answer than the transfer of one may take.
func TestSlowAnswerIsNotInterrupted(t *testing.T) {
	run(t, wide, func(h *harness) {
		h.work.Store(int64(3 * transferTimeout))
		for _, request := range []string{get + "\r\n", post(3) + "012"} {
			c := h.connect()
			c.send(request)
			resp, _ := c.answer()
			h.Assert(resp, qt.IsNotNil)
			h.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		}
	})
}

// Guards against heads over the limit that are read to their end.
func TestHeadOverTheLimitIsRejected(t *testing.T) {
	run(t, wide, func(h *harness) {
		for _, head := range []string{
			get + strings.Repeat("a:\r\n", maxHeaderBytes),
			get + "A: " + strings.Repeat("b", 4*maxHeaderBytes),
			"GET /" + strings.Repeat("b", 4*maxHeaderBytes),
			get + "A: b\r\n" + strings.Repeat("\tc\r\n", maxHeaderBytes),
		} {
			c := h.connect()
			c.send(head)
			c.checkAnswer(http.StatusRequestHeaderFieldsTooLarge, "")
			c.checkAnswer(0, "")
		}
		h.Check(h.served.Load(), qt.Equals, int64(0))
	})
}

// Guards against empty lines before a request that are read without end.
func TestEmptyLinesBeforeARequestAreRejected(t *testing.T) {
	run(t, wide, func(h *harness) {
		for _, lines := range []string{"\r\n", "\n", "\r\r\n", " \r\n"} {
			c := h.connect()
			c.send(strings.Repeat(lines, maxHeaderBytes))
			c.checkAnswer(http.StatusBadRequest, "")
		}
	})
}

// Guards against heads that are held without a time limit.
func TestHeadWithoutEndIsClosed(t *testing.T) {
	run(t, wide, func(h *harness) {
		c := h.connect()
		for _, first := range []string{"", get + "\r\n"} {
			c.send(first)
			if first != "" {
				c.checkAnswer(http.StatusOK, "0 bytes")
			}
			time.Sleep(time.Second)
			c.send(get)
			began := time.Now()
			c.checkAnswer(0, "")
			h.Check(time.Since(began) <= headerTimeout+time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			c = h.connect()
		}
	})
}

// Guards against bodies that are held without a time limit, also while pieces arrive.
func TestBodyWithoutEndIsRejected(t *testing.T) {
	run(t, wide, func(h *harness) {
		for _, head := range []string{post(1000), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"} {
			c := h.connect()
			c.send(head)
			began := time.Now()
			go func() {
				for range 30 {
					c.send("1\r\n0\r\n")
					time.Sleep(time.Second)
				}
			}()
			c.checkAnswer(http.StatusRequestTimeout, "")
			h.Check(time.Since(began) <= transferTimeout+2*time.Second, qt.IsTrue)
			time.Sleep(30 * time.Second)
		}
		h.Check(h.served.Load(), qt.Equals, int64(0))
	})
}

// Guards against a body over the limit that is read to its end.
func TestBodyOverTheLimitIsRejected(t *testing.T) {
	run(t, wide, func(h *harness) {
		for _, request := range []string{
			post(maxBodyBytes + 1),
			fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				maxBodyBytes+1, strings.Repeat("b", maxBodyBytes+1)),
			fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
				2*maxBodyBytes, strings.Repeat("b", maxBodyBytes+1)),
		} {
			c := h.connect()
			c.send(request)
			c.checkAnswer(http.StatusRequestEntityTooLarge, "")
			began := time.Now()
			c.checkAnswer(0, "")
			h.Check(time.Since(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		}
		h.Check(h.served.Load(), qt.Equals, int64(0))
	})
}

// oddHead is a head of legal size whose lines need many times their bytes.
var oddHead = get + strings.Repeat("a:\r\n", (maxHeaderBytes-len(get))/4)

// few is a budget that holds few heads such as oddHead.
var few = policy.Limits{Memory: 2 << 20, Connections: 30}

// Guards against heads without room in the budget that are served or that stay without an answer.
func TestHeadWithoutMemoryIsRejectedAsNotRun(t *testing.T) {
	run(t, few, func(h *harness) {
		var clients []*client
		for range 10 {
			c := h.connect()
			c.send(oddHead)
			clients = append(clients, c)
		}
		time.Sleep(100 * time.Millisecond)
		rejected := int(h.gauge("caller_requests_without_memory"))
		h.Check(rejected > 0 && rejected < 10, qt.IsTrue, qt.Commentf("%d rejected", rejected))
		for _, c := range clients[10-rejected:] {
			c.checkAnswer(http.StatusServiceUnavailable, "")
		}
		ordinary := h.connect()
		ordinary.send(get + "\r\n")
		ordinary.checkAnswer(http.StatusOK, "0 bytes")
		h.Check(h.served.Load(), qt.Equals, int64(1))
	})
}

// Guards against a pipelined head whose bytes were counted for the request before it.
func TestPipelinedHeadIsCounted(t *testing.T) {
	run(t, policy.Limits{Memory: 256 << 10, Connections: 3}, func(h *harness) {
		h.work.Store(int64(time.Second))
		c := h.connect()
		c.send(get + "\r\n" + get + strings.Repeat("a:\r\n", 600) + "\r\n")
		c.checkAnswer(http.StatusOK, "0 bytes")
		time.Sleep(10 * time.Millisecond)
		h.Check(h.gauge("caller_memory_bytes") > policy.ConnectionCost+600*100, qt.IsTrue)
	})
}

// Guards against stalled bodies that keep out other requests, and against an answer other than
// "not run" to those that give way.
func TestStalledBodyGivesWayAsNotRun(t *testing.T) {
	run(t, few, func(h *harness) {
		var stalled []*client
		for range 25 {
			c := h.connect()
			c.send(post(maxBodyBytes) + strings.Repeat("b", maxBodyBytes-1))
			stalled = append(stalled, c)
		}
		time.Sleep(2 * time.Second)
		c := h.connect()
		c.send(post(maxBodyBytes) + strings.Repeat("b", maxBodyBytes))
		c.checkAnswer(http.StatusOK, fmt.Sprint(maxBodyBytes, " bytes"))
		stalled[0].checkAnswer(http.StatusServiceUnavailable, "")
		stalled[0].send("b")
		h.Check(h.served.Load(), qt.Equals, int64(1))
	})
}

// Guards against a second answer after the rejection of a head that gives way.
func TestStalledHeadGivesWayWithOneAnswer(t *testing.T) {
	run(t, policy.Limits{Connections: 2}, func(h *harness) {
		var stalled []*client
		for range 2 {
			c := h.connect()
			c.send(get)
			stalled = append(stalled, c)
		}
		time.Sleep(2 * time.Second)
		c := h.connect()
		c.send(get + "\r\n")
		c.checkAnswer(http.StatusOK, "0 bytes")
		rest, err := io.ReadAll(stalled[0].answers)
		h.Check(err, qt.IsNil)
		h.Check(strings.Count(string(rest), "HTTP/1.1"), qt.Equals, 1, qt.Commentf("%q", rest))
		h.Check(strings.HasPrefix(string(rest), "HTTP/1.1 503 "), qt.IsTrue)
	})
}

// Guards against a crowd of connections that keeps out ordinary callers, and against idle
// connections that are closed after they sent a request.
func TestNewConnectionsFindRoom(t *testing.T) {
	run(t, policy.Limits{Connections: 10}, func(h *harness) {
		h.work.Store(int64(time.Minute))
		served := h.connect()
		served.send(get + "\r\n")
		time.Sleep(time.Second)
		h.work.Store(int64(0))
		idle := h.connect()
		idle.send(get + "\r\n")
		idle.checkAnswer(http.StatusOK, "0 bytes")
		for n := range 100 {
			c := h.connect()
			c.send("G")
			if n == 7 {
				time.Sleep(2 * time.Second)
			}
			if n == 9 {
				// Two that were stalled have given way to the newest two.
				idle.send(get + "\r\n")
				idle.checkAnswer(http.StatusOK, "0 bytes")
			}
		}
		ordinary := h.connect()
		ordinary.send(get + "\r\n")
		ordinary.checkAnswer(http.StatusOK, "0 bytes")
		h.Check(h.gauge("caller_connections"), qt.Equals, 10.0)
		served.checkAnswer(http.StatusOK, "0 bytes")
	})
}

// Guards against connections that stay open without a request.
func TestIdleConnectionIsClosed(t *testing.T) {
	run(t, wide, func(h *harness) {
		c := h.connect()
		c.send(get + "\r\n")
		c.checkAnswer(http.StatusOK, "0 bytes")
		began := time.Now()
		c.checkAnswer(0, "")
		h.Check(time.Since(began) <= idleTimeout+time.Second, qt.IsTrue)
		silent := h.connect()
		began = time.Now()
		silent.checkAnswer(0, "")
		h.Check(time.Since(began) <= idleTimeout+time.Second, qt.IsTrue)
	})
}

// pipeListener accepts the server ends of pipes, on which writes wait for a reader.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error { return nil }

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against answers that are held without a time limit for callers that do not read them, and
// that keep out other callers.
func TestUnreadAnswerGivesWayAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		budget := intake.NewBudget(policy.Limits{Connections: 1})
		failures := make(chan error, 2)
		server := intake.NewServer(intake.Options{
			Budget:          budget,
			MaxBodyBytes:    func() int64 { return maxBodyBytes },
			TransferTimeout: transferTimeout,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := w.Write(make([]byte, 1<<20))
				failures <- err
			}),
		})
		listener := pipeListener{conns: make(chan net.Conn)}
		go func() { _ = server.Serve(listener) }()
		began := time.Now()
		for range 2 {
			caller, conn := net.Pipe()
			defer func() { _ = caller.Close() }()
			listener.conns <- conn
			_, err := io.WriteString(caller, get+"\r\n")
			c.Assert(err, qt.IsNil)
			time.Sleep(2 * time.Second)
		}
		c.Check(<-failures, qt.IsNotNil)
		c.Check(time.Since(began) < transferTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		c.Check(<-failures, qt.IsNotNil)
		c.Check(time.Since(began) <= transferTimeout+4*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		close(listener.conns)
		_ = server.Close()
		time.Sleep(time.Minute)
	})
}
