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
	// expectedQuantile is the quantile of query latency that admission expects.
	expectedQuantile = 0.5
	// typicalQuantile is the quantile of service time that owners compare their
	// replicas with.
	typicalQuantile = 0.5
	// hedgeBurst and retryBurst limit the hedges and retries that a budget can
	// accumulate under low load.
	hedgeBurst = 64
	retryBurst = 64
	// maxTrackedOwners limits the number of owner boots with a stored revision. An
	// owner whose revision was dropped sends all its reports once more.
	maxTrackedOwners = 4096
)

// tables is the state shared by all queries of a service at this node.
type tables struct {
	// mu guards everything below.
	mu        sync.Mutex
	rng       *rand.Rand
	snapshots *snapshot.Table
	routing   *routing.Table
	hedges    *hedge.Budget
	retries   *hedge.Budget
	// subrequestLatency is measured at this node, serviceTime at the replica.
	// queryLatency covers the whole query.
	subrequestLatency hedge.Quantile
	serviceTime       hedge.Quantile
	queryLatency      hedge.Quantile
	admission         *admission.Controller
	// probing is set when a query is admitted as a probe, although its remaining time
	// is below the expected query latency. The next end of a query clears it.
	probing bool
	// reportRevisions contains the last revision applied from each owner.
	reportRevisions map[membership.ID]uint64
}

func newTables(svc *config.Service, maxQueries int, rng *rand.Rand) *tables {
	return &tables{
		rng:             rng,
		snapshots:       snapshot.NewTable(),
		routing:         routing.New(rng),
		hedges:          hedge.NewBudget(float64(svc.Spec.GetHedgePercent()), hedgeBurst),
		retries:         hedge.NewBudget(float64(svc.Spec.GetRetryPercent()), retryBurst),
		admission:       admission.New(admission.Params{MaxRunning: maxQueries}),
		reportRevisions: make(map[membership.ID]uint64),
	}
}

// admit decides on the admission of a query with the given remaining time.
func (t *tables) admit(now time.Time, class *pb.Class, remaining time.Duration) admission.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	expected := t.queryLatency.At(expectedQuantile)
	decision := t.admission.Admit(now, class.GetPriority(), remaining, expected)
	t.probing = t.probing || decision.Probe
	t.hedges.SetPressure(t.admission.Pressure())
	t.retries.SetPressure(t.admission.Pressure())
	return decision
}

// recordEnd records the end of an admitted query. ok is false if its answer is degraded
// by load.
func (t *tables) recordEnd(now time.Time, class *pb.Class, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.Done(now, class.GetPriority(), took, ok)
	if ok && t.probing {
		// The earlier latencies are too high: they led to the refusal of queries
		// that can be answered in time.
		t.queryLatency = hedge.Quantile{}
	}
	t.probing = false
	if ok {
		t.queryLatency.Observe(took)
	}
}

// recordSent records the subrequests that are sent.
func (t *tables) recordSent(now time.Time, sends ...query.Send) {
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

// attemptResult is a result with the replica that its attempt was sent to and the
// duration of the attempt.
type attemptResult struct {
	result  *pb.SubrequestResult
	replica string
	took    time.Duration
}

// recordResults records results that arrived together.
func (t *tables) recordResults(now time.Time, results []attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, result := range results {
		t.recordResult(now, result)
	}
}

// recordResult records one result. A mismatched result names a replica that the attempt
// was not sent to, or none. The attempt always ends at the replica that it was sent to.
// Caller holds mu.
func (t *tables) recordResult(now time.Time, attempt attemptResult) {
	r := attempt.result
	t.routing.Done(attempt.replica, now, attempt.took, routingResult(r.GetReason()))
	if r.GetReason() == pb.Reason_REASON_UNSPECIFIED {
		// The latency of cold replicas must not increase the hedge delay, which is
		// based on warm replicas.
		if r.GetNews().GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
			t.subrequestLatency.Observe(attempt.took)
		}
		t.serviceTime.Observe(time.Duration(r.GetServiceUs()) * time.Microsecond)
	}
	t.applyReport(now, r.GetNews())
}

// recordExecute records the result of a non-idempotent request. Its latency is not added
// to the quantiles, because it is unrelated to the latency of queries.
func (t *tables) recordExecute(now time.Time, replica string, resp *pb.ExecuteResponse, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routing.Done(replica, now, took, routingResult(resp.GetReason()))
	t.applyReport(now, resp.GetNews())
}

// typical returns the typical service time of the service's replicas, 0 if unknown.
func (t *tables) typical() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serviceTime.At(typicalQuantile)
}

// recordCancelled records the cancellation of an attempt.
func (t *tables) recordCancelled(now time.Time, replica string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routing.Done(replica, now, took, routing.ResultCancelled)
}

// reportRevision returns the last revision of reports applied from an owner.
func (t *tables) reportRevision(owner membership.ID) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportRevisions[owner]
}

// applyReports applies the reports of an owner up to a revision. Revision 0 means that
// the message contained no reports.
func (t *tables) applyReports(now time.Time, owner membership.ID, reports []*pb.ReplicaNews, revision uint64) {
	if revision == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		t.applyReport(now, report)
	}
	if len(t.reportRevisions) > maxTrackedOwners {
		clear(t.reportRevisions)
	}
	t.reportRevisions[owner] = max(t.reportRevisions[owner], revision)
}

// applyReport applies a report on a replica. Caller holds mu.
func (t *tables) applyReport(now time.Time, report *pb.ReplicaNews) {
	if report == nil {
		return
	}
	t.routing.ApplyReport(report, now)
	t.snapshots.Update(report.GetReplica(), snapshot.Range{
		Oldest: report.GetOldestSnapshot(),
		Newest: report.GetNewestSnapshot(),
	})
}

// firstOwnerOnly reports whether a replica may be used only through its first owner:
// the replica was not reported as warm, or its service has silent cold starts. Other
// owners refuse requests for such a replica.
func (t *tables) firstOwnerOnly(replica *config.Replica) bool {
	if replica.Service.Spec.GetSilentColdStart() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routing.State(replica.Name) != pb.ReplicaState_REPLICA_STATE_WARM
}
