package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/gather"
)

const (
	// maxTries bounds the coordinators that get a request, so that its caller hears soon
	// where none of them answers.
	maxTries = 3
	// defaultPatience stands in for callers that do not say how long they wait.
	defaultPatience = 30 * time.Second
	// returnWithin is how long after the last sign of a coordinator requests wait for one
	// to return: a heartbeat's time, and one that restarts takes 100 ms to read the store.
	returnWithin = 600 * time.Millisecond
	// learnWithin is how long after this node began to follow the store requests wait for
	// a configuration: four calls of 4 ms, and 20 ms of decoding on the smallest VM. What
	// comes later is refused at once: it would wait in vain, and its caller could be
	// served elsewhere.
	learnWithin = 400 * time.Millisecond
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
	// Record is called with each request that went to a coordinator; may be nil.
	Record func(a *forward.Answer, took time.Duration)
}

// Relay is the sender's side. Safe for concurrent use.
type Relay struct {
	opts  Options
	lines telemetry.LineBudget

	// maxBodyBytes is what a coordinator last said that callers may send; 0 if nothing.
	maxBodyBytes atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	table *coordinator.Table
	// started is when Run began; followSince when this node began to follow the store,
	// zero while it does not.
	started, followSince time.Time
	// version is the newest configuration version that an answer was given by. A
	// later request must not be answered by an older one.
	version uint64
	// delay is that of coordinators' answers on their way.
	delay gather.DeliveryDelay
	// inFlight holds the requests that wait at a coordinator, by its name.
	inFlight map[string]map[*call]bool
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
		to, condition, ok := r.await(ctx, tried)
		if !ok || condition.Stale && r.current() {
			return r.local(ctx, req)
		}
		tried[to.Node] = true
		answer, done := r.send(ctx, to, req)
		if done {
			r.record(&answer, req)
			return answer
		}
	}
	return r.local(ctx, req)
}

func (r *Relay) record(a *forward.Answer, req *forward.Request) {
	if r.opts.Record != nil {
		r.opts.Record(a, time.Since(req.Arrived))
	}
}

// MaxBodyBytes is the largest body that callers may send, as coordinators say; 0 if they
// have said nothing.
func (r *Relay) MaxBodyBytes() int64 { return r.maxBodyBytes.Load() }

// await returns a coordinator for a request. When there is none, it waits a moment for
// one, unless this node can answer by itself: after a restart of the whole fleet, each node
// that does not wait reads the store.
func (r *Relay) await(ctx context.Context, tried map[string]bool) (coordinator.Member, coordinator.Condition, bool) {
	for {
		to, condition, ok := r.pick(tried)
		if ok || len(tried) > 0 || r.knows() || !r.mayReturn() || ctx.Err() != nil {
			return to, condition, ok
		}
		work.Sleep(ctx, lookEvery)
	}
}

// knows reports whether this node knows a configuration by itself.
func (r *Relay) knows() bool { return r.opts.Follower.View() != nil }

// mayReturn reports whether a coordinator is worth waiting for: there are some, and one
// was heard of, or this node was started, a short while ago.
func (r *Relay) mayReturn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.table.LastHeartbeat()
	if last.Before(r.started) {
		last = r.started
	}
	return !r.table.Empty() && time.Since(last) < returnWithin
}

// follow makes this node follow the store by itself, or stop it.
func (r *Relay) follow(on bool) {
	r.mu.Lock()
	if on && r.followSince.IsZero() {
		r.followSince = time.Now()
	}
	if !on {
		r.followSince = time.Time{}
	}
	r.mu.Unlock()
	r.opts.Follow(on)
}

// mayLearn reports whether a configuration is worth waiting for.
func (r *Relay) mayLearn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.followSince) < learnWithin
}

// current reports whether this node follows the store by itself and has new news.
func (r *Relay) current() bool { return r.knows() && !r.opts.Follower.Stale() }

func (r *Relay) pick(tried map[string]bool) (coordinator.Member, coordinator.Condition, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Pick(time.Now(), tried)
}

// send sends a request to a coordinator. done is false when another one should get it:
// this one has not run it then, and will not.
func (r *Relay) send(ctx context.Context, to coordinator.Member, req *forward.Request) (answer forward.Answer, done bool) {
	began := time.Now()
	result, err := r.exchange(ctx, to, req)
	switch {
	case err == nil && result.answer != nil:
		r.learn(result.answer.Version)
		r.observeDelay(result.answer, req)
		return *result.answer, true
	case ctx.Err() != nil:
		return forward.Answer{Outcome: forward.Late}, true
	case err == nil && result.refusal == pb.RelayRefusal_RELAY_REFUSAL_BEHIND:
		// It will know in a moment; others may know already.
	case err == nil && result.refusal == pb.RelayRefusal_RELAY_REFUSAL_ISOLATED:
		// This node's data centre is cut off, most likely: whoever comes back to
		// another node is served sooner than this one could find out.
		return r.refuse(req), true
	default:
		r.failed(to, err, result.refusal)
	}
	if result.begun && result.refusal == 0 {
		// Its replicas may have been asked, hedges included; another coordinator's
		// would be more than the route allows. The caller may ask anew.
		r.logLost(to, req)
		return forward.Answer{Outcome: forward.Failed}, true
	}
	if r.lines.Take(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "coordinator": to.Node, "refusal": result.refusal.String(),
			"took_ms": time.Since(began).Milliseconds(), logrus.ErrorKey: err,
		}).Info("a coordinator did not take the request: another one gets it")
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

func patienceOf(req *forward.Request) time.Duration {
	if req.CallerTimeout > 0 {
		return req.CallerTimeout
	}
	return defaultPatience
}

// reserve is what of a request's objective is needed outside of the coordinator.
func (r *Relay) reserve(req *forward.Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return req.TransitReserve + r.delay.Estimate()
}

// observeDelay takes how long a coordinator's answer was on its way.
func (r *Relay) observeDelay(a *forward.Answer, req *forward.Request) {
	if a.Due == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay.Observe(time.Since(req.Arrived) - a.Due)
}

func (r *Relay) offered(node string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordOffer(node, after)
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

// local answers a request from this node, which learns a configuration first if it
// knows none, or an older one than it has answered by.
func (r *Relay) local(ctx context.Context, req *forward.Request) forward.Answer {
	r.follow(true)
	least := r.leastVersion()
	for behindSince := time.Now(); ; work.Sleep(ctx, lookEvery) {
		v := r.opts.Follower.View()
		switch {
		case v != nil && v.Index.Version >= least:
			answer := r.opts.Local.Serve(ctx, req)
			r.learn(answer.Version)
			return answer
		case ctx.Err() != nil:
			return forward.Answer{Outcome: forward.Late}
		case v == nil && !r.mayLearn(), time.Since(behindSince) > learnWithin:
			return r.refuse(req)
		}
	}
}

// refuse answers a request that nobody has run.
func (r *Relay) refuse(req *forward.Request) forward.Answer {
	if r.lines.Take(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "outcome": forward.NotRun.String(), "retry_after_ms": localRetryAfter.Milliseconds(),
			"took_ms": time.Since(req.Arrived).Milliseconds(),
		}).Info("no coordinator takes the request, and this node cannot answer it")
	}
	return forward.Answer{Outcome: forward.NotRun, RetryAfter: localRetryAfter}
}
