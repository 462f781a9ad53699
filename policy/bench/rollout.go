package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/query"
	"github.com/carobmill/carobmill/policy/snapshot"
)

const (
	firstSnapshot = 7
	// One in stalePickInterval picks, on average, gives equal preference to replicas
	// whose last report is older than the snapshot, as in an entry node. Other picks
	// use such replicas only as a fallback.
	stalePickInterval = 64
)

// SnapshotRollout periodically moves the index to a new snapshot. A replica holds
// one snapshot and drops it when it loads the next, so the snapshot of a running
// query can disappear. The first replica of each shard switches at a random time
// in the first wave, the second replica in the second wave, and so on.
type SnapshotRollout struct {
	// Every is the time between two rollouts; 0 disables them.
	Every time.Duration
	// Wave is the time in which one replica of each shard switches.
	Wave time.Duration
	// Pin selects how queries choose their snapshot.
	Pin Pin
	// WrongSnapshotEvery makes one replica in WrongSnapshotEvery answer from the
	// snapshot it holds even if the request names another one; 0 disables this.
	WrongSnapshotEvery int
}

// Pin selects how a query chooses its snapshot.
type Pin int

const (
	// PinServed selects the newest snapshot that at least one usable replica of every
	// shard holds.
	PinServed Pin = iota
	// PinNewest selects the newest snapshot that any replica holds, and the one of
	// PinServed when a query restarts. It is a deliberately broken variant.
	PinNewest
)

// scheduleRollouts schedules all rollouts of the run.
func (sim *simulation) scheduleRollouts() {
	rollout := sim.scenario.Rollout
	if rollout.Every == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(sim.scenario.Seed, 2))
	queries := float64(sim.scenario.uncounted() + sim.scenario.Queries)
	end := time.Duration(queries / sim.scenario.Rate * float64(time.Second))
	for i := 1; time.Duration(i)*rollout.Every < end; i++ {
		for position, server := range sim.servers {
			waveStart := time.Duration(position%sim.scenario.Replicas) * rollout.Wave
			server.ignoresSnapshot = rollout.WrongSnapshotEvery > 0 && position%rollout.WrongSnapshotEvery == 0
			offset := time.Duration(rng.Int64N(int64(rollout.Wave)))
			sim.loop.after(time.Duration(i)*rollout.Every+waveStart+offset, func() { server.held++ })
		}
	}
}

// resultBody returns the simulated result of a shard, which contains its snapshot.
func resultBody(snapshot uint64) []byte {
	return strconv.AppendUint(nil, snapshot, 10)
}

// checkSnapshots counts an answer that was restarted or that contains a row of
// another snapshot than its own.
func (sim *simulation) checkSnapshots(answer *query.Answer) {
	if answer.Stats.Restarts > 0 {
		sim.result.Restarted++
	}
	for _, row := range answer.Results {
		if string(row.Body) != string(resultBody(answer.Snapshot)) {
			sim.result.Mixed++
			return
		}
	}
}

func (n *node) recordSnapshot(report *pb.ReplicaNews) {
	n.newest = max(n.newest, report.GetNewestSnapshot())
	n.snapshots.Update(report.GetReplica(), snapshot.Range{
		Oldest: report.GetOldestSnapshot(), Newest: report.GetNewestSnapshot(),
	})
}

// Snapshot implements query.Env.
func (n *node) Snapshot() uint64 {
	if n.sim.scenario.Rollout.Every == 0 {
		return firstSnapshot
	}
	if n.starting && n.sim.scenario.Rollout.Pin == PinNewest {
		return n.newest
	}
	return n.snapshots.Choose(n.sim.service, alwaysUsable, n.sim.loop.now())
}

func alwaysUsable(*config.Replica) bool { return true }

// pick chooses a replica that may hold the pinned snapshot. Replicas whose last
// report is older than the snapshot are usually a fallback.
func (n *node) pick(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	now := n.sim.loop.now()
	worst := snapshot.Unknown
	if n.sim.scenario.Rollout.Every == 0 || n.rng.IntN(stalePickInterval) == 0 {
		worst = snapshot.MayHold
	}
	for ; worst <= snapshot.MayHold; worst++ {
		if r := n.routing.Pick(n.untried(shard, pinned, worst, tried), now); r != nil {
			return r
		}
	}
	return nil
}

// untried returns the replicas of a shard that were not tried and whose Holding
// state for the snapshot is worst or better.
func (n *node) untried(shard *config.Shard, pinned uint64, worst snapshot.Holding, tried func(*config.Replica) bool) []*config.Replica {
	n.candidates = n.candidates[:0]
	for _, r := range shard.Replicas {
		if !tried(r) && n.snapshots.Holding(r.Name, pinned) <= worst {
			n.candidates = append(n.candidates, r)
		}
	}
	return n.candidates
}
