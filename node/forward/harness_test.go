package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/retrybudget"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/standin/memnet"
)

// Headers of the stand-in's dialect.
const (
	headerID        = "Request-Id"
	headerSignature = "Signature"
	headerNotRun    = "Not-Run"
	headerAccount   = "Account"
	headerPace      = "Pace"
)

// dialect is the dialect of the stand-in replicas.
type dialect struct{}

func (dialect) SetHeaders(h http.Header, replicaID, account string, left time.Duration) {
	if account != "" {
		h[headerAccount] = []string{account}
	}
	h["Replica"] = []string{replicaID}
	h["Timeout"] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
}

func (dialect) Metadata(resp *http.Response) backend.ReplyMetadata {
	report, _ := load.NewReport(1, 0, 4)
	percent, _ := strconv.Atoi(resp.Header.Get(headerPace))
	report, _ = report.WithPace(percent)
	return backend.ReplyMetadata{
		Load:      report,
		RequestID: resp.Header.Get(headerID),
		Signature: resp.Header.Get(headerSignature),
		NotRun:    resp.Header.Get(headerNotRun) != "",
	}
}

// source provides a fixed view.
type source struct{ view *directory.View }

func (s source) View() *directory.View { return s.view }
func (source) FleetSize() float64      { return 1 }
func (source) LastAnswer() time.Time   { return time.Now() }

// replica is a stand-in for one backend server. Its part holds one record with its ID.
type replica struct {
	registry.Replica

	// mu guards the fields below.
	mu sync.Mutex
	// latency is how long an answer takes.
	latency time.Duration
	// pace is reported in percent with each answer; 0 for no report.
	pace int
	// refusals is how many of the next requests are refused.
	refusals int
	// silentUntil is when the replica answers again. Requests that arrive before are answered
	// then, or never if drops is set.
	silentUntil time.Time
	drops       bool
	// requests is how many requests have arrived.
	requests int
	conns    []net.Conn
	// expired holds the connections that are closed when the next request arrives on them.
	expired map[net.Conn]bool
	// copies sends second copies of refusals; nil for none.
	copies *refusalCopies
	// runs counts the runs of each request ID.
	runs map[string]int
}

// expireConnections makes each open connection close when the next request arrives on it, as
// a firewall does that has dropped the state of idle connections.
func (r *replica) expireConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		r.expired[conn] = true
	}
}

// expiredConnections returns how many expired connections no request has arrived on.
func (r *replica) expiredConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.expired)
}

func (r *replica) isExpired(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expired[conn]
}

// remove removes a closed connection.
func (r *replica) remove(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.expired, conn)
	r.conns = slices.DeleteFunc(r.conns, func(other net.Conn) bool { return other == conn })
}

// close closes all accepted connections.
func (r *replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *replica) set(change func(r *replica)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func (r *replica) requestCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// recordRequest counts a request and returns how to answer it.
func (r *replica) recordRequest() (latency time.Duration, pace int, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if r.refusals > 0 {
		r.refusals--
		return 0, r.pace, true
	}
	if r.copies.refuses() {
		return 0, r.pace, true
	}
	return r.latency, r.pace, false
}

// silence returns for how long the replica is silent, and whether it drops a request.
func (r *replica) silence() (silentFor time.Duration, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	silentFor = max(0, time.Until(r.silentUntil))
	return silentFor, r.drops && silentFor > 0
}

// record returns the 16-byte record with a name.
func record(name string) string { return fmt.Sprintf("%-16s", name) }

// serve answers the requests on one connection.
func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.remove(conn)
	}()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil || r.isExpired(conn) {
			return
		}
		latency, pace, refused := r.recordRequest()
		silentFor, dropped := r.silence()
		if dropped {
			continue
		}
		time.Sleep(silentFor + latency)
		id := req.Header.Get(headerID)
		var out bytes.Buffer
		r.recordRun(id, refused)
		if refused {
			fmt.Fprintf(&out, "HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
		} else {
			fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: of-%s\r\n%s: %d\r\nContent-Length: 16\r\n\r\n%s",
				headerID, id, headerSignature, r.ID, headerPace, pace, record(r.ID))
		}
		if _, err := conn.Write(r.withCopies(out.Bytes(), refused)); err != nil {
			return
		}
	}
}

// listen serves connections until the listener is closed.
func (r *replica) listen(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.set(func(r *replica) { r.conns = append(r.conns, conn) })
		go r.serve(conn)
	}
}

// harness holds replicas in data centres and the forwarders of some nodes.
type harness struct {
	*qt.C
	network  *memnet.Network
	view     *directory.View
	replicas map[string]*replica
	route    route.Route
	closers  []func()
}

