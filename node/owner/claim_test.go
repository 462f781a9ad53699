package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// expiringFleet is a fleet in which this node's claim to a replica expires after a
// number of calls.
type expiringFleet struct {
	singleNodeFleet
	left atomic.Int64
}

func (f *expiringFleet) MayUseCold(*config.Replica) bool { return f.left.Add(-1) >= 0 }

const unlimitedCalls = 1000

// countReasons submits n requests at once and counts the reasons of the replies.
func (r *batchHarness) countReasons(n int) map[pb.Reason]int {
	got := make(map[pb.Reason]int)
	replies := make(chan pb.Reason, n)
	for i := range n {
		req := Request{Service: "timing", Replica: "r0", Shard: "s0", Attempt: uint64(i), Typical: serviceTime}
		r.Submit(context.Background(), req, func(result *pb.SubrequestResult) { replies <- result.GetReason() })
	}
	for range n {
		got[<-replies]++
	}
	return got
}

func TestExpiredClaimStopsRequestsToWarmReplica(t *testing.T) {
	// In a service with silent cold starts, a claim that expires while one request is
	// in flight and two are queued must stop the queued requests, because the next
	// owner may already send. No request may be sent until the claim is renewed.
	runBatchTest(t, func(r *batchHarness) {
		f := &expiringFleet{singleNodeFleet: r.Fleet.(singleNodeFleet)}
		f.left.Store(unlimitedCalls)
		synctest.Wait()
		r.Fleet = f
		spec := f.index.Replicas["r0"].Service.Spec
		spec.ColdInFlight, spec.SilentColdStart = 1, true

		time.AfterFunc(serviceTime/2, func() { f.left.Store(0) })
		const ok, cold = pb.Reason_REASON_UNSPECIFIED, pb.Reason_REASON_COLD
		qt.Check(t, r.countReasons(3), qt.DeepEquals, map[pb.Reason]int{ok: 1, cold: 2})
		qt.Check(t, r.countReasons(1), qt.DeepEquals, map[pb.Reason]int{cold: 1})
		// The claim expires when the request holds a slot but is not written yet.
		f.left.Store(1)
		qt.Check(t, r.countReasons(1), qt.DeepEquals, map[pb.Reason]int{cold: 1})
		f.left.Store(unlimitedCalls)
		r.server.BeginColdStart(false)
		qt.Check(t, r.countReasons(3), qt.DeepEquals, map[pb.Reason]int{ok: 3})
		qt.Check(t, r.server.Counts().MaxColdInFlight, qt.Equals, 1)
	})
}

// After a restart closes idle connections, the first owner must not report the replica
// as warm: the second owner would send to a cold replica together with the first. The
// next status poll must be due at once.
func TestLostConnectionsStopReportingReplicaWarm(t *testing.T) {
	runBatchTest(t, func(r *batchHarness) {
		replica := r.Fleet.Index().Replicas["r0"]
		reported := func() pb.ReplicaState {
			req := &pb.ReportReplicaRequest{Service: "timing", News: []*pb.ReplicaNews{{Replica: "r0"}}}
			return r.HandleReport("second", req).GetNews()[0].GetState()
		}
		owned := r.ensureReplica(replica)
		owned.poll(context.Background())
		qt.Assert(t, reported(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
		owned.pollDue(time.Now(), time.Hour)
		r.server.Restart()
		synctest.Wait()
		qt.Assert(t, reported(), qt.Equals, pb.ReplicaState_REPLICA_STATE_UNSPECIFIED)
		qt.Assert(t, owned.pollDue(time.Now(), time.Hour), qt.IsTrue)
		owned.poll(context.Background())
		qt.Assert(t, reported(), qt.Equals, pb.ReplicaState_REPLICA_STATE_COLD)
	})
}
