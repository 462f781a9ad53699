package entry

import (
	"context"
	"math/rand/v2"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/query"
)

// cancelTimeout limits a call that cancels attempts at another owner.
const cancelTimeout = time.Second

// attempt is an attempt in flight.
type attempt struct {
	replica string
	// group contains the owner that the attempt was sent to.
	group  *ownerGroup
	sentAt time.Time
	// cancel is nil for an attempt at another node.
	cancel context.CancelFunc
}

func (a *attempt) end() {
	if a.cancel != nil {
		a.cancel()
	}
}

// runner runs one query.
type runner struct {
	entry    *Entry
	tables   *tables
	svc      *config.Service
	req      Request
	deadline time.Time
	query    *query.Query
	env      *env
	// ctx ends with the query and cancels everything still in flight.
	ctx      context.Context
	replies  *work.Inbox[*pb.SubrequestResult]
	inFlight map[uint64]*attempt
	typical  time.Duration
	// results is a reused buffer of receive.
	results []attemptResult
}

// run executes one query and returns its answer.
func (e *Entry) run(ctx context.Context, svc *config.Service, t *tables, req Request, deadline time.Time) *query.Answer {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	params := query.Params{
		Service:  svc,
		Deadline: deadline.Add(-assembleMargin),
		Trace:    req.Trace,
	}
	if svc.Spec.GetPreference() == pb.Preference_PREFERENCE_LATENCY {
		params.EarlyAfter = time.Until(deadline) * earlyAnswerPercent / 100
		params.EarlyCoverage = earlyAnswerCoverage
	}
	shards := len(svc.Latest().Shards)
	r := &runner{
		entry:    e,
		tables:   t,
		svc:      svc,
		req:      req,
		deadline: deadline,
		ctx:      ctx,
		replies:  work.NewInbox[*pb.SubrequestResult](shards),
		inFlight: make(map[uint64]*attempt, shards),
		typical:  t.typical(),
	}
	r.env = &env{tables: t, svc: svc, attempts: &e.attempts, usable: e.usable}
	r.query = query.New(r.env, params)
	r.loop()
	return r.query.Answer()
}

// usable reports whether a replica may be used: it is in service and at least one of
// its owners may be called.
func (e *Entry) usable(r *config.Replica) bool {
	return r.InService && len(e.callableOwners(e.Fleet.Owners(r), time.Now())) > 0
}

// eventTime returns the current time and sets it in env for the event that the query
// processes next.
func (r *runner) eventTime() time.Time {
	r.env.now = time.Now()
	return r.env.now
}

func (r *runner) loop() {
	r.perform(r.query.Start(r.eventTime()))
	timer := time.NewTimer(time.Until(r.query.NextTick()))
	defer timer.Stop()
	var replies []*pb.SubrequestResult
	for !r.query.Done() {
		select {
		case <-r.replies.Ready():
			replies = r.replies.Take(replies)
			r.receive(r.eventTime(), replies)
		case <-timer.C:
			r.perform(r.query.Tick(r.eventTime()))
		case <-r.ctx.Done():
			r.perform(r.query.Cancel(r.eventTime()))
		}
		timer.Reset(time.Until(r.query.NextTick()))
	}
}

// receive ends the attempts of a group of results and passes the results to the query.
func (r *runner) receive(now time.Time, replies []*pb.SubrequestResult) {
	r.results = r.results[:0]
	for _, reply := range replies {
		if a := r.inFlight[reply.GetAttempt()]; a != nil {
			delete(r.inFlight, reply.GetAttempt())
			a.end()
			r.results = append(r.results, attemptResult{result: reply, replica: a.replica, took: now.Sub(a.sentAt)})
		}
	}
	r.tables.recordResults(now, r.results)
	for _, reply := range replies {
		// Results that arrive together with the last required result must not be
		// processed as late results.
		if r.query.Done() {
			return
		}
		r.perform(r.query.Reply(now, reply))
	}
}

// perform sends and cancels the attempts of a step.
func (r *runner) perform(step query.Step) {
	if len(step.Cancel) > 0 {
		r.cancel(step.Cancel)
	}
	if len(step.Send) > 0 {
		r.send(step.Send)
	}
}

// cancel cancels attempts: local attempts by their context, other attempts by one
// message to each owner.
func (r *runner) cancel(cancelled []query.Cancelled) {
	now := time.Now()
	self := r.entry.Fleet.Self().Name
	remote := make(map[string][]uint64)
	owners := make(map[string]fleet.Member)
	for _, c := range cancelled {
		a := r.inFlight[c.Attempt]
		if a == nil {
			continue
		}
		delete(r.inFlight, c.Attempt)
		a.end()
		r.tables.recordCancelled(now, a.replica, now.Sub(a.sentAt))
		if to := a.group.to; to.Name != self {
			remote[to.Name] = append(remote[to.Name], c.Attempt)
			owners[to.Name] = to
		}
	}
	// When the query is done, its streams end and their attempts are cancelled.
	if r.query.Done() {
		return
	}
	for node, attempts := range remote {
		go r.sendCancel(owners[node], attempts)
	}
}

func (r *runner) sendCancel(to fleet.Member, attempts []uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	// If the cancellation is lost, the backend server only does unnecessary work.
	_ = r.entry.Peers.Cancel(ctx, to, attempts)
}

