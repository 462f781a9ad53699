package owner

import (
	"context"
	"math/rand/v2"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/limit"
)

const (
	// pollTimeout bounds one status poll or report.
	pollTimeout = time.Second
	// pollTicks is how many rounds share one poll interval, so that the polls
	// of many replicas spread over it.
	pollTicks = 10
	// longestTick bounds the time between two rounds whatever the poll interval:
	// each takes the right to a cold replica away from the limiter once the fleet
	// does, and that must happen well within the margin of claims.
	longestTick = 100 * time.Millisecond
	// idlePolls is how many status polls a second this node spends on all its warm
	// replicas without traffic together. One poll writes 81 bytes: at an interval
	// of a second, 37 idle replicas would take 3.0 of the 4 KB/s that a node has
	// for control. What is found by such a poll is found somewhat later; a lost
	// connection or a request finds it at once.
	idlePolls = 10
)

// Run polls the owned replicas until the context ends. Polls find restarts and
// snapshots that no query has met yet; their load reports lag and mislead, so
// they never raise a limit.
func (o *Owner) Run(ctx context.Context) {
	defer o.background.Wait()
	ticker := time.NewTicker(min(max(o.PollInterval/pollTicks, time.Millisecond), longestTick))
	defer ticker.Stop()
	var seen uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			// Read before the work: a change that comes meanwhile is seen next.
			if revision := o.Fleet.Revision(); revision != seen {
				o.takeUp()
				seen = revision
			}
			o.tend(ctx, now)
		}
	}
}

// takeUp follows a change of configuration or owners: it starts entries for the
// replicas that this node owns now.
func (o *Owner) takeUp() {
	index := o.Fleet.Index()
	if index == nil {
		return
	}
	for _, r := range index.Replicas {
		if r.InService && o.rank(r) >= 0 {
			o.owned(r).define(r)
		}
	}
}

// tend looks after each owned replica: it renews the claim to a cold one, polls
// those that are due, and drops those that this node has lost once they are idle.
func (o *Owner) tend(ctx context.Context, now time.Time) {
	index := o.Fleet.Index()
	if index == nil {
		return
	}
	entries := o.list()
	warmInterval := o.warmInterval(entries)
	for _, entry := range entries {
		r := index.Replicas[entry.name]
		if r == nil || !r.InService || o.rank(r) < 0 {
			if entry.idle() {
				o.release(entry)
			}
			continue
		}
		entry.renew(r)
		if entry.pollDue(now, warmInterval) {
			o.Pool.Go(func() { entry.poll(ctx) })
		}
	}
}

// warmInterval is the time between two polls of a warm replica without traffic:
// the poll interval, or longer when the node has so many warm replicas that they
// would exceed idlePolls together.
func (o *Owner) warmInterval(entries []*owned) time.Duration {
	warm := 0
	for _, entry := range entries {
		if entry.warm() {
			warm++
		}
	}
	return max(o.PollInterval, time.Duration(warm)*time.Second/idlePolls)
}

func (r *owned) warm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == pb.ReplicaState_REPLICA_STATE_WARM
}

// pollDue reports whether the replica is to be polled now, and plans when to ask
// next, with some jitter. A replica that is not warm is asked at the poll
// interval, also when its last poll was planned while it was warm.
func (r *owned) pollDue(now time.Time, warmInterval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	warm := r.state == pb.ReplicaState_REPLICA_STATE_WARM
	interval := r.owner.PollInterval
	if warm {
		interval = warmInterval
	}
	least := interval * 3 / 4
	if now.Sub(r.planned) < least+time.Duration(r.jitter*float64(interval)/2) {
		return false
	}
	r.planned = now
	r.jitter = rand.Float64()
	// Replies tell the same as a poll, so a warm replica with traffic needs none.
	return !warm || now.Sub(r.heardAt) >= least
}

// define takes over a changed definition of the replica and keeps its share of
// connections.
func (r *owned) define(replica *config.Replica) {
	share := r.owner.share(replica)
	r.mu.Lock()
	r.replica = replica
	r.mu.Unlock()
	r.owner.Backend.SetConnections(r.name, share)
}

// renew tells the limiter this node's share and whether it alone may use the
// replica while it is cold.
func (r *owned) renew(replica *config.Replica) {
	share := r.owner.share(replica)
	r.mu.Lock()
	warm := r.limiter.State() == pb.ReplicaState_REPLICA_STATE_WARM
	r.mu.Unlock()
	first := r.mayUseCold(replica, warm)
	r.mu.Lock()
	r.restate(time.Now(), replica, share, first)
	r.mu.Unlock()
}

// idle reports whether nothing is running or waiting.
func (r *owned) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.InFlight() == 0 && len(r.queue) == 0
}

// poll asks the replica for its status and squares its state with the other
// owners.
func (r *owned) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r.mu.Lock()
	replica := r.replica
	r.mu.Unlock()
	r.mu.Lock()
	epoch := r.epoch
	r.mu.Unlock()
	reply := r.owner.Backend.Poll(ctx, replica)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	r.learn(reply, time.Now())
	r.verified = reply.OK() && epoch == r.epoch
	news := r.news()
	r.mu.Unlock()
	r.exchange(ctx, replica, news)
}

