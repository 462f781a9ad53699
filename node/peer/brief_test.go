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

// newResults returns n subrequests and their results, all encodable as BriefResults.
func newResults(rng *rand.Rand, n int) (subrequestList, []attemptResult) {
	var subs subrequestList
	var all []attemptResult
	attempt := uint64(1 << 40)
	for i := range n {
		attempt += 1 + rng.Uint64N(5)
		sub := &pb.Subrequest{Attempt: attempt, Shard: fmt.Sprintf("timing-%04d", i), Replica: fmt.Sprintf("timing-%04d-a", i)}
		subs = append(subs, sub)
		all = append(all, attemptResult{sub: sub, result: &pb.SubrequestResult{
			Attempt: attempt, Shard: sub.GetShard(), Replica: sub.GetReplica(), Evidence: pb.Evidence_EVIDENCE_RAN,
			Snapshot: 70_000, Generation: 3, Result: make([]byte, 51), ServiceUs: rng.Uint64N(9000), QueueUs: rng.Uint64N(100),
			News: &pb.ReplicaNews{Replica: sub.GetReplica(), OldestSnapshot: 69_990, NewestSnapshot: 70_000,
				State: pb.ReplicaState_REPLICA_STATE_WARM, InFlight: rng.Uint32N(9), Limit: 9},
		}})
	}
	rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
	return subs, all
}

// varyResults makes some results not encodable as BriefResults, marks some subrequests as
// extra, and varies the length of the bodies.
func varyResults(rng *rand.Rand, all []attemptResult) {
	for _, a := range all {
		a.sub.Extra = rng.IntN(5) == 0
		a.result.Reason = pb.Reason(rng.IntN(8) / 7)
		a.result.Snapshot += rng.Uint64N(8) / 7
		a.result.News.State += pb.ReplicaState(rng.IntN(8) / 7)
		a.result.Result = []byte(a.sub.GetShard()[:rng.IntN(5)])
	}
}

// transmit returns the message with the results as the receiver decodes it.
func transmit(c *qt.C, subs subrequestList, results []attemptResult) *pb.ScatterResponse {
	w := briefWriter{message: &pb.ScatterResponse{}, firstAttempt: subs[0].GetAttempt()}
	w.write(results)
	wire, err := proto.Marshal(w.message)
	c.Assert(err, qt.IsNil)
	resp := &pb.ScatterResponse{}
	c.Assert(proto.Unmarshal(wire, resp), qt.IsNil)
	return resp
}

