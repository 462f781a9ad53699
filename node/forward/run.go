package forward

import (
	"context"
	"time"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/intake"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/route"
)

const (
	// answerMargin is subtracted from the caller's timeout, for the transit of the answer.
	answerMargin = 8 * time.Millisecond
	// timerTolerance is how late the timer of the objective may fire for the answer to count
	// as due at the objective.
	timerTolerance = 10 * time.Millisecond
	// defaultCallerTimeout applies to requests without a timeout of the caller or the
	// route.
	defaultCallerTimeout = 30 * time.Second
	// cancelLinger is how long an attempt whose answer is no longer needed may continue, so
	// that its connection can be reused. It covers a typical pause of a replica. Replacing
	// the connection would cost the replica a slot.
	cancelLinger = 250 * time.Millisecond
)

// exchange is one request in progress. Only the goroutine of serve changes its fields. The
// goroutines of attempts read fields that are set before the first attempt is sent.
type exchange struct {
	f     *Forwarder
	view  *directory.View
	route *route.Route
	class *class
	req   *Request
	// content identifies the request among repeated ones.
	content *content

	names    []string
	services []*service
	query    *gather.Query
	// unreachable holds the data centres that could not be reached when the request
	// arrived.
	unreachable map[string]bool
	deadline    time.Time
	// objective is when an answer must be returned to reach the caller within the route's
	// objective, counted from the arrival.
	objective   time.Duration
	parts       []backend.ForwardReply
	completions *work.Inbox[completion]
	hedgeDelay  gather.HedgeDelay
	// mergedRecords holds the records of parts that arrived merged; their parts have no
	// bodies.
	mergedRecords [][]byte
	// mayHaveRun is set once an attempt may have run at a replica.
	mayHaveRun bool
	// lastFailure is the newest failure that a replica answered with, if any.
	lastFailure *backend.ForwardReply
	attempts    []attempt
	denials     []denial
	// probes holds the shards whose replicas are all silent and that are sent an attempt.
	probes []int
	hedged int
	// cancelled is set when the caller has disconnected.
	cancelled bool
	// stopped is set once an attempt was not sent because a node stops.
	stopped bool
	// suspect is set if the request was suspected of crashing replicas while it ran.
	suspect bool
	trials  trials
	// admission is how the request was admitted.
	admission ticket
}

// completion reports the results of one attempt, or of several attempts of a batch.
type completion struct {
	results []attemptResult
	// merged is set if records holds the merged records of the successful replies, which
	// then have no bodies.
	merged  bool
	records []byte
}

// attemptResult is the result of the attempt at an index of exchange.attempts.
type attemptResult struct {
	shard int
	index int
	reply *backend.ForwardReply
	// crashed is set if the attempt's replica crashed.
	crashed bool
}

