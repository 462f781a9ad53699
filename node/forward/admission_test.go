package forward_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/fairshare"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/route"
)

// decisionList records decisions. Safe for concurrent use.
type decisionList struct {
	mu   sync.Mutex
	list []forward.Admission
}

func (d *decisionList) add(a forward.Admission) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, a)
}

func (d *decisionList) all() []forward.Admission {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list)
}

// admissionNode starts a node that may have one request in flight at each replica. Its routes
// are /urgent, which gathers all shards, and /report/SHARD.
func admissionNode(h *harness, fair bool, change ...func(o *forward.Options)) (*forward.Forwarder, *decisionList) {
	common := route.Route{
		Host: "h.example", Idempotent: true, MaxAttempts: 2, Timeout: time.Second, Objective: 400 * ms, TopRecords: 100, MinCoverage: 1,
	}
	c := &route.Configuration{Version: 1}
	urgent := common
	urgent.Name, urgent.Prefix = "urgent", "/urgent/"
	for shard := range h.view.Replicas {
		urgent.Shards = append(urgent.Shards, shard)
		report := common
		report.Name, report.Prefix, report.Priority = "report-"+shard, "/report/"+shard+"/", 2
		report.Objective = 200 * ms
		report.Split = []route.Weighted{{Service: shard, Weight: 1}}
		c.Routes = append(c.Routes, report)
		c.Services = append(c.Services, route.Service{Name: shard, MaxConnections: 2})
	}
	c.Routes = append(c.Routes, urgent)
	h.view.Index = route.NewIndex(c)
	decisions := &decisionList{}
	return h.node("a", nil, append(change, func(o *forward.Options) {
		o.FairAdmission = fair
		o.Admitted = decisions.add
	})...), decisions
}

// sent is a request in progress.
type sent struct {
	answer forward.Answer
	took   time.Duration
	done   chan struct{}
	cancel context.CancelFunc
}

// send sends a request and returns when virtual time can go on.
func send(f *forward.Forwarder, path string) *sent {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sent{done: make(chan struct{}), cancel: cancel}
	began := time.Now()
	id := newRequestID()
	go func() {
		defer close(s.done)
		defer cancel()
		s.answer = f.Serve(ctx, &forward.Request{
			ID: id, Method: http.MethodGet, Target: path, Path: path, Host: "h.example",
			Header: http.Header{headerID: {id}}, Arrived: began, CallerTimeout: time.Second, TransitReserve: 10 * ms,
		})
		s.took = time.Since(began)
	}()
	time.Sleep(ms)
	return s
}

func (s *sent) wait() forward.Answer {
	<-s.done
	return s.answer
}

// Guards against urgent requests that queue behind reports, or are refused while reports are
// served.
func TestUrgentRequestStartsBeforeWaitingReports(t *testing.T) {
	withHarness(t, shards(1, "a"), func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 30 * ms })
		f, _ := admissionNode(h, true)
		reports := []*sent{send(f, "/report/s0/"), send(f, "/report/s0/"), send(f, "/report/s0/")}
		urgent := send(f, "/urgent/")
		h.Assert(urgent.wait().Outcome, qt.Equals, forward.Merged)
		h.Assert(urgent.took < 75*ms, qt.IsTrue, qt.Commentf("took %v", urgent.took))
		for _, r := range reports {
			h.Assert(r.wait().Outcome, qt.Equals, forward.Passed)
		}
		h.Assert(reports[2].took > urgent.took, qt.IsTrue)
		h.Assert(f.AdmissionState().Counts, qt.Equals, forward.AdmissionCounts{AtOnce: 1, Waited: 3})
	})
}

// Guards against requests that wait although neither accounts nor the setting ask for it.
func TestWithoutAccountsNothingWaits(t *testing.T) {
	withHarness(t, shards(1, "a"), func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 30 * ms })
		f, decisions := admissionNode(h, false)
		first, second := send(f, "/report/s0/"), send(f, "/report/s0/")
		h.Assert(second.wait().Outcome, qt.Equals, forward.NotRun)
		h.Assert(second.took, qt.Equals, time.Duration(0))
		h.Assert(first.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(decisions.all(), qt.HasLen, 0)
	})
}

