package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/fleet"
)

// answeredBy is n subrequests and their ordinary results.
func answeredBy(rng *rand.Rand, n int) (asked, []answered) {
	var subs asked
	var all []answered
	attempt := uint64(1 << 40)
	for i := range n {
		attempt += 1 + rng.Uint64N(5)
		sub := &pb.Subrequest{Attempt: attempt, Shard: fmt.Sprintf("timing-%04d", i), Replica: fmt.Sprintf("timing-%04d-a", i)}
		subs = append(subs, sub)
		all = append(all, answered{sub: sub, result: &pb.SubrequestResult{
			Attempt: attempt, Shard: sub.GetShard(), Replica: sub.GetReplica(), Evidence: pb.Evidence_EVIDENCE_RAN,
			Snapshot: 70_000, Generation: 3, Result: make([]byte, 51), ServiceUs: rng.Uint64N(9000), QueueUs: rng.Uint64N(100),
			News: &pb.ReplicaNews{Replica: sub.GetReplica(), OldestSnapshot: 69_990, NewestSnapshot: 70_000,
				State: pb.ReplicaState_REPLICA_STATE_WARM, InFlight: rng.Uint32N(9), Limit: 9},
		}})
	}
	rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
	return subs, all
}

// vary makes some results out of the ordinary, some subrequests hedges, and bodies
// of any length.
func vary(rng *rand.Rand, all []answered) {
	for _, a := range all {
		a.sub.Extra = rng.IntN(5) == 0
		a.result.Reason = pb.Reason(rng.IntN(8) / 7)
		a.result.Snapshot += rng.Uint64N(8) / 7
		a.result.News.State += pb.ReplicaState(rng.IntN(8) / 7)
		a.result.Result = []byte(a.sub.GetShard()[:rng.IntN(5)])
	}
}

// written is the message that carries results, as its receiver gets it.
func written(c *qt.C, subs asked, results []answered) *pb.ScatterResponse {
	w := briefWriter{into: &pb.ScatterResponse{}, first: subs[0].GetAttempt()}
	w.write(results)
	wire, err := proto.Marshal(w.into)
	c.Assert(err, qt.IsNil)
	resp := &pb.ScatterResponse{}
	c.Assert(proto.Unmarshal(wire, resp), qt.IsNil)
	return resp
}

// A query would get wrong rows, or choose replicas by wrong news, if columns lost or
// mixed up anything: whatever is written into them is read out of them.
func TestBriefMessagesRoundTrip(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		subs, all := answeredBy(rng, 1+round%40)
		vary(rng, all)
		read, err := subrequests(subs.brief())
		c.Assert(err, qt.IsNil)
		for i := range subs {
			c.Assert(proto.Equal(read[i], subs[i]), qt.IsTrue)
		}
		call := newCall(subs)
		resp := written(c, subs, all)
		c.Assert(call.take(resp), qt.IsNil)
		c.Assert(call.left, qt.Equals, 0)
		c.Assert(resp.GetResults(), qt.HasLen, len(all))
		for _, a := range all {
			found := 0
			for _, r := range resp.GetResults() {
				if r.GetAttempt() == a.sub.GetAttempt() && proto.Equal(r, a.result) {
					found++
				}
			}
			c.Assert(found, qt.Equals, 1)
		}
	}
}

// A caller must not get rows of another shard, or of another caller's query. An owner
// that mixes up two results, or sends one of an earlier message, must not have them
// taken for what was asked: such results reach the query without the names that it
// asked for, or under an attempt that it does not know, and it drops and counts them.
func TestMismatchedBriefResultsGetNoNames(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	subs, ordinary := answeredBy(rng, 40)
	resp := written(c, subs, ordinary)
	b := resp.GetBrief()
	last := len(ordinary) - 1
	b.Attempts[0], b.Attempts[1] = b.Attempts[1], b.Attempts[0]
	b.Attempts[last]++
	results, err := subs.results(b)
	c.Assert(err, qt.IsNil)
	for i, r := range results {
		crossed := i < 2 || i == last
		c.Check(r.GetReplica() == "", qt.Equals, crossed)
		c.Check(r.GetNews() == nil, qt.Equals, crossed)
	}
	c.Assert(subs.find(results[last].GetAttempt()), qt.Equals, -1)

	// Inside the owner: the result of one subrequest is handed over as another's.
	ordinary[0].result, ordinary[1].result = ordinary[1].result, ordinary[0].result
	resp = written(c, subs, ordinary)
	c.Assert(resp.GetResults(), qt.HasLen, 2)
	c.Assert(proto.Equal(resp.GetResults()[0], ordinary[0].result), qt.IsTrue)

	// Columns of different lengths are no answer at all.
	b.Checks = b.Checks[1:]
	c.Assert(newCall(subs).take(&pb.ScatterResponse{Brief: b}), qt.ErrorIs, ErrMalformed)
}

