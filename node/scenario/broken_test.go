package scenario_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	adapter "github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/node/node"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/policy/config"
)

// keepsFirst leaves out that entry and owner follow the configuration in force.
func keepsFirst(inForce func() *config.Index) func() *config.Index {
	return goesBack(inForce, 0)
}

// goesBackLate lets them follow it and then take an old one for news.
func goesBackLate(inForce func() *config.Index) func() *config.Index {
	return goesBack(inForce, deployment.LeaveGrace+time.Second)
}

func goesBack(inForce func() *config.Index, after time.Duration) func() *config.Index {
	var mu sync.Mutex
	var first *config.Index
	var changed time.Time
	return func() *config.Index {
		index := inForce()
		mu.Lock()
		defer mu.Unlock()
		switch {
		case first == nil:
			first = index
		case changed.IsZero() && index.Version > first.Version:
			changed = time.Now()
		}
		if !changed.IsZero() && time.Since(changed) >= after {
			return first
		}
		return index
	}
}

// deaf leaves out that the owner hears a backend server say that it leaves.
type deaf struct{ owner.Backend }

func (b deaf) Do(ctx context.Context, call adapter.Call) adapter.Reply {
	reply := b.Backend.Do(ctx, call)
	if reply.Reason == pb.Reason_REASON_LEAVING {
		reply.Reason = pb.Reason_REASON_BACKEND
	}
	reply.Draining = false
	return reply
}

func (b deaf) Poll(ctx context.Context, r *config.Replica) adapter.Reply {
	reply := b.Backend.Poll(ctx, r)
	reply.Draining = false
	return reply
}

func timed(change func(*pb.Timing)) func(*pb.Settings) {
	return func(s *pb.Settings) { change(s.Timing) }
}

// workOfDataCentre takes a data centre out under load and returns the work that
// its backend servers get after the grace.
func workOfDataCentre(t *testing.T, d *deployment.Deployment) map[string]uint64 {
	out := proto.Clone(d.Sheet).(*pb.Sheet)
	out.DataCentres[0].State = pb.Lifecycle_LIFECYCLE_OUT
	qt.Assert(t, d.Publish(t.Context(), out), qt.IsNil)
	time.Sleep(deployment.LeaveGrace)
	return d.RequestsDuring(func() { time.Sleep(time.Second) }, d.ReplicasIn(out.DataCentres[0].GetName())...)
}

// The check that whatever leaves gets no new work must fail when nodes do not
// follow the sheet, fall back to an old one, or do not hear a backend server.
func TestLeavingChecksDetectBrokenVariants(t *testing.T) {
	broken := func(index func(func() *config.Index) func() *config.Index) deployment.Options {
		return deployment.Options{Sheet: kenya(t, "timing"), NodesPerDataCentre: 1, Wrappers: node.Wrappers{Index: index}}
	}
	heardNothing := deployment.Options{Sheet: kenya(t, "timing"), NodesPerDataCentre: 1, Wrappers: node.Wrappers{
		Backend: func(b owner.Backend) owner.Backend { return deaf{b} },
	}}
	by := func(leave func(*testing.T, *deployment.Deployment)) func(*testing.T, *deployment.Deployment) map[string]uint64 {
		return func(t *testing.T, d *deployment.Deployment) map[string]uint64 { return workAfterLeaving(t, d, leave) }
	}
	for _, v := range []struct {
		name  string
		o     deployment.Options
		check func(*testing.T, *deployment.Deployment) map[string]uint64
	}{
		{"data centre out, first configuration kept", broken(keepsFirst), workOfDataCentre},
		{"backend server out, first configuration kept", broken(keepsFirst), by(leaveBySheet)},
		{"backend server out, old configuration taken for news", broken(goesBackLate), by(leaveBySheet)},
		{"backend server drains, its word not heard", heardNothing, by(leaveByOwnWord)},
	} {
		t.Run(v.name, func(t *testing.T) {
			virtual(t, v.o, func(t *testing.T, d *deployment.Deployment) {
				warmUp(t, d)
				startTraffic(t, d, 1, d.Nodes...)
				work := v.check(t, d)
				t.Logf("%v", work)
				qt.Assert(t, work, qt.Not(qt.HasLen), 0, qt.Commentf("the broken variant was not caught"))
			})
		})
	}
}

// A node that refuses callers before the balancer has noticed, and one that does
// not wait for requests in flight, must both be caught by the check of a graceful
// shutdown.
func TestShutdownCheckDetectsBrokenVariants(t *testing.T) {
	for name, change := range map[string]func(*pb.Timing){
		"refuses at once":  func(timing *pb.Timing) { timing.BalancerLagMs = proto.Uint32(0) },
		"waits for no one": func(timing *pb.Timing) { timing.DrainTimeoutMs = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			o := deployment.Options{Sheet: kenya(t, "timing"), Backend: longWork, Settings: timed(change)}
			virtual(t, o, func(t *testing.T, d *deployment.Deployment) {
				saw := shutDown(t, d)
				qt.Assert(t, saw.Interrupted, qt.Not(qt.HasLen), 0, qt.Commentf("the broken variant was not caught"))
				t.Log(saw.Interrupted[0])
			})
		})
	}
}
