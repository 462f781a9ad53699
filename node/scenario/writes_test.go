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
	// writeDeadlineMs is generous: what is tested here is not speed.
	writeDeadlineMs = 2000
	// balancerLagMs is how long callers go on coming to a node that is unready.
	balancerLagMs = 100
)

// desk is an entry desk in two data centres: 2 shards of 3 replicas.
func desk() *pb.Sheet {
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

type writes struct {
	c *qt.C
	d *deployment.Deployment
}

// restTime lets claims that a killed node still settles, and connections that
// are held until the other end has closed them, come to their end.
const restTime = time.Hour

// virtualWrites runs a test of the desk in virtual time.
func virtualWrites(t *testing.T, s *pb.Sheet, run func(t *testing.T, w *writes)) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(restTime) })
		o := writeOptions(s)
		o.Network = memnet.New(linkDelay)
		w := &writes{c: qt.New(t), d: start(t, o)}
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

// fee returns the body of one entry fee; each has its own.
func fee(n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"fee":%d}`, n))
}

// send posts a fee to a node. A nil answer means that the caller got none.
func (w *writes) send(node int, n int, key string) *caller.ExecuteAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), 2*writeDeadlineMs*time.Millisecond)
	defer cancel()
	answer, _, err := w.d.Execute(ctx, w.d.Nodes[node].Settings.GetCallerAddress(), &caller.ExecuteRequest{
		Service:        "desk",
		Class:          "entrant",
		Key:            fmt.Sprintf("rider %d", n),
		IdempotencyKey: key,
		Body:           fee(n),
	})
	if err != nil {
		return nil
	}
	return answer
}

// runs counts how often a fee ran, over all backend servers.
func (w *writes) runs(n int) int {
	digest := backend.Digest(fee(n))
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
func (w *writes) warm() {
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

// persist repeats a keyed fee at changing nodes, as an impatient caller does,
// until its outcome is final. It checks each "not run" against the log.
func (w *writes) persist(rng *rand.Rand, n int, alive func(int) bool) query.Outcome {
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
			w.c.Errorf("fee %d was told not run (%s) and ran", n, a.Reason)
		}
		if a.Outcome == query.Complete || a.RetryAfterMs == 0 {
			return a.Outcome
		}
		time.Sleep(time.Duration(a.RetryAfterMs) * time.Millisecond / 10)
	}
	return query.Refused
}

// Callers pay entry fees at four nodes and repeat themselves at other nodes
// until they know the outcome. Meanwhile connections break before the run, after
// it and within the reply, the platform loses answers and writes, and one node
// is killed with what it has in flight. No fee is taken twice, none that was
// told "complete" is missing, and no "not run" is false.
func TestFeesUnderFaultsRunAtMostOnce(t *testing.T) {
	eachProtocol(t, feesUnderFaults)
}

func feesUnderFaults(t *testing.T, w *writes) {
	const fees = 42
	const killed = 3
	var dead sync.Map
	alive := func(node int) bool {
		_, gone := dead.Load(node)
		return !gone
	}
	outcomes := make([]query.Outcome, fees)
	var wg sync.WaitGroup
	places := make(chan struct{}, 6)
	for n := range fees {
		places <- struct{}{}
		w.fault(n)
		if n == fees/2 {
			dead.Store(killed, true)
			go w.d.Nodes[killed].Kill()
		}
		wg.Go(func() {
			outcomes[n] = w.persist(rand.New(rand.NewPCG(7, uint64(n))), n, alive)
			<-places
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
	// Three in seven meet no fault at a backend server.
	w.c.Check(counts[query.Complete] >= fees/4, qt.IsTrue)
	w.c.Check(counts[query.Refused], qt.Equals, 0)
}

// fault sets one fault, in turn.
func (w *writes) fault(n int) {
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

// One fee is submitted to every node at once, twice, while the platform loses
// the answers to the claims. It is taken once; whoever is not told so is told
// "unknown" with a time to come back, and learns it then.
func TestDuplicateFeesRunOnceWhenClaimAnswersAreLost(t *testing.T) {
	virtualWrites(t, desk(), duplicatesWithLostAnswers)
}

func duplicatesWithLostAnswers(t *testing.T, w *writes) {
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
	outcome := w.persist(rand.New(rand.NewPCG(1, 1)), 1, func(int) bool { return true })
	w.c.Check(outcome, qt.Equals, query.Complete)
	w.c.Check(w.runs(1), qt.Equals, 1)
}

// The platform is down for a while. A keyed fee is answered within a moment,
// not sent, with a time to come back; fees without a key and queries go on. When
// the platform is back, the same key goes through.
func TestPlatformOutageStopsOnlyKeyedRequests(t *testing.T) {
	virtualWrites(t, desk(), platformOutage)
}

func platformOutage(t *testing.T, w *writes) {
	w.d.Platform.SetDown(true)
	a := w.send(0, 1, "fee-1")
	w.c.Assert(a, qt.IsNotNil)
	w.c.Check(a.Reason, qt.Equals, "platform")
	w.c.Check(a.Sent, qt.IsFalse)
	w.c.Check(a.RetryAfterMs > 0, qt.IsTrue)
	w.c.Check(w.runs(1), qt.Equals, 0)
	a = w.send(0, 2, "")
	w.c.Check(a.Outcome, qt.Equals, query.Complete)
	w.c.Check(w.ask(0).Outcome, qt.Equals, query.Complete)
	w.d.Platform.SetDown(false)
	outcome := w.persist(rand.New(rand.NewPCG(1, 1)), 1, func(int) bool { return true })
	w.c.Check(outcome, qt.Equals, query.Complete)
	w.c.Check(w.runs(1), qt.Equals, 1)
}

// ask sends a query to a node.
func (w *writes) ask(node int) *caller.Answer {
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

// A fee is at a backend server when the node that owns the replica dies. The
// caller, at another node, is told "unknown" when the connection between the
// nodes breaks, not at its deadline, and its retry never makes the fee run again.
func TestOwnerLossReportsFeeInFlightAsUnknown(t *testing.T) {
	virtualWrites(t, desk(), ownerDies)
}

func ownerDies(t *testing.T, w *writes) {
	for _, server := range w.d.Backends {
		server.Hold()
	}
	// Nodes 2 and 3 are in nakuru, so replicas in nairobi are called through
	// their first owner there.
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
		return "no fee has arrived in nairobi"
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

// ownerInNairobi returns the node that is first owner of the replica in nairobi
// that a fee is at, or -1.
func (w *writes) ownerInNairobi(n int) int {
	for name, server := range w.d.Backends {
		for _, run := range server.RunLog() {
			if run.Digest != backend.Digest(fee(n)) {
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

// Something between nodes and backend servers loses track of every open
// connection: they go silent for good while new ones work. Queries recover by
// new connections and every replica is used again. A fee is written only on a
// connection that is proven alive, so callers of fees notice nothing.
func TestSilentConnectionsAreReplacedAndReplicasKept(t *testing.T) {
	eachProtocol(t, silentConnections)
}

// eachProtocol runs a test over HTTP/1.1 and over HTTP/2.
func eachProtocol(t *testing.T, run func(t *testing.T, w *writes)) {
	for _, protocol := range []pb.Protocol{pb.Protocol_PROTOCOL_HTTP1, pb.Protocol_PROTOCOL_H2C} {
		t.Run(protocol.String(), func(t *testing.T) {
			s := desk()
			s.Services[0].Protocol = protocol
			virtualWrites(t, s, run)
		})
	}
}

func silentConnections(t *testing.T, w *writes) {
	for _, server := range w.d.Backends {
		server.BlackholeConnections()
	}
	// Longer than a connection is taken to be alive after its last byte.
	time.Sleep(200 * time.Millisecond)
	silent := time.Now()
	var fees sync.WaitGroup
	for node := range w.d.Nodes {
		fees.Go(func() {
			a := w.send(node, 100+node, "")
			w.c.Check(a != nil && a.Outcome == query.Complete, qt.IsTrue, qt.Commentf("%+v", a))
		})
	}
	served := make(map[string]uint64)
	for name, server := range w.d.Backends {
		served[name] = server.Counts().Queries
	}
	complete := 0
	recovered := func() string {
		for node := range w.d.Nodes {
			if a := w.ask(node); a.Outcome != query.Complete {
				complete = 0
				return fmt.Sprintf("node %d: %+v", node, a)
			}
		}
		complete++
		for name, server := range w.d.Backends {
			if server.Counts().Queries == served[name] {
				return name + " has served nothing since"
			}
		}
		if complete < 5 {
			return "not steady yet"
		}
		return ""
	}
	w.c.Assert(deployment.Wait(context.Background(), 15*time.Second, recovered), qt.IsNil)
	t.Logf("complete at every node and every replica in use after %v", time.Since(silent).Round(10*time.Millisecond))
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

// BenchmarkFee measures a fee end to end on loopback, backend servers taking 2
// to 8 ms for it, without a key and with one, which costs a claim first.
func BenchmarkFee(b *testing.B) {
	w := &writes{c: qt.New(b), d: start(b, writeOptions(desk()))}
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
