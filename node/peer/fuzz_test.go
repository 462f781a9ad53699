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
	fuzzMessages = 16
	fuzzShare    = 4
)

// loneNode is the fleet and the backend servers of a node that owns one replica in
// service and one that is out. A backend server takes a millisecond, or for the
// class "hang" until it is given up.
type loneNode struct {
	Fleet
	owner.Backend
	index *config.Index

	// mu guards everything below.
	mu           sync.Mutex
	running, max int
	calls        map[string]int
	wrong        string
}

func newLoneNode() *loneNode {
	shard := &pb.Shard{Name: "s", Replicas: []*pb.Replica{
		{Name: "r", DataCentre: "a", Address: "10.0.0.1:1"},
		{Name: "out", DataCentre: "a", Address: "10.0.0.2:1", State: pb.Lifecycle_LIFECYCLE_OUT},
	}}
	index, err := config.New(&pb.Configuration{Version: 1, Sheet: &pb.Sheet{
		Fleet: "test", DataCentres: []*pb.DataCentre{{Name: "a"}},
		Services: []*pb.Service{{Name: "svc", Connections: fuzzShare, ColdInFlight: fuzzShare, Generations: []*pb.Generation{{Id: 1, Shards: []*pb.Shard{shard}}}}},
	}})
	if err != nil {
		panic(err)
	}
	return &loneNode{index: index, calls: make(map[string]int)}
}

func (n *loneNode) Envelope() *pb.Envelope { return &pb.Envelope{Fleet: "test"} }

func (n *loneNode) Receive(e *pb.Envelope) error {
	if e.GetFleet() != "test" {
		return &fleet.NameMismatchError{Fleet: e.GetFleet()}
	}
	return nil
}

func (n *loneNode) Index() *config.Index                   { return n.index }
func (n *loneNode) Self() fleet.Member                     { return fleet.Member{Name: "self"} }
func (n *loneNode) Owners(*config.Replica) []fleet.Member  { return []fleet.Member{n.Self()} }
func (n *loneNode) MayUseCold(*config.Replica) bool        { return true }
func (n *loneNode) OwnersPerReplica(r *config.Replica) int { return 1 }
func (n *loneNode) Revision() uint64                       { return 1 }
func (n *loneNode) SetConnections(string, int)             {}
func (n *loneNode) Connections(string) int                 { return 1 }
func (n *loneNode) Forget(string)                          {}

func (n *loneNode) Poll(context.Context, *config.Replica) backend.Reply {
	return backend.Reply{Incarnation: "r-1"}
}

func (n *loneNode) Do(ctx context.Context, call backend.Call) backend.Reply {
	n.mu.Lock()
	n.running++
	n.max = max(n.max, n.running)
	n.calls[call.Attempt]++
	if call.Replica.Name != "r" {
		n.wrong = call.Replica.Name
	}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.running--
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

// collector is the sending side of a scatter's stream.
type collector struct {
	grpc.ServerStream
	results map[uint64]int
	largest int
}

func (c *collector) Context() context.Context { return context.Background() }

func (c *collector) Send(resp *pb.ScatterResponse) error {
	c.largest = max(c.largest, proto.Size(resp))
	for _, r := range resp.GetResults() {
		c.results[r.GetAttempt()]++
	}
	for _, beyond := range resp.GetBrief().GetAttempts() {
		c.results[resp.GetBrief().GetFirstAttempt()+uint64(beyond)]++
	}
	return nil
}

// fuzzMessage is a byte for its kind and the message.
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

// FuzzPeerMessages feeds a stream of any scatter, execute and cancel messages to a
// node. Whatever they hold, the node answers each subrequest exactly once or
// refuses the whole message, as it does when that names an attempt twice or holds too
// many subrequests. It asks only the replica that it owns and that is in
// service, never beyond its share, gives up within the longest deadline, and holds
// nothing afterwards.
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
		Envelope: &pb.Envelope{Fleet: "test"}, Service: "svc", TimeoutUs: second, ReadsBrief: true, Brief: asked{r, other, out}.brief(),
	}))
	f.Add(append(fuzzMessage(0, &pb.ScatterRequest{}), append(fuzzMessage(1, &pb.ExecuteRequest{}), fuzzMessage(2, &pb.CancelRequest{})...)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) { runPeerMessages(t, data) })
	})
}

