package fleet

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/membership"
	"github.com/carobmill/carobmill/policy/ownership"
)

const (
	// claimsPerLease is the number of claim rounds per lease. With more than one, a
	// lost message does not let the lease expire.
	claimsPerLease = 4
	// blockedRoundsForEvent is the number of consecutive rounds with a missing
	// consent after which an event is recorded.
	blockedRoundsForEvent = 4
	// maxClaims limits the claims in one message, and separately the releases.
	maxClaims = 256
)

// claimLoop renews the claims of the replicas in coldReplicas.
func (f *Fleet) claimLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(claimParams.Lease / claimsPerLease)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-f.claimWake:
			timer.Stop()
		}
		f.runClaimRound(ctx)
	}
}

// claimMessage holds the claims and releases for one member in one round.
type claimMessage struct {
	claims, releases []string
}

// runClaimRound claims the replicas in coldReplicas. It also releases consents that
// block a higher-ranked node. Each member receives at most one message.
func (f *Fleet) runClaimRound(ctx context.Context) {
	inFlight := f.inFlight(f.coldReplicaNames())
	now := time.Now()
	round, messages := f.claimMessages(now, inFlight)
	var wg sync.WaitGroup
	for member, msg := range messages {
		wg.Go(func() { f.sendClaimMessage(ctx, now, round, member, msg) })
	}
	wg.Wait()
	f.update(func() { f.recordBlockedReplicas(time.Now()) })
}

func (f *Fleet) coldReplicaNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(f.coldReplicas))
	for name := range f.coldReplicas {
		names = append(names, name)
	}
	return names
}

// inFlight returns the number of this node's requests in flight by replica. The
// caller does not hold mu.
func (f *Fleet) inFlight(replicas []string) map[string]int {
	counts := make(map[string]int, len(replicas))
	if f.opts.InFlight == nil {
		return counts
	}
	for _, name := range replicas {
		counts[name] = f.opts.InFlight(name)
	}
	return counts
}

// recordBlockedReplicas queues an event for each cold replica that this node cannot
// use because a consent is missing. The granter may be partitioned, or it stopped
// and the platform has not confirmed it gone. The caller holds mu.
func (f *Fleet) recordBlockedReplicas(now time.Time) {
	v := f.view.Load()
	for name, cold := range f.coldReplicas {
		missing := f.claims.MissingConsents(now, name, v.claimRanking(cold.replica, now), maxRequestTime(cold.replica))
		switch {
		case len(missing) > 0:
			cold.blockedRounds++
			if cold.blockedRounds == blockedRoundsForEvent {
				f.queueEvent("cold replica rests", name, "no consent from "+missing[0].Name)
			}
		case cold.blockedRounds >= blockedRoundsForEvent:
			f.queueEvent("cold replica may be used", name, "")
			cold.blockedRounds = 0
		default:
			cold.blockedRounds = 0
		}
		f.coldReplicas[name] = cold
	}
}

// claimMessages returns the messages of a round by receiver, and the number of the
// round. A replica without a count in inFlight was added after the requests were
// counted. It is not released in this round.
func (f *Fleet) claimMessages(now time.Time, inFlight map[string]int) (uint64, map[Member]*claimMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	round := f.claims.NextRound()
	messages := make(map[Member]*claimMessage)
	for name, cold := range f.coldReplicas {
		if now.Sub(cold.lastQuery) > claimRetention {
			delete(f.coldReplicas, name)
			continue
		}
		ranking := v.claimRanking(cold.replica, now)
		count, counted := inFlight[name]
		if f.opts.InFlight == nil || counted {
			f.addReleases(messages, name, f.claims.Release(now, name, ranking, count, maxRequestTime(cold.replica)))
		}
		if !v.self.Usable() || f.mustDelayClaims(now, ranking) {
			continue
		}
		f.addClaims(messages, name, f.claims.BeginClaim(now, name, ranking, maxRequestTime(cold.replica)))
	}
	return round, messages
}

// addClaims adds a claim of the replica to the message to each node. The caller
// holds mu.
func (f *Fleet) addClaims(messages map[Member]*claimMessage, replica string, nodes []ownership.Node) {
	for _, node := range nodes {
		if msg := f.messageTo(messages, node); msg != nil && len(msg.claims) < maxClaims {
			msg.claims = append(msg.claims, replica)
		}
	}
}

// addReleases adds a release of the replica to the message to each node. The caller
// holds mu.
func (f *Fleet) addReleases(messages map[Member]*claimMessage, replica string, nodes []ownership.Node) {
	for _, node := range nodes {
		if msg := f.messageTo(messages, node); msg != nil && len(msg.releases) < maxClaims {
			msg.releases = append(msg.releases, replica)
		}
	}
}

// messageTo returns the message to a node, or nil if the node is no longer in the
// table. The caller holds mu.
func (f *Fleet) messageTo(messages map[Member]*claimMessage, node ownership.Node) *claimMessage {
	m, known := f.table.Lookup(membership.ID{Name: node.Name, Boot: node.Boot})
	if !known {
		return nil
	}
	if messages[m] == nil {
		messages[m] = &claimMessage{}
	}
	return messages[m]
}

// sendClaimMessage sends one message of a round and records the grants and releases
// in the response. sent is the time that was passed to BeginClaim, from which the
// leases run.
func (f *Fleet) sendClaimMessage(ctx context.Context, sent time.Time, round uint64, member Member, msg *claimMessage) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.pingTimeout)
	defer cancel()
	env, queued := f.pingEnvelope(member.ID())
	resp, err := f.opts.Peers.Gossip(ctx, member.PeerAddress, &pb.GossipRequest{
		Envelope:   env,
		Claims:     msg.claims,
		Releases:   msg.releases,
		ClaimRound: round,
	})
	if err != nil {
		f.markUnsent(queued)
		return
	}
	if f.Receive(resp.GetEnvelope()) != nil {
		return
	}
	by := ownership.Node{Name: resp.GetEnvelope().GetSender(), Boot: resp.GetEnvelope().GetBoot()}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, replica := range resp.GetGranted() {
		f.claims.RecordGrant(sent, replica, by)
	}
	for _, replica := range msg.releases {
		f.claims.RecordRelease(replica, by, round)
	}
}

// endGrants ends this node's grants of the released replicas to a claimant.
func (f *Fleet) endGrants(from ownership.Node, round uint64, releases []string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	for _, r := range v.localReplicas(releases) {
		f.claims.EndGrant(now, ownership.Claim{Replica: r.Name, Claimant: from, Round: round}, v.claimRanking(r, now))
	}
}

// grantClaims returns the claims of another node that this node grants.
func (f *Fleet) grantClaims(to ownership.Node, round uint64, claims []string) []string {
	inFlight := f.inFlight(claims[:min(len(claims), maxClaims)])
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	var granted []string
	for _, r := range v.localReplicas(claims) {
		claim := ownership.Claim{Replica: r.Name, Claimant: to, Round: round}
		if f.claims.Grant(now, claim, v.claimRanking(r, now), inFlight[r.Name], maxRequestTime(r)) {
			granted = append(granted, r.Name)
		}
	}
	return granted
}

// localReplicas returns the named replicas that belong to this node's data centre.
// It reads only the first maxClaims names of a message, the maximum that a node
// sends.
func (v *view) localReplicas(names []string) []*config.Replica {
	if v.index == nil {
		return nil
	}
	var list []*config.Replica
	for _, name := range names[:min(len(names), maxClaims)] {
		if r := v.index.Replicas[name]; r != nil && r.DataCentre == v.self.DataCentre {
			list = append(list, r)
		}
	}
	return list
}