func newExchange(f *Forwarder, view *directory.View, r *route.Route, c *class, req *Request) *exchange {
	q := &exchange{f: f, view: view, route: r, class: c, req: req, content: f.contentOf(req), names: c.targets(r), unreachable: f.reach.unreachable()}
	n := len(q.names)
	timeout := defaultCallerTimeout
	if req.CallerTimeout > 0 {
		timeout = req.CallerTimeout - answerMargin
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	q.deadline = req.Arrived.Add(timeout)
	attempts := max(r.MaxAttempts, 1)
	q.objective = gather.AnswerDeadline(r.Objective, req.reserve(c))
	q.hedgeDelay = c.hedgeDelay(q.objective)
	q.query = gather.New(gather.Params{
		Shards:      n,
		MaxAttempts: attempts,
		MinCoverage: q.minCoverage(),
		Objective:   q.objective,
		Deadline:    timeout,
		Idempotent:  r.Idempotent,

		SingleReplica: !r.Gathers(),
	})
	q.services = make([]*service, n)
	q.parts = make([]backend.ForwardReply, n)
	q.attempts = make([]attempt, 0, n+2)
	q.completions = work.NewInbox[completion](n)
	return q
}

// minCoverage returns the least share of shards for a success.
func (q *exchange) minCoverage() float64 {
	if q.route.Gathers() {
		return q.route.MinCoverage
	}
	return 1
}

// reserve returns the part of the objective that the answer needs on its way; 0 if unknown.
func (r *Request) reserve(c *class) time.Duration {
	if r.TransitReserve <= 0 {
		return 0
	}
	return r.TransitReserve + c.transferTime(r.LinkBytesPerSecond)
}

// maxUncountedAttempts is the number of attempts of a shard up to which an attempt that
// reached another replica, or none, does not count towards the route's MaxAttempts.
const maxUncountedAttempts = 4

func (q *exchange) elapsed() time.Duration { return time.Since(q.req.Arrived) }

// dueAt returns when an answer that is returned now was due. If the timer of the objective
// fired late, that is the objective.
func (q *exchange) dueAt() time.Duration {
	now := q.elapsed()
	if q.objective > 0 && now > q.objective && now < q.objective+timerTolerance {
		return q.objective
	}
	return now
}

// serve sends the attempts of the request and returns its answer.
func (q *exchange) serve(ctx context.Context) Answer {
	// Each attempt has its own copy of the headers.
	if !q.req.HasMemory(intake.CopiesCost(len(q.names), len(q.req.Header))) {
		return q.f.refuse(q.req, "no memory for copies of the request", memoryRetryAfter)
	}
	defer q.cancelOutstanding()
	if !q.awaitRoom(ctx) {
		return q.finish(gather.Failure)
	}
	defer q.f.admission.end(q)
	q.countRequest()
	v := q.checkQuarantine()
	if v.Refused {
		return q.finish(gather.Failure)
	}
	if q.hold(v) {
		q.f.admission.reserved(q)
	} else {
		reserved := q.reserveAll()
		q.f.admission.reserved(q)
		if !reserved {
			return q.finish(gather.Failure)
		}
		q.launchAll(0)
	}
	return q.await(ctx)
}

// checkQuarantine returns the verdict about a request that has not been sent.
func (q *exchange) checkQuarantine() quarantine.Verdict {
	v := q.f.suspects.check(q.content)
	if v.Refused {
		q.suspect = true
		q.trials.retryAfter = v.RetryAfter
	}
	return v
}

// countRequest counts the request at its services.
func (q *exchange) countRequest() {
	now := time.Now()
	for i, name := range q.names {
		s := q.f.service(name)
		q.services[i] = s
		s.mu.Lock()
		s.budget.RecordRequest(now, q.req.Account)
		q.query.SetAttemptTime(i, s.balancer.LeastLatency(now, q.route.Name))
		s.mu.Unlock()
	}
}

// reserveAll reserves the first attempt of each shard. It returns false, and reserves
// nothing, if too few shards have a replica. Such a request is refused before anything is
// sent, so that replicas spend no capacity on a request that cannot succeed.
func (q *exchange) reserveAll() bool {
	for i := range q.names {
		if !q.reserve(i, false) {
			q.query.GiveUp(i)
		}
	}
	if decision, _ := q.query.Decide(q.elapsed()); decision == gather.Failure || !q.admitProbes() {
		q.undoReserved()
		return false
	}
	return true
}

// await handles results and timers until the request has an answer.
func (q *exchange) await(ctx context.Context) Answer {
	defer q.endTrial()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var completed []completion
	for {
		var changed <-chan struct{}
		if len(q.trials.pending)+len(q.trials.held) > 0 {
			q.suspect = true
			changed = q.f.suspects.awaitChange()
		}
		next := min(q.advanceTrials(), q.sendDueHedges(), q.sendDueRetries(), q.checkSilence())
		decision, recheck := q.query.Decide(q.elapsed())
		if decision != gather.Wait {
			return q.finish(decision)
		}
		timer.Reset(max(min(next, recheck)-q.elapsed(), 0))
		select {
		case <-q.completions.Ready():
			completed = q.completions.Take(completed)
			for _, e := range completed {
				q.handleCompletion(e)
			}
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			q.cancelled = true
			return q.finish(gather.DeadlineExceeded)
		}
	}
}

// cancelOutstanding ends the attempts that are in flight. When the caller has disconnected
// or the deadline has passed, they are cancelled at once, which frees their replicas. After the
// deadline, one attempt at a replica that may be silent continues.
func (q *exchange) cancelOutstanding() {
	now := time.Now()
	linger := cancelLinger
	if q.cancelled || now.After(q.deadline) {
		linger = 0
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.ended {
			continue
		}
		a.call.Cancel(max(linger, q.silenceLinger(now, a)))
	}
}

// silenceLinger returns how long an attempt continues to show whether its replica is silent; 0
// when the caller has disconnected, since the replica must not work for it any more.
func (q *exchange) silenceLinger(now time.Time, a *attempt) time.Duration {
	if q.cancelled {
		return 0
	}
	s := q.services[a.shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Linger(now, a.state, a.handle, q.route.Name)
}

// sendDueRetries sends the due attempts that were scheduled after refusals, and returns
// when the next one is due.
func (q *exchange) sendDueRetries() time.Duration {
	return q.query.SendDueRetries(q.elapsed(), func(i int) {
		switch {
		case q.trials.stopped:
			q.query.GiveUp(i)
		case q.suspectedAt(i):
			q.trials.pending = append(q.trials.pending, i)
		case q.yieldRetry(i):
		case !q.sendRetry(i):
			q.query.GiveUp(i)
		}
	})
}

// yieldRetry postpones a retry while first attempts of a higher priority wait for room, and
// reports whether it did.
func (q *exchange) yieldRetry(shard int) bool {
	if !q.f.admission.yields(q, shard) || !q.query.PostponeRetry(shard, q.elapsed()+pollInterval) {
		return false
	}
	if !q.isDenied(shard, deniedYields) {
		q.deny(shard, deniedYields, false)
	}
	return true
}

// sendDueHedges sends the due hedges and returns when the next one is due. A suspected
// request has no hedges: each could crash another replica.
func (q *exchange) sendDueHedges() time.Duration {
	if v := q.f.suspects.check(q.content); v.Refused || v.Suspect() {
		return q.deadline.Sub(q.req.Arrived)
	}
	size := q.f.opts.Source.FleetSize()
	q.observePaces()
	after := func(i int) time.Duration {
		return q.hedgeDelay.After(q.services[i].optionalBudgetUsed(size))
	}
	return q.query.Hedges(q.elapsed(), q.hedgeDelay.Min(), after, func(i int) {
		if q.f.admission.yields(q, i) {
			// The shard keeps its further attempts for the time when no urgent request waits.
			q.query.PostponeHedge(i, q.elapsed()+pollInterval)
			if !q.isDenied(i, deniedYields) {
				q.deny(i, deniedYields, true)
			}
			return
		}
		if !q.send(i, true) {
			q.query.GiveUp(i)
			return
		}
		q.hedged++
	})
}
