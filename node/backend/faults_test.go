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

func TestRepliesThatDoNotFitAreDropped(t *testing.T) {
	// A reply of another attempt, from another snapshot, with headers that do not
	// parse, or too large for the node must never become a part of an answer. The
	// connection of a misfit is closed, and the next query is answered.
	faults := map[standin.Fault]pb.Reason{
		standin.FaultCrossedReply:  pb.Reason_REASON_MISMATCH,
		standin.FaultWrongSnapshot: pb.Reason_REASON_MISMATCH,
		standin.FaultBadHeaders:    pb.Reason_REASON_MISMATCH,
		standin.FaultOversized:     pb.Reason_REASON_BACKEND,
		standin.FaultError:         pb.Reason_REASON_BACKEND,
	}
	eachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		r := newRig(t, protocol, standin.Options{}, backend.Options{MaxResultBytes: 64 << 10}, 1)
		for fault, want := range faults {
			r.server.SetFault(fault, 1)
			reply := r.do(r.call(fmt.Sprint("a", fault)))
			r.Check(reply.Reason, qt.Equals, want)
			r.Check(reply.Result, qt.IsNil)
			next := r.do(r.call(fmt.Sprint("b", fault)))
			r.Check(next.OK(), qt.IsTrue, qt.Commentf("after fault %d: %+v", fault, next))
		}
		r.Assert(r.client.Stats().Mismatched, qt.Equals, uint64(3))
	})
}

func TestConnectionLimitHoldsWhileExchangesAreCancelled(t *testing.T) {
	// Two owners share a server of 10 connections, floor(10/3) each. Half of the
	// queries are cancelled, which closes connections and opens new ones; the
	// server must never have to refuse one. Opening them before the server has
	// noticed the close took it to 10 and beyond.
	r := newRig(t, pb.Protocol_PROTOCOL_HTTP1,
		standin.Options{Slots: 4, Queue: -1, Connections: 10, ServiceTime: standin.ServiceTime{Base: time.Millisecond}},
		backend.Options{CancelGrace: -1}, 3)
	second := backend.New(backend.Options{CancelGrace: -1})
	second.SetConnections("r0", 3)
	t.Cleanup(second.Close)
	var wg sync.WaitGroup
	for _, client := range []*backend.Client{r.client, second} {
		for worker := range 8 {
			wg.Go(func() {
				for i := range 25 {
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					if i%2 == 0 {
						ctx, cancel = context.WithTimeout(context.Background(), time.Millisecond)
					}
					client.Do(ctx, r.call(fmt.Sprint("w", worker, "-", i)))
					cancel()
				}
			})
		}
	}
	wg.Wait()
	counts := r.server.Counts()
	r.Assert(counts.RefusedConnections, qt.Equals, uint64(0))
	r.Assert(counts.MaxConnections <= 8, qt.IsTrue, qt.Commentf("%d connections", counts.MaxConnections))
	r.Assert(counts.Accepted > 6, qt.IsTrue, qt.Commentf("no connection was replaced"))
	t.Logf("at most %d connections, %d accepted", counts.MaxConnections, counts.Accepted)
}

// openAll opens the whole share by holding one query on each connection.
func (r *rig) openAll(n int) {
	r.Helper()
	r.server.Hold()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { r.Check(r.do(r.call(fmt.Sprint("open", i))).OK(), qt.IsTrue) })
	}
	r.eventually("all queries run", func() bool { return r.server.Counts().Queries >= uint64(n) })
	r.server.Resume()
	wg.Wait()
}

func TestSilentConnectionsAreReplacedAndTheReplicaKept(t *testing.T) {
	// Four connections lose their state somewhere on the way: they swallow what
	// is sent, without an error. The first query on one of them gets no byte; a
	// fresh connection answers, so the silent one is closed, the other three are
	// probed and closed as well, and every later query is answered by the same
	// replica. Without the probes each of the four would cost a query.
	eachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		const share = 4
		opts := backend.Options{SilenceTimeout: 50 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond}
		r := newRig(t, protocol, standin.Options{Slots: share, Queue: -1}, opts, share)
		r.openAll(share)
		opened := r.client.Stats().Dialled
		r.server.SilenceConnections()

		lost := r.do(r.call("lost"))
		r.Assert(lost.Reason, qt.Equals, pb.Reason_REASON_CONNECTION)
		r.Assert(lost.Evidence, qt.Equals, unknown)
		r.Assert(lost.Silent, qt.IsTrue)
		r.Assert(lost.Took < patience/10, qt.IsTrue)
		for i := range 2 * share {
			r.Assert(r.do(r.call(fmt.Sprint("after", i))).OK(), qt.IsTrue)
		}
		// One of them may have made way for the fresh connection.
		r.eventually("the silent ones are closed", func() bool { return r.client.Stats().SilentClosed >= opened-1 })
	})
}

func TestAnIdleSilentHTTP2ConnectionIsFoundByPing(t *testing.T) {
	// A cleartext HTTP/2 connection goes silent while nobody uses it: the ping
	// that follows a second without a frame gets no answer, and the connection is
	// gone before the next query needs it.
	r := newRig(t, pb.Protocol_PROTOCOL_H2C, standin.Options{}, backend.Options{ProbeTimeout: 50 * time.Millisecond}, 1)
	r.Assert(r.do(r.call("first")).OK(), qt.IsTrue)
	r.server.SilenceConnections()
	r.eventually("the connection is closed", func() bool { return r.client.Connections("r0") == 0 })
	r.Assert(r.do(r.call("second")).OK(), qt.IsTrue)
}

