package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// ackTimeout bounds the wait for a coordinator's acknowledgement, opening the
	// connection included. It takes a millisecond or two, and up to 80 where a VM's
	// quota of processor time is used up for the rest of a tenth of a second.
	ackTimeout = 90 * time.Millisecond
	// maxTries bounds the coordinators that get a request, so that its caller hears soon
	// where none of them answers.
	maxTries = 3
	// stoodStill is the lateness of a timer that tells that this process did not run.
	stoodStill = 15 * time.Millisecond
	// answerMargin is how much longer than its caller a request waits for the
	// coordinator's answer, which ends in time by itself.
	answerMargin = 300 * time.Millisecond
	// defaultPatience stands in for callers that do not say how long they wait.
	defaultPatience = 30 * time.Second
	// coordinatorWait is how long a request waits for a coordinator when there is none
	// in use: one that restarts takes 100 ms to read the store.
	coordinatorWait = 300 * time.Millisecond
	// localWait is how long a request waits for this node to learn a configuration
	// when no coordinator takes it: reading the store takes four calls of 4 ms, and
	// decoding 20 ms on the smallest VM.
	localWait = 400 * time.Millisecond
	// localRetryAfter is when a request that waited for that in vain may come back.
	localRetryAfter = 500 * time.Millisecond
)

// Options of a Relay.
type Options struct {
	// Own is this node.
	Own      coordinator.Member
	Pool     *peer.Pool
	Follower Follower
	// Follow makes this node follow the store by itself, or stop it.
	Follow func(on bool)
	Local  Local
	// Registered reads the registered nodes from the store.
	Registered func(ctx context.Context) (coordinator.Fleet, error)
	// Leaving reports whether the node is shutting down.
	Leaving func() bool
	Log     logrus.FieldLogger
}

// Relay is the sender's side. Safe for concurrent use.
type Relay struct {
	opts  Options
	lines telemetry.LineBudget

	// mu guards the fields below.
	mu    sync.Mutex
	table *coordinator.Table
	// version is the newest configuration version that an answer was given by. A
	// later request must not be answered by an older one.
	version uint64
	// inFlight holds the requests that wait at a coordinator, by its name.
	inFlight map[string]map[*call]bool
}

// call is a request at a coordinator.
type call struct {
	cancel context.CancelFunc
}

// New returns a relay that knows no coordinator yet.
func New(o Options) *Relay {
	return &Relay{
		opts:     o,
		table:    coordinator.NewTable(o.Own),
		inFlight: make(map[string]map[*call]bool),
	}
}

// Serve answers one request, through a coordinator if one is in reach and better than
// this node. It returns when the answer is known; ctx ends when the caller has gone.
func (r *Relay) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	tried := make(map[string]bool)
	for range maxTries {
		to, condition, ok := r.await(ctx, req, tried)
		if !ok || condition.Stale && r.current() {
			return r.local(ctx, req)
		}
		tried[to.Node] = true
		answer, done := r.send(ctx, to, req)
		if done {
			return answer
		}
	}
	return r.refuse(req)
}

// await returns a coordinator for a request. When there is none, it waits a moment for
// one, unless this node can answer by itself.
//
// Failure: all nodes lose power and come back, small ones as soon as large ones.
// Symptom: eighty nodes read the whole store because a coordinator was 50 ms later than
// they, thirty of which had requests; 700 calls.
func (r *Relay) await(ctx context.Context, req *forward.Request, tried map[string]bool) (coordinator.Member, coordinator.Condition, bool) {
	until := time.Now().Add(min(coordinatorWait, patienceOf(req)/4))
	for {
		to, condition, ok := r.pick(tried)
		if ok || r.knows() || r.alone() || ctx.Err() != nil || time.Now().After(until) {
			return to, condition, ok
		}
		pause(ctx, lookEvery)
	}
}

// knows reports whether this node knows a configuration by itself.
func (r *Relay) knows() bool { return r.opts.Follower.View() != nil }

// alone reports whether there are no coordinators to wait for.
func (r *Relay) alone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Empty()
}

// current reports whether this node follows the store by itself and has new news.
func (r *Relay) current() bool { return r.knows() && !r.opts.Follower.Stale() }

func (r *Relay) pick(tried map[string]bool) (coordinator.Member, coordinator.Condition, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Pick(time.Now(), tried)
}

// send sends a request to a coordinator. done is false when another one should get it;
// req says then whether this one may have begun.
func (r *Relay) send(ctx context.Context, to coordinator.Member, req *forward.Request) (answer forward.Answer, done bool) {
	began := time.Now()
	result, err := r.exchange(ctx, to, req)
	switch {
	case err == nil && result.answer != nil:
		r.learn(result.answer.Version)
		return *result.answer, true
	case ctx.Err() != nil:
		return forward.Answer{Outcome: forward.Late}, true
	case err == nil && result.refusal == pb.RelayRefusal_RELAY_REFUSAL_BEHIND:
		// It will know in a moment; others may know already.
	case err == nil && result.refusal == pb.RelayRefusal_RELAY_REFUSAL_ISOLATED && !req.Repeat:
		// This node's data centre is cut off, most likely: whoever comes back to
		// another node is served sooner than this one could find out.
		return r.refuse(req), true
	default:
		r.failed(to, err, result.refusal)
	}
	if result.sent && result.refusal == 0 {
		req.Repeat = true
	}
	if result.acknowledged && result.refusal == 0 {
		// Its replicas may have been asked, hedges included; another coordinator's
		// would be more than the route allows. The caller may ask anew.
		r.logLost(to, req)
		return forward.Answer{Outcome: forward.Failed}, true
	}
	if r.lines.Take(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "coordinator": to.Node,
			"refusal": result.refusal.String(), "may_have_begun": req.Repeat,
			"took_ms": time.Since(began).Milliseconds(), logrus.ErrorKey: err,
		}).Info("a coordinator did not answer: another one gets the request")
	}
	if time.Since(req.Arrived) >= patienceOf(req) {
		return forward.Answer{Outcome: unanswered(req)}, true
	}
	return forward.Answer{}, false
}

