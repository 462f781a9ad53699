package relay

import (
	"context"
	"math/rand/v2"
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
	// maxAttempts bounds the coordinators that a request is sent to, and so its delay when
	// none of them answers.
	maxAttempts = 3
	// defaultCallerTimeout applies to callers that send no timeout.
	defaultCallerTimeout = 30 * time.Second
	// coordinatorWait is how long requests wait for a coordinator after the last answered
	// heartbeat or the start of this node. It covers a heartbeat or the restart of a
	// coordinator, which reads the store within 100 ms.
	coordinatorWait = 600 * time.Millisecond
	// configurationWait bounds the wait for a configuration. A request waits for a first
	// configuration until this long after the node began to follow the store, and for a
	// newer configuration at most this long. Then the request is refused, so that its caller
	// can retry on another node. Reading the store takes four calls of 4 ms, and decoding it
	// 20 ms on the smallest VM.
	configurationWait = 400 * time.Millisecond
	// localRetryAfter is the retry delay sent with a request that this node refuses.
	localRetryAfter = 500 * time.Millisecond
)

// Options of a Relay.
type Options struct {
	// Self is this node.
	Self      coordinator.Member
	Pool      *peer.Pool
	Directory Directory
	// Follow starts or stops following the store.
	Follow func(on bool)
	Local  LocalForwarder
	// Registered reads the registered nodes from the store.
	Registered func(ctx context.Context) (coordinator.Fleet, error)
	// ReadsPerSecond is the rate of reading calls that the store accepts from the fleet; 0 for
	// any.
	ReadsPerSecond float64
	// Leaving reports whether the node is shutting down.
	Leaving func() bool
	Log     logrus.FieldLogger
	// Record is called with the answer of each request that ended at a coordinator: answered,
	// refused because the data centre is isolated, lost, or abandoned by its caller; may be
	// nil.
	Record func(a *forward.Answer, took time.Duration)
}

// Relay sends callers' requests to coordinators. Safe for concurrent use.
type Relay struct {
	opts       Options
	logLimiter telemetry.LogLimiter

	// maxBodyBytes is the limit of request bodies that a coordinator reported last; 0 for
	// none.
	maxBodyBytes atomic.Int64
	// followOffset, 0 to 1, is this node's place among those that turn to the store.
	followOffset float64

	// mu guards the fields below.
	mu    sync.Mutex
	table *coordinator.Table
	// started is the time at which Run began. followingSince is the time at which this node
	// began to follow the store; zero while it does not.
	started, followingSince time.Time
	// version is the newest configuration version of an answer. A later request must not be
	// answered with an older one.
	version uint64
	// storeLoad is what a coordinator reported last.
	storeLoad coordinator.StoreLoad
	// deliveryDelay estimates how long coordinators' answers are in transit, and
	// longestDelivery is the longest delay that no heartbeat has reported yet.
	deliveryDelay   gather.DeliveryDelay
	longestDelivery time.Duration
	// inFlight holds the requests in flight by coordinator name.
	inFlight map[string]map[*relayedCall]bool
}

// New returns a relay without coordinators.
func New(o Options) *Relay {
	return &Relay{
		opts:  o,
		table: coordinator.NewTable(o.Self),

		followOffset: rand.Float64(),
		inFlight:     make(map[string]map[*relayedCall]bool),
	}
}

// Serve answers one request through a coordinator. It answers locally when no coordinator
// accepts the request, or when the coordinator's configuration is stale and this node's is
// not. ctx ends when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	tried := make(map[string]bool)
	for range maxAttempts {
		to, condition, ok := r.awaitCoordinator(ctx, tried)
		if !ok || condition.Stale && r.isCurrent() {
			return r.serveLocally(ctx, req)
		}
		if len(tried) == 0 && !req.HasMemory(req.MessageCost()) {
			return r.refuse(req)
		}
		tried[to.Node] = true
		answer, done := r.send(ctx, to, req)
		if done {
			r.record(&answer, req)
			return answer
		}
	}
	return r.serveLocally(ctx, req)
}

