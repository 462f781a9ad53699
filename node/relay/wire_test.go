package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/forward"
)

// Guards against a coordinator that does not learn when the node that waits for its answer stops.
func TestRelayedRequestStatesWhenItsSenderStops(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	for _, left := range []time.Duration{3 * time.Second, -time.Second} {
		req := &forward.Request{Arrived: now, AnswerBy: now.Add(left)}
		got := decodeRelayRequest(encodeRelayRequest(req, 0, 0).GetRequest(), now)
		c.Check(got.AnswerBy.IsZero(), qt.IsFalse)
		c.Check(got.AnswerBy.After(now.Add(max(left, time.Millisecond))), qt.IsFalse)
		c.Check(got.AnswerBy.After(now.Add(left-time.Minute)), qt.IsTrue)
	}
	got := decodeRelayRequest(encodeRelayRequest(&forward.Request{Arrived: now}, 0, 0).GetRequest(), now)
	c.Check(got.AnswerBy.IsZero(), qt.IsTrue)
}

// Guards against a relayed answer whose status cannot be written, so that its caller's connection
// ends without an answer, or with a status that the replica did not send.
func TestRelayedAnswerWithoutFinalStatusIsFailure(t *testing.T) {
	for _, status := range []uint32{0, 99, 100, 101, 199, 1000, 1<<32 - 1} {
		a := decodeAnswer(&pb.RelayAnswer{
			Outcome: pb.RelayOutcome_RELAY_OUTCOME_PASSED, Status: status, Body: []byte("b"), Version: 7,
			Headers: []*pb.Header{{Name: []byte("Signature"), Values: [][]byte{[]byte("s")}}},
		})
		qt.Check(t, a, qt.DeepEquals, forward.Answer{Outcome: forward.Failed, Version: 7}, qt.Commentf("status %d", status))
	}
	a := decodeAnswer(&pb.RelayAnswer{Outcome: pb.RelayOutcome_RELAY_OUTCOME_PASSED, Status: 200})
	qt.Check(t, a.Outcome, qt.Equals, forward.Passed)
}