// release is a node of one release at one address.
type release struct {
	peerv1.UnimplementedPeerServer
	brief bool
	boot  uint64
	// brieflyAsked counts requests with columns.
	brieflyAsked int
}

func (r *release) Scatter(req *pb.ScatterRequest, stream grpc.ServerStreamingServer[pb.ScatterResponse]) error {
	subs := asked(req.GetSubrequests())
	if r.brief && req.GetBrief() != nil {
		r.brieflyAsked++
		subs, _ = subrequests(req.GetBrief())
	}
	resp := &pb.ScatterResponse{Envelope: &pb.Envelope{Sender: "vm", Boot: r.boot}, ReadsBrief: r.brief}
	for _, sub := range subs {
		resp.Results = append(resp.Results, &pb.SubrequestResult{Attempt: sub.GetAttempt()})
	}
	return stream.Send(resp)
}

// While VMs are replaced, nodes of the release before and of this one ask each other,
// and a VM may come back with the release before. Each subrequest gets its answer:
// columns go only to a boot that has said it reads them, and come back only to a
// sender that has.
func TestScatterBetweenReleasesWithAndWithoutBriefMessages(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server, node := grpc.NewServer(), &release{}
	peerv1.RegisterPeerServer(server, node)
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	pool := NewPool(nil, nil)
	defer pool.Close()
	client := NewClient(pool, noFleet{})
	subs := []*pb.Subrequest{{Attempt: 2, Shard: "s2", Replica: "s2-a"}, {Attempt: 1, Shard: "s1", Replica: "s1-a"}}
	for boot, brief := range []bool{false, true, false, true} {
		node.brief, node.boot, node.brieflyAsked = brief, uint64(boot), 0
		for range 3 {
			to := fleet.Member{Name: "vm", Boot: node.boot, PeerAddress: l.Addr().String()}
			missing, err := client.Scatter(context.Background(), to, &pb.ScatterRequest{Subrequests: subs}, func(*pb.ScatterResponse) {})
			c.Assert(err, qt.IsNil)
			c.Assert(missing, qt.HasLen, 0)
		}
		if brief {
			c.Assert(node.brieflyAsked, qt.Equals, 2)
		}
	}
	old := &timedStream{}
	s := &Server{fleet: noFleet{}, owner: &timedOwner{delays: make([]time.Duration, 2)}}
	c.Assert(s.Scatter(&pb.ScatterRequest{Subrequests: subs, TimeoutUs: 1_000_000}, old), qt.IsNil)
	results := 0
	for _, m := range old.sent {
		results += m.Results
	}
	c.Assert(results, qt.Equals, 2)
}

// A subrequest in a message of 36, as at the target, must not become dearer unnoticed:
// each node handles 317,000 a second, so a byte more is 2.5 Mbit/s and an object more
// 317,000 a second. Bounds are on both messages, encoded and decoded, with results of
// 51 bytes.
func TestBriefMessageSizeAndAllocationsAreBounded(t *testing.T) {
	const (
		n         = 36
		maxBytes  = 75
		maxAllocs = 1.9
	)
	c := qt.New(t)
	subs, all := answeredBy(rand.New(rand.NewPCG(5, 6)), n)
	size := 0
	allocs := testing.AllocsPerRun(100, func() {
		req, read := &pb.ScatterRequest{Brief: subs.brief()}, &pb.ScatterRequest{}
		wire, err := proto.Marshal(req)
		c.Assert(err, qt.IsNil)
		c.Assert(proto.Unmarshal(wire, read), qt.IsNil)
		_, err = subrequests(read.GetBrief())
		c.Assert(err, qt.IsNil)
		resp := written(c, subs, all)
		size = len(wire) + proto.Size(resp)
		c.Assert(newCall(subs).take(resp), qt.IsNil)
	})
	c.Logf("%.1f bytes and %.2f allocations a subrequest", float64(size)/n, allocs/n)
	c.Check(float64(size)/n < maxBytes, qt.IsTrue)
	c.Check(allocs/n < maxAllocs, qt.IsTrue)
}
