package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/policy/query"
	"github.com/carobmill/carobmill/policy/sheet"
	"github.com/carobmill/carobmill/standin/backend"
	"github.com/carobmill/carobmill/standin/memnet"
)

const (
	deskShards   = 2
	deskReplicas = 3
	// writeDeadlineMs is far above the service times.
	writeDeadlineMs = 2000
	// balancerLagMs is the time in which callers still reach a node that is unready. The
	// balancer lag in the nodes' settings is twice as long.
	balancerLagMs = 100
)

// deskSheet returns a sheet with service desk in two data centres: 2 shards of 3 replicas.
func deskSheet() *pb.Sheet {
	centres := []string{"nairobi", "nakuru"}
	s := &pb.Sheet{Fleet: "writes"}
	for _, name := range centres {
		s.DataCentres = append(s.DataCentres, &pb.DataCentre{Name: name, Region: "kenya"})
	}
	generation := &pb.Generation{Id: 1, FirstSnapshot: 1}
	for i := range deskShards {
		shard := &pb.Shard{Name: fmt.Sprintf("desk-%d", i)}
		for j := range deskReplicas {
			shard.Replicas = append(shard.Replicas, &pb.Replica{
				Name:       fmt.Sprintf("desk-%d-%d", i, j),
				DataCentre: centres[j%len(centres)],
				Address:    fmt.Sprintf("127.0.0.1:%d", 1+i*deskReplicas+j),
			})
		}
		generation.Shards = append(generation.Shards, shard)
	}
	s.Services = []*pb.Service{{
		Name:              "desk",
		Protocol:          pb.Protocol_PROTOCOL_HTTP1,
		Slots:             3,
		Connections:       30,
		DefaultDeadlineMs: writeDeadlineMs,
		MaxDeadlineMs:     writeDeadlineMs,
		Classes:           []*pb.Class{{Name: "entrant", Weight: proto.Float64(1)}},
		Generations:       []*pb.Generation{generation},
	}}
	return sheet.WithDefaults(s)
}

// writeHarness sends fees, which are non-idempotent requests, to a deployment of deskSheet.
type writeHarness struct {
	c *qt.C
	d *deployment.Deployment
}

// cleanupTime is the wait at the end of a test. In this time the claims of a killed node reach
// a final state, and connections that wait for the other end to close are closed.
const cleanupTime = time.Hour

// runWritesInVirtualTime runs a test of non-idempotent requests in virtual time.
func runWritesInVirtualTime(t *testing.T, s *pb.Sheet, run func(t *testing.T, w *writeHarness)) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(cleanupTime) })
		o := writeOptions(s)
		o.Network = memnet.New(linkDelay)
		w := &writeHarness{c: qt.New(t), d: start(t, o)}
		w.warm()
		run(t, w)
	})
}

func writeOptions(s *pb.Sheet) deployment.Options {
	return deployment.Options{
		Sheet: s,
		Settings: func(s *pb.Settings) {
			s.Limits.PlatformCallsPerSecond = 500
			s.Timing.BalancerLagMs = proto.Uint32(2 * balancerLagMs)
		},
	}
}