func (r *Relay) record(a *forward.Answer, req *forward.Request) {
	if r.opts.Record != nil {
		r.opts.Record(a, time.Since(req.Arrived))
	}
}

// MaxBodyBytes returns the limit of request bodies that a coordinator reported last; 0 for
// none.
func (r *Relay) MaxBodyBytes() int64 { return r.maxBodyBytes.Load() }

// awaitCoordinator returns a coordinator for a request. If there is none and none was tried,
// it waits as long as a coordinator may return, unless this node has a configuration.
// Without the wait, a restart of the whole fleet makes every node read the store.
func (r *Relay) awaitCoordinator(ctx context.Context, tried map[string]bool) (coordinator.Member, coordinator.Condition, bool) {
	for {
		to, condition, ok := r.pickCoordinator(tried)
		if ok || len(tried) > 0 || r.hasConfiguration() || !r.coordinatorMayReturn() || ctx.Err() != nil {
			return to, condition, ok
		}
		work.Sleep(ctx, pollInterval)
	}
}

// hasConfiguration reports whether this node has a configuration itself.
func (r *Relay) hasConfiguration() bool { return r.opts.Directory.View() != nil }

// coordinatorMayReturn reports whether to wait for a coordinator: the fleet has some, and
// the last answered heartbeat or the start of this node is less than coordinatorWait ago.
func (r *Relay) coordinatorMayReturn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.table.LastHeartbeat()
	if last.Before(r.started) {
		last = r.started
	}
	return !r.table.Empty() && time.Since(last) < coordinatorWait
}

// setFollowing starts or stops following the store.
func (r *Relay) setFollowing(on bool) {
	r.mu.Lock()
	if on && r.followingSince.IsZero() {
		r.followingSince = time.Now()
	}
	if !on {
		r.followingSince = time.Time{}
	}
	r.mu.Unlock()
	r.opts.Follow(on)
}

// mayFollow reports whether this node may follow the store: it does already, or its turn
// among the nodes without a coordinator has come.
func (r *Relay) mayFollow() bool {
	r.mu.Lock()
	following, last := !r.followingSince.IsZero(), r.table.LastHeartbeat()
	if last.Before(r.started) {
		last = r.started
	}
	r.mu.Unlock()
	return following || time.Since(last) >= r.followStagger()
}

// followStagger returns this node's place in the time over which nodes turn to the store.
func (r *Relay) followStagger() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.followOffset * float64(r.table.FollowSpread(r.storeLoad, heartbeatPeers)))
}

// configurationMayArrive reports whether to wait for a first configuration.
func (r *Relay) configurationMayArrive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.followingSince) < configurationWait
}

// isCurrent reports whether this node has a configuration that is not stale.
func (r *Relay) isCurrent() bool { return r.hasConfiguration() && !r.opts.Directory.Stale() }

func (r *Relay) pickCoordinator(tried map[string]bool) (coordinator.Member, coordinator.Condition, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Pick(time.Now(), tried)
}