// exchange settles the state of a replica between its owners. The first owner
// decides when it is warm; the others ask, and report signs of a cold start.
// Without this a second owner would send to a replica that the first one still
// warms up, and both together would exceed what it bears.
func (r *owned) exchange(ctx context.Context, replica *config.Replica, news *pb.ReplicaNews) {
	owners := r.owner.Fleet.Owners(replica)
	if len(owners) == 0 {
		return
	}
	self := r.owner.Fleet.Self().Name
	if owners[0].Name == self {
		r.tellOthers(ctx, replica, owners[1:], news)
		return
	}
	if news.GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
		return
	}
	answer, err := r.owner.Reporter.ReportReplica(ctx, owners[0], r.report(replica, news))
	if err != nil {
		return
	}
	for _, n := range answer.GetNews() {
		r.hear(n, true)
	}
}

// tellOthers sends a state that changed to the other owners, and a cold one
// again and again, since a lost message would leave them sending.
func (r *owned) tellOthers(ctx context.Context, replica *config.Replica, others []fleet.Member, news *pb.ReplicaNews) {
	r.mu.Lock()
	changed := !r.told
	r.told = true
	r.mu.Unlock()
	if !changed && news.GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
		return
	}
	for _, other := range others {
		if _, err := r.owner.Reporter.ReportReplica(ctx, other, r.report(replica, news)); err != nil {
			r.mu.Lock()
			r.told = false
			r.mu.Unlock()
		}
	}
}

func (r *owned) report(replica *config.Replica, news *pb.ReplicaNews) *pb.ReportReplicaRequest {
	return &pb.ReportReplicaRequest{Service: replica.Service.Name, News: []*pb.ReplicaNews{news}}
}

// hear takes in what another owner says. Only the first owner's word makes the
// replica warm; a cold sign counts from anyone.
func (r *owned) hear(news *pb.ReplicaNews, fromFirst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch news.GetState() {
	case pb.ReplicaState_REPLICA_STATE_WARM:
		if fromFirst {
			r.limiter.ObserveWarm(now)
		}
	case pb.ReplicaState_REPLICA_STATE_COLD:
		r.limiter.Observe(now, limit.SignalColdReport)
	case pb.ReplicaState_REPLICA_STATE_DRAINING:
		r.limiter.Observe(now, limit.SignalDraining)
	}
	if news.GetNewestSnapshot() > r.held.newest {
		r.hold(snapshots{oldest: news.GetOldestSnapshot(), newest: news.GetNewestSnapshot()})
	}
	r.noteState()
}

// HandleReport answers another owner's report with what this node holds.
func (o *Owner) HandleReport(sender string, req *pb.ReportReplicaRequest) *pb.ReportReplicaResponse {
	answer := &pb.ReportReplicaResponse{}
	index := o.Fleet.Index()
	if index == nil {
		return answer
	}
	for _, n := range req.GetNews() {
		r := index.Replicas[n.GetReplica()]
		if r == nil {
			continue
		}
		owners := o.Fleet.Owners(r)
		if rankAmong(owners, o.Fleet.Self().Name) < 0 {
			continue
		}
		entry := o.owned(r)
		senderFirst := owners[0].Name == sender
		// A second owner is cold until it hears from the first one; that is no
		// sign of the replica itself.
		if senderFirst || n.GetState() == pb.ReplicaState_REPLICA_STATE_DRAINING {
			entry.hear(n, senderFirst)
		}
		entry.mu.Lock()
		answer.News = append(answer.News, entry.news())
		entry.mu.Unlock()
	}
	return answer
}

// InFlight returns the requests that this node has at a replica.
func (o *Owner) InFlight(replica string) int {
	o.mu.Lock()
	entry := o.replicas[replica]
	o.mu.Unlock()
	if entry == nil {
		return 0
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.limiter.InFlight()
}

// ReportsSince returns what changed at the replicas of a service since a revision, and
// the revision to ask from next. Entry nodes learn by it of replicas that they do
// not ask at present, and so would leave out for good: lost or cold ones that are
// back, and those that have taken up a new snapshot.
func (o *Owner) ReportsSince(service string, since uint64) ([]*pb.ReplicaNews, uint64) {
	revision := o.revision.Load()
	if revision == since {
		return nil, revision
	}
	var news []*pb.ReplicaNews
	for _, entry := range o.list() {
		entry.mu.Lock()
		if entry.changed > since && entry.replica.Service.Name == service {
			news = append(news, entry.news())
		}
		entry.mu.Unlock()
	}
	return news, revision
}

// Status lists the owned replicas for operators.
func (o *Owner) Status() []*pb.OwnedReplica {
	index := o.Fleet.Index()
	if index == nil {
		return nil
	}
	var list []*pb.OwnedReplica
	for _, entry := range o.list() {
		r := index.Replicas[entry.name]
		if r == nil {
			continue
		}
		entry.mu.Lock()
		news := entry.news()
		entry.mu.Unlock()
		list = append(list, &pb.OwnedReplica{
			Service:         r.Service.Name,
			Replica:         r.Name,
			Rank:            uint32(max(o.rank(r), 0)),
			News:            news,
			Connections:     uint32(o.Backend.Connections(r.Name)),
			ConnectionLimit: uint32(o.share(r)),
		})
	}
	return list
}
