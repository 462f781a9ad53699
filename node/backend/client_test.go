package backend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
	standin "github.com/carobmill/carobmill/standin/backend"
)

const (
	ran     = pb.Evidence_EVIDENCE_RAN
	notRun  = pb.Evidence_EVIDENCE_NOT_RUN
	unknown = pb.Evidence_EVIDENCE_UNKNOWN
	// testTimeout bounds what a test waits for; no result depends on it.
	testTimeout = 10 * time.Second
)

var protocols = []pb.Protocol{pb.Protocol_PROTOCOL_HTTP1, pb.Protocol_PROTOCOL_H2C}

// harness is one backend server and a client with a share of its connections.
type harness struct {
	*qt.C
	server  *standin.Server
	client  *backend.Client
	replica *config.Replica
}

func newHarness(t *testing.T, protocol pb.Protocol, so standin.Options, co backend.Options, share int) *harness {
	c := qt.New(t)
	so.Name = "r0"
	so.Generations = []standin.Generation{{ID: 1, FirstSnapshot: 1, Shards: []string{"s0"}}}
	so.Oldest, so.Newest = 5, 7
	server := standin.New(so)
	c.Assert(server.Start("127.0.0.1:0"), qt.IsNil)
	client := backend.New(co)
	client.SetConnections("r0", share)
	t.Cleanup(func() {
		client.Close()
		server.Resume()
		server.Close()
	})
	return &harness{C: c, server: server, client: client, replica: &config.Replica{
		Name:    "r0",
		Address: server.Addr(),
		Service: &config.Service{Spec: &pb.Service{Protocol: protocol}},
	}}
}

func (h *harness) call(attempt string) backend.Call {
	return backend.Call{
		Replica:    h.replica,
		Shard:      "s0",
		Generation: 1,
		Snapshot:   7,
		Class:      "checkpoint",
		Attempt:    attempt,
		Body:       []byte(`{"rider":"` + attempt + `"}`),
	}
}

func (h *harness) execute(attempt, id string) backend.Call {
	call := h.call(attempt)
	call.Snapshot = 0
	call.Execute = true
	call.RequestID = id
	return call
}

func (h *harness) do(call backend.Call) backend.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return h.client.Do(ctx, call)
}

func (h *harness) waitUntil(what string, condition func() bool) {
	h.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	h.Fatalf("timed out waiting until %s", what)
}

func forEachProtocol(t *testing.T, f func(t *testing.T, protocol pb.Protocol)) {
	for _, protocol := range protocols {
		t.Run(protocol.String(), func(t *testing.T) { f(t, protocol) })
	}
}

func TestConcurrentRequestsReceiveTheirOwnReplies(t *testing.T) {
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		so := standin.Options{Slots: 4, Queue: -1, Connections: 12}
		h := newHarness(t, protocol, so, backend.Options{}, 3)
		var wg sync.WaitGroup
		for i := range 64 {
			wg.Go(func() {
				call := h.call(fmt.Sprint("a", i))
				reply := h.do(call)
				h.Check(reply.Reason, qt.Equals, pb.Reason_REASON_UNSPECIFIED)
				h.Check(reply.Evidence, qt.Equals, ran)
				var result standin.Result
				h.Check(json.Unmarshal(reply.Result, &result), qt.IsNil)
				h.Check(result.Digest, qt.Equals, standin.Digest(call.Body))
				h.Check([]uint64{reply.Snapshot, reply.Oldest, reply.Newest}, qt.DeepEquals, []uint64{7, 5, 7})
			})
		}
		wg.Wait()
		h.Assert(h.server.Counts().Queries, qt.Equals, uint64(64))
		h.Assert(h.client.Connections("r0") <= 3, qt.IsTrue)
	})
}

func TestRefusalReturnsReasonAndEvidenceOfServer(t *testing.T) {
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 1}, backend.Options{}, 2)
	reply := h.do(func() backend.Call { c := h.call("old"); c.Snapshot = 4; return c }())
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_NO_SNAPSHOT)

	h.server.Shed(true)
	reply = h.do(h.execute("x1", "id1"))
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_SHED)
	h.Assert(reply.Evidence, qt.Equals, notRun)

	h.server.Drain(true)
	reply = h.do(h.execute("x2", "id1"))
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_LEAVING)
	h.Assert(reply.Evidence, qt.Equals, notRun)
	h.Assert(reply.Draining, qt.IsTrue)
	h.Assert(h.server.Runs("id1"), qt.Equals, 0)

	h.client.SetConnections("r0", 0)
	reply = h.do(h.execute("x3", "id1"))
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_LIMIT)
	h.Assert(reply.Evidence, qt.Equals, notRun)
}

func TestPollReturnsReplicaState(t *testing.T) {
	h := newHarness(t, pb.Protocol_PROTOCOL_H2C, standin.Options{StartCold: true}, backend.Options{}, 1)
	reply := h.client.Poll(t.Context(), h.replica)
	h.Assert(reply.OK(), qt.IsTrue)
	h.Assert(reply.Cold, qt.IsTrue)
	h.Assert(reply.Incarnation, qt.Equals, "r0-1")
	h.Assert(reply.Newest, qt.Equals, uint64(7))
}

func TestCancelledExchangeWithinGraceKeepsConnection(t *testing.T) {
	// Do must return at once on cancellation, the connection must be reused after the late
	// reply, and OnRelease must not be called before the replica has finished.
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{}, backend.Options{CancelGrace: testTimeout}, 1)
	h.server.Hold()
	ctx, cancel := context.WithCancel(context.Background())
	released := make(chan struct{})
	call := h.call("loser")
	call.OnRelease = func() { close(released) }
	done := make(chan backend.Reply, 1)
	go func() { done <- h.client.Do(ctx, call) }()
	h.waitUntil("the request runs", func() bool { return h.server.Counts().Queries == 1 })
	cancel()
	reply := <-done
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_CANCELLED)
	h.Assert(reply.Evidence, qt.Equals, unknown)
	select {
	case <-released:
		h.Fatal("released while the request was still running")
	default:
	}
	h.server.Resume()
	<-released
	h.Assert(h.do(h.call("next")).OK(), qt.IsTrue)
	h.Assert(h.server.Counts().Accepted, qt.Equals, uint64(1))
}
