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
	// offerTimeout bounds the wait for a coordinator's offer, opening the
	// connection included. It takes a millisecond or two, and up to 80 where a VM's
	// quota of processor time is used up for the rest of a tenth of a second.
	offerTimeout = 90 * time.Millisecond
	// stoodStill is the lateness of a timer that tells that this process did not run.
	stoodStill = 15 * time.Millisecond
	// answerMargin is how much longer than its caller a request waits for the
	// coordinator's answer, which ends in time by itself.
	answerMargin = 300 * time.Millisecond
)

// call is a request at a coordinator.
type call struct {
	cancel context.CancelFunc
}

// exchanged is what came of sending a request to a coordinator.
type exchanged struct {
	// begun is set before the coordinator is told to begin: until then it has not run
	// and will not.
	begun   bool
	refusal pb.RelayRefusal
	answer  *forward.Answer
}

var errNoOffer = errors.New("no offer in time")

// exchange offers a request to a coordinator, tells it to begin, and waits for its answer.
func (r *Relay) exchange(ctx context.Context, to coordinator.Member, req *forward.Request) (result exchanged, err error) {
	conn, err := r.opts.Pool.Connection(to.Address)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.Arrived.Add(patienceOf(req)+answerMargin))
	defer cancel()
	c := r.enter(to.Node, cancel)
	defer r.leave(to.Node, c)
	began := time.Now()
	var offered atomic.Bool
	timer := limitOffer(began, &offered, cancel)
	defer timer.Stop()
	stream, err := peerv1.NewCoordinatorClient(conn).Relay(ctx)
	if err != nil {
		return result, err
	}
	if err := stream.Send(encode(req, r.leastVersion(), r.reserve(req))); err != nil {
		return result, err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			if !result.begun && time.Since(began) >= offerTimeout {
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
			r.offered(to.Node, time.Since(began))
			result.begun = true
			if err := stream.Send(begin()); err != nil {
				return result, err
			}
		case *pb.RelayResponse_Answer:
			answer := decodeAnswer(event.Answer)
			result.answer = &answer
			return result, nil
		}
	}
}

// limitOffer ends an exchange that gets no offer in time. A timer that comes late means that
// this process was paused; the offer may be in its socket and gets some more time.
func limitOffer(began time.Time, offered *atomic.Bool, cancel context.CancelFunc) *time.Timer {
	return time.AfterFunc(offerTimeout, func() {
		if time.Since(began) > offerTimeout+stoodStill {
			time.Sleep(offerTimeout / 2)
		}
		if !offered.Load() {
			cancel()
		}
	})
}

func (r *Relay) enter(node string, cancel context.CancelFunc) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &call{cancel: cancel}
	if r.inFlight[node] == nil {
		r.inFlight[node] = make(map[*call]bool)
	}
	r.inFlight[node][c] = true
	return c
}

func (r *Relay) leave(node string, c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight[node], c)
	if len(r.inFlight[node]) == 0 {
		delete(r.inFlight, node)
	}
}

// failed leaves a coordinator alone until a heartbeat reaches it. Its connection is
// replaced: one that was forgotten on the way would swallow the heartbeats too.
func (r *Relay) failed(to coordinator.Member, err error, refusal pb.RelayRefusal) {
	r.mu.Lock()
	first := r.table.RecordFailure(time.Now(), to.Node)
	r.mu.Unlock()
	if err != nil {
		r.opts.Pool.Replace(to.Address)
	}
	if first {
		r.opts.Log.WithFields(logrus.Fields{
			"coordinator": to.Node, "refusal": refusal.String(), logrus.ErrorKey: err,
		}).Warn("a coordinator is out of use")
	}
}

// abandon ends the requests that wait at a coordinator that is dead or cut off. They
// would wait until their deadlines.
func (r *Relay) abandon(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.inFlight[node] {
		c.cancel()
	}
}
