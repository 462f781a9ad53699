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

// pingLoop pings one member in turn, at once when one was urged.
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
		f.unlockAfter(func() {
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
		f.hurry(ctx)
	}
}

// hurry wakes the loop again, after a short pause, while members are to be
// pinged at once.
func (f *Fleet) hurry(ctx context.Context) {
	f.mu.Lock()
	urgent := f.table.HasPriorityPing()
	f.mu.Unlock()
	if urgent && work.Sleep(ctx, urgentSpacing) {
		wake(f.pingWake)
	}
}

// probe pings a member directly, then through helpers.
func (f *Fleet) probe(ctx context.Context, target Member) {
	if f.ping(ctx, target) {
		return
	}
	if f.pingThroughHelpers(ctx, target) || ctx.Err() != nil {
		return
	}
	f.unlockAfter(func() { f.table.PingFailed(time.Now(), target.ID()) })
}

// ping sends one direct ping and reports whether the target answered.
func (f *Fleet) ping(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, f.timing.pingTimeout)
	defer cancel()
	f.stats.pings.Add(1)
	env, news := f.pingEnvelope(target.ID())
	resp, err := f.opts.Peers.Gossip(ctx, target.PeerAddress, &pb.GossipRequest{Envelope: env})
	if err != nil {
		f.unsent(news)
		return false
	}
	if f.Receive(resp.GetEnvelope()) != nil {
		return false
	}
	id := membership.ID{Name: resp.GetEnvelope().GetSender(), Boot: resp.GetEnvelope().GetBoot()}
	f.unlockAfter(func() { f.table.PingAnswered(time.Now(), id, target.PeerAddress) })
	if target.State == pb.MemberState_MEMBER_STATE_DEAD && id == target.ID() {
		f.rejoinAfterPartition(ctx, target)
	}
	return id == target.ID()
}

// rejoinAfterPartition takes over the whole table of a member that was dead and
// answers again: the news of its side of a partition was passed on there only.
func (f *Fleet) rejoinAfterPartition(ctx context.Context, target Member) {
	now := time.Now()
	f.mu.Lock()
	due := now.Sub(f.joined) >= joinInterval
	if due {
		f.joined = now
	}
	f.mu.Unlock()
	if due {
		f.join(context.WithoutCancel(ctx), target.PeerAddress)
	}
}

// syncLoop takes over the whole table of a random member now and then, a newcomer
// more often: of two that do not know each other, each depends on news that may
// have been passed on everywhere else.
func (f *Fleet) syncLoop(ctx context.Context) {
	for interval := firstSync; work.Sleep(ctx, f.jitter(interval)); interval = min(2*interval, syncInterval) {
		f.mu.Lock()
		some := f.table.Helpers(f.table.Self().ID(), 1)
		f.mu.Unlock()
		for _, m := range some {
			f.join(ctx, m.PeerAddress)
		}
	}
}

// pingThroughHelpers has other members ping the target, all at once.
func (f *Fleet) pingThroughHelpers(ctx context.Context, target Member) bool {
	f.mu.Lock()
	via := f.table.Helpers(target.ID(), helpers)
	f.mu.Unlock()
	// A helper waits for the target as long as this node did, and its answer has
	// to come back.
	ctx, cancel := context.WithTimeout(ctx, 2*f.timing.pingTimeout)
	defer cancel()
	answers := make(chan bool, len(via))
	var wg sync.WaitGroup
	for _, helper := range via {
		wg.Go(func() {
			env, news := f.pingEnvelope(helper.ID())
			resp, err := f.opts.Peers.Gossip(ctx, helper.PeerAddress, &pb.GossipRequest{
				Envelope: env,
				Target:   target.Name,
			})
			if err != nil {
				f.unsent(news)
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

// HandleGossip answers a ping, a request to ping a third member, or a node that
// joins. The error is one of Receive's.
func (f *Fleet) HandleGossip(ctx context.Context, req *pb.GossipRequest) (*pb.GossipResponse, error) {
	if err := f.Receive(req.GetEnvelope()); err != nil {
		return nil, err
	}
	sender := membership.ID{Name: req.GetEnvelope().GetSender(), Boot: req.GetEnvelope().GetBoot()}
	resp := &pb.GossipResponse{Acknowledged: true}
	claimant := ownership.Node{Name: sender.Name, Boot: sender.Boot}
	if len(req.GetReleases()) > 0 {
		f.takeBack(claimant, req.GetClaimRound(), req.GetReleases())
	}
	if len(req.GetClaims()) > 0 {
		resp.Granted = f.grant(claimant, req.GetClaimRound(), req.GetClaims())
	}
	if req.GetTarget() != "" {
		resp.Acknowledged = f.pingFor(ctx, req.GetTarget())
	}
	if req.GetJoin() {
		f.mu.Lock()
		resp.Envelope = f.envelope(f.table.AllChanges())
		f.mu.Unlock()
		return resp, nil
	}
	resp.Envelope = f.answerEnvelope(sender, req.GetTarget())
	return resp, nil
}

// pingFor pings a member for another one. A name that is not known is not there.
func (f *Fleet) pingFor(ctx context.Context, name string) bool {
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

// ReportCallFailure says that a call to a peer failed, which has the peer pinged at
// once. The failed call alone proves too little: a single connection may be
// broken.
func (f *Fleet) ReportCallFailure(node string) {
	f.mu.Lock()
	f.table.PrioritisePing(node)
	urgent := f.table.HasPriorityPing()
	f.mu.Unlock()
	if urgent {
		wake(f.pingWake)
	}
}

// Leave announces that this node shuts down, and tells several members itself:
// they stop sending new work before the node stops taking it.
func (f *Fleet) Leave(ctx context.Context) {
	f.unlockAfter(f.table.Leave)
	f.tellSome(ctx)
}

// IsLastInDataCentre reports whether no other node of this node's data centre is alive: when
// this one leaves, nobody takes over its replicas.
func (f *Fleet) IsLastInDataCentre() bool {
	v := f.view.Load()
	for _, m := range v.candidates[v.self.DataCentre] {
		if m.ID() != v.self.ID() && m.State == pb.MemberState_MEMBER_STATE_ALIVE {
			return false
		}
	}
	return true
}

// FinishLeave announces that this node has finished its work. Call it last: what the
// node held passes to others at once.
func (f *Fleet) FinishLeave(ctx context.Context) {
	f.unlockAfter(f.table.FinishLeave)
	f.tellSome(ctx)
}

func (f *Fleet) tellSome(ctx context.Context) {
	f.mu.Lock()
	told := f.table.Helpers(f.table.Self().ID(), leaveFanOut)
	self := f.table.Self()
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range told {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, f.timing.pingTimeout)
			defer cancel()
			f.mu.Lock()
			env := f.envelope([]*pb.MemberChange{self.Change()})
			f.mu.Unlock()
			// A member that misses this hears it from another one.
			_, _ = f.opts.Peers.Gossip(ctx, m.PeerAddress, &pb.GossipRequest{Envelope: env})
		})
	}
	wg.Wait()
}
