package execute

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/dispatch"
)

const (
	// maxClosingRetries bounds the retries of claim reads and writes during shutdown.
	// closingRetryDelay is the delay between them.
	maxClosingRetries = 3
	closingRetryDelay = 100 * time.Millisecond
)

// run is one request from its start until its claim is completed.
type run struct {
	req Request
	id  string
	// claimKey is the claim's key in the platform's key-value service. It is empty for a
	// request without an idempotency key.
	claimKey string
	digest   string
	deadline time.Time
	// version is the version of the configuration at the start, or 0 if there is none.
	version uint64

	// waiters is the number of waiting callers, guarded by Executor.mu.
	waiters int
	// abandoned is closed when the last caller stops waiting.
	abandoned chan struct{}
	// answered is closed when there is an outcome, and final when the outcome can no
	// longer improve.
	answered, final chan struct{}
	// wake ends the delay before a retry of a claim read or write.
	wake chan struct{}

	// mu guards outcome.
	mu      sync.Mutex
	outcome dispatch.Outcome
}

// newRun validates the names in a request and computes its deadline.
func (x *Executor) newRun(req Request) (*run, error) {
	r := &run{
		req:       req,
		id:        x.opts.NewID(),
		abandoned: make(chan struct{}),
		answered:  make(chan struct{}),
		final:     make(chan struct{}),
		wake:      make(chan struct{}, 1),
	}
	if req.IdempotencyKey != "" {
		r.claimKey = dispatch.ClaimKey(x.opts.Fleet, req.Service, req.IdempotencyKey)
		r.digest = dispatch.Digest(req.Service, req.Shard, req.Key, req.Body)
	}
	index := x.opts.Index()
	if index == nil {
		return r, nil
	}
	svc := index.Services[req.Service]
	switch {
	case svc == nil:
		return nil, errors.Wrap(ErrUnknownService, req.Service)
	case svc.Classes[req.Class] == nil:
		return nil, errors.Wrap(ErrUnknownClass, req.Class)
	case req.Shard != "" && svc.Latest().Shard(req.Shard) == nil:
		return nil, errors.Wrap(ErrUnknownShard, req.Shard)
	}
	left := svc.DefaultDeadline
	if req.Deadline > 0 {
		left = min(req.Deadline, svc.MaxDeadline)
	}
	r.deadline = time.Now().Add(left)
	r.version = index.Version
	return r, nil
}

// currentOutcome returns the best outcome so far. The channel answered must be closed.
func (r *run) currentOutcome() dispatch.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome
}

// keyReleased reports whether another submission may have claimed the key.
func (r *run) keyReleased() bool {
	select {
	case <-r.final:
		return r.currentOutcome().Evidence == pb.Evidence_EVIDENCE_NOT_RUN
	default:
		return false
	}
}

func (r *run) setOutcome(o dispatch.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = o
}

// abandon marks that no caller waits for the run. It may be called repeatedly, because a
// duplicate can join an abandoned run and stop waiting too. Executor.mu must be held.
func (r *run) abandon() {
	closeOnce(r.abandoned)
}

func (r *run) retryNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// closeOnce closes a channel if it is open. Calls for one channel must not be concurrent.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// drive runs the state machine of a request until no action is outstanding, or until
// maxClosingRetries is exceeded during shutdown.
func (x *Executor) drive(r *run) {
	defer x.running.Done()
	defer x.remove(r)
	m := dispatch.New(dispatch.Params{
		RequestID:         r.id,
		Keyed:             r.claimKey != "",
		Digest:            r.digest,
		Deadline:          r.deadline,
		ClaimedAt:         time.Now().Unix(),
		MaxSends:          x.opts.MaxSends,
		CompletionTimeout: x.opts.CompletionTimeout,
		MaxResultBytes:    x.opts.MaxResultBytes,
	})
	d := &driver{x: x, run: r, machine: m, events: make(chan dispatch.Event, 1)}
	d.drive()
}

