package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// A warm replica with traffic must not be polled, because its replies contain the
// status. A warm replica without traffic and any replica that is not warm must be
// polled, so that a restart or a new snapshot is detected. All warm replicas of a node
// together must not exceed 10 polls a second.
func TestTrafficReplacesStatusPolls(t *testing.T) {
	const interval = time.Second
	const span = time.Minute
	cases := []struct {
		name    string
		state   pb.ReplicaState
		traffic bool
		// owned is the number of warm replicas that the node owns.
		owned    int
		minPolls int
		maxPolls int
	}{
		{"warm with traffic", pb.ReplicaState_REPLICA_STATE_WARM, true, 1, 1, 1},
		{"warm without traffic", pb.ReplicaState_REPLICA_STATE_WARM, false, 1, 40, 80},
		{"cold with traffic", pb.ReplicaState_REPLICA_STATE_COLD, true, 1, 40, 80},
		{"one of 160 warm", pb.ReplicaState_REPLICA_STATE_WARM, false, 160, 3, 6},
		{"cold with 160 warm", pb.ReplicaState_REPLICA_STATE_COLD, false, 160, 40, 80},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			o := New(Options{PollInterval: interval})
			r := &ownedReplica{owner: o, state: tc.state}
			var replicas []*ownedReplica
			for range tc.owned {
				replicas = append(replicas, &ownedReplica{owner: o, state: pb.ReplicaState_REPLICA_STATE_WARM})
			}
			start := time.Unix(1000, 0)
			polls := 0
			for now := start; now.Before(start.Add(span)); now = now.Add(interval / roundsPerPollInterval) {
				if r.pollDue(now, o.warmInterval(replicas)) {
					polls++
					r.statusAt = now
				}
				if tc.traffic {
					r.statusAt = now
				}
			}
			c.Assert(polls >= tc.minPolls && polls <= tc.maxPolls, qt.IsTrue, qt.Commentf("%d polls", polls))
		})
	}
}
