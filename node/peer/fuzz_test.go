package peer

import (
	"bytes"
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/config"
)

const (
	fuzzMessages    = 16
	fuzzConnections = 4
)

// singleNode fakes the fleet and the backend servers of a node that owns two replicas, one
// of them in the lifecycle state OUT. A request takes a millisecond; a request of the
// class "hang" lasts until its context ends.
type singleNode struct {
	Fleet
	owner.Backend
	index *config.Index

	// mu guards the fields below.
	mu                    sync.Mutex
	inFlight, maxInFlight int
	calls                 map[string]int
	wrongReplica          string
}

func newSingleNode() *singleNode {
	shard := &pb.Shard{Name: "s", Replicas: []*pb.Replica{
		{Name: "r", DataCentre: "a", Address: "10.0.0.1:1"},
		{Name: "out", DataCentre: "a", Address: "10.0.0.2:1", State: pb.Lifecycle_LIFECYCLE_OUT},
	}}
	index, err := config.New(&pb.Configuration{Version: 1, Sheet: &pb.Sheet{
		Fleet: "test", DataCentres: []*pb.DataCentre{{Name: "a"}},
		Services: []*pb.Service{{Name: "svc", Connections: fuzzConnections, ColdInFlight: fuzzConnections, Generations: []*pb.Generation{{Id: 1, Shards: []*pb.Shard{shard}}}}},
	}})
	if err != nil {
		panic(err)
	}
	return &singleNode{index: index, calls: make(map[string]int)}
}

func (n *singleNode) Envelope() *pb.Envelope { return &pb.Envelope{Fleet: "test"} }

func (n *singleNode) Receive(e *pb.Envelope) error {
	if e.GetFleet() != "test" {
		return &fleet.NameMismatchError{Fleet: e.GetFleet()}
	}
	return nil
}

func (n *singleNode) Index() *config.Index                   { return n.index }
func (n *singleNode) Self() fleet.Member                     { return fleet.Member{Name: "self"} }
func (n *singleNode) Owners(*config.Replica) []fleet.Member  { return []fleet.Member{n.Self()} }
func (n *singleNode) MayUseCold(*config.Replica) bool        { return true }
func (n *singleNode) OwnersPerReplica(r *config.Replica) int { return 1 }
func (n *singleNode) Revision() uint64                       { return 1 }
func (n *singleNode) SetConnections(string, int)             {}
func (n *singleNode) Connections(string) int                 { return 1 }
func (n *singleNode) Forget(string)                          {}

func (n *singleNode) Poll(context.Context, *config.Replica) backend.Reply {
	return backend.Reply{Incarnation: "r-1"}
}

func (n *singleNode) Do(ctx context.Context, call backend.Call) backend.Reply {
	n.mu.Lock()
	n.inFlight++
	n.maxInFlight = max(n.maxInFlight, n.inFlight)
	n.calls[call.Attempt]++
	if call.Replica.Name != "r" {
		n.wrongReplica = call.Replica.Name
	}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.inFlight--
		n.mu.Unlock()
		call.OnRelease()
	}()
	if call.Class == "hang" {
		<-ctx.Done()
		return backend.Reply{Reason: pb.Reason_REASON_CANCELLED, Evidence: pb.Evidence_EVIDENCE_UNKNOWN}
	}
	time.Sleep(time.Millisecond)
	return backend.Reply{Evidence: pb.Evidence_EVIDENCE_RAN, Snapshot: 1, Generation: 1}
}

// resultStream is the server side of a Scatter stream. It counts the results by attempt.
type resultStream struct {
	grpc.ServerStream
	results map[uint64]int
	largest int
}

func (s *resultStream) Context() context.Context { return context.Background() }

func (s *resultStream) Send(resp *pb.ScatterResponse) error {
	s.largest = max(s.largest, proto.Size(resp))
	for _, r := range resp.GetResults() {
		s.results[r.GetAttempt()]++
	}
	for _, offset := range resp.GetBrief().GetAttempts() {
		s.results[resp.GetBrief().GetFirstAttempt()+uint64(offset)]++
	}
	return nil
}

// fuzzMessage returns a byte for the kind of the message, followed by the message.
func fuzzMessage(kind byte, m proto.Message) []byte {
	out := bytes.NewBuffer([]byte{kind})
	_, _ = protodelim.MarshalTo(out, m)
	return out.Bytes()
}

