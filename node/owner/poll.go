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
	// pollTimeout limits a status poll together with the reports that follow it.
	pollTimeout = time.Second
	// roundsPerPollInterval is the number of rounds over which the polls of the
	// replicas are spread.
	roundsPerPollInterval = 10
	// maxRoundInterval limits the time between two rounds for any poll interval. A round
	// withdraws the right to use a cold replica from the limiter when this node's
	// claim has expired. The delay must be well below the safety margin of claims.
	maxRoundInterval = 100 * time.Millisecond
	// maxWarmPollsPerSecond limits the rate of status polls of all warm replicas
	// without traffic together. Without it, the polls of a node with many idle replicas
	// would exceed the 4 KB/s that a node has for control messages; a poll writes 81
	// bytes, so that 37 replicas polled each second take 3.0 KB/s. The limit delays the detection of changes that only a poll detects. A
	// restart is detected at once by a lost connection or a reply.
	maxWarmPollsPerSecond = 10
)

// Run polls the owned replicas until the context ends. Polls detect restarts and
// snapshots before a query encounters them. The load reported by a poll may be
// outdated, so polls never raise a concurrency limit.
func (o *Owner) Run(ctx context.Context) {
	defer o.background.Wait()
	ticker := time.NewTicker(min(max(o.PollInterval/roundsPerPollInterval, time.Millisecond), maxRoundInterval))
	defer ticker.Stop()
	var seen uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			// The revision is read first, so that the next round detects a change
			// that happens during this one.
			if revision := o.Fleet.Revision(); revision != seen {
				o.updateOwned()
				seen = revision
			}
			o.pollRound(ctx, now)
		}
	}
}

// updateOwned applies a change of configuration or ownership: it adds and updates the
// replicas that this node owns.
func (o *Owner) updateOwned() {
	index := o.Fleet.Index()
	if index == nil {
		return
	}
	for _, r := range index.Replicas {
		if r.InService && o.rank(r) >= 0 {
			o.ensureReplica(r).setDefinition(r)
		}
	}
}

// pollRound renews the claims of replicas that are not warm or whose service has silent
// cold starts, and starts the polls that are due. It releases replicas that this node no
// longer owns when they are idle.
func (o *Owner) pollRound(ctx context.Context, now time.Time) {
	index := o.Fleet.Index()
	if index == nil {
		return
	}
	replicas := o.list()
	warmInterval := o.warmInterval(replicas)
	for _, owned := range replicas {
		r := index.Replicas[owned.name]
		if r == nil || !r.InService || o.rank(r) < 0 {
			if owned.idle() {
				o.release(owned)
			}
			continue
		}
		owned.renewClaim(r)
		if owned.pollDue(now, warmInterval) {
			o.Pool.Go(func() { owned.poll(ctx) })
		}
	}
}

// warmInterval returns the time between two polls of a warm replica without traffic.
// It exceeds the poll interval if the polls of all warm replicas would otherwise
// exceed maxWarmPollsPerSecond.
func (o *Owner) warmInterval(replicas []*ownedReplica) time.Duration {
	warm := 0
	for _, owned := range replicas {
		if owned.warm() {
			warm++
		}
	}
	return max(o.PollInterval, time.Duration(warm)*time.Second/maxWarmPollsPerSecond)
}

func (r *ownedReplica) warm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == pb.ReplicaState_REPLICA_STATE_WARM
}

// pollDue reports whether the replica should be polled now and schedules the next
// poll with jitter. A replica that is not warm is polled at the poll interval, even if
// its last poll was scheduled while it was warm.
func (r *ownedReplica) pollDue(now time.Time, warmInterval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	warm := r.state == pb.ReplicaState_REPLICA_STATE_WARM
	interval := r.owner.PollInterval
	if warm {
		interval = warmInterval
	}
	minInterval := interval * 3 / 4
	if now.Sub(r.scheduledAt) < minInterval+time.Duration(r.jitter*float64(interval)/2) {
		return false
	}
	r.scheduledAt = now
	r.jitter = rand.Float64()
	// Replies contain the same status as a poll, so a warm replica with traffic is
	// not polled.
	return !warm || now.Sub(r.statusAt) >= minInterval
}

// setDefinition applies the current definition of the replica and sets this node's
// share of its connections.
func (r *ownedReplica) setDefinition(replica *config.Replica) {
	share := r.owner.share(replica)
	r.mu.Lock()
	r.replica = replica
	r.mu.Unlock()
	r.owner.Backend.SetConnections(r.name, share)
}

// renewClaim updates the limiter with this node's share and its right to use the
// replica while the replica is cold.
func (r *ownedReplica) renewClaim(replica *config.Replica) {
	share := r.owner.share(replica)
	r.mu.Lock()
	warm := r.limiter.State() == pb.ReplicaState_REPLICA_STATE_WARM
	r.mu.Unlock()
	first := r.mayUseCold(replica, warm)
	r.mu.Lock()
	r.updateLimiter(time.Now(), replica, share, first)
	r.mu.Unlock()
}

// idle reports whether no request is in flight or queued.
func (r *ownedReplica) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.InFlight() == 0 && len(r.queue) == 0
}

// poll requests the replica's status and exchanges the state with the other owners.
func (r *ownedReplica) poll(ctx context.Context) {
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
	r.applyReply(reply, time.Now())
	r.verified = reply.OK() && epoch == r.epoch
	report := r.report()
	r.mu.Unlock()
	r.exchange(ctx, replica, report)
}

