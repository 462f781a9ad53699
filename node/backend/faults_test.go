package backend_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	standin "github.com/carobmill/carobmill/standin/backend"
)

func TestMismatchedRepliesAreRejected(t *testing.T) {
	// A reply of another attempt or snapshot, with malformed headers, or above the size
	// limit must not be returned as a result. The next query must succeed.
	faults := map[standin.Fault]pb.Reason{
		standin.FaultWrongAttempt:     pb.Reason_REASON_MISMATCH,
		standin.FaultWrongSnapshot:    pb.Reason_REASON_MISMATCH,
		standin.FaultMalformedHeaders: pb.Reason_REASON_MISMATCH,
		standin.FaultOversizedReply:   pb.Reason_REASON_BACKEND,
		standin.FaultError:            pb.Reason_REASON_BACKEND,
	}
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		h := newHarness(t, protocol, standin.Options{}, backend.Options{MaxResultBytes: 64 << 10}, 1)
		for fault, want := range faults {
			h.server.SetFault(fault, 1)
			reply := h.do(h.call(fmt.Sprint("a", fault)))
			h.Check(reply.Reason, qt.Equals, want)
			h.Check(reply.Result, qt.IsNil)
			next := h.do(h.call(fmt.Sprint("b", fault)))
			h.Check(next.OK(), qt.IsTrue, qt.Commentf("after fault %d: %+v", fault, next))
		}
		h.Assert(h.client.Stats().Mismatched, qt.Equals, uint64(3))
	})
}

func TestConnectionLimitHoldsWhileExchangesAreCancelled(t *testing.T) {
	// Two owners have floor(10/3) connections each to a server that accepts 10. Connections
	// of cancelled queries are replaced; a replacement opened before the server has noticed
	// the close would exceed the server's limit.
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1,
		standin.Options{Slots: 4, Queue: -1, Connections: 10, ServiceTime: standin.ServiceTime{Base: time.Millisecond}},
		backend.Options{CancelGrace: -1}, 3)
	second := backend.New(backend.Options{CancelGrace: -1})
	second.SetConnections("r0", 3)
	t.Cleanup(second.Close)
	var wg sync.WaitGroup
	for _, client := range []*backend.Client{h.client, second} {
		for worker := range 8 {
			wg.Go(func() {
				for i := range 25 {
					ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
					if i%2 == 0 {
						ctx, cancel = context.WithTimeout(context.Background(), time.Millisecond)
					}
					client.Do(ctx, h.call(fmt.Sprint("w", worker, "-", i)))
					cancel()
				}
			})
		}
	}
	wg.Wait()
	counts := h.server.Counts()
	h.Assert(counts.RefusedConnections, qt.Equals, uint64(0))
	h.Assert(counts.MaxConnections <= 8, qt.IsTrue, qt.Commentf("%d connections", counts.MaxConnections))
	h.Assert(counts.Accepted > 6, qt.IsTrue, qt.Commentf("no connection was replaced"))
	t.Logf("at most %d connections, %d accepted", counts.MaxConnections, counts.Accepted)
}

// openConnections opens the whole share by holding one query on each connection.
func (h *harness) openConnections(n int) {
	h.Helper()
	h.server.Hold()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { h.Check(h.do(h.call(fmt.Sprint("open", i))).OK(), qt.IsTrue) })
	}
	h.waitUntil("all queries run", func() bool { return h.server.Counts().Queries >= uint64(n) })
	h.server.Resume()
	wg.Wait()
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	// Four connections silently drop all data. The first query on one of them fails; that
	// connection and the other three must be closed, and all later queries must succeed.
	// Without probes, each silent connection would cost one query.
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		const share = 4
		opts := backend.Options{SilenceTimeout: 50 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond}
		h := newHarness(t, protocol, standin.Options{Slots: share, Queue: -1}, opts, share)
		h.openConnections(share)
		opened := h.client.Stats().Dialled
		h.server.BlackholeConnections()

		lost := h.do(h.call("lost"))
		h.Assert(lost.Reason, qt.Equals, pb.Reason_REASON_CONNECTION)
		h.Assert(lost.Evidence, qt.Equals, unknown)
		h.Assert(lost.Silent, qt.IsTrue)
		h.Assert(lost.Took < testTimeout/10, qt.IsTrue)
		for i := range 2 * share {
			h.Assert(h.do(h.call(fmt.Sprint("after", i))).OK(), qt.IsTrue)
		}
		// One silent connection may have been closed to make capacity for the new one.
		h.waitUntil("the silent connections are closed", func() bool { return h.client.Stats().SilentClosed >= opened-1 })
	})
}

func TestPingClosesIdleSilentHTTP2Connection(t *testing.T) {
	// An idle cleartext HTTP/2 connection goes silent. The ping must detect that and close
	// the connection before the next query.
	h := newHarness(t, pb.Protocol_PROTOCOL_H2C, standin.Options{}, backend.Options{ProbeTimeout: 50 * time.Millisecond}, 1)
	h.Assert(h.do(h.call("first")).OK(), qt.IsTrue)
	h.server.BlackholeConnections()
	h.waitUntil("the connection is closed", func() bool { return h.client.Connections("r0") == 0 })
	h.Assert(h.do(h.call("second")).OK(), qt.IsTrue)
}

