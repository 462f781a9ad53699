package forward

import (
	"net/http"
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// send sends an attempt for a shard and reports whether it was sent.
func (q *exchange) send(i int, hedge bool) bool {
	if !q.reserve(i, hedge) {
		return false
	}
	q.launch(len(q.attempts) - 1)
	return true
}

// sendRetry sends an attempt to a replica that refused one, if the request may return there, or
// to an untried replica if the shard may use another one. It reports whether the attempt was sent.
func (q *exchange) sendRetry(i int) bool {
	request := q.pickRequest(i, false, q.f.opts.Source.FleetSize())
	more := q.query.HasUntriedReplica(i)
	request.Tried = func(id string) bool {
		tried, refused := q.tried(i, id)
		if tried {
			return !refused || !q.query.MayReturn()
		}
		return !more
	}
	if !q.reserveWith(i, request) {
		return false
	}
	q.launch(len(q.attempts) - 1)
	return true
}

// reserve chooses a replica for an attempt, which launch sends. It reports whether there is
// one.
func (q *exchange) reserve(i int, hedge bool) bool {
	return q.reserveWith(i, q.pickRequest(i, hedge, q.f.opts.Source.FleetSize()))
}

// reserveWith is reserve with a given request to the balancer. Every attempt other than a
// shard's first is charged to the service's retry budget.
func (q *exchange) reserveWith(i int, request upstream.Request) bool {
	s := q.services[i]
	now := time.Now()
	extra := q.attemptCount(i) > 0
	size := q.f.opts.Source.FleetSize()
	if extra && q.f.admission.yields(q, i) {
		q.deny(i, deniedYields, request.Optional)
		return false
	}
	if q.refusedForStop(now) {
		q.deny(i, deniedStopping, request.Optional)
		return false
	}
	s.mu.Lock()
	denied := q.denyUnservable(now, i, extra)
	var st *upstream.State
	if denied == "" {
		st = s.pick(now, request, extra, size)
	}
	switch {
	case denied != "":
	case st == nil:
		denied = deniedNoReplica
	case extra && !s.takeBudget(now, size, request.Optional || q.query.Dispensable(i), q.req.Account):
		denied = deniedNoBudget
	}
	if denied != "" {
		s.mu.Unlock()
		q.deny(i, denied, request.Optional)
		return false
	}
	handle := s.recordSent(now, st, request, extra)
	replica := st.Replica
	pace, loadAge := 0.0, time.Duration(0)
	if s.paced.Load() {
		pace, loadAge = s.balancer.Pace(now, st), st.LoadAge(now)
	}
	s.mu.Unlock()
	at := q.elapsed()
	if tried, _ := q.tried(i, replica.ID); tried {
		q.query.RetrySent(i, at)
	} else {
		q.query.Sent(i, at)
	}
	q.attempts = append(q.attempts, attempt{
		shard: i, replica: replica, at: at, hedge: request.Optional, extra: extra, trial: q.onTrial(i),
		state: st, handle: handle, pace: pace, loadAge: loadAge,
	})
	return true
}

func (q *exchange) deny(shard int, reason string, hedge bool) {
	q.denials = append(q.denials, denial{shard: shard, at: q.elapsed(), reason: reason, hedge: hedge})
}

// isDenied reports whether an attempt for the shard was denied for a reason.
func (q *exchange) isDenied(shard int, reason string) bool {
	return slices.ContainsFunc(q.denials, func(d denial) bool { return d.shard == shard && d.reason == reason })
}

// launch sends a reserved attempt.
func (q *exchange) launch(index int) {
	call := newCall(q.req, q.attempts[index].replica, q.deadline)
	q.attempts[index].call = call
	a := q.attempts[index]
	s := q.services[a.shard]
	go func() {
		reply := q.f.opts.Backend.Forward(call, q.f.opts.Dialect)
		q.f.logLoadFault(a.replica, &reply)
		q.recordResult(s, a.state, a.handle, &reply)
		q.f.reach.recordResult(a.replica, &reply)
		if !a.extra && reply.Took > 0 {
			q.class.observe(reply.Took)
		}
		crashed := q.f.observeRun(q.content, a.replica, a.trial, &reply)
		q.completions.Put(completion{results: []attemptResult{{shard: a.shard, index: index, reply: &reply, crashed: crashed}}})
	}()
}

// observeRun records whether the replica of an attempt has run the request to its end, or has
// crashed under it. It reports a crash, for which it waits up to crashWait.
func (f *Forwarder) observeRun(c *content, replica *registry.Replica, trial bool, reply *backend.ForwardReply) (crashed bool) {
	if reply.Evidence == pb.Evidence_EVIDENCE_RAN {
		f.suspects.recordAnswer(c, replica.Service)
	}
	return reply.Lost && f.recordLoss(c, replica, trial).wait()
}

// undoReserved releases the attempts that were reserved and not launched.
func (q *exchange) undoReserved() {
	for i := range q.attempts {
		a := &q.attempts[i]
		s := q.services[a.shard]
		s.mu.Lock()
		s.undoSent(a)
		s.mu.Unlock()
	}
	q.attempts = nil
}

// attemptCount returns how many attempts were reserved or sent for a shard.
func (q *exchange) attemptCount(shard int) int {
	n := 0
	for i := range q.attempts {
		if q.attempts[i].shard == shard {
			n++
		}
	}
	return n
}

// tried reports whether a replica had an attempt for a shard, and whether it refused all of
// them. An attempt for another replica at the same address counts: a second copy of its reply
// comes from the process that listens there.
func (q *exchange) tried(shard int, id string) (tried, refused bool) {
	address := q.f.addressOf(id)
	refused = true
	for i := range q.attempts {
		if a := &q.attempts[i]; a.shard == shard && (a.replica.ID == id || a.replica.Address == address) {
			tried = true
			refused = refused && a.refused
		}
	}
	return tried, tried && refused
}

// isReturn reports whether an attempt went to a replica that had refused an earlier one. Its reply
// may be a second copy of that refusal.
func (q *exchange) isReturn(index int) bool {
	a := &q.attempts[index]
	return slices.ContainsFunc(q.attempts[:index], func(earlier attempt) bool {
		return earlier.shard == a.shard && (earlier.replica.ID == a.replica.ID || earlier.replica.Address == a.replica.Address)
	})
}

// takeBudget takes one request from the service's retry budget and reports whether the
// budget allows it. The caller holds s.mu.
func (s *service) takeBudget(now time.Time, size float64, optional bool, account string) bool {
	if optional {
		return s.budget.TakeOptional(now, size, account)
	}
	return s.budget.Take(now, size, account)
}

// optionalBudgetUsed returns the used share of the service's budget for optional requests.
func (s *service) optionalBudgetUsed(size float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.OptionalUsed(time.Now(), size)
}

func (q *exchange) pickRequest(i int, hedge bool, size float64) upstream.Request {
	r := upstream.Request{
		Class:                 q.route.Name,
		DataCentre:            q.f.opts.DataCentre,
		MaxInFlightPerReplica: defaultMaxConnections,
		ColdPerSecond:         -1,
		Optional:              hedge,
		Unreachable:           q.unreachable,
	}
	if q.attemptCount(i) > 0 {
		r.Tried = func(id string) bool {
			tried, _ := q.tried(i, id)
			return tried
		}
	}
	spec := q.view.Index.Service(q.names[i])
	r.MaxInFlightPerReplica = connectionShare(spec, size)
	if spec != nil && spec.ColdPerSecond > 0 {
		r.ColdPerSecond = spec.ColdPerSecond / (size + 1)
	}
	return r
}

// newCall returns an attempt of a request at a replica.
func newCall(req *Request, to *registry.Replica, deadline time.Time) *backend.ForwardRequest {
	return &backend.ForwardRequest{
		Replica:   &config.Replica{Name: to.ID, Address: to.Address},
		RequestID: req.ID,
		Method:    req.Method,
		Target:    req.Target,
		Host:      req.Host,
		Account:   req.Account,
		Header:    req.Header,
		Body:      req.Body,
		Deadline:  deadline,

		TakeMemory: req.TakeMemory,
	}
}

// recordResult reports the result of an attempt to the service's balancer.
func (q *exchange) recordResult(s *service, st *upstream.State, handle uint64, reply *backend.ForwardReply) {
	sample := upstream.Sample{
		Handle: handle,
		Class:  q.route.Name,
		Took:   reply.Took,
		Result: resultOf(reply),
	}
	now := time.Now()
	if reply.Metadata.Load.Known() {
		sample.Load, sample.LoadAge = reply.Metadata.Load, now.Sub(reply.LoadAt)
	}
	s.mu.Lock()
	s.recordEnd(now, st, sample, reply)
	s.mu.Unlock()
	q.f.admission.roomChanged()
}

// resultOf classifies a reply for the balancer.
func resultOf(reply *backend.ForwardReply) upstream.Result {
	switch {
	case reply.Metadata.OtherReplica:
		return upstream.WrongReplica
	case reply.Metadata.NotRun:
		return upstream.Refused
	case successful(reply):
		return upstream.Answered
	case reply.Status != 0 && reply.Status < http.StatusInternalServerError:
		// The replica's own answer to the request, such as 404.
		return upstream.Answered
	case reply.Status != 0 || reply.Reason == pb.Reason_REASON_MISMATCH:
		return upstream.Failed
	case reply.Reason == pb.Reason_REASON_CANCELLED || reply.Reason == pb.Reason_REASON_DEADLINE:
		return upstream.Abandoned
	case reply.Reason == pb.Reason_REASON_LIMIT || isSenderFailure(reply):
		return upstream.Abandoned
	}
	if reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN {
		return upstream.Unreachable
	}
	return upstream.ConnectionLost
}

// successful reports whether a reply is a success with a signature, in a usable encoding.
func successful(reply *backend.ForwardReply) bool {
	return reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices &&
		reply.Metadata.Signature != "" && reply.Header.Get("Content-Encoding") == "" && !reply.Metadata.NotRun
}

// forwardableFailure reports whether a reply may be forwarded to the caller as the replica's
// failure. A success status without a signature may not: the caller would accept the reply
// although its sender is unknown.
func forwardableFailure(reply *backend.ForwardReply) bool {
	return reply.Status >= http.StatusMultipleChoices && !reply.Metadata.NotRun && !reply.Metadata.OtherReplica
}

// handleCompletion applies the results of a completion.
func (q *exchange) handleCompletion(e completion) {
	q.handleGroup(e)
	for _, result := range e.results {
		q.handleResult(result)
	}
}

// handleResult applies the result of an attempt, and sends or schedules another one where
// that is allowed.
func (q *exchange) handleResult(e attemptResult) {
	q.applyResult(e)
	if q.onTrial(e.shard) && q.query.Idle(e.shard) {
		q.endTrial()
	}
}

func (q *exchange) applyResult(e attemptResult) {
	if unsent(e.reply) && !q.suspectedAt(e.shard) {
		q.sendDirectly(e.index)
		return
	}
	q.attempts[e.index].end(q.elapsed(), e.reply)
	if e.reply.Evidence != pb.Evidence_EVIDENCE_NOT_RUN || q.isReturn(e.index) {
		q.mayHaveRun = true
	}
	if e.reply.Evidence == pb.Evidence_EVIDENCE_RAN {
		q.trials.answered = true
	}
	if q.accepts(e.reply) {
		if q.query.Answered(e.shard) {
			q.parts[e.shard] = *e.reply
			q.cancelOthers(e.shard)
		}
		return
	}
	if forwardableFailure(e.reply) {
		q.lastFailure = e.reply
	}
	reached := e.reply.Status != 0 && !e.reply.Metadata.OtherReplica || e.reply.Evidence != pb.Evidence_EVIDENCE_NOT_RUN
	if !reached && q.attemptCount(e.shard) > maxUncountedAttempts {
		reached = true
	}
	retry := q.query.Failed(e.shard, reached)
	if e.crashed {
		q.handleCrash(e, retry)
		return
	}
	mayRun := q.route.Idempotent || e.reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
	if retry && mayRun && (q.yieldRetry(e.shard) || q.retry(e.shard)) {
		return
	}
	if q.attempts[e.index].refused && q.query.ScheduleRetry(e.shard, q.elapsed()) {
		return
	}
	if !mayRun {
		q.query.GiveUp(e.shard)
		return
	}
	q.query.MarkLostIfIdle(e.shard)
}

// accepts reports whether a reply is the answer of its shard. On a route that does not
// gather, a replica's own answer to the request, such as 404, is accepted too.
func (q *exchange) accepts(reply *backend.ForwardReply) bool {
	if successful(reply) {
		return true
	}
	if q.route.Gathers() || reply.Metadata.NotRun || reply.Metadata.OtherReplica {
		return false
	}
	return reply.Status >= http.StatusMultipleChoices && reply.Status < http.StatusInternalServerError &&
		reply.Status != http.StatusTooManyRequests && reply.Status != http.StatusRequestTimeout
}

// cancelOthers ends the attempts in flight of a shard whose part has arrived.
func (q *exchange) cancelOthers(shard int) {
	for i := range q.attempts {
		if a := &q.attempts[i]; a.shard == shard && !a.ended {
			a.call.Cancel(cancelLinger)
		}
	}
}