func fuzzScatter(class string, timeout uint64, subs ...*pb.Subrequest) []byte {
	return fuzzMessage(0, &pb.ScatterRequest{
		Envelope: &pb.Envelope{Fleet: "test", Boot: 3}, Service: "svc", Class: class,
		TimeoutUs: timeout, TypicalUs: timeout, Query: []byte("{}"), Subrequests: subs,
	})
}

// FuzzPeerMessages sends arbitrary scatter, execute and cancel messages to a node. The node
// returns exactly one result for each subrequest, or rejects the whole message, as with a
// duplicate attempt or too many subrequests. It sends requests only to the replica in
// service, with at most as many in flight as its connections, ends within the maximum
// duration of a message, and retains no state of the messages.
//
// Long run: go test ./node/peer -run NONE -fuzz FuzzPeerMessages -fuzztime 10m
func FuzzPeerMessages(f *testing.F) {
	r, other, out := &pb.Subrequest{Attempt: 1, Shard: "s", Replica: "r"}, &pb.Subrequest{Attempt: 2, Replica: "other"}, &pb.Subrequest{Attempt: 3, Replica: "out"}
	const second = 1_000_000
	execute := fuzzMessage(1, &pb.ExecuteRequest{Envelope: &pb.Envelope{Fleet: "test", Boot: 3}, Service: "svc", Attempt: 1, Replica: "r", TimeoutUs: second})
	cancel := fuzzMessage(2, &pb.CancelRequest{Envelope: &pb.Envelope{Fleet: "test", Boot: 3}, Attempts: []uint64{1, 1, 9}})
	f.Add(fuzzScatter("", second, r, r, other, out))
	f.Add(append(fuzzScatter("hang", 1<<62, r, r, r, r, r, r), cancel...))
	f.Add(append(fuzzScatter("hang", 1<<63, r), execute...))
	f.Add(fuzzScatter("hang", 1<<53, r))
	f.Add(append(fuzzScatter("hang", 0, r), fuzzScatter("hang", 1<<64-1, r)...))
	many := make([]*pb.Subrequest, maxSubrequests+1)
	for i := range many {
		many[i] = &pb.Subrequest{Attempt: uint64(i)}
	}
	f.Add(fuzzScatter("", second, many...))
	f.Add(fuzzMessage(0, &pb.ScatterRequest{
		Envelope: &pb.Envelope{Fleet: "test"}, Service: "svc", TimeoutUs: second, ReadsBrief: true, Brief: subrequestList{r, other, out}.encode(),
	}))
	f.Add(append(fuzzMessage(0, &pb.ScatterRequest{}), append(fuzzMessage(1, &pb.ExecuteRequest{}), fuzzMessage(2, &pb.CancelRequest{})...)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) { runPeerMessages(t, data) })
	})
}

func runPeerMessages(t *testing.T, data []byte) {
	n := newSingleNode()
	pool := work.NewPool(2 * fuzzConnections)
	o := owner.New(owner.Options{Fleet: n, Backend: n, Pool: pool, Ring: ring.New(16, func(string) {}), Boot: 1})
	s := &Server{fleet: n, owner: o}
	// The first request finds the replica not yet verified and starts the poll.
	for range 2 {
		_ = o.Execute(t.Context(), owner.Request{Service: "svc", Replica: "r"})
		synctest.Wait()
	}
	if n.maxInFlight == 0 {
		t.Fatal("replica r received no request")
	}
	began := time.Now()
	in := bytes.NewReader(data)
	var sent sync.WaitGroup
	for range fuzzMessages {
		kind, _ := in.ReadByte()
		message := []proto.Message{&pb.ScatterRequest{}, &pb.ExecuteRequest{}, &pb.CancelRequest{}}[kind%3]
		if protodelim.UnmarshalFrom(in, message) != nil {
			break
		}
		sent.Go(func() { checkPeerMessage(t, s, message) })
		synctest.Wait()
	}
	sent.Wait()
	pool.Close()
	switch {
	case time.Since(began) > owner.MaxMessageDuration+time.Second:
		t.Fatalf("messages took %v", time.Since(began))
	case n.wrongReplica != "":
		t.Fatalf("replica %q, which is not in service, received a request", n.wrongReplica)
	case n.maxInFlight > fuzzConnections:
		t.Fatalf("%d concurrent requests exceed the %d connections", n.maxInFlight, fuzzConnections)
	case len(s.active.byBoot) > 0 || n.inFlight > 0:
		t.Fatalf("%d senders and %d requests are still active", len(s.active.byBoot), n.inFlight)
	}
}

