package entry

import (
	"sync/atomic"
	"time"

	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/snapshot"
)

// stalePickInterval sets the share of picks that also consider replicas whose last
// report is older than the snapshot: 1 in stalePickInterval.
const stalePickInterval = 64

// env implements query.Env for one query on the tables of its service.
type env struct {
	tables   *tables
	svc      *config.Service
	attempts *atomic.Uint64
	usable   func(*config.Replica) bool
	slowest  time.Duration
	// now is the time of the event that the query is processing.
	now time.Time
	// scratch is a reused buffer for the candidates of one pick.
	scratch []*config.Replica
}

// Pick implements query.Env. A replica whose last report is older than the snapshot is
// picked last, except in a small share of picks. Most such replicas have loaded the
// snapshot since, and without requests to them this node would not detect that.
func (e *env) Pick(shard *config.Shard, pinned uint64, tried func(*config.Replica) bool) *config.Replica {
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	maxHolding := snapshot.Unknown
	if e.tables.rng.IntN(stalePickInterval) == 0 {
		maxHolding = snapshot.MayHold
	}
	for ; maxHolding <= snapshot.MayHold; maxHolding++ {
		e.collect(shard, pinned, maxHolding, tried)
		if r := e.tables.routing.Pick(e.scratch, e.now); r != nil {
			return r
		}
	}
	return nil
}

// PickHedge implements query.Env. A hedge is sent only to a replica that has reported
// the snapshot and has capacity for extra load.
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

// collect fills scratch with the usable replicas of a shard that were not tried and
// whose holding of the snapshot is at most maxHolding, where a lower value is more
// certain. Caller holds tables.mu.
func (e *env) collect(shard *config.Shard, pinned uint64, maxHolding snapshot.Holding, tried func(*config.Replica) bool) {
	e.scratch = e.scratch[:0]
	for _, r := range shard.Replicas {
		if tried(r) || !e.usable(r) || e.tables.snapshots.Holding(r.Name, pinned) > maxHolding {
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
	progress := hedge.Progress{Answered: answered, Total: total, Slowest: e.slowest}
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	progress.Overloaded = e.tables.admission.Pressure() >= 1
	return hedge.After(progress, &e.tables.subrequestLatency)
}
