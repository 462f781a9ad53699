package backend_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	standin "github.com/carobmill/carobmill/standin/backend"
)

func TestExecuteIsSentOnceOnConnectionFailure(t *testing.T) {
	// A non-idempotent request must not be sent again when its connection fails before
	// the run, after the run or within the reply. The client cannot distinguish these, so
	// the evidence must be unknown.
	faults := []struct {
		fault standin.Fault
		runs  int
	}{
		{standin.FaultResetBeforeRun, 0},
		{standin.FaultLostReply, 1},
		{standin.FaultTruncatedReply, 1},
		{standin.FaultError, 1},
		{standin.FaultWrongAttempt, 1},
		{standin.FaultMalformedHeaders, 1},
	}
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		h := newHarness(t, protocol, standin.Options{}, backend.Options{}, 2)
		for i, f := range faults {
			h.Assert(h.do(h.call(fmt.Sprint("warm", i))).OK(), qt.IsTrue)
			h.server.SetFault(f.fault, 1)
			id := fmt.Sprint("id", i)
			reply := h.do(h.execute(fmt.Sprint("x", i), id))
			comment := qt.Commentf("fault %d: %+v", f.fault, reply)
			h.Check(reply.OK(), qt.IsFalse, comment)
			h.Check(reply.Evidence, qt.Equals, unknown, comment)
			h.Check(reply.NewConnection, qt.Equals, false, comment)
			h.Check(h.server.Runs(id), qt.Equals, f.runs, comment)
		}
	})
}

func TestHTTPTransportReplaysExecute(t *testing.T) {
	// Verifies that TestExecuteIsSentOnceOnConnectionFailure can fail: the connection pool of
	// net/http replays a request with an Idempotency-Key when a reused connection fails after
	// the write.
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{}, backend.Options{}, 1)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	send := func(path, id string) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+h.server.Addr()+path, bytes.NewReader([]byte("{}")))
		h.Assert(err, qt.IsNil)
		req.Header.Set("Idempotency-Key", id)
		req.Header.Set("Carobmill-Shard", "s0")
		req.Header.Set("Carobmill-Request-Id", id)
		resp, err := transport.RoundTrip(req)
		if err == nil {
			_, _ = new(bytes.Buffer).ReadFrom(resp.Body)
			_ = resp.Body.Close()
		}
		return err
	}
	h.Assert(send("/v1/query", "warm"), qt.IsNil)
	h.server.SetFault(standin.FaultLostReply, 1)
	h.Assert(send("/v1/execute", "fee"), qt.IsNil)
	h.Assert(h.server.Runs("fee"), qt.Equals, 2)
}

func TestResetDuringWriteHasUnknownEvidence(t *testing.T) {
	// The server resets the connection after 64 KB of the request. The client cannot know
	// how much arrived, so the evidence must be unknown.
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{}, backend.Options{}, 1)
	h.Assert(h.do(h.call("warm")).OK(), qt.IsTrue)
	h.server.ResetAfterBytes(64 << 10)
	call := h.execute("x", "penalty")
	call.Body = []byte(strings.Repeat("x", 512<<10))
	reply := h.do(call)
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_CONNECTION)
	h.Assert(reply.Evidence, qt.Equals, unknown)
	h.Assert(h.server.Runs("penalty"), qt.Equals, 0)
}

func TestRefusedConnectionIsReportedNotRun(t *testing.T) {
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{}, backend.Options{}, 1)
	h.server.Close()
	reply := h.do(h.execute("x", "id"))
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_CONNECTION)
	h.Assert(reply.Evidence, qt.Equals, notRun)
}

func TestEvidenceMatchesRunsWhileConnectionsAreReset(t *testing.T) {
	// Connections are reset while requests are sent. In each case "ran" must mean one run
	// and "not run" none, and no request may run twice.
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		h := newHarness(t, protocol, standin.Options{Slots: 4}, backend.Options{}, 3)
		outcomes := make(map[pb.Evidence]int)
		for i := range 200 {
			id := fmt.Sprint("id", i)
			h.do(h.call("warm" + id))
			if i%2 == 0 {
				go h.server.ResetConnections()
				time.Sleep(time.Duration(i%8) * 50 * time.Microsecond)
			}
			reply := h.do(h.execute("x"+id, id))
			outcomes[reply.Evidence]++
			runs := h.server.Runs(id)
			switch reply.Evidence {
			case ran:
				h.Assert(runs, qt.Equals, 1)
			case notRun:
				h.Assert(runs, qt.Equals, 0)
			default:
				h.Assert(runs <= 1, qt.IsTrue)
			}
		}
		h.Assert(outcomes[ran] > 0, qt.IsTrue)
		t.Logf("outcomes %v", outcomes)
	})
}

func TestRefusalOfAnotherRequestHasUnknownEvidence(t *testing.T) {
	// A "not run" refusal that belongs to another request must not be accepted as evidence
	// for this one.
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{}, backend.Options{}, 1)
	h.server.Shed(true)
	h.server.SetFault(standin.FaultWrongAttempt, 1)
	reply := h.do(h.execute("x", "id"))
	h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_MISMATCH)
	h.Assert(reply.Evidence, qt.Equals, unknown)
}

func TestInvalidHeaderValueIsNotSent(t *testing.T) {
	// A line break in a header value would allow a caller to inject headers; net/http
	// rejects it, and nothing may be sent.
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		h := newHarness(t, protocol, standin.Options{}, backend.Options{}, 1)
		reply := h.do(h.execute("x", "id\r\nCarobmill-Shard: s1"))
		h.Assert(reply.Reason, qt.Equals, pb.Reason_REASON_CONNECTION)
		h.Assert(h.server.RunLog(), qt.HasLen, 0)
		if protocol == pb.Protocol_PROTOCOL_HTTP1 {
			h.Assert(reply.Evidence, qt.Equals, notRun)
		}
	})
}
