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
	// callTimeout bounds every call but a waiting watch.
	callTimeout = 2 * time.Second
	// watchWait is how long one watch call may wait at the service, and
	// watchSlack how much later its answer may come.
	watchWait  = 30 * time.Second
	watchSlack = 5 * time.Second
	// watchPause is the least time between two calls of one watch.
	watchPause = time.Second
	// maxReplyBytes bounds what is read of an answer. A longer one is refused as
	// a whole: cut, a configuration may still parse, with replicas missing.
	maxReplyBytes = MaxValueBytes + 64<<10

	revisionHeader = "Platform-Revision"
	keyPath        = "/v1/kv"
	leasePath      = "/v1/leases"
	vmPath         = "/v1/vms"
)

// Client implements KV, Leases and VMList over HTTP. Safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// budgets must all allow a call; the last one is the whole node's.
	budgets []*rate.Limiter
	calls   *atomic.Uint64
}

var (
	_ KV     = (*Client)(nil)
	_ Leases = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// New returns a client of the service at baseURL that makes at most
// callsPerSecond calls, in bursts of up to a second's worth. A nil transport
// means http.DefaultTransport.
func New(baseURL string, callsPerSecond float64, transport http.RoundTripper) *Client {
	return &Client{
		base:    baseURL,
		http:    &http.Client{Transport: transport},
		budgets: []*rate.Limiter{newBudget(callsPerSecond)},
		calls:   new(atomic.Uint64),
	}
}

func newBudget(callsPerSecond float64) *rate.Limiter {
	burst := max(1, int(math.Ceil(callsPerSecond)))
	return rate.NewLimiter(rate.Limit(callsPerSecond), burst)
}

// WithBudgetShare returns a client of the same service whose calls come out of the same
// budget and take up at most this part of it, so that one use of the platform
// leaves room for the others.
func (c *Client) WithBudgetShare(part float64) *Client {
	shared := *c
	own := newBudget(part * float64(c.budgets[0].Limit()))
	shared.budgets = append([]*rate.Limiter{own}, c.budgets...)
	return &shared
}

// allow takes a call out of every budget.
func (c *Client) allow() bool {
	for _, budget := range c.budgets {
		if !budget.Allow() {
			return false
		}
	}
	return true
}

// Calls returns the number of calls made so far, with those of all shares; a
// waiting watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.call(ctx, call{op: "get " + key, method: http.MethodGet, path: keyPath, query: keyQuery(key)})
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
		return 0, &failure{kind: ErrTooLarge, op: op}
	}
	query := keyQuery(key)
	query.Set("revision", formatUint(revision))
	if lease != 0 {
		query.Set("lease", formatUint(uint64(lease)))
	}
	r, err := c.call(ctx, call{
		op: op, method: http.MethodPut, path: keyPath, query: query, body: value, writes: true,
	})
	if err != nil {
		return 0, err
	}
	e, err := r.entry()
	return e.Revision, err
}

// Watch implements KV. It asks again when the service had no change to tell
// within its own limit on waiting.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	query := keyQuery(key)
	query.Set("after", formatUint(after))
	query.Set("wait_ms", formatUint(uint64(watchWait.Milliseconds())))
	for {
		asked := time.Now()
		r, err := c.call(ctx, call{
			op: "watch " + key, method: http.MethodGet, path: keyPath, query: query,
			timeout: watchWait + watchSlack,
		})
		if err != nil {
			return Entry{}, err
		}
		if r.status != http.StatusNotModified {
			return r.entry()
		}
		// Something in front of the service may answer at once. Asking again without
		// a pause would use up the budget of the node's other calls within a second.
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(asked.Add(watchPause))):
		}
	}
}

