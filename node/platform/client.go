package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// callTimeout bounds every call except Watch.
	callTimeout = 2 * time.Second
	// watchWait is how long the service may hold a watch call before it responds.
	// The client waits watchResponseMargin longer for the response.
	watchWait           = 30 * time.Second
	watchResponseMargin = 5 * time.Second
	// watchMinInterval is the minimum time between the starts of two calls of one watch.
	watchMinInterval = time.Second
	// maxResponseBytes bounds the body of a response. A longer response is an error:
	// a truncated configuration may still parse, with replicas missing.
	maxResponseBytes = MaxValueBytes + 64<<10

	revisionHeader = "Platform-Revision"
	keyPath        = "/v1/kv"
	leasePath      = "/v1/leases"
	vmPath         = "/v1/vms"
)

// Client implements KV, Leases and VMList over HTTP. Safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// A call needs a token of every limiter. The first limiter holds the budget of this
	// client. The others are those of the client from which WithBudgetShare derived it.
	limiters []*rate.Limiter
	calls    *atomic.Uint64
}

var (
	_ KV     = (*Client)(nil)
	_ Leases = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// New returns a client of the service at baseURL. The client makes at most
// callsPerSecond calls per second, with bursts of up to one second's calls. A nil
// transport means http.DefaultTransport.
func New(baseURL string, callsPerSecond float64, transport http.RoundTripper) *Client {
	return &Client{
		base:     baseURL,
		http:     &http.Client{Transport: transport},
		limiters: []*rate.Limiter{newLimiter(callsPerSecond)},
		calls:    new(atomic.Uint64),
	}
}

func newLimiter(callsPerSecond float64) *rate.Limiter {
	burst := max(1, int(math.Ceil(callsPerSecond)))
	return rate.NewLimiter(rate.Limit(callsPerSecond), burst)
}

// WithBudgetShare returns a client of the same service that uses at most the given
// fraction of c's call budget. Its calls also count against c's budget, so that one
// use of the platform cannot consume the calls that the others need.
func (c *Client) WithBudgetShare(fraction float64) *Client {
	shared := *c
	own := newLimiter(fraction * float64(c.limiters[0].Limit()))
	shared.limiters = append([]*rate.Limiter{own}, c.limiters...)
	return &shared
}

// allow consumes one token of each limiter, up to the first that has none. It reports
// whether every limiter had a token.
func (c *Client) allow() bool {
	for _, limiter := range c.limiters {
		if !limiter.Allow() {
			return false
		}
	}
	return true
}

// Calls returns the number of HTTP calls made so far, including those of all clients
// that share the budget. Each HTTP call of a Watch counts once, however long the service
// holds it.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.do(ctx, call{op: "get " + key, method: http.MethodGet, path: keyPath, query: keyQuery(key)})
	if err != nil {
		return Entry{}, err
	}
	return r.entry()
}

// CompareAndSwap implements KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	return c.CompareAndSwapLeased(ctx, key, revision, value, 0)
}

// CompareAndSwapLeased implements Leases.
func (c *Client) CompareAndSwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (uint64, error) {
	op := "compare and swap " + key
	if len(value) > MaxValueBytes {
		return 0, &callError{kind: ErrTooLarge, op: op}
	}
	query := keyQuery(key)
	query.Set("revision", formatUint(revision))
	if lease != 0 {
		query.Set("lease", formatUint(uint64(lease)))
	}
	r, err := c.do(ctx, call{
		op: op, method: http.MethodPut, path: keyPath, query: query, body: value, writes: true,
	})
	if err != nil {
		return 0, err
	}
	e, err := r.entry()
	return e.Revision, err
}

// Watch implements KV. It repeats the call when the service reports that the key
// did not change within watchWait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	query := keyQuery(key)
	query.Set("after", formatUint(after))
	query.Set("wait_ms", formatUint(uint64(watchWait.Milliseconds())))
	for {
		started := time.Now()
		r, err := c.do(ctx, call{
			op: "watch " + key, method: http.MethodGet, path: keyPath, query: query,
			timeout: watchWait + watchResponseMargin,
		})
		if err != nil {
			return Entry{}, err
		}
		if r.status != http.StatusNotModified {
			return r.entry()
		}
		// A proxy may respond without waiting. Without a pause, the watch would then
		// exhaust the budget of the node's other calls within a second.
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(started.Add(watchMinInterval))):
		}
	}
}

