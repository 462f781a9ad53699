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

// lapsing is a fleet in which this node's right to use a replica alone lapses after
// some questions.
type lapsing struct {
	soleFleet
	left atomic.Int64
}

func (f *lapsing) MayUseCold(*config.Replica) bool { return f.left.Add(-1) >= 0 }

const held = 1000

// reasons asks n times at once and counts the reasons of the replies.
func (r *batchRig) reasons(n int) map[pb.Reason]int {
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
	// The sheet in force states that the replica may turn cold unseen, so one request
	// at a time goes there although it is warm. This node's claim lapses, as after a
	// pause or in a split data centre, while one request runs and two wait: these must
	// not be sent, since the next owner may send by now. Nor may later ones, until
	// the node holds the claim again.
	virtualBatch(t, func(r *batchRig) {
		f := &lapsing{soleFleet: r.Fleet.(soleFleet)}
		f.left.Store(held)
		synctest.Wait()
		r.Fleet = f
		spec := f.index.Replicas["r0"].Service.Spec
		spec.ColdInFlight, spec.SilentColdStart = 1, true

		time.AfterFunc(serviceTime/2, func() { f.left.Store(0) })
		const ok, cold = pb.Reason_REASON_UNSPECIFIED, pb.Reason_REASON_COLD
		qt.Check(t, r.reasons(3), qt.DeepEquals, map[pb.Reason]int{ok: 1, cold: 2})
		qt.Check(t, r.reasons(1), qt.DeepEquals, map[pb.Reason]int{cold: 1})
		// It lapses when the request has its place and is not written yet.
		f.left.Store(1)
		qt.Check(t, r.reasons(1), qt.DeepEquals, map[pb.Reason]int{cold: 1})
		f.left.Store(held)
		r.server.TurnCold(false)
		qt.Check(t, r.reasons(3), qt.DeepEquals, map[pb.Reason]int{ok: 3})
		qt.Check(t, r.server.Counts().MaxColdInFlight, qt.Equals, 1)
	})
}

// The first owner's connections to a warm replica are lost while it has no requests
// for it: the backend server has restarted and is cold. Until a status poll has told
// so the first owner must not call it warm to the second owner, which would send to
// it together with the first. The poll is due at once.
func TestLostConnectionsStopReportingReplicaWarm(t *testing.T) {
	virtualBatch(t, func(r *batchRig) {
		replica := r.Fleet.Index().Replicas["r0"]
		told := func() pb.ReplicaState {
			req := &pb.ReportReplicaRequest{Service: "timing", News: []*pb.ReplicaNews{{Replica: "r0"}}}
			return r.HandleReport("second", req).GetNews()[0].GetState()
		}
		entry := r.owned(replica)
		entry.poll(context.Background())
		qt.Assert(t, told(), qt.Equals, pb.ReplicaState_REPLICA_STATE_WARM)
		entry.pollDue(time.Now(), time.Hour)
		r.server.Restart()
		synctest.Wait()
		qt.Assert(t, told(), qt.Equals, pb.ReplicaState_REPLICA_STATE_UNSPECIFIED)
		qt.Assert(t, entry.pollDue(time.Now(), time.Hour), qt.IsTrue)
		entry.poll(context.Background())
		qt.Assert(t, told(), qt.Equals, pb.ReplicaState_REPLICA_STATE_COLD)
	})
}
