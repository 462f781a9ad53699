package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/config"
	standin "github.com/carobmill/carobmill/standin/backend"
	"github.com/carobmill/carobmill/standin/memnet"
)

const serviceTime = 5 * time.Millisecond

// singleNodeFleet is a fleet that consists of this node.
type singleNodeFleet struct {
	Fleet
	index *config.Index
}

func (f singleNodeFleet) Index() *config.Index                  { return f.index }
func (f singleNodeFleet) Owners(*config.Replica) []fleet.Member { return []fleet.Member{f.Self()} }
func (f singleNodeFleet) MayUseCold(*config.Replica) bool       { return true }
func (f singleNodeFleet) OwnersPerReplica(*config.Replica) int  { return 1 }
func (f singleNodeFleet) Self() fleet.Member                    { return fleet.Member{Name: "self"} }

// hookedBackend calls a function once, before the next batch.
type hookedBackend struct {
	*backend.Client
	once        sync.Once
	beforeBatch func()
}

func (h *hookedBackend) DoBatch(b backend.Batch) backend.Reply {
	h.once.Do(h.beforeBatch)
	return h.Client.DoBatch(b)
}

// batchHarness is a node that owns one warm replica, with a share of two connections.
// The service allows batches of 8 and two requests in flight at a cold replica. The
// backend server has two slots.
type batchHarness struct {
	*Owner
	server  *standin.Server
	backend *hookedBackend
}

func runBatchTest(t *testing.T, test func(r *batchHarness)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		listener, err := network.Listen("replica", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		server := standin.New(standin.Options{Slots: 2, Queue: -1,
			Generations: []standin.Generation{{ID: 1, FirstSnapshot: 1, Shards: []string{"s0"}}}, Oldest: 1, Newest: 1,
			ServiceTime: standin.ServiceTime{Base: serviceTime}, Cold: standin.Cold{InFlight: 2, Requests: 1000, Factor: 10}})
		server.Serve(listener)
		service := &config.Service{Name: "timing", Spec: &pb.Service{Connections: 4, ColdInFlight: 2, MaxBatch: 8}}
		replica := &config.Replica{Name: "r0", Address: server.Addr(), Service: service, InService: true}
		r := &batchHarness{server: server, backend: &hookedBackend{beforeBatch: func() {}}}
		r.Owner = New(Options{Backend: r.backend, Pool: work.NewPool(16), Ring: ring.New(8, func(string) {}),
			Fleet: singleNodeFleet{index: &config.Index{Replicas: map[string]*config.Replica{"r0": replica}}}})
		r.backend.Client = backend.New(backend.Options{Dial: network.Dialer("node"), OnDisconnect: r.ConnectionLost})
		defer func() {
			r.backend.Close()
			server.Close()
			r.Pool.Close()
			time.Sleep(time.Minute)
		}()
		for range 60 {
			r.submitN(1, false)
			time.Sleep(4 * serviceTime)
		}
		qt.Assert(t, r.Status()[0].GetNews().GetState(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
		test(r)
	})
}

// submitN submits n requests at once.
func (r *batchHarness) submitN(n int, execute bool) {
	for i := range n {
		req := Request{Service: "timing", Replica: "r0", Shard: "s0", Attempt: uint64(i), Typical: serviceTime,
			Execute: execute, RequestID: "fee"}
		r.Submit(context.Background(), req, func(*pb.SubrequestResult) {})
	}
}

func TestColdReplicaReceivesNoBatch(t *testing.T) {
	// A replica turns cold while batches of 8 and 4 are in flight. Until all their items
	// have ended, no request may be sent; after that, at most two at a time and no
	// batch. The test detects a batch in flight that counts as a single request.
	runBatchTest(t, func(r *batchHarness) {
		r.submitN(2+12, false)
		time.Sleep(serviceTime + serviceTime/2)
		qt.Check(t, r.server.Counts().Batches, qt.Equals, uint64(2))
		qt.Check(t, r.server.Counts().MaxBatch, qt.Equals, 8)
		r.submitN(8, false)
		r.server.BeginColdStart(true)
		for range 200 {
			time.Sleep(serviceTime)
			r.submitN(1, false)
		}
		counts := r.server.Counts()
		qt.Check(t, counts.ColdOverloads, qt.Equals, uint64(0))
		qt.Check(t, counts.Batches, qt.Equals, uint64(2))
		qt.Check(t, counts.Queries > 60+14+8, qt.IsTrue)
	})
}

func TestLostConnectionRefusesUnsentBatch(t *testing.T) {
	// The backend server closes a connection while a batch holds a slot but is not
	// written yet. The server may have restarted, so the batch must be refused as not
	// run. A non-idempotent request queued between reads must be sent alone.
	runBatchTest(t, func(r *batchHarness) {
		r.backend.beforeBatch = func() { r.ConnectionLost("r0") }
		before := r.server.Counts().Queries
		r.submitN(2+4, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2))
		r.submitN(2+3, false)
		r.submitN(1, true)
		r.submitN(3, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Executes, qt.Equals, uint64(1))
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2+8))
	})
}

func TestReplicaWithoutBatchSupportReceivesSingleCalls(t *testing.T) {
	// The sheet sets max_batch, but the backend server does not support the batch call.
	// Only the reads of one batch may fail. Later reads must be sent in single calls,
	// and batches are tried again after batchRetryInterval.
	runBatchTest(t, func(r *batchHarness) {
		before := r.server.Counts().Queries
		r.server.RefuseBatches(true)
		r.submitN(2+8, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2))
		r.submitN(2+4, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2+6))
		r.server.RefuseBatches(false)
		time.Sleep(batchRetryInterval)
		r.submitN(2+4, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2+6+6))
		qt.Check(t, r.server.Counts().Batches, qt.Equals, uint64(1))
	})
}
