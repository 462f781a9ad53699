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
	// claimsPerLease is how often a claim is renewed within a lease, so that one
	// lost message does not end it.
	claimsPerLease = 4
	// restsNoted is the number of rounds without consent that make an event.
	restsNoted = 4
	// maxClaims bounds the replicas that one message claims, and those that it
	// gives back.
	maxClaims = 256
)

// claimLoop renews the claims to the cold replicas that this node was asked
// about lately.
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
		f.claim(ctx)
	}
}

// exchange is what one round tells one member about cold replicas.
type exchange struct {
	claims, releases []string
}

// claim asks for consent to each wanted replica, and gives consents back that
// stand in the way of a node above, in one message to each node.
func (f *Fleet) claim(ctx context.Context) {
	inFlight := f.inFlight(f.wantedNames())
	now := time.Now()
	round, exchanges := f.exchanges(now, inFlight)
	var wg sync.WaitGroup
	for member, ex := range exchanges {
		wg.Go(func() { f.exchangeClaims(ctx, now, round, member, ex) })
	}
	wg.Wait()
	f.unlockAfter(func() { f.noteResting(time.Now()) })
}

func (f *Fleet) wantedNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(f.wanted))
	for name := range f.wanted {
		names = append(names, name)
	}
	return names
}

// inFlight counts this node's requests at replicas. It is called without mu.
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

// noteResting records which cold replicas rest because a node does not consent:
// it is cut off or gone without the platform confirming it. The caller holds mu.
func (f *Fleet) noteResting(now time.Time) {
	v := f.view.Load()
	for name, w := range f.wanted {
		missing := f.claims.MissingConsents(now, name, v.order(w.replica, now), settleTime(w.replica))
		switch {
		case len(missing) > 0:
			w.rests++
			if w.rests == restsNoted {
				f.note("cold replica rests", name, "no consent from "+missing[0].Name)
			}
		case w.rests >= restsNoted:
			f.note("cold replica may be used", name, "")
			w.rests = 0
		default:
			w.rests = 0
		}
		f.wanted[name] = w
	}
}

// exchanges returns the claims and releases of a round by the member to send
// them to, and the round's number. A replica without a count in inFlight came up
// after the counting and is not given back in this round.
func (f *Fleet) exchanges(now time.Time, inFlight map[string]int) (uint64, map[Member]*exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	round := f.claims.NextRound()
	exchanges := make(map[Member]*exchange)
	for name, w := range f.wanted {
		if now.Sub(w.at) > claimMemory {
			delete(f.wanted, name)
			continue
		}
		order := v.order(w.replica, now)
		count, counted := inFlight[name]
		if f.opts.InFlight == nil || counted {
			f.addReleases(exchanges, name, f.claims.Release(now, name, order, count, settleTime(w.replica)))
		}
		if !v.self.Usable() || f.mustSettleIn(now, order) {
			continue
		}
		f.addClaims(exchanges, name, f.claims.BeginClaim(now, name, order, settleTime(w.replica)))
	}
	return round, exchanges
}

func (f *Fleet) addClaims(exchanges map[Member]*exchange, replica string, nodes []ownership.Node) {
	for _, node := range nodes {
		if ex := f.exchangeWith(exchanges, node); ex != nil && len(ex.claims) < maxClaims {
			ex.claims = append(ex.claims, replica)
		}
	}
}

func (f *Fleet) addReleases(exchanges map[Member]*exchange, replica string, nodes []ownership.Node) {
	for _, node := range nodes {
		if ex := f.exchangeWith(exchanges, node); ex != nil && len(ex.releases) < maxClaims {
			ex.releases = append(ex.releases, replica)
		}
	}
}

// exchangeWith returns the message to a node, nil when the node is not known any
// more. The caller holds mu.
func (f *Fleet) exchangeWith(exchanges map[Member]*exchange, node ownership.Node) *exchange {
	m, known := f.table.Lookup(membership.ID{Name: node.Name, Boot: node.Boot})
	if !known {
		return nil
	}
	if exchanges[m] == nil {
		exchanges[m] = &exchange{}
	}
	return exchanges[m]
}

// exchangeClaims sends one message of a round and notes what its answer says.
func (f *Fleet) exchangeClaims(ctx context.Context, sent time.Time, round uint64, member Member, ex *exchange) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.pingTimeout)
	defer cancel()
	env, news := f.pingEnvelope(member.ID())
	resp, err := f.opts.Peers.Gossip(ctx, member.PeerAddress, &pb.GossipRequest{
		Envelope:   env,
		Claims:     ex.claims,
		Releases:   ex.releases,
		ClaimRound: round,
	})
	if err != nil {
		f.unsent(news)
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
	for _, replica := range ex.releases {
		f.claims.RecordRelease(replica, by, round)
	}
}

// takeBack ends consents that another node gives back.
func (f *Fleet) takeBack(from ownership.Node, round uint64, releases []string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	for _, r := range v.ownReplicas(releases) {
		f.claims.EndGrant(now, ownership.Claim{Replica: r.Name, Claimant: from, Round: round}, v.order(r, now))
	}
}

// grant returns the claims of another node that this node consents to.
func (f *Fleet) grant(to ownership.Node, round uint64, claims []string) []string {
	inFlight := f.inFlight(claims[:min(len(claims), maxClaims)])
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	var granted []string
	for _, r := range v.ownReplicas(claims) {
		claim := ownership.Claim{Replica: r.Name, Claimant: to, Round: round}
		if f.claims.Grant(now, claim, v.order(r, now), inFlight[r.Name], settleTime(r)) {
			granted = append(granted, r.Name)
		}
	}
	return granted
}

// ownReplicas returns the replicas of this node's data centre among the names
// that a message carries, of which it reads no more than a sender puts in.
func (v *view) ownReplicas(names []string) []*config.Replica {
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