func TestStalledReplicaKeepsItsConnections(t *testing.T) {
	// A stalled replica answers on no connection, including new ones. Closing its
	// connections would add load to the replica.
	opts := backend.Options{SilenceTimeout: 10 * time.Millisecond, ProbeTimeout: 20 * time.Millisecond}
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 2}, opts, 3)
	h.openConnections(2)
	h.server.Stall(true)
	done := make(chan backend.Reply, 1)
	go func() { done <- h.do(h.call("slow")) }()
	h.waitUntil("a probe connects to the stalled server", func() bool { return h.client.Stats().Dialled == 3 })
	time.Sleep(5 * opts.ProbeTimeout)
	h.server.Stall(false)
	h.Assert((<-done).OK(), qt.IsTrue)
	h.Assert(h.client.Stats().SilentClosed, qt.Equals, uint64(0))
}

func TestReleaseKeepsColdServerWithinLimit(t *testing.T) {
	// A cold server accepts one request at a time. The next query is sent after OnRelease of
	// a cancelled one; OnRelease must not be called while the server still runs the request.
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		so := standin.Options{
			Slots:       4,
			StartCold:   true,
			Cold:        standin.Cold{InFlight: 1, Requests: 1000},
			ServiceTime: standin.ServiceTime{Base: 20 * time.Millisecond},
		}
		h := newHarness(t, protocol, so, backend.Options{CancelGrace: -1}, 3)
		for i := range 50 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			released := make(chan struct{})
			call := h.call(fmt.Sprint("a", i))
			call.OnRelease = func() { close(released) }
			h.client.Do(ctx, call)
			cancel()
			<-released
		}
		counts := h.server.Counts()
		h.Assert(counts.ColdOverloads, qt.Equals, uint64(0))
		h.Assert(counts.Cancelled > 10, qt.IsTrue, qt.Commentf("%+v", counts))
	})
}

func TestClosedConnectionCountsUntilServerClosesIt(t *testing.T) {
	// Requests are cancelled, but the server continues them and still counts their
	// connections. Only a reserve of one may be opened beyond the share of three; requests
	// without a connection must be reported as not run.
	const share, reserve = 3, 1
	h := newHarness(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 2 * share}, backend.Options{CancelGrace: -1}, share)
	h.server.Hold()
	ctx, cancelFirst := context.WithCancel(context.Background())
	first := h.submitExecutes(ctx, "first", share)
	h.waitUntil("all requests run", func() bool { return h.server.Counts().Executes >= share })
	h.Assert(h.server.Counts().MaxConnections, qt.Equals, share)
	cancelFirst()
	h.Assert(h.countEvidence(first(), pb.Reason_REASON_CANCELLED), qt.DeepEquals, map[pb.Evidence]int{unknown: share})
	// The server has closed no connection; at most the reserve may have been opened.
	open := h.server.Counts().Connections
	h.Assert(open == share || open == share+reserve, qt.IsTrue, qt.Commentf("%d connections", open))
	for _, round := range []string{"second", "third"} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		sent := h.countEvidence(h.submitExecutes(ctx, round, share)(), pb.Reason_REASON_DEADLINE)
		cancel()
		h.Assert(sent[unknown] <= reserve, qt.IsTrue, qt.Commentf("%s: %v", round, sent))
		h.Assert(sent[unknown]+sent[notRun], qt.Equals, share, qt.Commentf("%s: %v", round, sent))
	}
	h.waitUntil("the reserve is open", func() bool { return h.server.Counts().Connections == share+reserve })
	h.Assert(h.server.Counts().MaxConnections, qt.Equals, share+reserve)
	h.Assert(h.server.Counts().Executes <= share+reserve, qt.IsTrue)
	// Once the server has closed its connections, the whole share is available again.
	h.server.Resume()
	h.openConnections(share)
	h.Assert(h.server.Counts().MaxConnections, qt.Equals, share+reserve)
}

// submitExecutes sends n non-idempotent requests at once; the returned function waits
// for their replies.
func (h *harness) submitExecutes(ctx context.Context, prefix string, n int) func() []backend.Reply {
	var wg sync.WaitGroup
	replies := make([]backend.Reply, n)
	for i := range replies {
		name := fmt.Sprint(prefix, i)
		wg.Go(func() { replies[i] = h.client.Do(ctx, h.execute(name, name)) })
	}
	return func() []backend.Reply {
		wg.Wait()
		return replies
	}
}

// countEvidence counts the replies by evidence and checks the reason of each.
func (h *harness) countEvidence(replies []backend.Reply, reason pb.Reason) map[pb.Evidence]int {
	counts := make(map[pb.Evidence]int)
	for _, reply := range replies {
		h.Check(reply.Reason, qt.Equals, reason)
		counts[reply.Evidence]++
	}
	return counts
}
