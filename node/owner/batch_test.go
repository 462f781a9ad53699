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

// soleFleet is a fleet of this node alone.
type soleFleet struct {
	Fleet
	index *config.Index
}

func (f soleFleet) Index() *config.Index                  { return f.index }
func (f soleFleet) Owners(*config.Replica) []fleet.Member { return []fleet.Member{f.Self()} }
func (f soleFleet) MayUseCold(*config.Replica) bool       { return true }
func (f soleFleet) OwnersPerReplica(*config.Replica) int  { return 1 }
func (f soleFleet) Self() fleet.Member                    { return fleet.Member{Name: "self"} }

// hooked runs a function once before the next batch.
type hooked struct {
	*backend.Client
	once        sync.Once
	beforeBatch func()
}

func (h *hooked) DoBatch(b backend.Batch) backend.Reply {
	h.once.Do(h.beforeBatch)
	return h.Client.DoBatch(b)
}

// batchRig is a node that owns one replica of a service with batches of 8, two
// connections and two slots; the replica is warm and bears two requests when cold.
type batchRig struct {
	*Owner
	server  *standin.Server
	backend *hooked
}

func virtualBatch(t *testing.T, test func(r *batchRig)) {
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
		r := &batchRig{server: server, backend: &hooked{beforeBatch: func() {}}}
		r.Owner = New(Options{Backend: r.backend, Pool: work.NewPool(16), Ring: ring.New(8, func(string) {}),
			Fleet: soleFleet{index: &config.Index{Replicas: map[string]*config.Replica{"r0": replica}}}})
		r.backend.Client = backend.New(backend.Options{Dial: network.Dialer("node"), OnDisconnect: r.ConnectionLost})
		defer func() {
			r.backend.Close()
			server.Close()
			r.Pool.Close()
			time.Sleep(time.Minute)
		}()
		for range 60 {
			r.ask(1, false)
			time.Sleep(4 * serviceTime)
		}
		qt.Assert(t, r.Status()[0].GetNews().GetState(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
		test(r)
	})
}

// ask submits n requests at once.
func (r *batchRig) ask(n int, execute bool) {
	for i := range n {
		req := Request{Service: "timing", Replica: "r0", Shard: "s0", Attempt: uint64(i), Typical: serviceTime,
			Execute: execute, RequestID: "fee"}
		r.Submit(context.Background(), req, func(*pb.SubrequestResult) {})
	}
}

func TestColdReplicaReceivesNoBatch(t *testing.T) {
	// Two places hold a call each, 12 reads wait and go in batches of 8 and 4. With
	// both under way the replica turns cold and says so in its next replies. It bears
	// two requests and has more: nothing may be sent until these have ended, those of
	// the longer batch too, and then two at a time. Caught: batches for a cold
	// replica, and a batch in flight counted as one request.
	virtualBatch(t, func(r *batchRig) {
		r.ask(2+12, false)
		time.Sleep(serviceTime + serviceTime/2)
		qt.Check(t, r.server.Counts().Batches, qt.Equals, uint64(2))
		qt.Check(t, r.server.Counts().MaxBatch, qt.Equals, 8)
		r.ask(8, false)
		r.server.TurnCold(true)
		for range 200 {
			time.Sleep(serviceTime)
			r.ask(1, false)
		}
		counts := r.server.Counts()
		qt.Check(t, counts.ColdViolations, qt.Equals, uint64(0))
		qt.Check(t, counts.Batches, qt.Equals, uint64(2))
		qt.Check(t, counts.Queries > 60+14+8, qt.IsTrue)
	})
}

func TestLostConnectionRefusesUnsentBatch(t *testing.T) {
	// The backend server closes a connection while a batch has its place and is not
	// written yet: it may have restarted. The batch is held back as not run, like a
	// single call. A non-idempotent request that waited between reads is carried
	// alone, since its evidence has to be its own.
	virtualBatch(t, func(r *batchRig) {
		r.backend.beforeBatch = func() { r.ConnectionLost("r0") }
		before := r.server.Counts().Queries
		r.ask(2+4, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2))
		r.ask(2+3, false)
		r.ask(1, true)
		r.ask(3, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Executes, qt.Equals, uint64(1))
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2+8))
	})
}

func TestReplicaWithoutBatchSupportReceivesSingleCalls(t *testing.T) {
	// The sheet sets max_batch, and this backend server does not serve the call. The
	// reads of the one batch that is tried fail and are asked again by their queries;
	// all others go singly and are answered, until it is tried again a minute later.
	virtualBatch(t, func(r *batchRig) {
		before := r.server.Counts().Queries
		r.server.RefuseBatches(true)
		r.ask(2+8, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2))
		r.ask(2+4, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2+6))
		r.server.RefuseBatches(false)
		time.Sleep(unservedRest)
		r.ask(2+4, false)
		time.Sleep(time.Second)
		qt.Check(t, r.server.Counts().Queries-before, qt.Equals, uint64(2+6+6))
		qt.Check(t, r.server.Counts().Batches, qt.Equals, uint64(1))
	})
}