// send sends a request to a coordinator. done is false when another coordinator is to be
// tried: the coordinator has not run the request then, and does not run it later.
func (r *Relay) send(ctx context.Context, to coordinator.Member, req *forward.Request) (answer forward.Answer, done bool) {
	start := time.Now()
	result, err := r.exchange(ctx, to, req)
	switch {
	case err == nil && result.answer != nil:
		r.recordVersion(result.answer.Version)
		r.recordDelivery(result.answer, req)
		return *result.answer, true
	case ctx.Err() != nil:
		return forward.Answer{Outcome: forward.Late}, true
	case err == nil && result.refusal == pb.RelayRefusal_RELAY_REFUSAL_BEHIND:
		// The coordinator does not have the required configuration version yet. Another
		// coordinator may have it.
	case err == nil && result.refusal == pb.RelayRefusal_RELAY_REFUSAL_NO_MEMORY:
		return r.refuse(req), true
	case err == nil && result.refusal == pb.RelayRefusal_RELAY_REFUSAL_ISOLATED:
		// The data centre is most likely isolated. A caller that retries on another node is
		// served sooner than by trying the other coordinators.
		return r.refuse(req), true
	default:
		r.markFailed(to, err, result.refusal)
	}
	if result.started && result.refusal == 0 {
		// The coordinator may have sent attempts and hedges. With those of another
		// coordinator, the request would exceed the attempts that its route allows. The
		// caller may retry.
		r.logLost(to, req)
		return forward.Answer{Outcome: forward.Failed}, true
	}
	if r.logLimiter.Allow(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "coordinator": to.Node, "refusal": result.refusal.String(),
			"took_ms": time.Since(start).Milliseconds(), logrus.ErrorKey: err,
		}).Info("coordinator did not accept the request, retrying elsewhere")
	}
	return forward.Answer{}, false
}

// logLost logs that a request was lost with its coordinator.
func (r *Relay) logLost(to coordinator.Member, req *forward.Request) {
	if r.logLimiter.Allow(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "coordinator": to.Node, "outcome": forward.Failed.String(),
			"took_ms": time.Since(req.Arrived).Milliseconds(),
		}).Info("coordinator was lost after it began the request")
	}
}

func callerTimeout(req *forward.Request) time.Duration {
	if req.CallerTimeout > 0 {
		return req.CallerTimeout
	}
	return defaultCallerTimeout
}

// transitReserve returns the part of the request's objective that is spent outside the
// coordinator.
func (r *Relay) transitReserve(req *forward.Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return req.TransitReserve + r.deliveryDelay.Estimate()
}

// recordDelivery records how long a coordinator's answer was in transit.
func (r *Relay) recordDelivery(a *forward.Answer, req *forward.Request) {
	if a.Due == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := time.Since(req.Arrived) - a.Due
	r.deliveryDelay.Observe(sample)
	r.longestDelivery = max(r.longestDelivery, sample)
}

// takeLongestDelivery returns the longest delay since the last call; 0 without an answer.
func (r *Relay) takeLongestDelivery() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := r.longestDelivery
	r.longestDelivery = 0
	return longest
}

func (r *Relay) recordOffer(node string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordOffer(node, after)
}

func (r *Relay) minVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *Relay) recordVersion(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = max(r.version, version)
}

// serveLocally answers a request from this node. It first waits for a configuration that is
// at least as new as that of any earlier answer.
func (r *Relay) serveLocally(ctx context.Context, req *forward.Request) forward.Answer {
	if !r.mayFollow() {
		return r.refuse(req)
	}
	r.setFollowing(true)
	minVersion := r.minVersion()
	for waitingSince := time.Now(); ; work.Sleep(ctx, pollInterval) {
		v := r.opts.Directory.View()
		switch {
		case v != nil && v.Index.Version >= minVersion:
			answer := r.opts.Local.Serve(ctx, req)
			r.recordVersion(answer.Version)
			return answer
		case ctx.Err() != nil:
			return forward.Answer{Outcome: forward.Late}
		case v == nil && !r.configurationMayArrive(), time.Since(waitingSince) > configurationWait:
			return r.refuse(req)
		}
	}
}

// refuse answers a request that no node has run.
func (r *Relay) refuse(req *forward.Request) forward.Answer {
	if r.logLimiter.Allow(time.Now(), true) {
		r.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "outcome": forward.NotRun.String(), "retry_after_ms": localRetryAfter.Milliseconds(),
			"took_ms": time.Since(req.Arrived).Milliseconds(),
		}).Info("no coordinator accepts the request and this node cannot answer it")
	}
	return forward.Answer{Outcome: forward.NotRun, RetryAfter: localRetryAfter}
}
