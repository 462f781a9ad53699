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
	// laggingPicks is one in how many picks also considers replicas whose last
	// news is older than the snapshot, as at an entry node.
	laggingPicks = 64
)

// SnapshotRollout move the index to a new snapshot at regular times. A replica holds one
// snapshot and drops it when it takes up the next, so that queries lose theirs
// while they run. The first replicas of all shards flip within the first wave, at
// random times, the second ones in the second, and so on.
type SnapshotRollout struct {
	// Every is the time between two flips; 0 is none.
	Every time.Duration
	// Wave is how long one replica of each shard takes.
	Wave time.Duration
	// Pin is how queries choose their snapshot.
	Pin Pin
	// WrongSnapshotEvery makes one replica in so many answer from the snapshot that it
	// holds when it was asked for another; 0 is none.
	WrongSnapshotEvery int
}

// Pin is a way to choose the snapshot of a query.
type Pin int

const (
	// PinServed takes the newest snapshot that some usable replica of every shard
	// holds.
	PinServed Pin = iota
	// PinNewest takes the newest snapshot that any replica holds, and PinServed's
	// when a query starts over. It is broken on purpose.
	PinNewest
)

// planFlips schedules the flips of the whole run.
func (r *run) planFlips() {
	f := r.scenario.Rollout
	if f.Every == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.scenario.Seed, 2))
	queries := float64(r.scenario.uncounted() + r.scenario.Queries)
	end := time.Duration(queries / r.scenario.Rate * float64(time.Second))
	for i := 1; time.Duration(i)*f.Every < end; i++ {
		for position, server := range r.servers {
			wave := time.Duration(position%r.scenario.Replicas) * f.Wave
			server.careless = f.WrongSnapshotEvery > 0 && position%f.WrongSnapshotEvery == 0
			within := time.Duration(rng.Int64N(int64(f.Wave)))
			r.loop.after(time.Duration(i)*f.Every+wave+within, func() { server.held++ })
		}
	}
}

// rowsOf stands for the rows of a shard: they name their snapshot.
func rowsOf(snapshot uint64) []byte {
	return strconv.AppendUint(nil, snapshot, 10)
}

// noteSnapshots checks the rows of a counted answer.
func (r *run) noteSnapshots(answer *query.Answer) {
	if answer.Stats.Restarts > 0 {
		r.result.Restarted++
	}
	for _, row := range answer.Results {
		if string(row.Body) != string(rowsOf(answer.Snapshot)) {
			r.result.Mixed++
			return
		}
	}
}

func (n *node) noteSnapshot(news *pb.ReplicaNews) {
	n.newest = max(n.newest, news.GetNewestSnapshot())
	n.snapshots.Update(news.GetReplica(), snapshot.Range{
		Oldest: news.GetOldestSnapshot(), Newest: news.GetNewestSnapshot(),
	})
}

// Snapshot implements query.Env.
func (n *node) Snapshot() uint64 {
	if n.run.scenario.Rollout.Every == 0 {
		return firstSnapshot
	}
	if n.starting && n.run.scenario.Rollout.Pin == PinNewest {
		return n.newest
	}
	return n.snapshots.Choose(n.run.service, usable, n.run.loop.now())
}

func usable(*config.Replica) bool { return true }

// pick chooses a replica that may hold the pinned snapshot, as an entry node does.
func (n *node) pick(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	now := n.run.loop.now()
	worst := snapshot.Unknown
	if n.run.scenario.Rollout.Every == 0 || n.rng.IntN(laggingPicks) == 0 {
		worst = snapshot.MayHold
	}
	for ; worst <= snapshot.MayHold; worst++ {
		if r := n.routing.Pick(n.untried(shard, pinned, worst, tried), now); r != nil {
			return r
		}
	}
	return nil
}

// untried returns the replicas of a shard that were not tried and of which at
// least that much is known about a snapshot.
func (n *node) untried(shard *config.Shard, pinned uint64, worst snapshot.Holding, tried func(*config.Replica) bool) []*config.Replica {
	n.candidates = n.candidates[:0]
	for _, r := range shard.Replicas {
		if !tried(r) && n.snapshots.Holding(r.Name, pinned) <= worst {
			n.candidates = append(n.candidates, r)
		}
	}
	return n.candidates
}
