package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/owner"
)

// timedOwner answers each subrequest after the delay at its place.
type timedOwner struct {
	Owner
	delays []time.Duration
	next   int
}

func (o *timedOwner) Submit(ctx context.Context, req owner.Request, reply func(*pb.SubrequestResult)) {
	delay := o.delays[o.next]
	o.next++
	late := time.NewTimer(delay)
	go func() {
		select {
		case <-late.C:
		case <-ctx.Done():
		}
		reply(&pb.SubrequestResult{
			Attempt: req.Attempt, Shard: req.Shard, Replica: req.Replica, Evidence: pb.Evidence_EVIDENCE_RAN,
			News: &pb.ReplicaNews{Replica: req.Replica, State: pb.ReplicaState_REPLICA_STATE_WARM},
		})
	}()
}

func (o *timedOwner) ReportsSince(string, uint64) ([]*pb.ReplicaNews, uint64) { return nil, 1 }

type noFleet struct{ Fleet }

func (noFleet) Receive(*pb.Envelope) error { return nil }
func (noFleet) Envelope() *pb.Envelope     { return &pb.Envelope{} }

// sentMessage is a message to the sender of a scatter.
type sentMessage struct {
	After   time.Duration
	Results int
}

// timedStream notes when each message goes out.
type timedStream struct {
	grpc.ServerStreamingServer[pb.ScatterResponse]
	started time.Time
	sent    []sentMessage
}

func (s *timedStream) Context() context.Context { return context.Background() }

func (s *timedStream) Send(resp *pb.ScatterResponse) error {
	s.sent = append(s.sent, sentMessage{After: time.Since(s.started), Results: len(resp.GetResults())})
	return nil
}

func timed(delays ...time.Duration) []sentMessage {
	s := &Server{fleet: noFleet{}, owner: &timedOwner{delays: delays}}
	req := &pb.ScatterRequest{TimeoutUs: 240_000, TypicalUs: 8_000}
	for i := range delays {
		req.Subrequests = append(req.Subrequests, &pb.Subrequest{Attempt: uint64(i)})
	}
	stream := &timedStream{started: time.Now()}
	if err := s.Scatter(req, stream); err != nil {
		panic(err)
	}
	return stream.sent
}

// A caller's answer lacks many shards at its deadline, although only one replica was
// late: ten siblings answer within a millisecond, one after 200 ms. They may wait for
// each other for an eighth of the typical 8 ms, but not for the late one; and the last
// one waits for nobody.
func TestSlowResultDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delays := []time.Duration{200 * time.Millisecond}
		for i := range 10 {
			delays = append(delays, 4*time.Millisecond+time.Duration(i)*100*time.Microsecond)
		}
		qt.Assert(t, timed(delays...), qt.DeepEquals, []sentMessage{
			{After: 5 * time.Millisecond, Results: 10},
			{After: 200 * time.Millisecond, Results: 1},
		})
	})
}

// An entry node gives up on an owner that shows nothing for 120 ms. With all replicas
// slower than that, the owner has to show within 20 ms that it is alive.
func TestOwnerSendsEmptyMessageBeforeSlowResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Assert(t, timed(150*time.Millisecond, 150*time.Millisecond), qt.DeepEquals, []sentMessage{
			{After: aliveAfter},
			{After: 150 * time.Millisecond, Results: 2},
		})
	})
}

// A hedge has won, and the entry node withdraws the loser only: its replica must be
// free for others at once, and the attempts beside it in the same message go on.
func TestCancelEndsOnlyNamedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &timedOwner{delays: []time.Duration{time.Second, 50 * time.Millisecond}}
		s := &Server{fleet: noFleet{}, owner: own}
		req := &pb.ScatterRequest{TimeoutUs: 240_000, Subrequests: []*pb.Subrequest{{Attempt: 7}, {Attempt: 8}}}
		stream := &timedStream{started: time.Now()}
		time.AfterFunc(30*time.Millisecond, func() {
			_, _ = s.Cancel(t.Context(), &pb.CancelRequest{Attempts: []uint64{7, 9}})
		})
		qt.Assert(t, s.Scatter(req, stream), qt.IsNil)
		qt.Assert(t, stream.sent, qt.DeepEquals, []sentMessage{
			{After: aliveAfter},
			{After: 30 * time.Millisecond, Results: 1},
			{After: 50 * time.Millisecond, Results: 1},
		})
		qt.Assert(t, s.running.parts, qt.HasLen, 0)
	})
}
