package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/shutdown"
)

const (
	// stopIn is the time from the plan of a stop to the time by which requests are answered.
	stopIn = 5400 * ms
	// longLimit is the time limit of requests that may outlast a node.
	longLimit = 6 * time.Second
)

// withLongRequests runs a test with a route whose requests may take longer than the stop of a node,
// and a replica that answers after a latency.
func withLongRequests(t *testing.T, latency time.Duration, test func(h *harness, f *forward.Forwarder, rep *replica)) {
	withEnrolment(t, 1, []string{"a"}, func(h *harness) {
		h.route.Timeout, h.route.Objective = longLimit, 4*time.Second
		rep := h.replicas["desk-a"]
		rep.set(func(rep *replica) { rep.latency = latency })
		test(h, h.node("a", nil), rep)
	})
}

// request returns a request that is not idempotent.
func request(limit time.Duration) *forward.Request {
	id := newRequestID()
	return &forward.Request{
		ID: id, Method: http.MethodPost, Target: "/x", Path: "/x", Host: "h.example",
		Header: http.Header{headerID: {id}}, Arrived: time.Now(), CallerTimeout: limit,
	}
}

// learnLatency serves enough requests for the latency of the route to be known.
func (h *harness) learnLatency(f *forward.Forwarder) {
	for range shutdown.MinSamples {
		h.Assert(f.Serve(context.Background(), request(longLimit)).Outcome, qt.Equals, forward.Passed)
	}
}

// stop plans the stop of a node.
func stop(f *forward.Forwarder) {
	f.StopAt(forward.Stop{AnswerBy: time.Now().Add(stopIn), RetryAt: time.Now().Add(2 * time.Second)})
}

// checkRefusedUnsent serves a request and checks that it is refused at once and was not sent.
func (h *harness) checkRefusedUnsent(f *forward.Forwarder, rep *replica, req *forward.Request) forward.Answer {
	before, began := rep.requestCount(), time.Now()
	a := f.Serve(context.Background(), req)
	h.Check(a.Outcome, qt.Equals, forward.NotRun)
	h.Check(a.RetryAfter > 0, qt.IsTrue)
	h.Check(time.Since(began), qt.Equals, time.Duration(0))
	h.Check(rep.requestCount(), qt.Equals, before)
	return a
}

// Guards against a request that a stopping node passes on although it cannot be expected to end
// before the node does, and against refusing one that fits into the rest.
func TestRequestThatOutlastsItsNodeIsRefused(t *testing.T) {
	withLongRequests(t, 2800*ms, func(h *harness, f *forward.Forwarder, rep *replica) {
		h.learnLatency(f)
		stop(f)
		time.Sleep(time.Second)
		h.Check(f.Serve(context.Background(), request(longLimit)).Outcome, qt.Equals, forward.Passed)
		a := h.checkRefusedUnsent(f, rep, request(longLimit))
		h.Check(a.RetryAfter >= 100*ms, qt.IsTrue)
	})
}

// Guards against a shutdown that refuses short requests because their callers would wait for long.
func TestShortRequestsAreServedDuringShutdown(t *testing.T) {
	withLongRequests(t, 60*ms, func(h *harness, f *forward.Forwarder, _ *replica) {
		h.learnLatency(f)
		stop(f)
		for range 30 {
			h.Check(f.Serve(context.Background(), request(longLimit)).Outcome, qt.Equals, forward.Passed)
			time.Sleep(100 * ms)
		}
	})
}

// Guards against starting requests of unknown duration whose deadline reaches past the stop, and
// against a Retry-After with which their callers return to this node.
func TestDeadlineDecidesWhileLatencyIsUnknown(t *testing.T) {
	withLongRequests(t, 60*ms, func(h *harness, f *forward.Forwarder, rep *replica) {
		stop(f)
		a := h.checkRefusedUnsent(f, rep, request(longLimit))
		h.Check(a.RetryAfter, qt.Equals, 2*time.Second)
		h.Check(f.Serve(context.Background(), request(time.Second)).Outcome, qt.Equals, forward.Passed)
	})
}

// Guards against parts that are lost with the node that sends their attempts for another node.
func TestStoppingNodeLeavesBatchToItsSender(t *testing.T) {
	withHarness(t, shards(6, "b"), func(h *harness) {
		sender := &fakeBatchSender{}
		f := h.node("a", sender)
		sender.to = h.node("b", nil)
		sender.to.StopAt(forward.Stop{AnswerBy: time.Now().Add(20 * ms)})
		for _, rep := range h.replicas {
			rep.set(func(rep *replica) { rep.latency = 40 * ms })
		}
		a, _ := h.serve(f, 10*ms)
		h.checkRecords(a)
		h.Check(a.Missing, qt.Equals, 0)
		h.Check(sender.batches.Load(), qt.Equals, int32(1))
	})
}

// Guards against a request of a stopping node that a coordinator passes on although it outlasts
// the node that waits for the answer.
func TestRelayedRequestMustNotOutlastItsSender(t *testing.T) {
	withLongRequests(t, 2800*ms, func(h *harness, f *forward.Forwarder, rep *replica) {
		h.learnLatency(f)
		late, early := request(longLimit), request(longLimit)
		late.AnswerBy, early.AnswerBy = time.Now().Add(3*time.Second), time.Now().Add(4*time.Second)
		h.checkRefusedUnsent(f, rep, late)
		h.Check(f.Serve(context.Background(), early).Outcome, qt.Equals, forward.Passed)
	})
}