// Guards against wrong rows in answers and wrong reports about replicas: subrequests and
// results are the same after encoding and decoding.
func TestBriefMessagesRoundTrip(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		subs, all := newResults(rng, 1+round%40)
		varyResults(rng, all)
		read, err := decodeSubrequests(subs.encode())
		c.Assert(err, qt.IsNil)
		for i := range subs {
			c.Assert(proto.Equal(read[i], subs[i]), qt.IsTrue)
		}
		call := newScatterCall(subs)
		resp := transmit(c, subs, all)
		c.Assert(call.accept(resp), qt.IsNil)
		c.Assert(call.pending, qt.Equals, 0)
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

// Guards against rows of another shard or of another caller's query in an answer. An owner
// swaps two results and returns one for an unknown attempt. The query receives these
// results without names, or with the unknown attempt, so it discards and counts them.
func TestMismatchedBriefResultsGetNoNames(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	subs, original := newResults(rng, 40)
	resp := transmit(c, subs, original)
	b := resp.GetBrief()
	last := len(original) - 1
	b.Attempts[0], b.Attempts[1] = b.Attempts[1], b.Attempts[0]
	b.Attempts[last]++
	results, err := subs.decodeResults(b)
	c.Assert(err, qt.IsNil)
	for i, r := range results {
		mismatched := i < 2 || i == last
		c.Check(r.GetReplica() == "", qt.Equals, mismatched)
		c.Check(r.GetNews() == nil, qt.Equals, mismatched)
	}
	c.Assert(subs.index(results[last].GetAttempt()), qt.Equals, -1)

	// The owner pairs the results of two subrequests with the wrong subrequests.
	original[0].result, original[1].result = original[1].result, original[0].result
	resp = transmit(c, subs, original)
	c.Assert(resp.GetResults(), qt.HasLen, 2)
	c.Assert(proto.Equal(resp.GetResults()[0], original[0].result), qt.IsTrue)

	// A message with columns of different lengths is rejected as a whole.
	b.Checks = b.Checks[1:]
	c.Assert(newScatterCall(subs).accept(&pb.ScatterResponse{Brief: b}), qt.ErrorIs, ErrMalformed)
}

// releaseServer is a node that runs a release with or without brief messages.
type releaseServer struct {
	peerv1.UnimplementedPeerServer
	brief bool
	boot  uint64
	// briefRequests counts the requests with BriefSubrequests.
	briefRequests int
}

func (r *releaseServer) Scatter(req *pb.ScatterRequest, stream grpc.ServerStreamingServer[pb.ScatterResponse]) error {
	subs := subrequestList(req.GetSubrequests())
	if r.brief && req.GetBrief() != nil {
		r.briefRequests++
		subs, _ = decodeSubrequests(req.GetBrief())
	}
	resp := &pb.ScatterResponse{Envelope: &pb.Envelope{Sender: "vm", Boot: r.boot}, ReadsBrief: r.brief}
	for _, sub := range subs {
		resp.Results = append(resp.Results, &pb.SubrequestResult{Attempt: sub.GetAttempt()})
	}
	return stream.Send(resp)
}

// Guards against lost results while nodes of two releases exchange messages, also after a
// VM restarts with the previous release. Brief messages are sent only to a boot that
// announced that it accepts them, and brief results only to such a sender.
func TestScatterBetweenReleasesWithAndWithoutBriefMessages(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server, node := grpc.NewServer(), &releaseServer{}
	peerv1.RegisterPeerServer(server, node)
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	pool := NewPool(nil, nil)
	defer pool.Close()
	client := NewClient(pool, stubFleet{})
	subs := []*pb.Subrequest{{Attempt: 2, Shard: "s2", Replica: "s2-a"}, {Attempt: 1, Shard: "s1", Replica: "s1-a"}}
	for boot, brief := range []bool{false, true, false, true} {
		node.brief, node.boot, node.briefRequests = brief, uint64(boot), 0
		for range 3 {
			to := fleet.Member{Name: "vm", Boot: node.boot, PeerAddress: l.Addr().String()}
			missing, err := client.Scatter(context.Background(), to, &pb.ScatterRequest{Subrequests: subs}, func(*pb.ScatterResponse) {})
			c.Assert(err, qt.IsNil)
			c.Assert(missing, qt.HasLen, 0)
		}
		if brief {
			c.Assert(node.briefRequests, qt.Equals, 2)
		}
	}
	stream := &recordingStream{}
	s := &Server{fleet: stubFleet{}, owner: &delayedOwner{delays: make([]time.Duration, 2)}}
	c.Assert(s.Scatter(&pb.ScatterRequest{Subrequests: subs, TimeoutUs: 1_000_000}, stream), qt.IsNil)
	results := 0
	for _, m := range stream.sent {
		results += m.Results
	}
	c.Assert(results, qt.Equals, 2)
}

// Guards against larger messages and more allocations per subrequest. The bounds cover
// request and response, encoded and decoded, with 36 subrequests and results of 51 bytes.
func TestBriefMessageSizeAndAllocationsAreBounded(t *testing.T) {
	const (
		n         = 36
		maxBytes  = 75
		maxAllocs = 1.9
	)
	c := qt.New(t)
	subs, all := newResults(rand.New(rand.NewPCG(5, 6)), n)
	size := 0
	allocs := testing.AllocsPerRun(100, func() {
		req, read := &pb.ScatterRequest{Brief: subs.encode()}, &pb.ScatterRequest{}
		wire, err := proto.Marshal(req)
		c.Assert(err, qt.IsNil)
		c.Assert(proto.Unmarshal(wire, read), qt.IsNil)
		_, err = decodeSubrequests(read.GetBrief())
		c.Assert(err, qt.IsNil)
		resp := transmit(c, subs, all)
		size = len(wire) + proto.Size(resp)
		c.Assert(newScatterCall(subs).accept(resp), qt.IsNil)
	})
	c.Logf("%.1f bytes and %.2f allocations per subrequest", float64(size)/n, allocs/n)
	c.Check(float64(size)/n < maxBytes, qt.IsTrue)
	c.Check(allocs/n < maxAllocs, qt.IsTrue)
}
