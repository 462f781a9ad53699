package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// offerTimeout bounds the wait for a coordinator's offer, including the opening of the
	// connection. It allows for a coordinator whose VM has used up its CPU quota for a
	// scheduling period.
	offerTimeout = 90 * time.Millisecond
	// pauseThreshold is the delay of a timer from which this process counts as paused.
	pauseThreshold = 15 * time.Millisecond
	// answerMargin is how much longer than the caller's timeout an exchange may last. The
	// coordinator itself answers before the caller's timeout.
	answerMargin = 300 * time.Millisecond
)

// relayedCall is a request in flight at a coordinator.
type relayedCall struct {
	cancel context.CancelFunc
}

// exchangeResult is the result of sending a request to a coordinator.
type exchangeResult struct {
	// started is set before the coordinator receives the message to begin. Until then the
	// coordinator has not run the request and does not run it later.
	started bool
	refusal pb.RelayRefusal
	answer  *forward.Answer
}

var errNoOffer = errors.New("no offer from the coordinator before the timeout")

// exchange sends a request to a coordinator, confirms the coordinator's offer, and waits
// for the answer.
func (r *Relay) exchange(ctx context.Context, to coordinator.Member, req *forward.Request) (result exchangeResult, err error) {
	conn, err := r.opts.Pool.Connection(to.Address)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.Arrived.Add(callerTimeout(req)+answerMargin))
	defer cancel()
	c := r.addInFlight(to.Node, cancel)
	defer r.removeInFlight(to.Node, c)
	start := time.Now()
	var offered atomic.Bool
	timer := startOfferTimer(start, &offered, cancel)
	defer timer.Stop()
	stream, err := peerv1.NewCoordinatorClient(conn).Relay(ctx)
	if err != nil {
		return result, err
	}
	if err := stream.Send(encodeRelayRequest(req, r.minVersion(), r.transitReserve(req))); err != nil {
		return result, err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			if !result.started && time.Since(start) >= offerTimeout {
				err = errNoOffer
			}
			return result, err
		}
		switch event := m.GetEvent().(type) {
		case *pb.RelayResponse_Refusal:
			result.refusal = event.Refusal
			return result, nil
		case *pb.RelayResponse_Offer:
			offered.Store(true)
			r.recordOffer(to.Node, time.Since(start))
			result.started = true
			if err := stream.Send(beginMessage()); err != nil {
				return result, err
			}
		case *pb.RelayResponse_Answer:
			answer := decodeAnswer(event.Answer)
			result.answer = &answer
			return result, nil
		}
	}
}

// startOfferTimer starts a timer that cancels an exchange without an offer after
// offerTimeout. When the timer fires late, this process was paused: the offer may be in the
// socket buffer, so the exchange gets more time.
func startOfferTimer(start time.Time, offered *atomic.Bool, cancel context.CancelFunc) *time.Timer {
	return time.AfterFunc(offerTimeout, func() {
		if time.Since(start) > offerTimeout+pauseThreshold {
			time.Sleep(offerTimeout / 2)
		}
		if !offered.Load() {
			cancel()
		}
	})
}

func (r *Relay) addInFlight(node string, cancel context.CancelFunc) *relayedCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &relayedCall{cancel: cancel}
	if r.inFlight[node] == nil {
		r.inFlight[node] = make(map[*relayedCall]bool)
	}
	r.inFlight[node][c] = true
	return c
}

func (r *Relay) removeInFlight(node string, c *relayedCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight[node], c)
	if len(r.inFlight[node]) == 0 {
		delete(r.inFlight, node)
	}
}

// markFailed records that a coordinator failed: it receives no requests until a heartbeat
// succeeds. After an error its connection is replaced. A connection whose state was lost on
// the network path would lose the heartbeats too.
func (r *Relay) markFailed(to coordinator.Member, err error, refusal pb.RelayRefusal) {
	r.mu.Lock()
	first := r.table.RecordFailure(time.Now(), to.Node)
	r.mu.Unlock()
	if err != nil {
		r.opts.Pool.Replace(to.Address)
	}
	if first {
		r.opts.Log.WithFields(logrus.Fields{
			"coordinator": to.Node, "refusal": refusal.String(), logrus.ErrorKey: err,
		}).Warn("coordinator marked as failed")
	}
}

// cancelInFlight cancels the requests in flight at a coordinator whose heartbeat failed.
// Otherwise they wait until their deadlines.
func (r *Relay) cancelInFlight(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.inFlight[node] {
		c.cancel()
	}
}