// withHarness runs a test in virtual time. placement maps each shard to the data centres
// of its replicas.
func withHarness(t *testing.T, placement map[string][]string, test func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{
			C:        qt.New(t),
			network:  memnet.New(time.Millisecond),
			view:     &directory.View{Replicas: make(map[string][]*registry.Replica), At: time.Now()},
			replicas: make(map[string]*replica),
			route: route.Route{
				Name: "all", Host: "h.example", Prefix: "/", Idempotent: true, MaxAttempts: 2,
				Timeout: time.Second, Objective: 100 * time.Millisecond, TopRecords: 100, MinCoverage: 0.75,
			},
		}
		for shard, centres := range placement {
			h.route.Shards = append(h.route.Shards, shard)
			for _, dc := range centres {
				h.addReplica(shard, dc)
			}
		}
		defer func() {
			// Closing a connection between two reads would block virtual time.
			time.Sleep(time.Second)
			for _, stop := range h.closers {
				stop()
			}
			time.Sleep(time.Minute)
		}()
		test(h)
	})
}

// addReplica starts a replica of a shard in a data centre. Its ID is shard-dc.
func (h *harness) addReplica(shard, dc string) {
	l, err := h.network.Listen(dc, "127.0.0.1:0")
	h.Assert(err, qt.IsNil)
	id := shard + "-" + dc
	rep := &replica{
		Replica: registry.Replica{ID: id, Service: shard, Address: l.Addr().String(), DataCentre: dc},
		latency: 5 * time.Millisecond,
		expired: make(map[net.Conn]bool),
		runs:    make(map[string]int),
	}
	h.replicas[id] = rep
	h.view.Replicas[shard] = append(h.view.Replicas[shard], &rep.Replica)
	h.closers = append(h.closers, func() { _ = l.Close() }, rep.close)
	go rep.listen(l)
}

// node starts the forwarder of a node in a data centre.
func (h *harness) node(dc string, sender forward.BatchSender, change ...func(o *forward.Options)) *forward.Forwarder {
	if h.view.Index == nil {
		h.view.Index = route.NewIndex(&route.Configuration{Version: 1, Routes: []route.Route{h.route}})
	}
	client := backend.New(backend.Options{
		Dial: h.network.Dialer(dc), DialTimeout: 500 * time.Millisecond, CloseTimeout: time.Second,
	})
	f := forwarder(h.view, client, dc, sender, change...)
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	h.closers = append(h.closers, cancel, client.Close)
	return f
}

// forwarder returns a forwarder that has received a view.
func forwarder(view *directory.View, client *backend.Client, dc string, sender forward.BatchSender, change ...func(o *forward.Options)) *forward.Forwarder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	o := forward.Options{
		Source:      source{view: view},
		Backend:     client,
		Dialect:     dialect{},
		DataCentre:  dc,
		BatchSender: sender,
		RetryBudget: retrybudget.Bound{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
		Log:         log,
	}
	for _, c := range change {
		c(&o)
	}
	f := forward.New(o)
	f.Update(view)
	return f
}

// serve serves one request and returns its answer and latency.
func (h *harness) serve(f *forward.Forwarder, reserve time.Duration) (forward.Answer, time.Duration) {
	began := time.Now()
	id := newRequestID()
	a := f.Serve(context.Background(), &forward.Request{
		ID: id, Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h.example",
		Header:  http.Header{headerID: {id}},
		Arrived: began, CallerTimeout: time.Second, TransitReserve: reserve,
	})
	return a, time.Since(began)
}

// requestIDs counts the IDs that newRequestID has returned.
var requestIDs atomic.Uint64

// newRequestID returns an ID that no other request has, as callers do.
func newRequestID() string { return "q" + strconv.FormatUint(requestIDs.Add(1), 10) }

// checkRecords checks that an answer holds at most one part of each shard, exactly the
// records of these parts, and the right number of missing shards.
func (h *harness) checkRecords(a forward.Answer) {
	h.Assert(a.Outcome, qt.Equals, forward.Merged)
	seen := make(map[string]bool)
	want := make(map[string]bool)
	for _, signature := range a.Signatures {
		id := signature[len("of-"):]
		shard := h.replicas[id].Service
		h.Assert(seen[shard], qt.IsFalse, qt.Commentf("two parts of shard %s", shard))
		seen[shard] = true
		want[record(id)] = true
	}
	got := make(map[string]bool)
	for body := a.Body; len(body) > 0; body = body[16:] {
		got[string(body[:16])] = true
	}
	h.Assert(got, qt.DeepEquals, want)
	h.Assert(len(a.Signatures)+a.Missing, qt.Equals, len(h.route.Shards))
}

// checkMaxAttempts checks that no shard was sent to more replicas than the route allows.
func (h *harness) checkMaxAttempts() {
	replicasUsed := make(map[string]int)
	for _, rep := range h.replicas {
		if rep.requestCount() > 0 {
			replicasUsed[rep.Service]++
		}
	}
	for shard, n := range replicasUsed {
		h.Assert(n <= h.route.MaxAttempts, qt.IsTrue, qt.Commentf("shard %s was sent to %d replicas", shard, n))
	}
}