// ownerGroup contains the sends of one step to one owner.
type ownerGroup struct {
	to    fleet.Member
	sends []query.Send
}

// send groups attempts by owner and starts each group.
func (r *runner) send(sends []query.Send) {
	now := time.Now()
	groups := make(map[string]*ownerGroup)
	// Pointers into attempts stay valid: the capacity suffices for all sends.
	attempts := make([]attempt, 0, len(sends))
	for _, s := range sends {
		to, ok := r.ownerFor(s.Replica)
		if !ok {
			r.replies.Put(noReplicaResult(s))
			continue
		}
		group := groups[to.Name]
		if group == nil {
			group = &ownerGroup{to: to}
			groups[to.Name] = group
		}
		group.sends = append(group.sends, s)
		attempts = append(attempts, attempt{replica: s.Replica.Name, group: group, sentAt: now})
		r.inFlight[s.Attempt] = &attempts[len(attempts)-1]
	}
	for _, group := range groups {
		r.tables.recordSent(now, group.sends...)
	}
	self := r.entry.Fleet.Self().Name
	for node, group := range groups {
		if node == self {
			r.sendLocal(group)
			continue
		}
		req := r.request(group)
		go r.scatter(group.to, req)
	}
}

// ownerFor chooses the owner to which the requests for a replica are sent: this node if
// it is an owner, or a random owner. A replica that was not reported as warm, or whose
// service has silent cold starts, is used only through its first owner. ownerFor returns
// false if no such owner may be called now.
func (r *runner) ownerFor(replica *config.Replica) (fleet.Member, bool) {
	ranked := r.entry.Fleet.Owners(replica)
	owners := r.entry.callableOwners(ranked, time.Now())
	if len(owners) == 0 {
		return fleet.Member{}, false
	}
	if r.tables.firstOwnerOnly(replica) {
		return ranked[0], owners[0].ID() == ranked[0].ID()
	}
	self := r.entry.Fleet.Self().Name
	for _, m := range owners {
		if m.Name == self {
			return m, true
		}
	}
	return owners[rand.IntN(len(owners))], true
}

func noReplicaResult(s query.Send) *pb.SubrequestResult {
	return &pb.SubrequestResult{
		Attempt:  s.Attempt,
		Shard:    s.Shard.Name,
		Replica:  s.Replica.Name,
		Reason:   pb.Reason_REASON_NO_REPLICA,
		Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
	}
}

func (r *runner) sendLocal(group *ownerGroup) {
	self := r.entry.Fleet.Self().ID()
	reports, revision := r.entry.Local.ReportsSince(r.svc.Name, r.tables.reportRevision(self))
	r.tables.applyReports(time.Now(), self, reports, revision)
	reply := func(result *pb.SubrequestResult) { r.replies.Put(result) }
	for _, s := range group.sends {
		ctx, cancel := context.WithCancel(r.ctx)
		r.inFlight[s.Attempt].cancel = cancel
		r.entry.Local.Submit(ctx, owner.Request{
			Service:    r.svc.Name,
			Class:      r.req.Class,
			Shard:      s.Shard.Name,
			Replica:    s.Replica.Name,
			Generation: s.Generation,
			Snapshot:   s.Snapshot,
			Body:       r.req.Query,
			Attempt:    s.Attempt,
			Sender:     r.entry.Boot,
			Extra:      s.Extra,
			Typical:    r.typical,
		}, reply)
	}
}

func (r *runner) request(group *ownerGroup) *pb.ScatterRequest {
	req := &pb.ScatterRequest{
		Service:    r.svc.Name,
		Class:      r.req.Class,
		Generation: group.sends[0].Generation,
		Snapshot:   group.sends[0].Snapshot,
		Query:      r.req.Query,
		TimeoutUs:  uint64(max(time.Until(r.deadline).Microseconds(), 0)),
		TypicalUs:  uint64(r.typical.Microseconds()),
		NewsSince:  r.tables.reportRevision(group.to.ID()),
	}
	// A single allocation for all subrequests.
	subs := make([]pb.Subrequest, len(group.sends))
	req.Subrequests = make([]*pb.Subrequest, len(group.sends))
	for i, s := range group.sends {
		sub := &subs[i]
		req.Subrequests[i] = sub
		sub.Attempt, sub.Extra = s.Attempt, s.Extra
		sub.Shard, sub.Replica = s.Shard.Name, s.Replica.Name
	}
	return req
}

func (r *runner) scatter(to fleet.Member, req *pb.ScatterRequest) {
	r.entry.unresponsive.recordCall(to.ID(), time.Now())
	missing, err := r.entry.Peers.Scatter(r.ctx, to, req, func(resp *pb.ScatterResponse) {
		r.entry.unresponsive.recordResponse(to.ID())
		r.tables.applyReports(time.Now(), to.ID(), resp.GetNews(), resp.GetNewsRevision())
		r.replies.Put(resp.GetResults()...)
	})
	if err != nil && r.ctx.Err() == nil {
		r.entry.unresponsive.recordFailure(to.ID(), time.Now())
		r.entry.Fleet.ReportCallFailure(to.Name)
	}
	r.replies.Put(missing...)
}
