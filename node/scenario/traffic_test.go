package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/policy/query"
	"github.com/carobmill/carobmill/standin/backend"
)

// traffic sends queries to service timing from several callers, each at one node, and checks
// every result.
type traffic struct {
	t       testing.TB
	d       *deployment.Deployment
	stop    context.CancelFunc
	callers sync.WaitGroup

	// mu guards everything below.
	mu      sync.Mutex
	answers []queryResult
}

// queryResult is the outcome of a query.
type queryResult struct {
	at       time.Time
	took     time.Duration
	outcome  query.Outcome
	coverage float64
	snapshot uint64
	shards   int
	restarts int
	absent   []caller.AbsentShard
	trace    []caller.Step
	err      error
}

// queryInterval is the time between an answer and the next query of the same caller.
const queryInterval = 20 * time.Millisecond

// startTraffic starts callersPerNode callers at each of the given nodes.
func startTraffic(t testing.TB, d *deployment.Deployment, callersPerNode int, nodes ...*deployment.Node) *traffic {
	ctx, stop := context.WithCancel(t.Context())
	tr := &traffic{t: t, d: d, stop: stop}
	for i, n := range nodes {
		for j := range callersPerNode {
			tr.callers.Go(func() { tr.query(ctx, n.Settings.GetCallerAddress(), fmt.Sprintf("%d-%d", i, j)) })
		}
	}
	t.Cleanup(func() { tr.end() })
	return tr
}

// warmUp sends queries to a new deployment until all replicas are warm. New replicas count as
// cold.
func warmUp(t testing.TB, d *deployment.Deployment) {
	tr := startTraffic(t, d, 2, d.Nodes...)
	defer tr.end()
	err := deployment.Wait(t.Context(), 10*time.Second, func() string {
		owned := 0
		for _, n := range d.Nodes {
			owned += len(n.NodeStatus(t.Context(), false)[0].GetOwned())
			for _, o := range n.NodeStatus(t.Context(), false)[0].GetOwned() {
				if o.GetNews().GetState() != pb.ReplicaState_REPLICA_STATE_WARM {
					return o.GetReplica() + " is not warm at " + n.Settings.GetNode()
				}
			}
		}
		if want := d.NodesPerDataCentre * len(d.Backends); owned != want {
			return fmt.Sprintf("%d of %d replica ownerships are active", owned, want)
		}
		return ""
	})
	qt.Assert(t, err, qt.IsNil)
}

func (tr *traffic) query(ctx context.Context, addr, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		body := json.RawMessage(fmt.Sprintf(`{"caller":"%s","query":%d}`, name, i))
		began := time.Now()
		req := timingQuery()
		req.Query = body
		req.Trace = true
		answer, _, err := tr.d.Query(context.WithoutCancel(ctx), addr, req)
		tr.record(began, body, answer, err)
		select {
		case <-ctx.Done():
		case <-time.After(queryInterval):
		}
	}
}

func (tr *traffic) record(began time.Time, body json.RawMessage, answer *caller.Answer, err error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answers = append(tr.answers, queryResult{
		at:       began,
		took:     time.Since(began),
		outcome:  answer.Outcome,
		coverage: answer.Coverage,
		snapshot: answer.Snapshot,
		shards:   len(answer.Results),
		restarts: restarts(answer),
		absent:   answer.Absent,
		trace:    answer.Trace,
		err:      err,
	})
	if err != nil {
		return
	}
	for shard, raw := range answer.Results {
		var result backend.Result
		if json.Unmarshal(raw, &result) != nil ||
			result.Shard != shard || result.Snapshot != answer.Snapshot ||
			result.Generation != answer.Generation || result.Digest != backend.Digest(body) {
			tr.t.Errorf("shard %s of snapshot %d returned a wrong result: %s", shard, answer.Snapshot, raw)
		}
	}
}

func restarts(answer *caller.Answer) int {
	if answer.Cost == nil {
		return 0
	}
	return answer.Cost.Restarts
}

// end stops the callers, waits for their last answers and returns all results.
func (tr *traffic) end() []queryResult {
	tr.stop()
	tr.callers.Wait()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.answers
}

// resultsAfter returns the results of queries that began after a time.
func resultsAfter(answers []queryResult, from time.Time) []queryResult {
	var late []queryResult
	for _, a := range answers {
		if a.at.After(from) {
			late = append(late, a)
		}
	}
	return late
}

// logPartial logs the trace of the first answer that is not complete.
func logPartial(t testing.TB, answers []queryResult) {
	for _, a := range answers {
		if a.outcome == query.Complete || a.err != nil {
			continue
		}
		t.Logf("%s at %s, absent %v", a.outcome, a.at.Format(time.StampMicro), a.absent)
		for _, step := range a.trace {
			t.Logf("  %+v", step)
		}
		return
	}
}

// summary counts the results of queries that began within a period.
type summary struct {
	total, complete, partial, refused, failed int
	// restarted counts queries that restarted at another snapshot.
	restarted   int
	p50, p99    time.Duration
	minCoverage float64
	reasons     map[string]int
}

func summarise(answers []queryResult, from, to time.Time) summary {
	s := summary{minCoverage: 1, reasons: make(map[string]int)}
	var took []time.Duration
	for _, a := range answers {
		if a.at.Before(from) || a.at.After(to) {
			continue
		}
		s.total++
		took = append(took, a.took)
		s.count(a)
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	if len(took) > 0 {
		s.p50 = took[len(took)/2]
		s.p99 = took[len(took)*99/100]
	}
	return s
}

func (s *summary) count(a queryResult) {
	switch {
	case a.err != nil:
		s.failed++
		s.reasons[a.err.Error()]++
		return
	case a.outcome == query.Complete:
		s.complete++
	case a.outcome == query.Partial:
		s.partial++
	default:
		s.refused++
	}
	s.minCoverage = min(s.minCoverage, a.coverage)
	if a.restarts > 0 {
		s.restarted++
	}
	for _, absent := range a.absent {
		s.reasons[absent.Reason]++
	}
}

func (s summary) String() string {
	return fmt.Sprintf("%d queries: %d complete, %d partial, %d refused, %d failed, %d restarted; coverage >= %.3f; p50 %s p99 %s; %v",
		s.total, s.complete, s.partial, s.refused, s.failed, s.restarted, s.minCoverage, s.p50.Round(100*time.Microsecond), s.p99.Round(100*time.Microsecond), s.reasons)
}