// Grant implements Leases.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	query := url.Values{"ttl_ms": {formatUint(uint64(ttl.Milliseconds()))}}
	r, err := c.do(ctx, call{op: "grant lease", method: http.MethodPost, path: leasePath, query: query, writes: true})
	if err != nil {
		return 0, err
	}
	var granted struct {
		ID uint64 `json:"id"`
	}
	err = json.Unmarshal(r.body, &granted)
	if err == nil && granted.ID == 0 {
		// Lease 0 means none: keys written under it would never expire.
		err = errors.New("response contains no lease ID")
	}
	if err != nil {
		return 0, &callError{kind: ErrAmbiguous, op: "grant lease", cause: err}
	}
	return LeaseID(granted.ID), nil
}

// KeepAlive implements Leases.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	query := url.Values{"id": {formatUint(uint64(lease))}}
	_, err := c.do(ctx, call{op: "keep lease alive", method: http.MethodPut, path: leasePath, query: query, writes: true})
	return err
}

// Revoke implements Leases.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	query := url.Values{"id": {formatUint(uint64(lease))}}
	_, err := c.do(ctx, call{op: "revoke lease", method: http.MethodDelete, path: leasePath, query: query, writes: true})
	return err
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	r, err := c.do(ctx, call{op: "list VMs", method: http.MethodGet, path: vmPath})
	if err != nil {
		return nil, err
	}
	var list struct {
		VMs []struct {
			Name        string `json:"name"`
			DataCentre  string `json:"data_centre"`
			PeerAddress string `json:"peer_address"`
			Leaving     bool   `json:"leaving"`
		} `json:"vms"`
	}
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, &callError{kind: ErrUnavailable, op: "list VMs", cause: err}
	}
	vms := make([]VM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		vms = append(vms, VM(vm))
	}
	return vms, nil
}

type call struct {
	op      string
	method  string
	path    string
	query   url.Values
	body    []byte
	writes  bool
	timeout time.Duration
}

type response struct {
	op     string
	status int
	header http.Header
	body   []byte
	writes bool
}

func (c *Client) do(ctx context.Context, k call) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &callError{kind: ErrUnavailable, op: k.op, cause: err}
	}
	if !c.allow() {
		return response{}, &callError{kind: ErrBudget, op: k.op}
	}
	if k.timeout == 0 {
		k.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path+"?"+k.query.Encode(), bytes.NewReader(k.body))
	if err != nil {
		return response{}, &callError{kind: ErrUnavailable, op: k.op, cause: err}
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, &callError{kind: noResponseKind(k, err), op: k.op, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		return response{}, &callError{kind: noResponseKind(k, err), op: k.op, cause: err}
	}
	r := response{op: k.op, status: resp.StatusCode, header: resp.Header, body: body, writes: k.writes}
	return r, statusError(k, r)
}

// noResponseKind returns the kind of error for a call whose response was not received.
// The service may have applied a write, unless no connection was established.
func noResponseKind(k call, err error) error {
	var op *net.OpError
	if !k.writes || errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrAmbiguous
}

// statusError maps HTTP statuses to kinds of errors. The service returns 503 only
// when it has not applied the call. Any other 5xx may come from a proxy, after a
// write took effect.
func statusError(k call, r response) error {
	switch {
	case r.status < http.StatusMultipleChoices || r.status == http.StatusNotModified:
		return nil
	case r.status == http.StatusNotFound:
		return &callError{kind: ErrNotFound, op: k.op}
	case r.status == http.StatusConflict:
		return &callError{kind: ErrConflict, op: k.op}
	case r.status == http.StatusRequestEntityTooLarge:
		return &callError{kind: ErrTooLarge, op: k.op}
	case k.writes && r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable:
		return &callError{kind: ErrAmbiguous, op: k.op, cause: errors.Errorf("unexpected HTTP status %d", r.status)}
	default:
		return &callError{kind: ErrUnavailable, op: k.op, cause: errors.Errorf("unexpected HTTP status %d", r.status)}
	}
}

func (r response) entry() (Entry, error) {
	revision, err := strconv.ParseUint(r.header.Get(revisionHeader), 10, 64)
	if err == nil && revision == 0 {
		// A compare-and-swap at revision 0 means that the key is absent.
		err = errors.New("revision is 0")
	}
	if err != nil {
		kind := ErrUnavailable
		if r.writes {
			kind = ErrAmbiguous
		}
		return Entry{}, &callError{kind: kind, op: r.op, cause: errors.Wrap(err, "revision of the response")}
	}
	return Entry{Value: r.body, Revision: revision}, nil
}

func keyQuery(key string) url.Values { return url.Values{"key": {key}} }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
