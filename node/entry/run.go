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

// cancelTimeout bounds telling an owner that results are no longer wanted.
const cancelTimeout = time.Second

// flight is an attempt under way.
type flight struct {
	replica string
	// part that it was sent with; it names the owner.
	part   *part
	sentAt time.Time
	// cancel is nil for an attempt at another node.
	cancel context.CancelFunc
}

func (f *flight) end() {
	if f.cancel != nil {
		f.cancel()
	}
}

// runner carries out one query.
type runner struct {
	entry    *Entry
	tables   *tables
	svc      *config.Service
	req      Request
	deadline time.Time
	query    *query.Query
	env      *env
	// ctx ends with the query, and with it whatever is still under way.
	ctx     context.Context
	replies *work.Inbox[*pb.SubrequestResult]
	flights map[uint64]*flight
	typical time.Duration
	// landed is scratch space of take.
	landed []landed
}

// run drives one query to its answer.
func (e *Entry) run(ctx context.Context, svc *config.Service, t *tables, req Request, deadline time.Time) *query.Answer {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	params := query.Params{
		Service:  svc,
		Deadline: deadline.Add(-assembleMargin),
		Trace:    req.Trace,
	}
	if svc.Spec.GetPreference() == pb.Preference_PREFERENCE_LATENCY {
		params.EarlyAfter = time.Until(deadline) * earlyPercent / 100
		params.EarlyCoverage = earlyCoverage
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
		flights:  make(map[uint64]*flight, shards),
		typical:  t.typical(),
	}
	r.env = &env{tables: t, svc: svc, attempts: &e.attempts, usable: e.usable}
	r.query = query.New(r.env, params)
	r.loop()
	return r.query.Answer()
}

// usable reports whether a replica may be asked: it is in service and some node
// that owns it is alive.
func (e *Entry) usable(r *config.Replica) bool {
	return r.InService && len(e.owners(e.Fleet.Owners(r), time.Now())) > 0
}

// now is the time of an event that the query is about to take in.
func (r *runner) now() time.Time {
	r.env.now = time.Now()
	return r.env.now
}

func (r *runner) loop() {
	r.carry(r.query.Start(r.now()))
	timer := time.NewTimer(time.Until(r.query.NextTick()))
	defer timer.Stop()
	var replies []*pb.SubrequestResult
	for !r.query.Done() {
		select {
		case <-r.replies.Ready():
			replies = r.replies.Take(replies)
			r.take(r.now(), replies)
		case <-timer.C:
			r.carry(r.query.Tick(r.now()))
		case <-r.ctx.Done():
			r.carry(r.query.Cancel(r.now()))
		}
		timer.Reset(time.Until(r.query.NextTick()))
	}
}

// take ends the attempts of results that came together, and hands the results to
// the query.
func (r *runner) take(now time.Time, replies []*pb.SubrequestResult) {
	r.landed = r.landed[:0]
	for _, reply := range replies {
		if f := r.flights[reply.GetAttempt()]; f != nil {
			delete(r.flights, reply.GetAttempt())
			f.end()
			r.landed = append(r.landed, landed{result: reply, replica: f.replica, took: now.Sub(f.sentAt)})
		}
	}
	r.tables.learn(now, r.landed)
	for _, reply := range replies {
		// What comes with the last result that was waited for is not late.
		if r.query.Done() {
			return
		}
		r.carry(r.query.Reply(now, reply))
	}
}

// carry does what the query asks for.
func (r *runner) carry(step query.Step) {
	if len(step.Cancel) > 0 {
		r.abandon(step.Cancel)
	}
	if len(step.Send) > 0 {
		r.send(step.Send)
	}
}

// abandon withdraws attempts: local ones by their context, others by one message
// to each owner.
func (r *runner) abandon(cancelled []query.Cancelled) {
	now := time.Now()
	self := r.entry.Fleet.Self().Name
	remote := make(map[string][]uint64)
	owners := make(map[string]fleet.Member)
	for _, c := range cancelled {
		f := r.flights[c.Attempt]
		if f == nil {
			continue
		}
		delete(r.flights, c.Attempt)
		f.end()
		r.tables.abandoned(now, f.replica, now.Sub(f.sentAt))
		if to := f.part.to; to.Name != self {
			remote[to.Name] = append(remote[to.Name], c.Attempt)
			owners[to.Name] = to
		}
	}
	// The end of a query ends its streams, which cancels what they carry.
	if r.query.Done() {
		return
	}
	for node, attempts := range remote {
		go r.cancelAt(owners[node], attempts)
	}
}