func checkPeerMessage(t *testing.T, s *Server, message proto.Message) {
	switch req := message.(type) {
	case *pb.ScatterRequest:
		stream := &resultStream{results: make(map[uint64]int)}
		err := s.Scatter(req, stream)
		want := make(map[uint64]int)
		if err == nil {
			for _, sub := range req.GetSubrequests() {
				want[sub.GetAttempt()]++
			}
			if b := req.GetBrief(); b != nil {
				clear(want)
				for _, offset := range b.GetAttempts() {
					want[b.GetFirstAttempt()+uint64(offset)]++
				}
			}
		}
		for attempt, n := range want {
			if n > 1 || len(want) > maxSubrequests {
				t.Fatalf("message accepted with attempt %d %d times and %d distinct attempts", attempt, n, len(want))
			}
		}
		if !maps.Equal(stream.results, want) {
			t.Errorf("error %v: results %v, want %v", err, stream.results, want)
		}
	case *pb.ExecuteRequest:
		resp, err := s.Execute(context.Background(), req)
		if err != nil || resp.GetAttempt() != req.GetAttempt() || resp.GetReason() == 0 && resp.GetEvidence() != pb.Evidence_EVIDENCE_RAN {
			t.Errorf("execute: %v %v", resp, err)
		}
	case *pb.CancelRequest:
		_, _ = s.Cancel(context.Background(), req)
	}
}

// Guards against lost results: in a single message, large results of one owner exceed
// maxMessageBytes, and the sender of the query rejects them all.
func TestLargeResultsAreSplitIntoAcceptableMessages(t *testing.T) {
	const count = 9
	large := make([]byte, maxMessageBytes/(count-1))
	stream := &resultStream{results: make(map[uint64]int)}
	h := &scatterHandler{stream: stream, pending: count, next: &pb.ScatterResponse{}}
	for i := range uint64(count) {
		h.subs = append(h.subs, &pb.Subrequest{Attempt: i})
		h.ready = append(h.ready, attemptResult{sub: h.subs[i], result: &pb.SubrequestResult{Attempt: i, Result: large}})
	}
	if err := h.flush(); err != nil || h.pending != 0 || len(stream.results) != count {
		t.Fatalf("error %v, %d results pending, %d sent", err, h.pending, len(stream.results))
	}
	if stream.largest > maxMessageBytes {
		t.Fatalf("message of %d bytes exceeds the maximum", stream.largest)
	}
}

// FuzzBriefResults decodes arbitrary bytes as BriefResults. The decoder rejects them, or
// returns one result for each attempt, with names only for requested attempts.
//
// Long run: go test ./node/peer -run NONE -fuzz FuzzBriefResults -fuzztime 10m
func FuzzBriefResults(f *testing.F) {
	subs := subrequestList{{Attempt: 1, Shard: "s", Replica: "r"}, {Attempt: 4, Shard: "t", Replica: "q"}}
	resp := &pb.ScatterResponse{}
	w := briefWriter{message: resp, firstAttempt: 1}
	for _, sub := range subs {
		report := &pb.ReplicaNews{Replica: sub.Replica, State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 3}
		w.write([]attemptResult{{sub: sub, result: &pb.SubrequestResult{
			Attempt: sub.Attempt, Shard: sub.Shard, Replica: sub.Replica, Evidence: pb.Evidence_EVIDENCE_RAN, Result: []byte("{}"), News: report,
		}}})
	}
	for _, change := range []func(*pb.BriefResults){
		func(*pb.BriefResults) {},
		func(b *pb.BriefResults) { b.Attempts[1], b.Checks[0] = 1<<32-1, 7 },
		func(b *pb.BriefResults) { b.Sizes[1]++ },
		func(b *pb.BriefResults) { b.Limits = nil },
	} {
		b := proto.CloneOf(resp.GetBrief())
		change(b)
		data, _ := proto.Marshal(b)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &pb.BriefResults{}
		if proto.Unmarshal(data, b) != nil {
			return
		}
		results, err := subs.decodeResults(b)
		if err == nil && len(results) != len(b.GetAttempts()) {
			t.Fatalf("%d results for %d attempts", len(results), len(b.GetAttempts()))
		}
		for _, r := range results {
			i := subs.index(r.GetAttempt())
			if r.GetShard() != "" && (i < 0 || r.GetShard() != subs[i].Shard || r.GetReplica() != subs[i].Replica) {
				t.Fatalf("result with the names of another subrequest: %v", r)
			}
		}
	})
}