// Guards against a place that stays taken by a caller that has left, and against sending its
// request.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	withHarness(t, shards(1, "a"), func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 30 * ms })
		f, decisions := admissionNode(h, true)
		first, left, last := send(f, "/report/s0/"), send(f, "/report/s0/"), send(f, "/report/s0/")
		left.cancel()
		h.Assert(left.wait().Outcome, qt.Equals, forward.NotRun)
		h.Assert(left.took < 5*ms, qt.IsTrue)
		first.wait()
		h.Assert(last.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(last.took < 75*ms, qt.IsTrue, qt.Commentf("took %v", last.took))
		h.Assert(h.replicas["s0-a"].requestCount(), qt.Equals, 2)
		h.Assert(decisions.all()[1].Cause, qt.Equals, fairshare.CallerLeft)
	})
}

// Guards against a request that waits beyond its objective, and against one that is sent after
// it was refused. Its answer states when to return, and its log line the rule.
func TestRequestThatCannotStartInTimeIsRefusedUnsent(t *testing.T) {
	withHarness(t, shards(1, "a"), func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 110 * ms })
		lines := &logtest.Hook{}
		f, _ := admissionNode(h, true, func(o *forward.Options) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			log.AddHook(lines)
			o.Log = log
		})
		first, second, last := send(f, "/report/s0/"), send(f, "/report/s0/"), send(f, "/report/s0/")
		a := last.wait()
		line, err := json.Marshal(lines.LastEntry().Data["admission"])
		h.Assert(err, qt.IsNil)
		h.Assert(string(line), qt.Matches, `{"rule":"(expired|no_turn)","priority":2,"waited_ms":[0-9.]+,"place":1,"room":0}`)
		h.Assert(a.Outcome, qt.Equals, forward.NotRun)
		h.Assert(a.RetryAfter > 0, qt.IsTrue)
		h.Assert(last.took < 200*ms, qt.IsTrue, qt.Commentf("took %v", last.took))
		h.Assert(first.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(second.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(h.replicas["s0-a"].requestCount(), qt.Equals, 2)
	})
}

// Guards against a quarantined request that takes a place in the queue and is refused only after
// its wait.
func TestQuarantinedRequestIsRefusedWithoutWaiting(t *testing.T) {
	withHarness(t, shards(1, "a"), func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 30 * ms })
		f, decisions := admissionNode(h, true)
		f.Refuse(quarantine.NewFingerprint(http.MethodGet, "h.example", "/urgent/", "", nil))
		busy := send(f, "/report/s0/")
		refused := send(f, "/urgent/")
		h.Assert(refused.wait().Outcome, qt.Equals, forward.NotRun)
		h.Assert(refused.took, qt.Equals, time.Duration(0))
		h.Assert(busy.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(decisions.all(), qt.HasLen, 1)
	})
}

// Guards against a shutdown that waits for requests without room, or sends them.
func TestShutdownRefusesWaitingRequests(t *testing.T) {
	withHarness(t, shards(1, "a"), func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 100 * ms })
		f, decisions := admissionNode(h, true)
		first, waiting := send(f, "/report/s0/"), []*sent{send(f, "/report/s0/"), send(f, "/urgent/")}
		f.RefuseWaiting()
		waiting = append(waiting, send(f, "/urgent/"))
		for _, s := range waiting {
			h.Assert(s.wait().Outcome, qt.Equals, forward.NotRun)
			h.Assert(s.took < 5*ms, qt.IsTrue)
		}
		for _, d := range decisions.all()[1:] {
			h.Assert(d.Cause, qt.Equals, fairshare.Stopping)
		}
		h.Assert(first.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(h.replicas["s0-a"].requestCount(), qt.Equals, 1)
	})
}

