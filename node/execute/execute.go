package execute

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/dispatch"
)

// busyRetryAfter is the retry delay reported by a node that is at its limit or shutting
// down, and for a request that is still in flight.
const busyRetryAfter = 500 * time.Millisecond

// Stats are counters since the start of the process.
type Stats struct {
	Started uint64
	// Joined counts duplicates that joined a submission in flight at this node.
	Joined uint64
	// Repeated counts duplicates that found another node's claim.
	Repeated         uint64
	Unknown          uint64
	ClaimReads       uint64
	ClaimWrites      uint64
	CompletionWrites uint64
	// UnresolvedClaims counts claims that may have been left PENDING.
	UnresolvedClaims uint64
}

// Executor runs non-idempotent requests. Safe for concurrent use.
type Executor struct {
	opts    Options
	breaker breaker
	leases  leaseCache
	stats   struct {
		started, joined, repeated, unknown                          atomic.Uint64
		claimReads, claimWrites, completionWrites, unresolvedClaims atomic.Uint64
	}
	// attempts is the number of the last send of this process.
	attempts atomic.Uint64
	running  sync.WaitGroup
	closing  chan struct{}

	// mu guards the fields below and run.waiters of all open runs.
	mu        sync.Mutex
	open      int
	runsByKey map[string]*run
	closed    bool
}

// New returns an executor. Close waits for its open requests and claims.
func New(o Options) *Executor {
	o = o.withDefaults()
	return &Executor{
		opts:      o,
		leases:    newLeaseCache(o.Leases, o.Retention),
		closing:   make(chan struct{}),
		runsByKey: make(map[string]*run),
	}
}

// Execute runs a request and returns by its deadline. If ctx ends earlier, the request
// counts as cancelled by the caller. A request that has been sent is not stopped.
func (x *Executor) Execute(ctx context.Context, req Request) Outcome {
	r, err := x.newRun(req)
	if err != nil {
		return Outcome{Err: err}
	}
	o := x.execute(ctx, r)
	if o.Evidence == pb.Evidence_EVIDENCE_UNKNOWN {
		x.stats.unknown.Add(1)
		x.opts.Event("execute_unknown", req.Service, o.RequestID+": "+o.Reason.String())
	}
	return Outcome{Outcome: o, ConfigVersion: r.version}
}

func (x *Executor) execute(ctx context.Context, own *run) dispatch.Outcome {
	r, refusal := x.startOrJoin(own)
	if r == nil {
		return refusal
	}
	if r == own {
		return x.wait(ctx, r)
	}
	return x.waitJoined(ctx, own, r)
}

// startOrJoin starts a run, or joins the open run with the same key at this node. The
// run is nil if the request is refused.
func (x *Executor) startOrJoin(r *run) (*run, dispatch.Outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := x.runsByKey[r.claimKey]
	switch {
	case r.claimKey != "" && first != nil:
		return x.joinLocked(first, r)
	case x.closed, r.version == 0:
		return nil, refusedOutcome(r, pb.Reason_REASON_UNREADY)
	case x.open >= x.opts.MaxOpen:
		return nil, refusedOutcome(r, pb.Reason_REASON_OVERLOAD)
	}
	if r.claimKey != "" {
		x.runsByKey[r.claimKey] = r
	}
	x.open++
	r.waiters = 1
	x.stats.started.Add(1)
	x.running.Add(1)
	go x.drive(r)
	return r, dispatch.Outcome{}
}

func (x *Executor) joinLocked(first, r *run) (*run, dispatch.Outcome) {
	if first.digest != r.digest {
		o := refusedOutcome(r, pb.Reason_REASON_KEY_REUSED)
		o.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
		o.RetryAfter = 0
		return nil, o
	}
	first.retryNow()
	if first.keyReleased() {
		// Once the claim may be completed as NOT_RUN, the outcome of this run is out of
		// date: another node may have claimed the key and run the request.
		return nil, pendingOutcome(first)
	}
	first.waiters++
	x.stats.joined.Add(1)
	return first, dispatch.Outcome{}
}

// refusedOutcome is the outcome of a request that this node does not start. With a key,
// an earlier submission may have run at another node, so the outcome is unknown.
func refusedOutcome(r *run, reason pb.Reason) dispatch.Outcome {
	o := dispatch.Outcome{
		RequestID:  r.id,
		Evidence:   pb.Evidence_EVIDENCE_NOT_RUN,
		Reason:     reason,
		RetryAfter: busyRetryAfter,
	}
	if r.claimKey != "" {
		o.Evidence = pb.Evidence_EVIDENCE_UNKNOWN
	}
	return o
}

// wait returns the outcome of a run that the caller started. The run finishes by its
// deadline.
func (x *Executor) wait(ctx context.Context, r *run) dispatch.Outcome {
	select {
	case <-r.answered:
		x.removeWaiter(r)
	case <-ctx.Done():
		if !x.removeWaiter(r) {
			return pendingOutcome(r)
		}
		<-r.answered
	}
	return r.currentOutcome()
}

// waitJoined returns the final outcome of a run that another submission started. The
// final outcome may arrive after that submission's caller was answered.
func (x *Executor) waitJoined(ctx context.Context, own, r *run) dispatch.Outcome {
	defer x.removeWaiter(r)
	deadline := time.NewTimer(time.Until(own.deadline))
	defer deadline.Stop()
	select {
	case <-r.final:
	case <-ctx.Done():
		return pendingOutcome(r)
	case <-deadline.C:
		return pendingOutcome(r)
	}
	o := r.currentOutcome()
	o.Repeated = true
	return o
}

// pendingOutcome is the outcome for a caller that stops waiting while the run continues.
func pendingOutcome(r *run) dispatch.Outcome {
	return dispatch.Outcome{
		RequestID:  r.id,
		Evidence:   pb.Evidence_EVIDENCE_UNKNOWN,
		Reason:     pb.Reason_REASON_KEY_PENDING,
		Repeated:   true,
		RetryAfter: busyRetryAfter,
	}
}

// removeWaiter removes one waiting caller from a run and reports whether it was the
// last. The run is then abandoned and finishes at once.
func (x *Executor) removeWaiter(r *run) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	r.waiters--
	if r.waiters > 0 {
		return false
	}
	r.abandon()
	return true
}

// remove removes a finished run.
func (x *Executor) remove(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open--
	if x.runsByKey[r.claimKey] == r {
		delete(x.runsByKey, r.claimKey)
	}
}

// Close refuses new requests and waits until the open ones are answered and their claims
// completed, or until ctx ends. A claim that cannot be completed within a few retries
// stays PENDING.
func (x *Executor) Close(ctx context.Context) error {
	x.mu.Lock()
	if !x.closed {
		x.closed = true
		close(x.closing)
	}
	x.mu.Unlock()
	done := make(chan struct{})
	go func() {
		x.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for non-idempotent requests")
	}
}

// Open returns the number of requests that run or whose claim is not yet completed.
func (x *Executor) Open() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.open
}

// Stats returns the counters.
func (x *Executor) Stats() Stats {
	return Stats{
		Started:          x.stats.started.Load(),
		Joined:           x.stats.joined.Load(),
		Repeated:         x.stats.repeated.Load(),
		Unknown:          x.stats.unknown.Load(),
		ClaimReads:       x.stats.claimReads.Load(),
		ClaimWrites:      x.stats.claimWrites.Load(),
		CompletionWrites: x.stats.completionWrites.Load(),
		UnresolvedClaims: x.stats.unresolvedClaims.Load(),
	}
}
