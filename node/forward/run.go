package forward

import (
	"context"
	"time"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/route"
)

const (
	// answerMargin is taken off the caller's patience, for the way of the answer.
	answerMargin = 8 * time.Millisecond
	// lateTimer is how late the timer of an answer that is due may be.
	lateTimer = 10 * time.Millisecond
	// defaultPatience stands in for callers that do not say how long they wait and
	// routes without a timeout.
	defaultPatience = 30 * time.Second
	// lingerFor is how long a loser may go on so that its connection can be kept. It
	// covers an ordinary pause of a replica; a new connection costs it a slot.
	lingerFor = 250 * time.Millisecond
)

// run is one request under way. Its fields belong to the goroutine of serve, but for
// those that say otherwise.
type run struct {
	f     *Forwarder
	view  *directory.View
	route *route.Route
	class *class
	req   *Request

	names    []string
	services []*service
	query    *gather.Query
	// outOfReach holds the data centres that could not be reached when the request
	// came.
	outOfReach map[string]bool
	deadline   time.Time
	// objective is when an answer has to be given to reach its caller within the route's.
	objective time.Duration
	parts     []backend.ForwardReply
	events    *work.Inbox[event]
	hedging   gather.HedgeDelay
	// groups are the records of parts that came merged, whose bodies are empty.
	groups [][]byte
	// ran is set once an attempt may have run at a replica.
	ran bool
	// last is the newest failure that a replica answered with, if any.
	last  *backend.ForwardReply
	story []step
	// denials are the attempts that could not be sent.
	denials []denial
	hedged  int
	// gone is set when the caller has left.
	gone bool
}

// event is the end of one attempt, or of some of a batch.
type event struct {
	ends []attemptEnd
	// merged is set where records holds those of the successful ones, which have no
	// bodies.
	merged  bool
	records []byte
}

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	shard int
	step  int
	reply *backend.ForwardReply
}

func newRun(f *Forwarder, view *directory.View, r *route.Route, c *class, req *Request) *run {
	q := &run{f: f, view: view, route: r, class: c, req: req, names: c.targets(r), outOfReach: f.reach.out()}
	n := len(q.names)
	patience := defaultPatience
	if req.CallerTimeout > 0 {
		patience = req.CallerTimeout - answerMargin
	}
	if r.Timeout > 0 {
		patience = min(patience, r.Timeout)
	}
	q.deadline = req.Arrived.Add(patience)
	minCoverage := 1.0
	if r.Gathers() {
		minCoverage = r.MinCoverage
	}
	attempts := max(r.MaxAttempts, 1)
	q.objective = gather.AnswerDeadline(r.Objective, req.TransitReserve)
	q.hedging = c.hedging(q.objective)
	q.query = gather.New(gather.Params{
		Shards:      n,
		MaxAttempts: attempts,
		MinCoverage: minCoverage,
		Objective:   q.objective,
		Deadline:    patience,
		Idempotent:  r.Idempotent,
	})
	q.services = make([]*service, n)
	q.parts = make([]backend.ForwardReply, n)
	q.story = make([]step, 0, n+2)
	q.events = work.NewInbox[event](n)
	return q
}

// maxElsewhere bounds the attempts of a shard that reached a replica that was not
// meant, or none: they do not count as attempts.
const maxElsewhere = 4

func (q *run) since() time.Duration { return time.Since(q.req.Arrived) }

// due returns when the answer that is given now was due: a timer may have been late.
func (q *run) due() time.Duration {
	now := q.since()
	if q.objective > 0 && now > q.objective && now < q.objective+lateTimer {
		return q.objective
	}
	return now
}

// serve carries the request to its answer.
func (q *run) serve(ctx context.Context) Answer {
	defer q.endAll()
	now := time.Now()
	for i, name := range q.names {
		s := q.f.service(name)
		q.services[i] = s
		s.mu.Lock()
		s.budget.RecordRequest(now)
		s.mu.Unlock()
		if !q.reserve(i, false) {
			q.query.GiveUp(i)
		}
	}
	if verdict, _ := q.query.Decide(q.since()); verdict == gather.Failure {
		// Too few shards can take the request: it is refused before any of them works
		// for it, so that those that are well are kept for requests that can succeed.
		q.undo()
		return q.finish(verdict)
	}
	q.launchAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events []event
	for {
		next := min(q.hedges(), q.again())
		verdict, look := q.query.Decide(q.since())
		if verdict != gather.Wait {
			return q.finish(verdict)
		}
		timer.Reset(max(min(next, look)-q.since(), 0))
		select {
		case <-q.events.Ready():
			events = q.events.Take(events)
			for _, e := range events {
				q.take(e)
			}
		case <-timer.C:
		case <-ctx.Done():
			q.gone = true
			return q.finish(gather.DeadlineExceeded)
		}
	}
}

// endAll ends the attempts that are still out. When the caller has left, or the
// deadline has passed, their replicas are freed at once.
func (q *run) endAll() {
	linger := lingerFor
	if q.gone || time.Now().After(q.deadline) {
		linger = 0
	}
	for i := range q.story {
		if !q.story[i].ended {
			q.story[i].call.Cancel(linger)
		}
	}
}

// again sends the attempts that were put off after refusals and returns when the next
// one is due.
func (q *run) again() time.Duration {
	return q.query.SendDueRetries(q.since(), func(i int) {
		if !q.sendAgain(i) {
			q.query.GiveUp(i)
		}
	})
}

// hedges sends the hedges that are due and returns when the next one is.
func (q *run) hedges() time.Duration {
	size := q.f.opts.Source.FleetSize()
	after := func(i int) time.Duration {
		return q.hedging.After(q.services[i].spareUsed(size))
	}
	return q.query.Hedges(q.since(), q.hedging.Min(), after, func(i int) {
		if !q.send(i, true) {
			q.query.GiveUp(i)
			return
		}
		q.hedged++
	})
}
