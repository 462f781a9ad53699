package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/admission"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/membership"
	"github.com/carobmill/carobmill/policy/query"
	"github.com/carobmill/carobmill/policy/routing"
	"github.com/carobmill/carobmill/policy/snapshot"
)

const (
	// expectedQuantile is the query latency that admission reckons with.
	expectedQuantile = 0.5
	// typicalQuantile is what owners compare their replicas with.
	typicalQuantile = 0.5
	// hedgeBurst bounds the extra subrequests saved up in quiet times.
	hedgeBurst = 64
	retryBurst = 64
	// maxHeard bounds the boots of owners that are remembered; forgetting one
	// costs one message with all its news.
	maxHeard = 4096
)

// tables is what the queries of one service share at this node.
type tables struct {
	// mu guards everything below.
	mu        sync.Mutex
	rng       *rand.Rand
	snapshots *snapshot.Table
	routing   *routing.Table
	hedges    *hedge.Budget
	retries   *hedge.Budget
	// latency is of subrequests as this node sees them, service of their part
	// at the replica, whole is of queries.
	latency   hedge.Quantile
	service   hedge.Quantile
	whole     hedge.Quantile
	admission *admission.Controller
	// probing is set while a query runs that whole alone would have refused.
	probing bool
	// heard is the revision of the news taken in, by owner.
	heard map[membership.ID]uint64
}

func newTables(svc *config.Service, maxQueries int, rng *rand.Rand) *tables {
	return &tables{
		rng:       rng,
		snapshots: snapshot.NewTable(),
		routing:   routing.New(rng),
		hedges:    hedge.NewBudget(float64(svc.Spec.GetHedgePercent()), hedgeBurst),
		retries:   hedge.NewBudget(float64(svc.Spec.GetRetryPercent()), retryBurst),
		admission: admission.New(admission.Params{MaxRunning: maxQueries}),
		heard:     make(map[membership.ID]uint64),
	}
}

// admit decides on a query of a class that has the given time left.
func (t *tables) admit(now time.Time, class *pb.Class, left time.Duration) admission.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	expected := t.whole.At(expectedQuantile)
	decision := t.admission.Admit(now, class.GetPriority(), left, expected)
	t.probing = t.probing || decision.Probe
	t.hedges.SetPressure(t.admission.Pressure())
	t.retries.SetPressure(t.admission.Pressure())
	return decision
}

// ended closes an admitted query. ok is false when load spoilt it.
func (t *tables) ended(now time.Time, class *pb.Class, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.Done(now, class.GetPriority(), took, ok)
	if ok && t.probing {
		// The times from before refused queries that can be answered.
		t.whole = hedge.Quantile{}
	}
	t.probing = false
	if ok {
		t.whole.Observe(took)
	}
}

// sent counts subrequests on their way.
func (t *tables) sent(now time.Time, sends ...query.Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range sends {
		t.routing.Sent(s.Replica.Name, now)
		if !s.Extra {
			t.hedges.Sent(1)
			t.retries.Sent(1)
		}
	}
}

// landed is a result, the replica that was asked for it and the time that its
// attempt took.
type landed struct {
	result  *pb.SubrequestResult
	replica string
	took    time.Duration
}

// learn takes in results that came together.
func (t *tables) learn(now time.Time, results []landed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range results {
		t.learnOne(now, l)
	}
}

// learnOne takes in one result. A crossed one names another replica than was asked,
// or none; the attempt ends at the one that was asked. Caller holds mu.
func (t *tables) learnOne(now time.Time, l landed) {
	r := l.result
	t.routing.Done(l.replica, now, l.took, routingResult(r.GetReason()))
	if r.GetReason() == pb.Reason_REASON_UNSPECIFIED {
		// Cold replicas are slow for a reason of their own; hedges wait for what
		// is usual at warm ones.
		if r.GetNews().GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
			t.latency.Observe(l.took)
		}
		t.service.Observe(time.Duration(r.GetServiceUs()) * time.Microsecond)
	}
	t.news(now, r.GetNews())
}

// executed takes in the result of a non-idempotent request. Its time says nothing
// about queries, so it stays out of their quantiles.
func (t *tables) executed(now time.Time, replica string, resp *pb.ExecuteResponse, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routing.Done(replica, now, took, routingResult(resp.GetReason()))
	t.news(now, resp.GetNews())
}

// typical is the time that the service's replicas take, 0 when unknown.
func (t *tables) typical() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service.At(typicalQuantile)
}

// abandoned ends an attempt whose result nobody waits for.
func (t *tables) abandoned(now time.Time, replica string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routing.Done(replica, now, took, routing.ResultCancelled)
}

// heardUpTo returns the revision up to which an owner's news was taken in.
func (t *tables) heardUpTo(owner membership.ID) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard[owner]
}

// hear takes in what changed at an owner's replicas up to a revision; 0 means
// that the message held no news.
func (t *tables) hear(now time.Time, owner membership.ID, news []*pb.ReplicaNews, revision uint64) {
	if revision == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		t.news(now, n)
	}
	if len(t.heard) > maxHeard {
		clear(t.heard)
	}
	t.heard[owner] = max(t.heard[owner], revision)
}

// news takes in what an owner tells. Caller holds mu.
func (t *tables) news(now time.Time, n *pb.ReplicaNews) {
	if n == nil {
		return
	}
	t.routing.ApplyReport(n, now)
	t.snapshots.Update(n.GetReplica(), snapshot.Range{
		Oldest: n.GetOldestSnapshot(),
		Newest: n.GetNewestSnapshot(),
	})
}

// firstOnly reports whether a replica is to be reached through its first owner
// alone: it is not known to be warm, or its service has silent cold starts. Any
// other refuses.
func (t *tables) firstOnly(replica *config.Replica) bool {
	if replica.Service.Spec.GetSilentColdStart() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routing.State(replica.Name) != pb.ReplicaState_REPLICA_STATE_WARM
}
