package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client has received; status 0 means that the connection ended before.
type answer struct {
	status     int
	header     http.Header
	body       string
	retryAfter time.Duration
	err        error
}

// client sends requests to one node and keeps its connections. It repeats nothing by itself.
type client struct {
	address, host string
	transport     *http.Transport

	mu   sync.Mutex
	idle []*http.ClientConn
}

func newClient(address, host string) *client {
	return &client{address: address, host: host, transport: &http.Transport{DisableCompression: true}}
}

func (c *client) connect(fresh bool) (*http.ClientConn, error) {
	c.mu.Lock()
	for !fresh && len(c.idle) > 0 {
		cc := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if cc.Err() == nil {
			c.mu.Unlock()
			return cc, nil
		}
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.transport.NewClientConn(ctx, "http", c.address)
}

// send sends one request.
func (c *client) send(method, target, id, body string, left time.Duration, fresh bool) answer {
	cc, err := c.connect(fresh)
	if err != nil {
		return answer{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+target, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	req.Host = c.host
	req.Header.Set(names["request_id"], id)
	req.Header.Set(names["deadline"], strconv.FormatInt(left.Milliseconds(), 10))
	resp, err := cc.RoundTrip(req)
	if err != nil {
		_ = cc.Close()
		return answer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		_ = cc.Close()
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data)}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Close {
		_ = cc.Close()
		return a
	}
	c.mu.Lock()
	c.idle = append(c.idle, cc)
	c.mu.Unlock()
	return a
}

func (a answer) note() string {
	if a.err != nil {
		return fmt.Sprint(a.err)
	}
	if a.retryAfter > 0 {
		return "retry after " + a.retryAfter.String()
	}
	return ""
}

// promise reports whether a status says that the request has not run and never will.
func promise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// hasIdle reports whether a connection is kept.
func (c *client) hasIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.idle {
		if cc.Err() == nil {
			return true
		}
	}
	return false
}