// Grant implements Leases.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	query := url.Values{"ttl_ms": {formatUint(uint64(ttl.Milliseconds()))}}
	r, err := c.call(ctx, call{op: "grant lease", method: http.MethodPost, path: leasePath, query: query, writes: true})
	if err != nil {
		return 0, err
	}
	var granted struct {
		ID uint64 `json:"id"`
	}
	err = json.Unmarshal(r.body, &granted)
	if err == nil && granted.ID == 0 {
		// Keys written under lease 0 would never lapse.
		err = errors.New("answer names no lease")
	}
	if err != nil {
		return 0, &failure{kind: ErrAmbiguous, op: "grant lease", cause: err}
	}
	return LeaseID(granted.ID), nil
}

// KeepAlive implements Leases.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	query := url.Values{"id": {formatUint(uint64(lease))}}
	_, err := c.call(ctx, call{op: "keep lease alive", method: http.MethodPut, path: leasePath, query: query, writes: true})
	return err
}

// Revoke implements Leases.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	query := url.Values{"id": {formatUint(uint64(lease))}}
	_, err := c.call(ctx, call{op: "revoke lease", method: http.MethodDelete, path: leasePath, query: query, writes: true})
	return err
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	r, err := c.call(ctx, call{op: "list VMs", method: http.MethodGet, path: vmPath})
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
		return nil, &failure{kind: ErrUnavailable, op: "list VMs", cause: err}
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

type reply struct {
	op     string
	status int
	header http.Header
	body   []byte
	writes bool
}

func (c *Client) call(ctx context.Context, k call) (reply, error) {
	if err := ctx.Err(); err != nil {
		return reply{}, &failure{kind: ErrUnavailable, op: k.op, cause: err}
	}
	if !c.allow() {
		return reply{}, &failure{kind: ErrBudget, op: k.op}
	}
	if k.timeout == 0 {
		k.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path+"?"+k.query.Encode(), bytes.NewReader(k.body))
	if err != nil {
		return reply{}, &failure{kind: ErrUnavailable, op: k.op, cause: err}
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, &failure{kind: lostKind(k, err), op: k.op, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errors.Errorf("answer exceeds %d bytes", maxReplyBytes)
	}
	if err != nil {
		return reply{}, &failure{kind: lostKind(k, err), op: k.op, cause: err}
	}
	r := reply{op: k.op, status: resp.StatusCode, header: resp.Header, body: body, writes: k.writes}
	return r, statusError(k, r)
}

// lostKind tells a write whose answer was lost from one that cannot have been
// sent, because no connection was made.
func lostKind(k call, err error) error {
	var op *net.OpError
	if !k.writes || errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrAmbiguous
}

// statusError maps the service's statuses. 503 is the service's own word that
// it did nothing; any other 5xx may come from something in front of it, after
// the write took effect.
func statusError(k call, r reply) error {
	switch {
	case r.status < http.StatusMultipleChoices || r.status == http.StatusNotModified:
		return nil
	case r.status == http.StatusNotFound:
		return &failure{kind: ErrNotFound, op: k.op}
	case r.status == http.StatusConflict:
		return &failure{kind: ErrConflict, op: k.op}
	case r.status == http.StatusRequestEntityTooLarge:
		return &failure{kind: ErrTooLarge, op: k.op}
	case k.writes && r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable:
		return &failure{kind: ErrAmbiguous, op: k.op, cause: errors.Errorf("status %d", r.status)}
	default:
		return &failure{kind: ErrUnavailable, op: k.op, cause: errors.Errorf("status %d", r.status)}
	}
}

func (r reply) entry() (Entry, error) {
	revision, err := strconv.ParseUint(r.header.Get(revisionHeader), 10, 64)
	if err == nil && revision == 0 {
		// In a compare-and-swap it would stand for a key that is absent.
		err = errors.New("revision is 0")
	}
	if err != nil {
		kind := ErrUnavailable
		if r.writes {
			kind = ErrAmbiguous
		}
		return Entry{}, &failure{kind: kind, op: r.op, cause: errors.Wrap(err, "revision of the answer")}
	}
	return Entry{Value: r.body, Revision: revision}, nil
}

func keyQuery(key string) url.Values { return url.Values{"key": {key}} }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
