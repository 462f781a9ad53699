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
	// closingTries bounds how often a run asks the platform once the node closes,
	// closingDelay is the wait in between.
	closingTries = 3
	closingDelay = 100 * time.Millisecond
)

// run is one request from its start until its claim is settled.
type run struct {
	req Request
	id  string
	// claimKey is the claim's key in the platform's service; empty without an
	// idempotency key.
	claimKey string
	digest   string
	deadline time.Time
	// version is the configuration at the start, 0 for none.
	version uint64

	// waiters counts the callers; guarded by Executor.mu.
	waiters int
	// forsaken is closed when the last caller has left.
	forsaken chan struct{}
	// answered is closed when there is an outcome, final when there will be no
	// better one.
	answered, final chan struct{}
	// nudge cuts a wait between two tries at the platform short.
	nudge chan struct{}

	// mu guards outcome.
	mu      sync.Mutex
	outcome dispatch.Outcome
}

// newRun checks what a request names and works out its deadline.
func (x *Executor) newRun(req Request) (*run, error) {
	r := &run{
		req:      req,
		id:       x.opts.NewID(),
		forsaken: make(chan struct{}),
		answered: make(chan struct{}),
		final:    make(chan struct{}),
		nudge:    make(chan struct{}, 1),
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

// known returns the best outcome so far; answered must be closed.
func (r *run) known() dispatch.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome
}

// released reports whether the key may by now belong to another submission.
func (r *run) released() bool {
	select {
	case <-r.final:
		return r.known().Evidence == pb.Evidence_EVIDENCE_NOT_RUN
	default:
		return false
	}
}

func (r *run) set(o dispatch.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = o
}

// forsake may be called once for each time that waiters drops to 0, which
// happens again when a duplicate joins a run that goes on. Called with
// Executor.mu held.
func (r *run) forsake() {
	closeOnce(r.forsaken)
}

func (r *run) hurry() {
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}

// closeOnce closes a channel whose closers exclude each other.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// carry drives the machine of a run until nothing is left to do.
func (x *Executor) carry(r *run) {
	defer x.running.Done()
	defer x.end(r)
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

// driver is the loop of one run; its fields belong to the loop's goroutine.
type driver struct {
	x       *Executor
	run     *run
	machine *dispatch.Machine
	events  chan dispatch.Event
	// outstanding is the action that an event will answer; nil for none.
	outstanding dispatch.Action
	finished    bool
	// closedTries counts the waits that the closing node cut short.
	closedTries int
}

func (d *driver) drive() {
	deadline := time.NewTimer(time.Until(d.run.deadline))
	defer deadline.Stop()
	expired, forsaken := deadline.C, d.run.forsaken
	d.apply(d.machine.Start(time.Now()))
	for d.outstanding != nil {
		var e dispatch.Event
		select {
		case e = <-d.events:
			d.outstanding = nil
			if d.closedTries > closingTries {
				// The node must not outlive its shutdown for a platform that is away.
				closeOnce(d.run.final)
				d.noteUnsettled()
				return
			}
		case <-expired:
			expired = nil
			e = dispatch.Cancelled{Reason: pb.Reason_REASON_DEADLINE}
		case <-forsaken:
			forsaken = nil
			e = dispatch.Cancelled{Reason: pb.Reason_REASON_CANCELLED}
		}
		d.apply(d.machine.Step(time.Now(), e))
	}
	closeOnce(d.run.final)
	d.noteUnsettled()
}

func (d *driver) apply(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Finish:
			d.finish(a.Outcome)
		case dispatch.Revise:
			d.run.set(a.Outcome)
		default:
			d.outstanding = a
			// Final before a settle begins: see released.
			d.closeIfFinal()
			go func() { d.events <- d.perform(a) }()
		}
	}
	d.closeIfFinal()
}

func (d *driver) closeIfFinal() {
	if d.finished && !d.mayLearn() {
		closeOnce(d.run.final)
	}
}

func (d *driver) finish(o dispatch.Outcome) {
	if o.Repeated {
		d.x.stats.repeated.Add(1)
	}
	o.RetryAfter = jitter(o.RetryAfter)
	d.run.set(o)
	d.finished = true
	close(d.run.answered)
}

// mayLearn reports that the outstanding action can still better the outcome.
func (d *driver) mayLearn() bool {
	switch d.outstanding.(type) {
	case dispatch.Send, dispatch.Claim, dispatch.Pick:
		return true
	}
	return false
}

// noteUnsettled tells operators about a claim that may stand as PENDING for
// good.
func (d *driver) noteUnsettled() {
	if d.machine.ClaimResolved() {
		return
	}
	d.x.stats.unsaved.Add(1)
	d.x.opts.Event("claim_unsettled", d.run.req.Service, d.run.id+": "+d.run.claimKey)
	d.x.opts.Log.WithField("request", d.run.id).WithField("claim", d.run.claimKey).
		Warn("claim may stay pending: the platform did not take its outcome in time")
}

// perform carries out one action and returns the event that answers it.
func (d *driver) perform(a dispatch.Action) dispatch.Event {
	ctx := context.Background()
	switch a := a.(type) {
	case dispatch.Claim:
		return d.x.claim(ctx, d.run, a)
	case dispatch.ReadClaim:
		d.pause(a.Delay)
		return d.x.readClaim(ctx, d.run)
	case dispatch.CompleteClaim:
		d.pause(a.Delay)
		return d.x.settle(ctx, d.run, a)
	case dispatch.Pick:
		time.Sleep(jitter(a.Delay))
		return d.x.pick(d.run, a)
	case dispatch.Send:
		return d.x.send(ctx, d.run, a)
	}
	return nil
}

// pause waits between two tries at the platform. A node that closes does not
// wait.
func (d *driver) pause(delay time.Duration) {
	if delay == 0 {
		return
	}
	if d.closedTries > 0 {
		delay = min(delay, closingDelay)
		time.Sleep(delay)
		d.closedTries++
		return
	}
	timer := time.NewTimer(jitter(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.run.nudge:
	case <-d.x.closing:
		d.closedTries++
	}
}
