package fleet

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/membership"
	"github.com/carobmill/carobmill/policy/ownership"
)

// pingLoop pings one member per interval, or immediately if a priority ping is
// queued.
func (f *Fleet) pingLoop(ctx context.Context) {
	slots := make(chan struct{}, maxProbes)
	for {
		timer := time.NewTimer(f.jitter(f.timing.pingInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-f.pingWake:
			timer.Stop()
		}
		now := time.Now()
		var target Member
		var found bool
		f.update(func() {
			f.table.Tick(now)
			target, found = f.table.NextTarget()
		})
		if !found {
			continue
		}
		select {
		case slots <- struct{}{}:
			f.probes.Go(func() {
				f.probe(ctx, target)
				<-slots
			})
		default:
		}
		f.schedulePriorityPing(ctx)
	}
}

// schedulePriorityPing wakes the ping loop after priorityPingSpacing if a priority
// ping is queued.
func (f *Fleet) schedulePriorityPing(ctx context.Context) {
	f.mu.Lock()
	hasPriority := f.table.HasPriorityPing()
	f.mu.Unlock()
	if hasPriority && work.Sleep(ctx, priorityPingSpacing) {
		wake(f.pingWake)
	}
}

// probe pings a member directly, and then indirectly if it does not answer.
func (f *Fleet) probe(ctx context.Context, target Member) {
	if f.ping(ctx, target) {
		return
	}
	if f.pingIndirectly(ctx, target) || ctx.Err() != nil {
		return
	}
	f.update(func() { f.table.PingFailed(time.Now(), target.ID()) })
}

// ping sends one direct ping and reports whether the target answered.
func (f *Fleet) ping(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, f.timing.pingTimeout)
	defer cancel()
	f.stats.pings.Add(1)
	env, queued := f.pingEnvelope(target.ID())
	resp, err := f.opts.Peers.Gossip(ctx, target.PeerAddress, &pb.GossipRequest{Envelope: env})
	if err != nil {
		f.markUnsent(queued)
		return false
	}
	if f.Receive(resp.GetEnvelope()) != nil {
		return false
	}
	id := membership.ID{Name: resp.GetEnvelope().GetSender(), Boot: resp.GetEnvelope().GetBoot()}
	f.update(func() { f.table.PingAnswered(time.Now(), id, target.PeerAddress) })
	if target.State == pb.MemberState_MEMBER_STATE_DEAD && id == target.ID() {
		f.syncAfterPartition(ctx, target)
	}
	return id == target.ID()
}

// syncAfterPartition requests the full table of a dead member that answers again.
// During a partition, changes on its side were sent to members on that side only.
func (f *Fleet) syncAfterPartition(ctx context.Context, target Member) {
	now := time.Now()
	f.mu.Lock()
	syncAllowed := now.Sub(f.lastFullSync) >= partitionSyncInterval
	if syncAllowed {
		f.lastFullSync = now
	}
	f.mu.Unlock()
	if syncAllowed {
		f.join(context.WithoutCancel(ctx), target.PeerAddress)
	}
}

// syncLoop periodically requests the full table of a random member. The interval is
// shorter for a new boot: two nodes without a record of each other may have missed
// the gossip about each other.
func (f *Fleet) syncLoop(ctx context.Context) {
	for interval := initialSyncInterval; work.Sleep(ctx, f.jitter(interval)); interval = min(2*interval, syncInterval) {
		f.mu.Lock()
		peers := f.table.Helpers(f.table.Self().ID(), 1)
		f.mu.Unlock()
		for _, m := range peers {
			f.join(ctx, m.PeerAddress)
		}
	}
}

// pingIndirectly requests several members to ping the target, concurrently. It
// reports whether any of them received an answer.
func (f *Fleet) pingIndirectly(ctx context.Context, target Member) bool {
	f.mu.Lock()
	helpers := f.table.Helpers(target.ID(), indirectPingHelpers)
	f.mu.Unlock()
	// The helper waits up to pingTimeout for the target, then its response needs
	// time to arrive.
	ctx, cancel := context.WithTimeout(ctx, 2*f.timing.pingTimeout)
	defer cancel()
	answers := make(chan bool, len(helpers))
	var wg sync.WaitGroup
	for _, helper := range helpers {
		wg.Go(func() {
			env, queued := f.pingEnvelope(helper.ID())
			resp, err := f.opts.Peers.Gossip(ctx, helper.PeerAddress, &pb.GossipRequest{
				Envelope: env,
				Target:   target.Name,
			})
			if err != nil {
				f.markUnsent(queued)
			}
			ok := err == nil && f.Receive(resp.GetEnvelope()) == nil && resp.GetAcknowledged()
			if ok {
				cancel()
			}
			answers <- ok
		})
	}
	wg.Wait()
	close(answers)
	for ok := range answers {
		if ok {
			return true
		}
	}
	return false
}

