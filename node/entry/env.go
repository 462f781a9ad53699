package entry

import (
	"sync/atomic"
	"time"

	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/snapshot"
)

// laggingPicks is one in how many picks also considers replicas whose last news
// is older than the snapshot.
const laggingPicks = 64

// env is the view that one query has of its service's tables. It implements
// query.Env.
type env struct {
	tables   *tables
	svc      *config.Service
	attempts *atomic.Uint64
	usable   func(*config.Replica) bool
	slowest  time.Duration
	// now is the time of the event that the query is taking in.
	now time.Time
	// scratch holds the candidates of one Pick.
	scratch []*config.Replica
}

// Pick implements query.Env. Replicas whose last news is older than the snapshot
// come last, but for a small share of picks: most of them have taken up the
// snapshot since, and a node that never asks them would never learn it.
func (e *env) Pick(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	worst := snapshot.Unknown
	if e.tables.rng.IntN(laggingPicks) == 0 {
		worst = snapshot.MayHold
	}
	for ; worst <= snapshot.MayHold; worst++ {
		e.collect(shard, pinned, worst, tried)
		if r := e.tables.routing.Pick(e.scratch, e.now); r != nil {
			return r
		}
	}
	return nil
}

// PickHedge implements query.Env. A hedge asks only a replica that is known to
// hold the snapshot and bears extra load.
func (e *env) PickHedge(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	e.collect(shard, pinned, snapshot.Holds, tried)
	return e.tables.routing.PickHedge(e.scratch, e.now)
}

// PickWarmUp implements query.Env.
func (e *env) PickWarmUp(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	if !e.tables.routing.AnyCold() {
		return nil
	}
	e.collect(shard, pinned, snapshot.Unknown, tried)
	r := e.tables.routing.PickWarmUp(e.scratch, e.now)
	if r == nil || !e.tables.hedges.TakeSpare() {
		return nil
	}
	return r
}

// collect fills scratch with the usable replicas of a shard that were not tried
// and of which at least that much is known about a snapshot. Caller holds
// tables.mu.
func (e *env) collect(shard *config.Shard, pinned uint64, worst snapshot.Holding, tried func(*config.Replica) bool) {
	e.scratch = e.scratch[:0]
	for _, r := range shard.Replicas {
		if tried(r) || !e.usable(r) || e.tables.snapshots.Holding(r.Name, pinned) > worst {
			continue
		}
		e.scratch = append(e.scratch, r)
	}
}

// Snapshot implements query.Env.
func (e *env) Snapshot() uint64 {
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	return e.tables.snapshots.Choose(e.svc, e.usable, e.now)
}

// NextAttempt implements query.Env.
func (e *env) NextAttempt() uint64 { return e.attempts.Add(1) }

// TakeHedge implements query.Env.
func (e *env) TakeHedge() bool {
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	return e.tables.hedges.Take()
}

// TakeRetry implements query.Env.
func (e *env) TakeRetry() bool {
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	return e.tables.retries.Take()
}

// HedgeAfter implements query.Env.
func (e *env) HedgeAfter(answered, total int, elapsed time.Duration) time.Duration {
	e.slowest = max(e.slowest, elapsed)
	siblings := hedge.Progress{Answered: answered, Total: total, Slowest: e.slowest}
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	siblings.Overloaded = e.tables.admission.Pressure() >= 1
	return hedge.After(siblings, &e.tables.latency)
}
