package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/policy/upstream"
)

const (
	// answerMargin is taken off the caller's patience, for the way of the answer.
	answerMargin = 8 * time.Millisecond
	// objectiveMargin is taken off a route's objective: callers count from their own
	// first byte, 3 ms each way, and on a VM of 0.4 core an answer that is due waits a
	// few milliseconds for the processor. With 8 ms one answer in forty came up to a
	// millisecond too late.
	objectiveMargin = 12 * time.Millisecond
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
	parts      []backend.ForwardReply
	events     *work.Inbox[event]
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

// event is the end of an attempt.
type event struct {
	shard int
	step  int
	reply *backend.ForwardReply
}

func newRun(f *Forwarder, view *directory.View, r *route.Route, c *class, req *Request) *run {
	q := &run{f: f, view: view, route: r, class: c, req: req, names: c.targets(r), outOfReach: f.reach.out()}
	n := len(q.names)
	patience := defaultPatience
	if req.Patience > 0 {
		patience = req.Patience - answerMargin
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
	q.query = gather.New(gather.Params{
		Shards:      n,
		MaxAttempts: attempts,
		MinCoverage: minCoverage,
		Objective:   max(r.Objective-objectiveMargin, 0),
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

// serve carries the request to its answer.
func (q *run) serve(ctx context.Context) Answer {
	defer q.endAll()
	now := time.Now()
	for i, name := range q.names {
		s := q.f.service(name)
		q.services[i] = s
		s.mu.Lock()
		s.budget.Request(now)
		s.mu.Unlock()
		if !q.reserve(i, false) {
			q.query.GiveUp(i)
		}
	}
	if verdict, _ := q.query.Judge(q.since()); verdict == gather.Failure {
		// Too few shards can take the request: it is refused before any of them works
		// for it, so that those that are well are kept for requests that can succeed.
		q.undo()
		return q.finish(verdict)
	}
	for i := range q.story {
		q.launch(i)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events []event
	for {
		next := q.hedges()
		verdict, look := q.query.Judge(q.since())
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
			return q.finish(gather.Late)
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
			q.story[i].call.End(linger)
		}
	}
}

// hedges sends the hedges that are due and returns when the next one is.
func (q *run) hedges() time.Duration {
	after := q.class.hedgeAfter(q.route.Objective)
	return q.query.Hedges(q.since(), after, func(i int) {
		if !q.send(i, true) {
			q.query.GiveUp(i)
			return
		}
		q.hedged++
	})
}

// send sends an attempt for a shard and reports whether it could.
func (q *run) send(i int, hedge bool) bool {
	if !q.reserve(i, hedge) {
		return false
	}
	q.launch(len(q.story) - 1)
	return true
}

// reserve chooses a replica for an attempt, which launch sends. Every attempt but a
// shard's first comes out of the service's budget for extra requests.
func (q *run) reserve(i int, hedge bool) bool {
	s := q.services[i]
	now := time.Now()
	extra := q.attempts(i) > 0
	nodes := q.f.opts.Source.Nodes()
	request := q.pickFor(i, hedge, nodes)
	s.mu.Lock()
	st := s.set.Pick(now, request)
	denied := ""
	switch {
	case st == nil:
		denied = deniedNoReplica
	case extra && !s.mayRepeat(now, nodes, hedge):
		denied = deniedNoBudget
	}
	if denied != "" {
		s.mu.Unlock()
		q.denials = append(q.denials, denial{shard: i, at: q.since(), why: denied, hedge: hedge})
		return false
	}
	handle := s.set.Sent(now, st, request)
	replica := st.Replica
	s.mu.Unlock()
	at := q.since()
	q.query.Sent(i, at)
	q.story = append(q.story, step{
		shard: i, replica: replica, at: at, hedge: hedge, extra: extra,
		state: st, handle: handle, call: q.call(replica.ID, replica.Address),
	})
	return true
}

// launch sends a reserved attempt.
func (q *run) launch(number int) {
	at := q.story[number]
	s := q.services[at.shard]
	go func() {
		reply := q.f.opts.Backend.Forward(at.call, q.f.opts.Dialect)
		q.settle(s, at.state, at.handle, &reply)
		q.f.reach.note(at.replica, &reply)
		if !at.extra && reply.Took > 0 {
			q.class.observe(reply.Took)
		}
		q.events.Put(event{shard: at.shard, step: number, reply: &reply})
	}()
}

// undo takes back the attempts that were reserved and not launched.
func (q *run) undo() {
	for i := range q.story {
		at := &q.story[i]
		s := q.services[at.shard]
		s.mu.Lock()
		s.set.Unsent(at.state, at.handle)
		s.mu.Unlock()
	}
	q.story = nil
}

// attempts returns how many attempts were sent for a shard.
func (q *run) attempts(shard int) int {
	n := 0
	for i := range q.story {
		if q.story[i].shard == shard {
			n++
		}
	}
	return n
}

// tried reports whether a replica had an attempt for a shard.
func (q *run) tried(shard int, id string) bool {
	for i := range q.story {
		if q.story[i].shard == shard && q.story[i].replica.ID == id {
			return true
		}
	}
	return false
}

// mayRepeat takes one request out of the service's budget. s.mu is held.
func (s *service) mayRepeat(now time.Time, nodes int, hedge bool) bool {
	if hedge {
		return s.budget.TakeSpare(now, nodes)
	}
	return s.budget.Take(now, nodes)
}

func (q *run) pickFor(i int, hedge bool, nodes int) upstream.Request {
	r := upstream.Request{
		Class:           q.route.Name,
		DataCentre:      q.f.opts.DataCentre,
		ConnectionsEach: assumedConnections,
		ColdPerSecond:   -1,
		Spare:           hedge,
		OutOfReach:      q.outOfReach,
	}
	if q.attempts(i) > 0 {
		r.Tried = func(id string) bool { return q.tried(i, id) }
	}
	spec := q.view.Index.Service(q.names[i])
	r.ConnectionsEach = connectionShare(spec, nodes)
	if spec != nil && spec.ColdPerSecond > 0 {
		r.ColdPerSecond = spec.ColdPerSecond / float64(nodes+1)
	}
	return r
}

func (q *run) call(id, address string) *backend.Forward {
	return &backend.Forward{
		Replica:   &config.Replica{Name: id, Address: address},
		RequestID: q.req.ID,
		Method:    q.req.Method,
		Target:    q.req.Target,
		Host:      q.req.Host,
		Header:    q.req.Header,
		Body:      q.req.Body,
		Deadline:  q.deadline,
	}
}

// settle tells the service's tables how an attempt ended.
func (q *run) settle(s *service, st *upstream.State, handle uint64, reply *backend.ForwardReply) {
	sample := upstream.Sample{
		Handle: handle,
		Class:  q.route.Name,
		Took:   reply.Took,
		Result: resultOf(reply),
		Load:   reply.Notes.Load,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Done(time.Now(), st, sample)
}

// resultOf classifies a reply for the choice of replicas.
func resultOf(reply *backend.ForwardReply) upstream.Result {
	switch {
	case reply.Notes.OtherReplica:
		return upstream.Elsewhere
	case reply.Notes.NotRun:
		return upstream.Refused
	case good(reply):
		return upstream.Answered
	case reply.Status != 0 && reply.Status < http.StatusInternalServerError:
		// The replica's own word about the request, such as 404.
		return upstream.Answered
	case reply.Status != 0 || reply.Reason == pb.Reason_REASON_MISMATCH:
		return upstream.Failed
	case reply.Reason == pb.Reason_REASON_CANCELLED || reply.Reason == pb.Reason_REASON_DEADLINE:
		return upstream.Abandoned
	case reply.Reason == pb.Reason_REASON_LIMIT:
		return upstream.Abandoned
	}
	if reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN {
		return upstream.Unreachable
	}
	return upstream.Broken
}

// good reports whether a reply is a complete and genuine success.
func good(reply *backend.ForwardReply) bool {
	return reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices &&
		reply.Notes.Signature != "" && reply.Header.Get("Content-Encoding") == "" && !reply.Notes.NotRun
}

// take deals with the end of an attempt.
func (q *run) take(e event) {
	q.story[e.step].end(q.since(), e.reply)
	if q.accepts(e.reply) {
		if q.query.Answered(e.shard) {
			q.parts[e.shard] = *e.reply
			q.endOthers(e.shard)
		}
		return
	}
	if e.reply.Evidence != pb.Evidence_EVIDENCE_NOT_RUN {
		q.ran = true
	}
	if e.reply.Status != 0 && !e.reply.Notes.NotRun && !e.reply.Notes.OtherReplica {
		q.last = e.reply
	}
	reached := e.reply.Status != 0 && !e.reply.Notes.OtherReplica || e.reply.Evidence != pb.Evidence_EVIDENCE_NOT_RUN
	if !reached && q.attempts(e.shard) > maxElsewhere {
		reached = true
	}
	retry := q.query.Failed(e.shard, reached)
	mayRun := q.route.Idempotent || e.reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
	if retry && mayRun && q.send(e.shard, false) {
		return
	}
	if !mayRun {
		q.query.GiveUp(e.shard)
		return
	}
	q.query.Settle(e.shard)
}

// accepts reports whether a reply is the answer of its shard. Without shards to merge,
// a replica's word about the request itself, such as 404, is its answer too.
func (q *run) accepts(reply *backend.ForwardReply) bool {
	if good(reply) {
		return true
	}
	if q.route.Gathers() || reply.Notes.NotRun || reply.Notes.OtherReplica {
		return false
	}
	return reply.Status >= http.StatusMultipleChoices && reply.Status < http.StatusInternalServerError &&
		reply.Status != http.StatusTooManyRequests && reply.Status != http.StatusRequestTimeout
}

// endOthers ends the attempts of a shard whose part is in.
func (q *run) endOthers(shard int) {
	for i := range q.story {
		if s := &q.story[i]; s.shard == shard && !s.ended {
			s.call.End(lingerFor)
		}
	}
}

// finish makes the answer.
func (q *run) finish(verdict gather.Verdict) Answer {
	a := q.answer(verdict)
	q.log(&a)
	return a
}

func (q *run) answer(verdict gather.Verdict) Answer {
	if verdict == gather.Success {
		if q.route.Gathers() {
			return q.merge()
		}
		part := q.parts[0]
		return Answer{Outcome: Passed, Status: part.Status, Header: part.Header, Body: part.Body}
	}
	if len(q.story) > 0 {
		q.noteOutstanding()
	}
	switch {
	case !q.ran:
		return Answer{Outcome: NotRun, RetryAfter: q.retryAfter()}
	case verdict == gather.Late:
		return Answer{Outcome: Late}
	case !q.route.Gathers() && q.last != nil:
		return Answer{Outcome: Passed, Status: q.last.Status, Header: q.last.Header, Body: q.last.Body}
	}
	return Answer{Outcome: Failed}
}

// noteOutstanding counts attempts that are out as possibly run.
func (q *run) noteOutstanding() {
	for i := range q.story {
		if !q.story[i].ended {
			q.ran = true
		}
	}
}

func (q *run) merge() Answer {
	a := Answer{Outcome: Merged, Status: http.StatusOK}
	bodies := make([][]byte, 0, len(q.parts))
	for i := range q.parts {
		if !q.query.Has(i) {
			a.Missing++
			continue
		}
		a.Signatures = append(a.Signatures, q.parts[i].Notes.Signature)
		bodies = append(bodies, q.parts[i].Body)
	}
	a.Body = gather.Greatest(bodies, q.route.TopRecords)
	return a
}

const (
	// minRetryAfter and maxRetryAfter bound what a refused caller is told. A replica
	// that refuses has a queue of a few requests, which is worked off in a tenth of a
	// second or two.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// retryAfter tells a caller whose request has not run when to come back: after a few
// requests' time at the slowest of its services, and not all at the same moment.
func (q *run) retryAfter() time.Duration {
	wait := minRetryAfter
	for _, s := range q.services {
		if s == nil {
			continue
		}
		s.mu.Lock()
		wait = max(wait, 2*s.set.Expected(q.route.Name))
		s.mu.Unlock()
	}
	return min(wait+rand.N(wait), maxRetryAfter)
}