func runPeerMessages(t *testing.T, data []byte) {
	n := newLoneNode()
	pool := work.NewPool(2 * fuzzShare)
	o := owner.New(owner.Options{Fleet: n, Backend: n, Pool: pool, Ring: ring.New(16, func(string) {}), Boot: 1})
	s := &Server{fleet: n, owner: o}
	// The first request finds the replica unverified and starts the poll.
	for range 2 {
		_ = o.Execute(t.Context(), owner.Request{Service: "svc", Replica: "r"})
		synctest.Wait()
	}
	if n.max == 0 {
		t.Fatal("the replica cannot be used")
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
		t.Fatalf("held for %v", time.Since(began))
	case n.wrong != "":
		t.Fatalf("replica %q was asked", n.wrong)
	case n.max > fuzzShare:
		t.Fatalf("%d requests at once, the share is %d", n.max, fuzzShare)
	case len(s.running.parts) > 0 || n.running > 0:
		t.Fatalf("%d messages and %d requests are still held", len(s.running.parts), n.running)
	}
}

func checkPeerMessage(t *testing.T, s *Server, message proto.Message) {
	switch req := message.(type) {
	case *pb.ScatterRequest:
		stream := &collector{results: make(map[uint64]int)}
		err := s.Scatter(req, stream)
		want := make(map[uint64]int)
		if err == nil {
			for _, sub := range req.GetSubrequests() {
				want[sub.GetAttempt()]++
			}
			if b := req.GetBrief(); b != nil {
				clear(want)
				for _, beyond := range b.GetAttempts() {
					want[b.GetFirstAttempt()+uint64(beyond)]++
				}
			}
		}
		for attempt, n := range want {
			if n > 1 || len(want) > maxSubrequests {
				t.Fatalf("attempt %d ran %d times, of %d in the message", attempt, n, len(want))
			}
		}
		if !maps.Equal(stream.results, want) {
			t.Errorf("%v: results %v, want %v", err, stream.results, want)
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

// A part of a query comes in with large results, all at once. In one message they
// exceed what the sender takes: it drops the message, and the whole part is absent
// from the answer. Each result must come once, in messages that it takes.
func TestLargeResultsAreSplitIntoAcceptableMessages(t *testing.T) {
	const count = 9
	large := make([]byte, maxMessage/(count-1))
	stream := &collector{results: make(map[uint64]int)}
	p := &part{stream: stream, left: count, next: &pb.ScatterResponse{}}
	for i := range uint64(count) {
		p.subs = append(p.subs, &pb.Subrequest{Attempt: i})
		p.ready = append(p.ready, answered{sub: p.subs[i], result: &pb.SubrequestResult{Attempt: i, Result: large}})
	}
	if err := p.send(); err != nil || p.left != 0 || len(stream.results) != count {
		t.Fatalf("%v, %d left, %d came", err, p.left, len(stream.results))
	}
	if stream.largest > maxMessage {
		t.Fatalf("message of %d bytes", stream.largest)
	}
}

// FuzzBriefResults feeds any bytes as the results that an owner puts into columns.
// The entry node refuses them, or reads one result for each attempt, and gives names
// only to those that were asked for.
//
// Long run: go test ./node/peer -run NONE -fuzz FuzzBriefResults -fuzztime 10m
func FuzzBriefResults(f *testing.F) {
	subs := asked{{Attempt: 1, Shard: "s", Replica: "r"}, {Attempt: 4, Shard: "t", Replica: "q"}}
	resp := &pb.ScatterResponse{}
	w := briefWriter{into: resp, first: 1}
	for _, sub := range subs {
		news := &pb.ReplicaNews{Replica: sub.Replica, State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 3}
		w.write([]answered{{sub: sub, result: &pb.SubrequestResult{
			Attempt: sub.Attempt, Shard: sub.Shard, Replica: sub.Replica, Evidence: pb.Evidence_EVIDENCE_RAN, Result: []byte("{}"), News: news,
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
		results, err := subs.results(b)
		if err == nil && len(results) != len(b.GetAttempts()) {
			t.Fatalf("%d results of %d", len(results), len(b.GetAttempts()))
		}
		for _, r := range results {
			at := subs.find(r.GetAttempt())
			if r.GetShard() != "" && (at < 0 || r.GetShard() != subs[at].Shard || r.GetReplica() != subs[at].Replica) {
				t.Fatalf("result with the names of another: %v", r)
			}
		}
	})
}