// HandleGossip answers a ping, an indirect ping request, a join, or a message with
// claims and releases. The errors are those of Receive.
func (f *Fleet) HandleGossip(ctx context.Context, req *pb.GossipRequest) (*pb.GossipResponse, error) {
	if err := f.Receive(req.GetEnvelope()); err != nil {
		return nil, err
	}
	sender := membership.ID{Name: req.GetEnvelope().GetSender(), Boot: req.GetEnvelope().GetBoot()}
	resp := &pb.GossipResponse{Acknowledged: true}
	claimant := ownership.Node{Name: sender.Name, Boot: sender.Boot}
	if len(req.GetReleases()) > 0 {
		f.endGrants(claimant, req.GetClaimRound(), req.GetReleases())
	}
	if len(req.GetClaims()) > 0 {
		resp.Granted = f.grantClaims(claimant, req.GetClaimRound(), req.GetClaims())
	}
	if req.GetTarget() != "" {
		resp.Acknowledged = f.pingOnBehalf(ctx, req.GetTarget())
	}
	if req.GetJoin() {
		f.mu.Lock()
		resp.Envelope = f.envelope(f.table.AllChanges())
		f.mu.Unlock()
		return resp, nil
	}
	resp.Envelope = f.responseEnvelope(sender, req.GetTarget())
	return resp, nil
}

// pingOnBehalf pings a member for another node and reports whether it answered. It
// returns false if no other member has that name.
func (f *Fleet) pingOnBehalf(ctx context.Context, name string) bool {
	f.mu.Lock()
	targets := f.table.ByName(name)
	f.mu.Unlock()
	for _, target := range targets {
		if target.ID() != f.Self().ID() && f.ping(ctx, target) {
			return true
		}
	}
	return false
}

// ReportCallFailure reports a failed call to a peer, which is then pinged
// immediately. The failure alone does not change the peer's state, because only a
// single connection may be broken.
func (f *Fleet) ReportCallFailure(node string) {
	f.mu.Lock()
	f.table.PrioritisePing(node)
	hasPriority := f.table.HasPriorityPing()
	f.mu.Unlock()
	if hasPriority {
		wake(f.pingWake)
	}
}

// Leave announces that this node is shutting down. It notifies several members
// directly, so that they stop sending new work before the node stops accepting it.
func (f *Fleet) Leave(ctx context.Context) {
	f.update(f.table.Leave)
	f.announceSelf(ctx)
}

// IsLastInDataCentre reports whether no other node of this node's data centre is
// alive. No node takes over the replicas of such a node when it leaves.
func (f *Fleet) IsLastInDataCentre() bool {
	v := f.view.Load()
	for _, m := range v.candidates[v.self.DataCentre] {
		if m.ID() != v.self.ID() && m.State == pb.MemberState_MEMBER_STATE_ALIVE {
			return false
		}
	}
	return true
}

// FinishLeave announces that this node has finished its work. Call it last, because
// other nodes take over its replicas immediately.
func (f *Fleet) FinishLeave(ctx context.Context) {
	f.update(f.table.FinishLeave)
	f.announceSelf(ctx)
}

func (f *Fleet) announceSelf(ctx context.Context) {
	f.mu.Lock()
	recipients := f.table.Helpers(f.table.Self().ID(), leaveFanOut)
	self := f.table.Self()
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range recipients {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, f.timing.pingTimeout)
			defer cancel()
			f.mu.Lock()
			env := f.envelope([]*pb.MemberChange{self.Change()})
			f.mu.Unlock()
			// A member that does not receive this message receives the change by
			// gossip.
			_, _ = f.opts.Peers.Gossip(ctx, m.PeerAddress, &pb.GossipRequest{Envelope: env})
		})
	}
	wg.Wait()
}
