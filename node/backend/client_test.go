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
	// patience bounds what a test waits for; it decides nothing.
	patience = 10 * time.Second
)

var protocols = []pb.Protocol{pb.Protocol_PROTOCOL_HTTP1, pb.Protocol_PROTOCOL_H2C}

// rig is one backend server and a client with a share of its connections.
type rig struct {
	*qt.C
	server  *standin.Server
	client  *backend.Client
	replica *config.Replica
}

func newRig(t *testing.T, protocol pb.Protocol, so standin.Options, co backend.Options, share int) *rig {
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
	return &rig{C: c, server: server, client: client, replica: &config.Replica{
		Name:    "r0",
		Address: server.Addr(),
		Service: &config.Service{Spec: &pb.Service{Protocol: protocol}},
	}}
}

func (r *rig) call(attempt string) backend.Call {
	return backend.Call{
		Replica:    r.replica,
		Shard:      "s0",
		Generation: 1,
		Snapshot:   7,
		Class:      "checkpoint",
		Attempt:    attempt,
		Body:       []byte(`{"rider":"` + attempt + `"}`),
	}
}

func (r *rig) execute(attempt, id string) backend.Call {
	call := r.call(attempt)
	call.Snapshot = 0
	call.Execute = true
	call.RequestID = id
	return call
}

func (r *rig) do(call backend.Call) backend.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return r.client.Do(ctx, call)
}

func (r *rig) eventually(what string, condition func() bool) {
	r.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	r.Fatalf("did not happen: %s", what)
}

func eachProtocol(t *testing.T, f func(t *testing.T, protocol pb.Protocol)) {
	for _, protocol := range protocols {
		t.Run(protocol.String(), func(t *testing.T) { f(t, protocol) })
	}
}

func TestEachAnswerBelongsToItsRequest(t *testing.T) {
	eachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		so := standin.Options{Slots: 4, Queue: -1, Connections: 12}
		r := newRig(t, protocol, so, backend.Options{}, 3)
		var wg sync.WaitGroup
		for i := range 64 {
			wg.Go(func() {
				call := r.call(fmt.Sprint("a", i))
				reply := r.do(call)
				r.Check(reply.Reason, qt.Equals, pb.Reason_REASON_UNSPECIFIED)
				r.Check(reply.Evidence, qt.Equals, ran)
				var result standin.Result
				r.Check(json.Unmarshal(reply.Result, &result), qt.IsNil)
				r.Check(result.Digest, qt.Equals, standin.Digest(call.Body))
				r.Check([]uint64{reply.Snapshot, reply.Oldest, reply.Newest}, qt.DeepEquals, []uint64{7, 5, 7})
			})
		}
		wg.Wait()
		r.Assert(r.server.Counts().Queries, qt.Equals, uint64(64))
		r.Assert(r.client.Connections("r0") <= 3, qt.IsTrue)
	})
}

func TestRefusalsStateWhatTheServerStated(t *testing.T) {
	r := newRig(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 1}, backend.Options{}, 2)
	reply := r.do(func() backend.Call { c := r.call("old"); c.Snapshot = 4; return c }())
	r.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_NO_SNAPSHOT)

	r.server.Shed(true)
	reply = r.do(r.execute("x1", "id1"))
	r.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_SHED)
	r.Assert(reply.Evidence, qt.Equals, notRun)

	r.server.Drain(true)
	reply = r.do(r.execute("x2", "id1"))
	r.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_LEAVING)
	r.Assert(reply.Evidence, qt.Equals, notRun)
	r.Assert(reply.Draining, qt.IsTrue)
	r.Assert(r.server.Runs("id1"), qt.Equals, 0)

	r.client.SetConnections("r0", 0)
	reply = r.do(r.execute("x3", "id1"))
	r.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_LIMIT)
	r.Assert(reply.Evidence, qt.Equals, notRun)
}

func TestPollGivesTheState(t *testing.T) {
	r := newRig(t, pb.Protocol_PROTOCOL_H2C, standin.Options{StartCold: true}, backend.Options{}, 1)
	reply := r.client.Poll(t.Context(), r.replica)
	r.Assert(reply.OK(), qt.IsTrue)
	r.Assert(reply.Cold, qt.IsTrue)
	r.Assert(reply.Incarnation, qt.Equals, "r0-1")
	r.Assert(reply.Newest, qt.Equals, uint64(7))
}

func TestACancelledExchangeThatEndsWithinTheBoundKeepsItsConnection(t *testing.T) {
	// A hedge's loser is cancelled; its reply arrives a moment later. The caller
	// has its answer at once, the late reply is read and dropped, and the
	// connection is used again, because a new one costs milliseconds. The request
	// counts as settled only when the replica is done with it.
	r := newRig(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{}, backend.Options{CancelGrace: patience}, 1)
	r.server.Hold()
	ctx, cancel := context.WithCancel(context.Background())
	settled := make(chan struct{})
	call := r.call("loser")
	call.OnRelease = func() { close(settled) }
	done := make(chan backend.Reply, 1)
	go func() { done <- r.client.Do(ctx, call) }()
	r.eventually("the request runs", func() bool { return r.server.Counts().Queries == 1 })
	cancel()
	reply := <-done
	r.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_CANCELLED)
	r.Assert(reply.Evidence, qt.Equals, unknown)
	select {
	case <-settled:
		r.Fatal("settled while the replica still worked")
	default:
	}
	r.server.Resume()
	<-settled
	r.Assert(r.do(r.call("next")).OK(), qt.IsTrue)
	r.Assert(r.server.Counts().Accepted, qt.Equals, uint64(1))
}
