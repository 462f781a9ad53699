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

// busyRetryAfter is when to come back to a node that is full or shutting down.
const busyRetryAfter = 500 * time.Millisecond

// Stats counts since the start.
type Stats struct {
	Started uint64
	// Joined counts duplicates that met the first submission at this node.
	Joined uint64
	// Repeated counts duplicates that found another node's claim.
	Repeated         uint64
	Unknown          uint64
	ClaimReads       uint64
	ClaimWrites      uint64
	CompletionWrites uint64
	// UnresolvedClaims counts claims that were left PENDING.
	UnresolvedClaims uint64
}

// Executor runs non-idempotent requests. Safe for concurrent use.
type Executor struct {
	opts      Options
	gate      gate
	retention retention
	stats     struct {
		started, joined, repeated, unknown             atomic.Uint64
		claimReads, claimWrites, settleWrites, unsaved atomic.Uint64
	}
	// attempts numbers the sends of this process.
	attempts atomic.Uint64
	running  sync.WaitGroup
	closing  chan struct{}

	// mu guards the fields below and run.waiters of every open run.
	mu     sync.Mutex
	open   int
	keyed  map[string]*run
	closed bool
}

// New returns an executor. Close it to let it settle what is open.
func New(o Options) *Executor {
	o = o.withDefaults()
	return &Executor{
		opts:      o,
		retention: retention{leases: o.Leases, keep: o.Retention},
		closing:   make(chan struct{}),
		keyed:     make(map[string]*run),
	}
}

// Execute runs a request and returns by its deadline. When ctx ends before, the
// request counts as given up by the caller; if it has been sent, it goes on.
func (x *Executor) Execute(ctx context.Context, req Request) Outcome {
	r, err := x.newRun(req)
	if err != nil {
		return Outcome{Err: err}
	}
	o := x.run(ctx, r)
	if o.Evidence == pb.Evidence_EVIDENCE_UNKNOWN {
		x.stats.unknown.Add(1)
		x.opts.Event("execute_unknown", req.Service, o.RequestID+": "+o.Reason.String())
	}
	return Outcome{Outcome: o, ConfigVersion: r.version}
}

func (x *Executor) run(ctx context.Context, own *run) dispatch.Outcome {
	r, refusal := x.enter(own)
	if r == nil {
		return refusal
	}
	if r == own {
		return x.wait(ctx, r)
	}
	return x.waitJoined(ctx, own, r)
}

// enter starts a run, or joins the one that holds the same key at this node.
func (x *Executor) enter(r *run) (*run, dispatch.Outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := x.keyed[r.claimKey]
	switch {
	case r.claimKey != "" && first != nil:
		return x.joinLocked(first, r)
	case x.closed, r.version == 0:
		return nil, refused(r, pb.Reason_REASON_UNREADY)
	case x.open >= x.opts.MaxOpen:
		return nil, refused(r, pb.Reason_REASON_OVERLOAD)
	}
	if r.claimKey != "" {
		x.keyed[r.claimKey] = r
	}
	x.open++
	r.waiters = 1
	x.stats.started.Add(1)
	x.running.Add(1)
	go x.carry(r)
	return r, dispatch.Outcome{}
}

func (x *Executor) joinLocked(first, r *run) (*run, dispatch.Outcome) {
	if first.digest != r.digest {
		o := refused(r, pb.Reason_REASON_KEY_REUSED)
		o.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
		o.RetryAfter = 0
		return nil, o
	}
	first.hurry()
	if first.released() {
		// What this node remembers is out of date once the claim may be settled as
		// not run: another node may have taken the key over and run the request.
		return nil, pending(first)
	}
	first.waiters++
	x.stats.joined.Add(1)
	return first, dispatch.Outcome{}
}

// refused is the answer to a request that this node does not start. With a key,
// an earlier submission may have run elsewhere.
func refused(r *run, reason pb.Reason) dispatch.Outcome {
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

// wait returns the outcome of a run that the caller started. The run itself
// answers at the deadline.
func (x *Executor) wait(ctx context.Context, r *run) dispatch.Outcome {
	select {
	case <-r.answered:
		x.leave(r)
	case <-ctx.Done():
		if !x.leave(r) {
			return pending(r)
		}
		<-r.answered
	}
	return r.known()
}

// waitJoined returns the outcome of a run that another submission started: what
// it learns in the end, even after its own caller has left.
func (x *Executor) waitJoined(ctx context.Context, own, r *run) dispatch.Outcome {
	defer x.leave(r)
	deadline := time.NewTimer(time.Until(own.deadline))
	defer deadline.Stop()
	select {
	case <-r.final:
	case <-ctx.Done():
		return pending(r)
	case <-deadline.C:
		return pending(r)
	}
	o := r.known()
	o.Repeated = true
	return o
}

// pending is the answer to one that stops waiting while others go on.
func pending(r *run) dispatch.Outcome {
	return dispatch.Outcome{
		RequestID:  r.id,
		Evidence:   pb.Evidence_EVIDENCE_UNKNOWN,
		Reason:     pb.Reason_REASON_KEY_PENDING,
		Repeated:   true,
		RetryAfter: busyRetryAfter,
	}
}

// leave ends one caller's wait and reports whether it was the last. The run
// then answers at once.
func (x *Executor) leave(r *run) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	r.waiters--
	if r.waiters > 0 {
		return false
	}
	r.forsake()
	return true
}

// end forgets a run that has nothing left to do.
func (x *Executor) end(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open--
	if x.keyed[r.claimKey] == r {
		delete(x.keyed, r.claimKey)
	}
}

// Close refuses new requests and waits until the open ones are answered and
// their claims settled, or until ctx ends. Claims that the platform does not
// take within a few tries stay PENDING.
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

// Open returns how many requests run or still settle their claim.
func (x *Executor) Open() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.open
}

// Stats returns the counts so far.
func (x *Executor) Stats() Stats {
	return Stats{
		Started:          x.stats.started.Load(),
		Joined:           x.stats.joined.Load(),
		Repeated:         x.stats.repeated.Load(),
		Unknown:          x.stats.unknown.Load(),
		ClaimReads:       x.stats.claimReads.Load(),
		ClaimWrites:      x.stats.claimWrites.Load(),
		CompletionWrites: x.stats.settleWrites.Load(),
		UnresolvedClaims: x.stats.unsaved.Load(),
	}
}
