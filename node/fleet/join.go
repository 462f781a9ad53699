package fleet

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/membership"
)

const (
	// joinTimeLimit is how long a new boot waits for other nodes to answer its
	// join. Then it treats them as lost or partitioned and serves what it can.
	joinTimeLimit = joinPropagation
	// seedRetryInterval is the mean time between two joins of seeds that are not
	// members.
	seedRetryInterval = 15 * time.Second
	// initialSyncInterval is the mean time until a new boot first requests a full
	// member table again. The interval doubles up to syncInterval.
	initialSyncInterval = 5 * time.Second
)

// joinState is the progress of the join of a new boot.
//
// Two nodes of one data centre that start together and join through different
// members have no record of each other at first. Both could claim the same cold
// replica and overload it. A new boot therefore exchanges full tables with its
// seeds and with the members in them before it claims replicas. When two new boots
// join the same member, the later one receives a record of the earlier one and then
// needs its consent.
type joinState struct {
	// answered holds the addresses of the peers that answered a join.
	answered map[string]bool
	// complete is set when joining has ended, see joinLoop.
	complete bool
}

// joinLoop joins other nodes, and afterwards periodically joins seeds that are not
// members. Otherwise two parts of the fleet that never joined each other would stay
// separate while the platform's VM list is unavailable.
func (f *Fleet) joinLoop(ctx context.Context) {
	// The first round of configurationLoop joins peers too.
	select {
	case <-ctx.Done():
		return
	case <-f.firstStartRound:
	}
	retry := startRetry
	for !f.joinPeers(ctx) && f.mustRetryJoin() {
		if !work.Sleep(ctx, f.jitter(retry)) {
			return
		}
		retry = min(2*retry, maxStartRetry)
	}
	f.update(func() { f.joinState = joinState{complete: true} })
	for work.Sleep(ctx, f.jitter(seedRetryInterval)) {
		if addr, ok := f.randomUnknownSeed(); ok {
			f.join(ctx, addr)
		}
	}
}

// joinPeers joins peers in rounds until no new peer answers, and reports whether
// the join is complete. If no peers remain, the join is complete when there is
// another member or the platform is reachable. If the remaining peers do not answer,
// the join is complete when there is another member and none of the remaining peers
// is an expected peer.
func (f *Fleet) joinPeers(ctx context.Context) bool {
	for {
		peersToJoin := f.peersToJoin(f.candidateAddresses(ctx))
		if len(peersToJoin) == 0 {
			return f.hasOtherMembers() || f.platformUp.Load()
		}
		if f.joinAll(ctx, peersToJoin) == 0 {
			return f.hasOtherMembers() && !f.includesExpectedPeer(peersToJoin)
		}
	}
}

// mustRetryJoin reports whether joinLoop retries the join: this node has no other
// member, or joinTimeLimit has not passed.
func (f *Fleet) mustRetryJoin() bool {
	if !f.hasOtherMembers() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isJoining(time.Now())
}

// joinAll joins all addresses concurrently and returns the number of answers.
func (f *Fleet) joinAll(ctx context.Context, addrs []string) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered := 0
	for _, addr := range addrs {
		wg.Go(func() {
			if _, ok := f.join(ctx, addr); !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
		})
	}
	wg.Wait()
	return answered
}

// peersToJoin returns the addresses that have not answered a join, those of this
// node's data centre first. It returns all addresses of this data centre. Other
// addresses are added only up to the number of answers missing from maxStartPeers.
func (f *Fleet) peersToJoin(addrs []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := maxStartPeers - len(f.joinState.answered)
	local := f.peerAddressesIn(f.table.Self().DataCentre)
	var near, far []string
	for _, addr := range addrs {
		switch {
		case f.joinState.answered[addr]:
		case local[addr]:
			near = append(near, addr)
		default:
			far = append(far, addr)
		}
	}
	all := append(near, far...)
	return all[:min(max(remaining, len(near)), len(all))]
}

// peerAddressesIn returns the peer addresses of a data centre's members. The caller
// holds mu.
func (f *Fleet) peerAddressesIn(dataCentre string) map[string]bool {
	addrs := make(map[string]bool)
	for _, m := range f.table.Members() {
		if m.DataCentre == dataCentre {
			addrs[m.PeerAddress] = true
		}
	}
	return addrs
}

// includesExpectedPeer reports whether any of the addresses belongs to a seed or to
// an alive member. The other addresses belong to members that are not alive, or
// come from the platform's VM list, which may be outdated.
func (f *Fleet) includesExpectedPeer(addrs []string) bool {
	expected := make(map[string]bool)
	for _, seed := range f.opts.Settings.GetSeeds() {
		expected[seed] = true
	}
	for _, m := range f.Members() {
		if m.State == pb.MemberState_MEMBER_STATE_ALIVE {
			expected[m.PeerAddress] = true
		}
	}
	for _, addr := range addrs {
		if expected[addr] {
			return true
		}
	}
	return false
}

// hasOtherMembers reports whether the table has another member that is not gone.
func (f *Fleet) hasOtherMembers() bool {
	return len(f.Members()) > 1
}

// isJoiningAlone reports whether this node is joining and has no other member yet.
// Its answers would come only from the replicas of its own data centre, although
// the rest of the fleet is running.
func (f *Fleet) isJoiningAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isJoining(time.Now()) && len(f.table.Members()) == 1
}

// isJoining reports whether the join of this boot is in progress. The caller holds
// mu.
func (f *Fleet) isJoining(now time.Time) bool {
	return !f.joinState.complete && now.Sub(f.joinedAt) < joinTimeLimit
}

// randomUnknownSeed returns a random seed whose address belongs to no member.
func (f *Fleet) randomUnknownSeed() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := map[string]bool{f.opts.Settings.GetPeerAddress(): true}
	for _, m := range f.table.Members() {
		known[m.PeerAddress] = true
	}
	var unknown []string
	for _, seed := range f.opts.Settings.GetSeeds() {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) == 0 {
		return "", false
	}
	return unknown[f.rng.IntN(len(unknown))], true
}

// join requests the full member table of a peer. It returns the envelope of the
// response, and whether the peer answered with a valid envelope.
func (f *Fleet) join(ctx context.Context, addr string) (*pb.Envelope, bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	resp, err := f.opts.Peers.Gossip(ctx, addr, &pb.GossipRequest{Envelope: f.Envelope(), Join: true})
	if err != nil || f.Receive(resp.GetEnvelope()) != nil {
		return nil, false
	}
	env := resp.GetEnvelope()
	id := membership.ID{Name: env.GetSender(), Boot: env.GetBoot()}
	f.update(func() {
		f.table.PingAnswered(time.Now(), id, addr)
		if !f.joinState.complete {
			f.joinState.answered[addr] = true
		}
	})
	return env, true
}