func TestASlowReplicaIsNotTakenForASilentConnection(t *testing.T) {
	// The replica stalls: nothing answers, new connections included. Closing its
	// connections would add a storm of new ones to its trouble.
	opts := backend.Options{SilenceTimeout: 10 * time.Millisecond, ProbeTimeout: 20 * time.Millisecond}
	r := newRig(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 2}, opts, 3)
	r.openAll(2)
	r.server.Stall(true)
	done := make(chan backend.Reply, 1)
	go func() { done <- r.do(r.call("slow")) }()
	r.eventually("a probe met the stalled server", func() bool { return r.client.Stats().Dialled == 3 })
	time.Sleep(5 * opts.ProbeTimeout)
	r.server.Stall(false)
	r.Assert((<-done).OK(), qt.IsTrue)
	r.Assert(r.client.Stats().SilentClosed, qt.Equals, uint64(0))
}

func TestSettledMeansThatAColdServerBearsTheNext(t *testing.T) {
	// A cold server bears one request. Each query is cancelled after a
	// millisecond, and the next is sent as soon as the one before has settled:
	// the server must never see two. Going by Do's return it would, because the
	// cancelled request runs on until the server notices.
	eachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		so := standin.Options{
			Slots:       4,
			StartCold:   true,
			Cold:        standin.Cold{InFlight: 1, Requests: 1000},
			ServiceTime: standin.ServiceTime{Base: 20 * time.Millisecond},
		}
		r := newRig(t, protocol, so, backend.Options{CancelGrace: -1}, 3)
		for i := range 50 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			settled := make(chan struct{})
			call := r.call(fmt.Sprint("a", i))
			call.OnRelease = func() { close(settled) }
			r.client.Do(ctx, call)
			cancel()
			<-settled
		}
		counts := r.server.Counts()
		r.Assert(counts.ColdViolations, qt.Equals, uint64(0))
		r.Assert(counts.Cancelled > 10, qt.IsTrue, qt.Commentf("%+v", counts))
	})
}

func TestAClosedConnectionCountsUntilTheServerLetsItGo(t *testing.T) {
	// Three fees are given up, which closes their connections, but the server goes
	// on with them and counts the connections. Beyond the share of three only the
	// reserve of one may be opened, by a probe for silent connections or by one
	// more fee, however often fees are given up; the others are refused unsent.
	const share, reserve = 3, 1
	r := newRig(t, pb.Protocol_PROTOCOL_HTTP1, standin.Options{Slots: 2 * share}, backend.Options{CancelGrace: -1}, share)
	r.server.Hold()
	ctx, giveUp := context.WithCancel(context.Background())
	first := r.fees(ctx, "first", share)
	r.eventually("all fees run", func() bool { return r.server.Counts().Executes >= share })
	r.Assert(r.server.Counts().MaxConnections, qt.Equals, share)
	giveUp()
	r.Assert(r.evidences(first(), pb.Reason_REASON_CANCELLED), qt.DeepEquals, map[pb.Evidence]int{unknown: share})
	// The server has let none go, and the reserve is all that may have come.
	open := r.server.Counts().Connections
	r.Assert(open == share || open == share+reserve, qt.IsTrue, qt.Commentf("%d connections", open))
	for _, round := range []string{"second", "third"} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		sent := r.evidences(r.fees(ctx, round, share)(), pb.Reason_REASON_DEADLINE)
		cancel()
		r.Assert(sent[unknown] <= reserve, qt.IsTrue, qt.Commentf("%s: %v", round, sent))
		r.Assert(sent[unknown]+sent[notRun], qt.Equals, share, qt.Commentf("%s: %v", round, sent))
	}
	r.eventually("the reserve is open", func() bool { return r.server.Counts().Connections == share+reserve })
	r.Assert(r.server.Counts().MaxConnections, qt.Equals, share+reserve)
	r.Assert(r.server.Counts().Executes <= share+reserve, qt.IsTrue)
	// Once the server lets go, the whole share is there again.
	r.server.Resume()
	r.openAll(share)
	r.Assert(r.server.Counts().MaxConnections, qt.Equals, share+reserve)
}

// fees submits a number of fees at once; the function that it returns waits for
// their replies.
func (r *rig) fees(ctx context.Context, prefix string, n int) func() []backend.Reply {
	var wg sync.WaitGroup
	replies := make([]backend.Reply, n)
	for i := range replies {
		name := fmt.Sprint(prefix, i)
		wg.Go(func() { replies[i] = r.client.Do(ctx, r.execute(name, name)) })
	}
	return func() []backend.Reply {
		wg.Wait()
		return replies
	}
}

// evidences counts the replies by evidence, and checks the reason of each.
func (r *rig) evidences(replies []backend.Reply, reason pb.Reason) map[pb.Evidence]int {
	counts := make(map[pb.Evidence]int)
	for _, reply := range replies {
		r.Check(reply.Reason, qt.Equals, reason)
		counts[reply.Evidence]++
	}
	return counts
}