// Guards against requests that wait for room although they cannot end any more before the node
// stops.
func TestWaitingRequestThatOutlastsItsNodeIsRefused(t *testing.T) {
	withHarness(t, shards(1, "a"), func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 100 * ms })
		f, decisions := admissionNode(h, true)
		first, waiting := send(f, "/report/s0/"), send(f, "/urgent/")
		f.StopAt(forward.Stop{AnswerBy: time.Now().Add(50 * ms)})
		for _, s := range []*sent{waiting, send(f, "/urgent/")} {
			h.Assert(s.wait().Outcome, qt.Equals, forward.NotRun)
			h.Assert(s.took <= 5*ms, qt.IsTrue, qt.Commentf("took %v", s.took))
		}
		h.Assert(decisions.all(), qt.HasLen, 2)
		h.Assert(first.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(h.replicas["s0-a"].requestCount(), qt.Equals, 1)
	})
}

// Guards against accounts that are rationed because the replicas of a shard are silent: the
// requests are refused at once instead, as without admission.
func TestSilentShardMakesNothingWait(t *testing.T) {
	withHarness(t, shards(1, "a", "b"), func(h *harness) {
		f, decisions := admissionNode(h, true)
		for range 20 {
			send(f, "/urgent/").wait()
		}
		for _, r := range h.replicas {
			r.set(func(r *replica) { r.latency = time.Minute })
		}
		var all []*sent
		for range 20 {
			time.Sleep(50 * ms)
			all = append(all, send(f, "/urgent/"))
		}
		for _, s := range all {
			h.Assert(s.wait().Outcome, qt.Not(qt.Equals), forward.Merged)
		}
		waited := 0
		for _, d := range decisions.all() {
			if d.Waited > 0 || d.Cause != fairshare.NotRefused {
				waited++
			}
		}
		h.Assert(waited, qt.Equals, 0)
	})
}

// Guards against a hedge of a report, and a new report, that take the place at one shard from an
// urgent request that waits for another shard.
func TestHedgesAndReportsYieldToWaitingUrgentRequest(t *testing.T) {
	placement := map[string][]string{"s0": {"a", "b"}, "s1": {"a"}}
	withHarness(t, placement, func(h *harness) {
		h.replicas["s0-a"].set(func(r *replica) { r.latency = 350 * ms })
		h.replicas["s1-a"].set(func(r *replica) { r.latency = 100 * ms })
		f, _ := admissionNode(h, true)
		busy, hedged := send(f, "/report/s1/"), send(f, "/report/s0/")
		urgent := send(f, "/urgent/")
		next := send(f, "/report/s0/")
		time.Sleep(90 * ms)
		h.Assert(h.replicas["s0-b"].requestCount(), qt.Equals, 0)
		h.Assert(urgent.wait().Outcome, qt.Equals, forward.Merged)
		h.Assert(urgent.took < 350*ms, qt.IsTrue, qt.Commentf("took %v", urgent.took))
		for _, s := range []*sent{busy, hedged, next} {
			s.wait()
		}
	})
}

// Guards against a report that is late because its hedge was due while an urgent request waited.
func TestHedgeThatYieldedIsSentOnceNoUrgentRequestWaits(t *testing.T) {
	placement := map[string][]string{"s0": {"a", "b", "c"}, "s1": {"a"}}
	withHarness(t, placement, func(h *harness) {
		for _, r := range h.replicas {
			r.set(func(r *replica) { r.latency = 350 * ms })
		}
		f, _ := admissionNode(h, true)
		h.replicas["s1-a"].set(func(r *replica) { r.latency = 110 * ms })
		busy, hedged := send(f, "/report/s1/"), send(f, "/report/s0/")
		time.Sleep(10 * ms)
		for _, r := range h.replicas {
			r.set(func(r *replica) { r.latency = 10 * ms })
		}
		urgent := send(f, "/urgent/")
		h.Assert(hedged.wait().Outcome, qt.Equals, forward.Passed)
		h.Assert(hedged.took > 110*ms && hedged.took < 150*ms, qt.IsTrue, qt.Commentf("took %v", hedged.took))
		h.Assert(urgent.wait().Outcome, qt.Equals, forward.Merged)
		h.Assert(busy.wait().Outcome, qt.Equals, forward.Passed)
	})
}