func (r *runner) cancelAt(to fleet.Member, attempts []uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	// A lost cancellation costs the backend server some work and nothing else.
	_ = r.entry.Peers.Cancel(ctx, to, attempts)
}

// part is the sends of one step that go to one owner, in one message.
type part struct {
	to    fleet.Member
	sends []query.Send
}

// send groups attempts by owner and starts each group.
func (r *runner) send(sends []query.Send) {
	now := time.Now()
	parts := make(map[string]*part)
	// One array for all, which stays where it is.
	flights := make([]flight, 0, len(sends))
	for _, s := range sends {
		to, ok := r.ownerFor(s.Replica)
		if !ok {
			r.replies.Put(unowned(s))
			continue
		}
		p := parts[to.Name]
		if p == nil {
			p = &part{to: to}
			parts[to.Name] = p
		}
		p.sends = append(p.sends, s)
		flights = append(flights, flight{replica: s.Replica.Name, part: p, sentAt: now})
		r.flights[s.Attempt] = &flights[len(flights)-1]
	}
	for _, p := range parts {
		r.tables.sent(now, p.sends...)
	}
	self := r.entry.Fleet.Self().Name
	for node, p := range parts {
		if node == self {
			r.sendLocal(p)
			continue
		}
		req := r.request(p)
		go r.scatter(p.to, req)
	}
}

// ownerFor chooses the owner that a replica is reached through: this node itself,
// or any. A replica that is not known to be warm, or whose service has silent cold
// starts, has one: its first.
func (r *runner) ownerFor(replica *config.Replica) (fleet.Member, bool) {
	ranked := r.entry.Fleet.Owners(replica)
	owners := r.entry.owners(ranked, time.Now())
	if len(owners) == 0 {
		return fleet.Member{}, false
	}
	if r.tables.firstOnly(replica) {
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

func unowned(s query.Send) *pb.SubrequestResult {
	return &pb.SubrequestResult{
		Attempt:  s.Attempt,
		Shard:    s.Shard.Name,
		Replica:  s.Replica.Name,
		Reason:   pb.Reason_REASON_NO_REPLICA,
		Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
	}
}

func (r *runner) sendLocal(p *part) {
	self := r.entry.Fleet.Self().ID()
	news, revision := r.entry.Local.ReportsSince(r.svc.Name, r.tables.heardUpTo(self))
	r.tables.hear(time.Now(), self, news, revision)
	reply := func(result *pb.SubrequestResult) { r.replies.Put(result) }
	for _, s := range p.sends {
		ctx, cancel := context.WithCancel(r.ctx)
		r.flights[s.Attempt].cancel = cancel
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

func (r *runner) request(p *part) *pb.ScatterRequest {
	req := &pb.ScatterRequest{
		Service:    r.svc.Name,
		Class:      r.req.Class,
		Generation: p.sends[0].Generation,
		Snapshot:   p.sends[0].Snapshot,
		Query:      r.req.Query,
		TimeoutUs:  uint64(max(time.Until(r.deadline).Microseconds(), 0)),
		TypicalUs:  uint64(r.typical.Microseconds()),
		NewsSince:  r.tables.heardUpTo(p.to.ID()),
	}
	// One array in place of an object a subrequest.
	subs := make([]pb.Subrequest, len(p.sends))
	req.Subrequests = make([]*pb.Subrequest, len(p.sends))
	for i, s := range p.sends {
		sub := &subs[i]
		req.Subrequests[i] = sub
		sub.Attempt, sub.Extra = s.Attempt, s.Extra
		sub.Shard, sub.Replica = s.Shard.Name, s.Replica.Name
	}
	return req
}

func (r *runner) scatter(to fleet.Member, req *pb.ScatterRequest) {
	r.entry.silent.trying(to.ID(), time.Now())
	missing, err := r.entry.Peers.Scatter(r.ctx, to, req, func(resp *pb.ScatterResponse) {
		r.entry.silent.answered(to.ID())
		r.tables.hear(time.Now(), to.ID(), resp.GetNews(), resp.GetNewsRevision())
		r.replies.Put(resp.GetResults()...)
	})
	if err != nil && r.ctx.Err() == nil {
		r.entry.silent.failed(to.ID(), time.Now())
		r.entry.Fleet.ReportCallFailure(to.Name)
	}
	r.replies.Put(missing...)
}
