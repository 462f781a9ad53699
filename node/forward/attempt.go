package forward

import (
	"net/http"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// send sends an attempt for a shard and reports whether it could.
func (q *run) send(i int, hedge bool) bool {
	if !q.reserve(i, hedge) {
		return false
	}
	q.launch(len(q.story) - 1)
	return true
}

// sendAgain sends an attempt to a replica that refused one, or to another one if there
// may be more, and reports whether it could.
func (q *run) sendAgain(i int) bool {
	request := q.pickFor(i, false, q.f.opts.Source.FleetSize())
	more := q.query.HasUntriedReplica(i)
	request.Tried = func(id string) bool {
		tried, refused := q.tried(i, id)
		return tried && !refused || !tried && !more
	}
	if !q.reserveBy(i, request) {
		return false
	}
	q.launch(len(q.story) - 1)
	return true
}

// reserve chooses a replica for an attempt, which launch sends.
func (q *run) reserve(i int, hedge bool) bool {
	return q.reserveBy(i, q.pickFor(i, hedge, q.f.opts.Source.FleetSize()))
}

// reserveBy chooses a replica for an attempt. Every attempt but a shard's first comes out
// of the service's budget for extra requests.
func (q *run) reserveBy(i int, request upstream.Request) bool {
	s := q.services[i]
	now := time.Now()
	extra := q.attempts(i) > 0
	s.mu.Lock()
	st := s.set.Pick(now, request)
	denied := ""
	switch {
	case st == nil:
		denied = deniedNoReplica
	case extra && !s.mayRepeat(now, q.f.opts.Source.FleetSize(), request.Optional || q.query.Dispensable(i)):
		denied = deniedNoBudget
	}
	if denied != "" {
		s.mu.Unlock()
		q.denials = append(q.denials, denial{shard: i, at: q.since(), why: denied, hedge: request.Optional})
		return false
	}
	handle := s.set.RecordSent(now, st, request)
	replica := st.Replica
	s.mu.Unlock()
	at := q.since()
	if tried, _ := q.tried(i, replica.ID); tried {
		q.query.RetrySent(i, at)
	} else {
		q.query.Sent(i, at)
	}
	q.story = append(q.story, step{
		shard: i, replica: replica, at: at, hedge: request.Optional, extra: extra,
		state: st, handle: handle,
	})
	return true
}

// launch sends a reserved attempt.
func (q *run) launch(number int) {
	call := newCall(q.req, q.story[number].replica, q.deadline)
	q.story[number].call = call
	at := q.story[number]
	s := q.services[at.shard]
	go func() {
		reply := q.f.opts.Backend.Forward(call, q.f.opts.Dialect)
		q.settle(s, at.state, at.handle, &reply)
		q.f.reach.note(at.replica, &reply)
		if !at.extra && reply.Took > 0 {
			q.class.observe(reply.Took)
		}
		q.events.Put(event{ends: []attemptEnd{{shard: at.shard, step: number, reply: &reply}}})
	}()
}

// undo takes back the attempts that were reserved and not launched.
func (q *run) undo() {
	for i := range q.story {
		at := &q.story[i]
		s := q.services[at.shard]
		s.mu.Lock()
		s.set.UndoSent(at.state, at.handle)
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

// tried reports whether a replica had an attempt for a shard, and whether it refused all
// that it had.
func (q *run) tried(shard int, id string) (tried, refused bool) {
	refused = true
	for i := range q.story {
		if s := &q.story[i]; s.shard == shard && s.replica.ID == id {
			tried = true
			refused = refused && s.refused
		}
	}
	return tried, tried && refused
}

// mayRepeat takes one request out of the service's budget. s.mu is held.
func (s *service) mayRepeat(now time.Time, size float64, spare bool) bool {
	if spare {
		return s.budget.TakeOptional(now, size)
	}
	return s.budget.Take(now, size)
}

// spareUsed is the share of the service's budget for hedges that is used.
func (s *service) spareUsed(size float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.OptionalUsed(time.Now(), size)
}

func (q *run) pickFor(i int, hedge bool, size float64) upstream.Request {
	r := upstream.Request{
		Class:                 q.route.Name,
		DataCentre:            q.f.opts.DataCentre,
		MaxInFlightPerReplica: assumedConnections,
		ColdPerSecond:         -1,
		Optional:              hedge,
		Unreachable:           q.outOfReach,
	}
	if q.attempts(i) > 0 {
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
		Header:    req.Header,
		Body:      req.Body,
		Deadline:  deadline,
	}
}

// settle tells the service's tables how an attempt ended.
func (q *run) settle(s *service, st *upstream.State, handle uint64, reply *backend.ForwardReply) {
	sample := upstream.Sample{
		Handle: handle,
		Class:  q.route.Name,
		Took:   reply.Took,
		Result: resultOf(reply),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Done(time.Now(), st, sample)
}

// resultOf classifies a reply for the choice of replicas.
func resultOf(reply *backend.ForwardReply) upstream.Result {
	switch {
	case reply.Metadata.OtherReplica:
		return upstream.WrongReplica
	case reply.Metadata.NotRun:
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
	case reply.Reason == pb.Reason_REASON_LIMIT || ofNeighbour(reply):
		return upstream.Abandoned
	}
	if reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN {
		return upstream.Unreachable
	}
	return upstream.ConnectionLost
}

// good reports whether a reply is a complete and genuine success.
func good(reply *backend.ForwardReply) bool {
	return reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices &&
		reply.Metadata.Signature != "" && reply.Header.Get("Content-Encoding") == "" && !reply.Metadata.NotRun
}

// passable reports whether a reply that is no success may be passed on as the replica's
// own failure. A success without a signature is neither: its caller would take it for
// one, and nobody knows whose answer it is.
func passable(reply *backend.ForwardReply) bool {
	return reply.Status >= http.StatusMultipleChoices && !reply.Metadata.NotRun && !reply.Metadata.OtherReplica
}

// take deals with the ends of attempts that came together.
func (q *run) take(e event) {
	q.takeGroup(e)
	for _, end := range e.ends {
		q.takeEnd(end)
	}
}

// takeEnd deals with the end of an attempt.
func (q *run) takeEnd(e attemptEnd) {
	if unsent(e.reply) {
		q.sendDirectly(e.step)
		return
	}
	q.story[e.step].end(q.since(), e.reply)
	if e.reply.Evidence != pb.Evidence_EVIDENCE_NOT_RUN {
		q.ran = true
	}
	if q.accepts(e.reply) {
		if q.query.Answered(e.shard) {
			q.parts[e.shard] = *e.reply
			q.endOthers(e.shard)
		}
		return
	}
	if passable(e.reply) {
		q.last = e.reply
	}
	reached := e.reply.Status != 0 && !e.reply.Metadata.OtherReplica || e.reply.Evidence != pb.Evidence_EVIDENCE_NOT_RUN
	if !reached && q.attempts(e.shard) > maxElsewhere {
		reached = true
	}
	retry := q.query.Failed(e.shard, reached)
	mayRun := q.route.Idempotent || e.reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
	if retry && mayRun && q.send(e.shard, false) {
		return
	}
	if q.story[e.step].refused && q.query.ScheduleRetry(e.shard, q.since()) {
		return
	}
	if !mayRun {
		q.query.GiveUp(e.shard)
		return
	}
	q.query.MarkLostIfIdle(e.shard)
}

// accepts reports whether a reply is the answer of its shard. Without shards to merge,
// a replica's word about the request itself, such as 404, is its answer too.
func (q *run) accepts(reply *backend.ForwardReply) bool {
	if good(reply) {
		return true
	}
	if q.route.Gathers() || reply.Metadata.NotRun || reply.Metadata.OtherReplica {
		return false
	}
	return reply.Status >= http.StatusMultipleChoices && reply.Status < http.StatusInternalServerError &&
		reply.Status != http.StatusTooManyRequests && reply.Status != http.StatusRequestTimeout
}

// endOthers ends the attempts of a shard whose part is in.
func (q *run) endOthers(shard int) {
	for i := range q.story {
		if s := &q.story[i]; s.shard == shard && !s.ended {
			s.call.Cancel(lingerFor)
		}
	}
}
