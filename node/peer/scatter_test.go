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

// delayedOwner returns the result of the n-th subrequest after the n-th delay.
type delayedOwner struct {
	Owner
	delays []time.Duration
	next   int
}

func (o *delayedOwner) Submit(ctx context.Context, req owner.Request, reply func(*pb.SubrequestResult)) {
	delay := o.delays[o.next]
	o.next++
	timer := time.NewTimer(delay)
	go func() {
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		reply(&pb.SubrequestResult{
			Attempt: req.Attempt, Shard: req.Shard, Replica: req.Replica, Evidence: pb.Evidence_EVIDENCE_RAN,
			News: &pb.ReplicaNews{Replica: req.Replica, State: pb.ReplicaState_REPLICA_STATE_WARM},
		})
	}()
}

func (o *delayedOwner) ReportsSince(string, uint64) ([]*pb.ReplicaNews, uint64) { return nil, 1 }

type stubFleet struct{ Fleet }

func (stubFleet) Receive(*pb.Envelope) error { return nil }
func (stubFleet) Envelope() *pb.Envelope     { return &pb.Envelope{} }

// sentMessage records when a message was sent and its number of results.
type sentMessage struct {
	After   time.Duration
	Results int
}

// recordingStream records the sent messages.
type recordingStream struct {
	grpc.ServerStreamingServer[pb.ScatterResponse]
	started time.Time
	sent    []sentMessage
}

func (s *recordingStream) Context() context.Context { return context.Background() }

func (s *recordingStream) Send(resp *pb.ScatterResponse) error {
	s.sent = append(s.sent, sentMessage{After: time.Since(s.started), Results: len(resp.GetResults())})
	return nil
}

func runScatter(delays ...time.Duration) []sentMessage {
	s := &Server{fleet: stubFleet{}, owner: &delayedOwner{delays: delays}}
	req := &pb.ScatterRequest{TimeoutUs: 240_000, TypicalUs: 8_000}
	for i := range delays {
		req.Subrequests = append(req.Subrequests, &pb.Subrequest{Attempt: uint64(i)})
	}
	stream := &recordingStream{started: time.Now()}
	if err := s.Scatter(req, stream); err != nil {
		panic(err)
	}
	return stream.sent
}

// Guards against answers that lack many shards at the deadline because one replica is
// slow. Ten results arrive within a millisecond, one after 200 ms. The ten wait for others
// for an eighth of the typical 8 ms; the last result is sent at once.
func TestSlowResultDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delays := []time.Duration{200 * time.Millisecond}
		for i := range 10 {
			delays = append(delays, 4*time.Millisecond+time.Duration(i)*100*time.Microsecond)
		}
		qt.Assert(t, runScatter(delays...), qt.DeepEquals, []sentMessage{
			{After: 5 * time.Millisecond, Results: 10},
			{After: 200 * time.Millisecond, Results: 1},
		})
	})
}

// Guards against failed calls to an owner whose replicas are all slow: the entry node fails
// the call after 120 ms without a message, so the owner sends an empty one after 20 ms.
func TestOwnerSendsEmptyMessageBeforeSlowResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Assert(t, runScatter(150*time.Millisecond, 150*time.Millisecond), qt.DeepEquals, []sentMessage{
			{After: firstMessageDelay},
			{After: 150 * time.Millisecond, Results: 2},
		})
	})
}

// When a hedge wins, the entry node cancels the slower attempt. Its replica must be free for
// other requests at once, and the other attempts of the message must continue.
func TestCancelEndsOnlyNamedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &delayedOwner{delays: []time.Duration{time.Second, 50 * time.Millisecond}}
		s := &Server{fleet: stubFleet{}, owner: own}
		req := &pb.ScatterRequest{TimeoutUs: 240_000, Subrequests: []*pb.Subrequest{{Attempt: 7}, {Attempt: 8}}}
		stream := &recordingStream{started: time.Now()}
		time.AfterFunc(30*time.Millisecond, func() {
			_, _ = s.Cancel(t.Context(), &pb.CancelRequest{Attempts: []uint64{7, 9}})
		})
		qt.Assert(t, s.Scatter(req, stream), qt.IsNil)
		qt.Assert(t, stream.sent, qt.DeepEquals, []sentMessage{
			{After: firstMessageDelay},
			{After: 30 * time.Millisecond, Results: 1},
			{After: 50 * time.Millisecond, Results: 1},
		})
		qt.Assert(t, s.active.byBoot, qt.HasLen, 0)
	})
}