// logLost writes that a request was lost with its coordinator.
func (r *Relay) logLost(to coordinator.Member, req *forward.Request) {
	if r.lines.Take(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "coordinator": to.Node, "outcome": forward.Failed.String(),
			"took_ms": time.Since(req.Arrived).Milliseconds(),
		}).Info("a coordinator was lost with the request")
	}
}

// unanswered is the outcome of a request whose time is over.
func unanswered(req *forward.Request) forward.Outcome {
	if req.Repeat {
		return forward.Late
	}
	return forward.NotRun
}

func patienceOf(req *forward.Request) time.Duration {
	if req.Patience > 0 {
		return req.Patience
	}
	return defaultPatience
}

// exchanged is what came of sending a request to a coordinator.
type exchanged struct {
	// sent is set once any byte of the request was handed to the connection.
	sent         bool
	acknowledged bool
	refusal      pb.RelayRefusal
	answer       *forward.Answer
}

var errNoAcknowledgement = errors.New("no acknowledgement in time")

// exchange sends a request to a coordinator and waits for its answer.
func (r *Relay) exchange(ctx context.Context, to coordinator.Member, req *forward.Request) (result exchanged, err error) {
	conn, err := r.opts.Pool.Connection(to.Address)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.Arrived.Add(patienceOf(req)+answerMargin))
	defer cancel()
	ctx, sent := peer.WithSent(ctx)
	c := r.enter(to.Node, cancel)
	defer r.leave(to.Node, c)
	defer func() { result.sent = sent.Load() }()
	began := time.Now()
	unacknowledged := r.limitAck(began, cancel)
	defer unacknowledged.Stop()
	stream, err := peerv1.NewCoordinatorClient(conn).Relay(ctx, encode(req, r.leastVersion()))
	if err != nil {
		return result, err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			if !result.acknowledged && time.Since(began) >= ackTimeout {
				err = errNoAcknowledgement
			}
			return result, err
		}
		switch event := m.GetEvent().(type) {
		case *pb.RelayResponse_Refusal:
			result.refusal = event.Refusal
			return result, nil
		case *pb.RelayResponse_Acknowledged:
			unacknowledged.Stop()
			result.acknowledged = true
			r.acknowledged(to.Node, time.Since(began))
		case *pb.RelayResponse_Answer:
			answer := decodeAnswer(event.Answer)
			result.answer = &answer
			return result, nil
		}
	}
}

// limitAck ends an exchange that is not acknowledged in time.
//
// Failure: this process stood still for the rest of its quota's period, and on waking
// finds the time over although the acknowledgement lies in its socket. Symptom: a
// coordinator that is well is left, and the request is sent again. A timer that fires
// late is set once more; by then the acknowledgement has been read.
func (r *Relay) limitAck(began time.Time, cancel context.CancelFunc) *time.Timer {
	var timer *time.Timer
	again := make(chan struct{}, 1)
	again <- struct{}{}
	timer = time.AfterFunc(ackTimeout, func() {
		if time.Since(began) > ackTimeout+stoodStill {
			select {
			case <-again:
				timer.Reset(ackTimeout / 2)
				return
			default:
			}
		}
		cancel()
	})
	return timer
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

func (r *Relay) acknowledged(node string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Acknowledged(node, after)
}

func (r *Relay) leastVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *Relay) learn(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = max(r.version, version)
}

// failed leaves a coordinator alone until a heartbeat reaches it. Its connection is
// replaced: one that was forgotten on the way would swallow the heartbeats too.
func (r *Relay) failed(to coordinator.Member, err error, refusal pb.RelayRefusal) {
	r.mu.Lock()
	first := r.table.Failed(time.Now(), to.Node)
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

// local answers a request from this node, which learns a configuration first if it
// knows none, or an older one than it has answered by.
func (r *Relay) local(ctx context.Context, req *forward.Request) forward.Answer {
	r.opts.Follow(true)
	least := r.leastVersion()
	until := time.Now().Add(min(localWait, patienceOf(req)/2))
	for {
		v := r.opts.Follower.View()
		if v != nil && v.Index.Version >= least {
			break
		}
		if ctx.Err() != nil {
			return forward.Answer{Outcome: forward.Late}
		}
		if time.Now().After(until) {
			return r.refuse(req)
		}
		pause(ctx, lookEvery)
	}
	answer := r.opts.Local.Serve(ctx, req)
	r.learn(answer.Version)
	return answer
}

func (r *Relay) refuse(req *forward.Request) forward.Answer {
	outcome := forward.NotRun
	if req.Repeat {
		outcome = forward.Failed
	}
	if r.lines.Take(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "outcome": outcome.String(), "retry_after_ms": localRetryAfter.Milliseconds(),
		}).Info("no coordinator takes the request, and this node cannot answer it")
	}
	return forward.Answer{Outcome: outcome, RetryAfter: localRetryAfter}
}
