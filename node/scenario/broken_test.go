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

// pinFirstIndex makes entry and owner ignore configuration changes.
func pinFirstIndex(inForce func() *config.Index) func() *config.Index {
	return revertIndex(inForce, 0)
}

// revertIndexLate makes entry and owner apply a configuration change and later return to
// the first configuration.
func revertIndexLate(inForce func() *config.Index) func() *config.Index {
	return revertIndex(inForce, deployment.LeaveGrace+time.Second)
}

// revertIndex returns the first configuration again when the given time has passed after
// the first configuration change.
func revertIndex(inForce func() *config.Index, after time.Duration) func() *config.Index {
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

// ignoreDraining removes the draining state from the replies that the owner receives.
type ignoreDraining struct{ owner.Backend }

func (b ignoreDraining) Do(ctx context.Context, call adapter.Call) adapter.Reply {
	reply := b.Backend.Do(ctx, call)
	if reply.Reason == pb.Reason_REASON_LEAVING {
		reply.Reason = pb.Reason_REASON_BACKEND
	}
	reply.Draining = false
	return reply
}

func (b ignoreDraining) Poll(ctx context.Context, r *config.Replica) adapter.Reply {
	reply := b.Backend.Poll(ctx, r)
	reply.Draining = false
	return reply
}

func withTiming(change func(*pb.Timing)) func(*pb.Settings) {
	return func(s *pb.Settings) { change(s.Timing) }
}

// requestsAfterDataCentreLeaves takes a data centre out of service under load and returns
// the number of requests that its backend servers receive after LeaveGrace.
func requestsAfterDataCentreLeaves(t *testing.T, d *deployment.Deployment) map[string]uint64 {
	changed := proto.Clone(d.Sheet).(*pb.Sheet)
	changed.DataCentres[0].State = pb.Lifecycle_LIFECYCLE_OUT
	qt.Assert(t, d.Publish(t.Context(), changed), qt.IsNil)
	time.Sleep(deployment.LeaveGrace)
	return d.RequestsDuring(func() { time.Sleep(time.Second) }, d.ReplicasIn(changed.DataCentres[0].GetName())...)
}

// Guards against leave checks that still pass when nodes ignore the sheet, return to an old
// sheet, or ignore the drain of a backend server.
func TestLeavingChecksDetectBrokenVariants(t *testing.T) {
	withIndex := func(index func(func() *config.Index) func() *config.Index) deployment.Options {
		return deployment.Options{Sheet: exampleSheet(t, "timing"), NodesPerDataCentre: 1, Wrappers: node.Wrappers{Index: index}}
	}
	withoutDraining := deployment.Options{Sheet: exampleSheet(t, "timing"), NodesPerDataCentre: 1, Wrappers: node.Wrappers{
		Backend: func(b owner.Backend) owner.Backend { return ignoreDraining{b} },
	}}
	afterLeave := func(leave func(*testing.T, *deployment.Deployment)) func(*testing.T, *deployment.Deployment) map[string]uint64 {
		return func(t *testing.T, d *deployment.Deployment) map[string]uint64 {
			return requestsAfterLeaving(t, d, leave)
		}
	}
	for _, v := range []struct {
		name  string
		o     deployment.Options
		check func(*testing.T, *deployment.Deployment) map[string]uint64
	}{
		{"data centre out, first configuration kept", withIndex(pinFirstIndex), requestsAfterDataCentreLeaves},
		{"backend server out, first configuration kept", withIndex(pinFirstIndex), afterLeave(leaveBySheet)},
		{"backend server out, old configuration applied again", withIndex(revertIndexLate), afterLeave(leaveBySheet)},
		{"backend server drains, draining state ignored", withoutDraining, afterLeave(leaveByDraining)},
	} {
		t.Run(v.name, func(t *testing.T) {
			runInVirtualTime(t, v.o, func(t *testing.T, d *deployment.Deployment) {
				warmUp(t, d)
				startTraffic(t, d, 1, d.Nodes...)
				requests := v.check(t, d)
				t.Logf("%v", requests)
				qt.Assert(t, requests, qt.Not(qt.HasLen), 0, qt.Commentf("the broken variant was not detected"))
			})
		})
	}
}

// Guards against a shutdown check that still passes when a node refuses callers within the
// balancer lag, or does not wait for requests in flight.
func TestShutdownCheckDetectsBrokenVariants(t *testing.T) {
	for name, change := range map[string]func(*pb.Timing){
		"refuses immediately":                  func(timing *pb.Timing) { timing.BalancerLagMs = proto.Uint32(0) },
		"does not wait for requests in flight": func(timing *pb.Timing) { timing.DrainTimeoutMs = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			o := deployment.Options{Sheet: exampleSheet(t, "timing"), Backend: longServiceTime, Settings: withTiming(change)}
			runInVirtualTime(t, o, func(t *testing.T, d *deployment.Deployment) {
				result := shutDownFirstNode(t, d)
				qt.Assert(t, result.Interrupted, qt.Not(qt.HasLen), 0, qt.Commentf("the broken variant was not detected"))
				t.Log(result.Interrupted[0])
			})
		})
	}
}