// feeBody returns the body of fee n. Each fee has a different body.
func feeBody(n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"fee":%d}`, n))
}

// send sends a fee to a node. It returns nil if the request failed without an answer.
func (w *writeHarness) send(node int, n int, key string) *caller.ExecuteAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), 2*writeDeadlineMs*time.Millisecond)
	defer cancel()
	answer, _, err := w.d.Execute(ctx, w.d.Nodes[node].Settings.GetCallerAddress(), &caller.ExecuteRequest{
		Service:        "desk",
		Class:          "entrant",
		Key:            fmt.Sprintf("rider %d", n),
		IdempotencyKey: key,
		Body:           feeBody(n),
	})
	if err != nil {
		return nil
	}
	return answer
}

// runs returns how often a fee ran on all backend servers.
func (w *writeHarness) runs(n int) int {
	digest := backend.Digest(feeBody(n))
	count := 0
	for _, server := range w.d.Backends {
		for _, run := range server.RunLog() {
			if run.Digest == digest {
				count++
			}
		}
	}
	return count
}

// warm waits until fees run at every node.
func (w *writeHarness) warm() {
	w.c.Helper()
	for node := range w.d.Nodes {
		err := deployment.Wait(context.Background(), 10*time.Second, func() string {
			if a := w.send(node, -1-node, ""); a == nil || a.Outcome != query.Complete {
				return fmt.Sprintf("node %d: %+v", node, a)
			}
			return ""
		})
		w.c.Assert(err, qt.IsNil)
	}
}

// retryUntilFinal sends a keyed fee to random nodes until its outcome is final. It retries after
// a tenth of the advised time, and checks each refusal against the run logs of the backend
// servers. Without a final outcome after 60 rounds it returns Refused.
func (w *writeHarness) retryUntilFinal(rng *rand.Rand, n int, alive func(int) bool) query.Outcome {
	key := fmt.Sprintf("fee-%d", n)
	for range 60 {
		node := rng.IntN(len(w.d.Nodes))
		if !alive(node) {
			continue
		}
		a := w.send(node, n, key)
		if a == nil {
			continue
		}
		if a.Outcome == query.Refused && w.runs(n) > 0 {
			w.c.Errorf("fee %d was refused as not run (%s) but ran", n, a.Reason)
		}
		if a.Outcome == query.Complete || a.RetryAfterMs == 0 {
			return a.Outcome
		}
		time.Sleep(time.Duration(a.RetryAfterMs) * time.Millisecond / 10)
	}
	return query.Refused
}

// Guards against fees that run twice, complete fees that did not run, and refused fees that
// ran. Callers retry at other nodes while connections break before, after and during the reply,
// the platform loses answers and writes, and a node is killed with requests in flight.
func TestFeesUnderFaultsRunAtMostOnce(t *testing.T) {
	eachProtocol(t, feesUnderFaults)
}

func feesUnderFaults(t *testing.T, w *writeHarness) {
	const fees = 42
	const killed = 3
	var dead sync.Map
	alive := func(node int) bool {
		_, isDead := dead.Load(node)
		return !isDead
	}
	outcomes := make([]query.Outcome, fees)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 6)
	for n := range fees {
		slots <- struct{}{}
		w.injectFault(n)
		if n == fees/2 {
			dead.Store(killed, true)
			go w.d.Nodes[killed].Kill()
		}
		wg.Go(func() {
			outcomes[n] = w.retryUntilFinal(rand.New(rand.NewPCG(7, uint64(n))), n, alive)
			<-slots
		})
	}
	wg.Wait()
	counts := make(map[query.Outcome]int)
	for n, outcome := range outcomes {
		counts[outcome]++
		runs := w.runs(n)
		w.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("fee %d ran %d times", n, runs))
		if outcome == query.Complete {
			w.c.Check(runs, qt.Equals, 1, qt.Commentf("fee %d", n))
		}
	}
	t.Logf("outcomes of %d fees: %v; platform calls %+v", fees, counts, w.d.Platform.Calls())
	// Three of the seven faults do not affect a backend server.
	w.c.Check(counts[query.Complete] >= fees/4, qt.IsTrue)
	w.c.Check(counts[query.Refused], qt.Equals, 0)
}

// injectFault sets the fault for fee n. The faults take turns.
func (w *writeHarness) injectFault(n int) {
	server := w.d.Backends[fmt.Sprintf("desk-%d-%d", n%deskShards, n%deskReplicas)]
	switch n % 7 {
	case 0:
		server.SetFault(backend.FaultResetBeforeRun, 1)
	case 1:
		server.SetFault(backend.FaultLostReply, 1)
	case 2:
		server.SetFault(backend.FaultTruncatedReply, 1)
	case 3:
		server.ResetConnections()
	case 4:
		w.d.Platform.DropWriteReplies(2)
	case 5:
		w.d.Platform.DropWrites(2)
	case 6:
		w.d.Platform.DropReads(1)
	}
}

// Guards against a fee that runs twice when it is sent to every node twice at the same time
// while the platform loses the answers to claims. Each caller must get "complete", or "unknown"
// with a retry time, and a retry must get "complete".
func TestDuplicateFeesRunOnceWhenClaimAnswersAreLost(t *testing.T) {
	runWritesInVirtualTime(t, deskSheet(), duplicatesWithLostAnswers)
}

func duplicatesWithLostAnswers(t *testing.T, w *writeHarness) {
	w.d.Platform.DropWriteReplies(3)
	answers := make([]*caller.ExecuteAnswer, 2*len(w.d.Nodes))
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = w.send(i%len(w.d.Nodes), 1, "fee-1") })
	}
	wg.Wait()
	for i, a := range answers {
		w.c.Assert(a, qt.IsNotNil)
		if a.Outcome != query.Complete {
			w.c.Check(a.Outcome, qt.Equals, query.Unknown, qt.Commentf("answer %d: %+v", i, a))
			w.c.Check(a.RetryAfterMs > 0, qt.IsTrue)
		}
	}
	outcome := w.retryUntilFinal(rand.New(rand.NewPCG(1, 1)), 1, func(int) bool { return true })
	w.c.Check(outcome, qt.Equals, query.Complete)
	w.c.Check(w.runs(1), qt.Equals, 1)
}

// Guards against a platform outage that stops queries and fees without a key, and against a
// keyed fee that runs without a claim. The keyed fee must be answered as not sent, with a retry
// time, and the same key must succeed after the outage.
func TestPlatformOutageStopsOnlyKeyedRequests(t *testing.T) {
	runWritesInVirtualTime(t, deskSheet(), platformOutage)
}

func platformOutage(t *testing.T, w *writeHarness) {
	w.d.Platform.SetDown(true)
	a := w.send(0, 1, "fee-1")
	w.c.Assert(a, qt.IsNotNil)
	w.c.Check(a.Reason, qt.Equals, "platform")
	w.c.Check(a.Sent, qt.IsFalse)
	w.c.Check(a.RetryAfterMs > 0, qt.IsTrue)
	w.c.Check(w.runs(1), qt.Equals, 0)
	a = w.send(0, 2, "")
	w.c.Check(a.Outcome, qt.Equals, query.Complete)
	w.c.Check(w.query(0).Outcome, qt.Equals, query.Complete)
	w.d.Platform.SetDown(false)
	outcome := w.retryUntilFinal(rand.New(rand.NewPCG(1, 1)), 1, func(int) bool { return true })
	w.c.Check(outcome, qt.Equals, query.Complete)
	w.c.Check(w.runs(1), qt.Equals, 1)
}

// query sends a query to a node.
func (w *writeHarness) query(node int) *caller.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 2*writeDeadlineMs*time.Millisecond)
	defer cancel()
	answer, _, err := w.d.Query(ctx, w.d.Nodes[node].Settings.GetCallerAddress(), &caller.QueryRequest{
		Service:    "desk",
		Class:      "entrant",
		Query:      json.RawMessage(`{"rider":7}`),
		DeadlineMs: 500,
	})
	w.c.Assert(err, qt.IsNil)
	return answer
}

// Guards against a second run of a fee that was at a backend server when the owner node was
// lost, and against a wait until the deadline. The caller at another node must get "unknown"
// when the connection between the nodes breaks.
func TestOwnerLossReportsFeeInFlightAsUnknown(t *testing.T) {
	runWritesInVirtualTime(t, deskSheet(), ownerLoss)
}

func ownerLoss(t *testing.T, w *writeHarness) {
	for _, server := range w.d.Backends {
		server.Hold()
	}
	// Nodes 2 and 3 are in nakuru, so they call replicas in nairobi through the first owner
	// there.
	const entries = 8
	answers := make([]chan *caller.ExecuteAnswer, entries)
	for n := range entries {
		answers[n] = make(chan *caller.ExecuteAnswer, 1)
		go func() { answers[n] <- w.send(2+n%2, n, fmt.Sprintf("fee-%d", n)) }()
	}
	var n, owner int
	err := deployment.Wait(context.Background(), writeDeadlineMs/2*time.Millisecond, func() string {
		for n = range entries {
			if owner = w.ownerInNairobi(n); owner >= 0 {
				return ""
			}
		}
		return "no fee is at a replica in nairobi"
	})
	w.c.Assert(err, qt.IsNil)
	began := time.Now()
	go w.d.Nodes[owner].Kill()
	a := <-answers[n]
	took := time.Since(began)
	w.c.Assert(a, qt.IsNotNil)
	w.c.Check(a.Outcome, qt.Equals, query.Unknown, qt.Commentf("%+v", a))
	w.c.Check(took < writeDeadlineMs/4*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
	for _, server := range w.d.Backends {
		server.Resume()
	}
	a = w.send(5-(2+n%2), n, fmt.Sprintf("fee-%d", n))
	w.c.Assert(a, qt.IsNotNil)
	w.c.Check(a.Outcome, qt.Equals, query.Unknown, qt.Commentf("%+v", a))
	w.c.Check(w.runs(n), qt.Equals, 1)
}

// ownerInNairobi returns the node in nairobi that is first owner of the replica at which a fee
// runs, or -1 if there is none.
func (w *writeHarness) ownerInNairobi(n int) int {
	for name, server := range w.d.Backends {
		for _, run := range server.RunLog() {
			if run.Digest != backend.Digest(feeBody(n)) {
				continue
			}
			first := w.d.FirstOwner(context.Background(), name)
			for node := range 2 {
				if w.d.Nodes[node].Settings.GetNode() == first {
					return node
				}
			}
		}
	}
	return -1
}

// Guards against replicas that stay unused, and fees that fail, after all open connections to
// backend servers become silent while new connections work. Queries must recover through new
// connections. A fee must be written only to a connection that is verified as alive.
func TestSilentConnectionsAreReplacedAndReplicasKept(t *testing.T) {
	eachProtocol(t, silentConnections)
}

// eachProtocol runs a test over HTTP/1.1 and over HTTP/2.
func eachProtocol(t *testing.T, run func(t *testing.T, w *writeHarness)) {
	for _, protocol := range []pb.Protocol{pb.Protocol_PROTOCOL_HTTP1, pb.Protocol_PROTOCOL_H2C} {
		t.Run(protocol.String(), func(t *testing.T) {
			s := deskSheet()
			s.Services[0].Protocol = protocol
			runWritesInVirtualTime(t, s, run)
		})
	}
}

func silentConnections(t *testing.T, w *writeHarness) {
	for _, server := range w.d.Backends {
		server.BlackholeConnections()
	}
	// A connection counts as alive for less than this time after its last received byte.
	time.Sleep(200 * time.Millisecond)
	silencedAt := time.Now()
	var fees sync.WaitGroup
	for node := range w.d.Nodes {
		fees.Go(func() {
			a := w.send(node, 100+node, "")
			w.c.Check(a != nil && a.Outcome == query.Complete, qt.IsTrue, qt.Commentf("%+v", a))
		})
	}
	servedBefore := make(map[string]uint64)
	for name, server := range w.d.Backends {
		servedBefore[name] = server.Counts().Queries
	}
	complete := 0
	recovered := func() string {
		for node := range w.d.Nodes {
			if a := w.query(node); a.Outcome != query.Complete {
				complete = 0
				return fmt.Sprintf("node %d: %+v", node, a)
			}
		}
		complete++
		for name, server := range w.d.Backends {
			if server.Counts().Queries == servedBefore[name] {
				return name + " has served no query since the connections became silent"
			}
		}
		if complete < 5 {
			return "fewer than 5 complete rounds in a row"
		}
		return ""
	}
	w.c.Assert(deployment.Wait(context.Background(), 15*time.Second, recovered), qt.IsNil)
	t.Logf("complete at every node and every replica in use after %v", time.Since(silencedAt).Round(10*time.Millisecond))
	fees.Wait()
	for node := range w.d.Nodes {
		a := w.send(node, 200+node, "")
		w.c.Assert(a, qt.IsNotNil)
		w.c.Check(a.Outcome, qt.Equals, query.Complete, qt.Commentf("%+v", a))
		w.c.Check(w.runs(100+node), qt.Equals, 1)
	}
	for name, server := range w.d.Backends {
		w.c.Check(server.Counts().MaxConnections <= 30, qt.IsTrue, qt.Commentf(name))
	}
}

// BenchmarkFee measures a fee over loopback with a service time of 2 to 8 ms, without a key and
// with one. A key needs a claim at the platform first.
func BenchmarkFee(b *testing.B) {
	w := &writeHarness{c: qt.New(b), d: start(b, writeOptions(deskSheet()))}
	w.warm()
	n := 1000
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprintf("keyed=%v", keyed), func(b *testing.B) {
			before := w.d.Platform.Calls()
			for b.Loop() {
				n++
				key := ""
				if keyed {
					key = fmt.Sprint(n)
				}
				a := w.send(n%len(w.d.Nodes), n, key)
				if a == nil || a.Outcome != query.Complete {
					b.Fatalf("%+v", a)
				}
			}
			writes := w.d.Platform.Calls().Writes - before.Writes
			b.ReportMetric(float64(writes)/float64(b.N), "platform-writes/op")
		})
	}
}