// driver runs the event loop of one request. Its fields belong to the loop's goroutine,
// except closingRetries, which the outstanding action changes before it sends its event.
type driver struct {
	x       *Executor
	run     *run
	machine *dispatch.Machine
	events  chan dispatch.Event
	// outstanding is the action whose event has not arrived, or nil.
	outstanding dispatch.Action
	finished    bool
	// closingRetries is the number of retry delays shortened by the shutdown.
	closingRetries int
}

func (d *driver) drive() {
	deadline := time.NewTimer(time.Until(d.run.deadline))
	defer deadline.Stop()
	expired, abandoned := deadline.C, d.run.abandoned
	d.apply(d.machine.Start(time.Now()))
	for d.outstanding != nil {
		var e dispatch.Event
		select {
		case e = <-d.events:
			d.outstanding = nil
			if d.closingRetries > maxClosingRetries {
				// Without this limit, an unavailable platform would block the shutdown.
				closeOnce(d.run.final)
				d.reportUnresolved()
				return
			}
		case <-expired:
			expired = nil
			e = dispatch.Cancelled{Reason: pb.Reason_REASON_DEADLINE}
		case <-abandoned:
			abandoned = nil
			e = dispatch.Cancelled{Reason: pb.Reason_REASON_CANCELLED}
		}
		d.apply(d.machine.Step(time.Now(), e))
	}
	closeOnce(d.run.final)
	d.reportUnresolved()
}

func (d *driver) apply(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Finish:
			d.finish(a.Outcome)
		case dispatch.Revise:
			d.run.setOutcome(a.Outcome)
		default:
			d.outstanding = a
			// The outcome must be final before the claim is completed: see keyReleased.
			d.closeIfFinal()
			go func() { d.events <- d.perform(a) }()
		}
	}
	d.closeIfFinal()
}

func (d *driver) closeIfFinal() {
	if d.finished && !d.mayImprove() {
		closeOnce(d.run.final)
	}
}

func (d *driver) finish(o dispatch.Outcome) {
	if o.Repeated {
		d.x.stats.repeated.Add(1)
	}
	o.RetryAfter = jitter(o.RetryAfter)
	d.run.setOutcome(o)
	d.finished = true
	close(d.run.answered)
}

// mayImprove reports whether the outstanding action can still improve the outcome.
func (d *driver) mayImprove() bool {
	switch d.outstanding.(type) {
	case dispatch.Send, dispatch.Claim, dispatch.Pick:
		return true
	}
	return false
}

// reportUnresolved counts and logs the claim if it may stay PENDING forever.
func (d *driver) reportUnresolved() {
	if d.machine.ClaimResolved() {
		return
	}
	d.x.stats.unresolvedClaims.Add(1)
	d.x.opts.Event("claim_unsettled", d.run.req.Service, d.run.id+": "+d.run.claimKey)
	d.x.opts.Log.WithField("request", d.run.id).WithField("claim", d.run.claimKey).
		Warn("claim may stay pending: its outcome was not stored at the platform in time")
}

// perform performs one action and returns its event.
func (d *driver) perform(a dispatch.Action) dispatch.Event {
	ctx := context.Background()
	switch a := a.(type) {
	case dispatch.Claim:
		return d.x.writeClaim(ctx, d.run, a)
	case dispatch.ReadClaim:
		d.waitForRetry(a.Delay)
		return d.x.readClaim(ctx, d.run)
	case dispatch.CompleteClaim:
		d.waitForRetry(a.Delay)
		return d.x.completeClaim(ctx, d.run, a)
	case dispatch.Pick:
		time.Sleep(jitter(a.Delay))
		return d.x.pick(d.run, a)
	case dispatch.Send:
		return d.x.send(ctx, d.run, a)
	}
	return nil
}

// waitForRetry waits before a retry of a claim read or write. The delay ends early if a
// duplicate joins or the executor closes. During shutdown, the delay is at most
// closingRetryDelay.
func (d *driver) waitForRetry(delay time.Duration) {
	if delay == 0 {
		return
	}
	if d.closingRetries > 0 {
		delay = min(delay, closingRetryDelay)
		time.Sleep(delay)
		d.closingRetries++
		return
	}
	timer := time.NewTimer(jitter(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.run.wake:
	case <-d.x.closing:
		d.closingRetries++
	}
}
