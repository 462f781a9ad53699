package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client sends requests one at a time and keeps its connection. It repeats nothing by itself.
type client struct {
	record *record
	nodes  []*node
	rng    *rand.Rand
	node   *node
	conn   net.Conn
	reader *bufio.Reader
	// keep is set for a client that stays with its node and connection.
	keep bool
}

// request is one attempt of a client.
type request struct {
	id, method, host, target, body string
	limit                          time.Duration
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	if c.node == nil || !c.keep {
		c.node = c.nodes[c.rng.IntN(len(c.nodes))]
	}
	conn, err := net.DialTimeout("tcp", c.node.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// send sends a request and returns its answer.
func (c *client) send(q request) answer {
	if err := c.connect(); err != nil {
		c.record.count("connections refused")
		return answer{err: err}
	}
	c.record.recordSent(q.id, c.node.name, q.method+" "+q.target)
	a := c.exchange(q)
	c.record.recordAnswer(q.id, a)
	return a
}

func (c *client) exchange(q request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.limit + 100*time.Millisecond))
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.target, q.host,
		wire["request"], q.id, wire["deadline"], q.limit.Milliseconds())
	if q.body != "" {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(body), seal: resp.Header.Get(wire["seal"]), header: resp.Header}
}

// promised reports whether a status promises that the request has not run.
func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryAfter returns the delay that an answer asks for.
func (a answer) retryAfter() time.Duration {
	if v := a.header["Retry-After"]; len(v) > 0 {
		if s, err := strconv.ParseFloat(v[0], 64); err == nil {
			return time.Duration(s * float64(time.Second))
		}
	}
	return 0
}

// drive runs n clients until a time. next returns the request of a client and the pause before it.
func drive(n int, until time.Time, seed uint64, rec *record, nodes []*node, next func(rng *rand.Rand, client, i int) (request, time.Duration)) {
	var all sync.WaitGroup
	for k := range n {
		all.Go(func() {
			c := &client{record: rec, nodes: nodes, rng: rand.New(rand.NewPCG(seed, uint64(k)))}
			defer c.close()
			for i := 0; time.Now().Before(until); i++ {
				q, pause := next(c.rng, k, i)
				time.Sleep(pause)
				a := c.send(q)
				if promised(a.status) {
					// One more attempt, as new, on a new connection.
					c.close()
					time.Sleep(min(a.retryAfter(), q.limit/3))
					q.id += "r"
					c.send(q)
				}
				if a.err != nil {
					c.close()
				}
			}
		})
	}
	all.Wait()
}

// envInt returns a number from the environment, for trials.
func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}