// exchange synchronises the state of a replica between its owners. The first owner
// decides when the replica is warm. Another owner whose state is not warm reports to
// the first owner and applies its response. Without this, a second owner would send to a
// replica that the first owner still warms up, and together they would overload it.
func (r *ownedReplica) exchange(ctx context.Context, replica *config.Replica, report *pb.ReplicaNews) {
	owners := r.owner.Fleet.Owners(replica)
	if len(owners) == 0 {
		return
	}
	self := r.owner.Fleet.Self().Name
	if owners[0].Name == self {
		r.reportToOthers(ctx, replica, owners[1:], report)
		return
	}
	if report.GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
		return
	}
	resp, err := r.owner.Reporter.ReportReplica(ctx, owners[0], r.reportRequest(replica, report))
	if err != nil {
		return
	}
	for _, n := range resp.GetNews() {
		r.applyReport(n, true)
	}
}

// reportToOthers sends a changed state to the other owners. A state that is not warm
// is sent after every poll: if a single message were lost, the other owners would
// continue to send requests.
func (r *ownedReplica) reportToOthers(ctx context.Context, replica *config.Replica, others []fleet.Member, report *pb.ReplicaNews) {
	r.mu.Lock()
	changed := !r.reported
	r.reported = true
	r.mu.Unlock()
	if !changed && report.GetState() == pb.ReplicaState_REPLICA_STATE_WARM {
		return
	}
	for _, other := range others {
		if _, err := r.owner.Reporter.ReportReplica(ctx, other, r.reportRequest(replica, report)); err != nil {
			r.mu.Lock()
			r.reported = false
			r.mu.Unlock()
		}
	}
}

func (r *ownedReplica) reportRequest(replica *config.Replica, report *pb.ReplicaNews) *pb.ReportReplicaRequest {
	return &pb.ReportReplicaRequest{Service: replica.Service.Name, News: []*pb.ReplicaNews{report}}
}

// applyReport applies a report from another owner. Only the first owner can make the
// replica warm. The caller decides from which owners it accepts other states.
func (r *ownedReplica) applyReport(report *pb.ReplicaNews, fromFirst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch report.GetState() {
	case pb.ReplicaState_REPLICA_STATE_WARM:
		if fromFirst {
			r.limiter.ObserveWarm(now)
		}
	case pb.ReplicaState_REPLICA_STATE_COLD:
		r.limiter.Observe(now, limit.SignalColdReport)
	case pb.ReplicaState_REPLICA_STATE_DRAINING:
		r.limiter.Observe(now, limit.SignalDraining)
	}
	if report.GetNewestSnapshot() > r.snapshots.newest {
		r.setSnapshots(snapshotRange{oldest: report.GetOldestSnapshot(), newest: report.GetNewestSnapshot()})
	}
	r.updateState()
}

// HandleReport applies the reports of another owner and returns this node's state of
// the same replicas. Only the draining state is applied from an owner that is not the
// first.
func (o *Owner) HandleReport(sender string, req *pb.ReportReplicaRequest) *pb.ReportReplicaResponse {
	resp := &pb.ReportReplicaResponse{}
	index := o.Fleet.Index()
	if index == nil {
		return resp
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
		owned := o.ensureReplica(r)
		senderIsFirst := owners[0].Name == sender
		// An owner that is not the first assumes that the replica is cold until it
		// receives the state from the first owner. Its report of the cold state does not
		// mean that the replica has restarted.
		if senderIsFirst || n.GetState() == pb.ReplicaState_REPLICA_STATE_DRAINING {
			owned.applyReport(n, senderIsFirst)
		}
		owned.mu.Lock()
		resp.News = append(resp.News, owned.report())
		owned.mu.Unlock()
	}
	return resp
}

// InFlight returns the number of requests of this node in flight at a replica.
func (o *Owner) InFlight(replica string) int {
	o.mu.Lock()
	owned := o.replicas[replica]
	o.mu.Unlock()
	if owned == nil {
		return 0
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return owned.limiter.InFlight()
}

// ReportsSince returns reports on the replicas of a service that changed after a
// revision, and the revision for the next call. Without these reports, an entry node
// would never again use a replica to which it sends no requests at present: a lost or
// cold replica that has recovered, or a replica that has loaded a new snapshot.
func (o *Owner) ReportsSince(service string, since uint64) ([]*pb.ReplicaNews, uint64) {
	revision := o.revision.Load()
	if revision == since {
		return nil, revision
	}
	var reports []*pb.ReplicaNews
	for _, owned := range o.list() {
		owned.mu.Lock()
		if owned.changed > since && owned.replica.Service.Name == service {
			reports = append(reports, owned.report())
		}
		owned.mu.Unlock()
	}
	return reports, revision
}

// Status returns the owned replicas for the operator interface.
func (o *Owner) Status() []*pb.OwnedReplica {
	index := o.Fleet.Index()
	if index == nil {
		return nil
	}
	var list []*pb.OwnedReplica
	for _, owned := range o.list() {
		r := index.Replicas[owned.name]
		if r == nil {
			continue
		}
		owned.mu.Lock()
		report := owned.report()
		owned.mu.Unlock()
		list = append(list, &pb.OwnedReplica{
			Service:         r.Service.Name,
			Replica:         r.Name,
			Rank:            uint32(max(o.rank(r), 0)),
			News:            report,
			Connections:     uint32(o.Backend.Connections(r.Name)),
			ConnectionLimit: uint32(o.share(r)),
		})
	}
	return list
}
