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
	// joinPatience is how long a newcomer that cannot meet the others goes on as if
	// it were about to. After that they are lost or cut off, and it serves what it
	// can.
	joinPatience = joinSpread
	// seedInterval is the mean time between two tries at the seeds that are no
	// members.
	seedInterval = 15 * time.Second
	// firstSync is the mean time after which a newcomer takes over a member's whole
	// table again; it doubles up to syncInterval.
	firstSync = 5 * time.Second
)

// newcomer is what a boot that has just started knows of its introduction.
//
// Two nodes of one data centre that start together and join through different
// members do not know each other at first. Each would take itself for the only
// owner of a cold replica, which falls over under both. So a newcomer exchanges
// whole tables with its seeds and with the members that it learns of before it
// claims anything: of two newcomers that meet the same member, the later one
// learns of the earlier, and needs its consent from then on.
type newcomer struct {
	// met holds the addresses of the peers that have answered a join.
	met map[string]bool
	// introduced is set once all are met, or nobody else is known.
	introduced bool
}

// joinLoop introduces this node, then goes on trying the seeds that are no
// members: two parts of the fleet that never met would otherwise stay apart
// while the platform's VM list cannot be had.
func (f *Fleet) joinLoop(ctx context.Context) {
	// The first round of start joins peers as well.
	select {
	case <-ctx.Done():
		return
	case <-f.begun:
	}
	retry := startRetry
	for !f.introduce(ctx) && f.isAwaited() {
		if !work.Sleep(ctx, f.jitter(retry)) {
			return
		}
		retry = min(2*retry, maxStartRetry)
	}
	f.unlockAfter(func() { f.newcomer = newcomer{introduced: true} })
	for work.Sleep(ctx, f.jitter(seedInterval)) {
		if addr, ok := f.strangeSeed(); ok {
			f.join(ctx, addr)
		}
	}
}

// introduce meets peers until a round brings nobody new. It returns false while
// some that have to be met do not answer.
func (f *Fleet) introduce(ctx context.Context) bool {
	for {
		unmet := f.unmet(f.knownAddresses(ctx))
		if len(unmet) == 0 {
			return f.metAnybody() || f.platformUp.Load()
		}
		if f.joinAll(ctx, unmet) == 0 {
			return f.metAnybody() && !f.awaited(unmet)
		}
	}
}

// isAwaited reports whether this node goes on looking for peers at the pace of a
// start: it is alone, or has not looked for long.
func (f *Fleet) isAwaited() bool {
	if !f.metAnybody() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isNewcomer(time.Now())
}

// joinAll joins all addresses at once and counts those that answered.
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

// unmet returns the addresses that have not answered a join, those of this node's
// data centre first, and no more than a newcomer has to meet.
func (f *Fleet) unmet(addrs []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := startPeers - len(f.newcomer.met)
	home := f.addressesAt(f.table.Self().DataCentre)
	var near, far []string
	for _, addr := range addrs {
		switch {
		case f.newcomer.met[addr]:
		case home[addr]:
			near = append(near, addr)
		default:
			far = append(far, addr)
		}
	}
	all := append(near, far...)
	return all[:min(max(left, len(near)), len(all))]
}

// addressesAt returns the peer addresses of a data centre's members. The caller
// holds mu.
func (f *Fleet) addressesAt(dataCentre string) map[string]bool {
	addrs := make(map[string]bool)
	for _, m := range f.table.Members() {
		if m.DataCentre == dataCentre {
			addrs[m.PeerAddress] = true
		}
	}
	return addrs
}

// awaited reports whether any of the addresses is a seed's or a living member's.
// What only the platform's list names may be long gone.
func (f *Fleet) awaited(addrs []string) bool {
	wanted := make(map[string]bool)
	for _, seed := range f.opts.Settings.GetSeeds() {
		wanted[seed] = true
	}
	for _, m := range f.Members() {
		if m.State == pb.MemberState_MEMBER_STATE_ALIVE {
			wanted[m.PeerAddress] = true
		}
	}
	for _, addr := range addrs {
		if wanted[addr] {
			return true
		}
	}
	return false
}

// metAnybody reports whether another node is known that is not gone.
func (f *Fleet) metAnybody() bool {
	return len(f.Members()) > 1
}

// waitsAlone reports whether this node knows nobody and may still meet others.
// Callers would get from it what its own data centre holds, while the whole fleet
// runs.
func (f *Fleet) waitsAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isNewcomer(time.Now()) && len(f.table.Members()) == 1
}

// isNewcomer reports whether this node still has to meet the others. The caller
// holds mu.
func (f *Fleet) isNewcomer(now time.Time) bool {
	return !f.newcomer.introduced && now.Sub(f.since) < joinPatience
}

// strangeSeed returns a seed at whose address no member is known.
func (f *Fleet) strangeSeed() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := map[string]bool{f.opts.Settings.GetPeerAddress(): true}
	for _, m := range f.table.Members() {
		known[m.PeerAddress] = true
	}
	var strange []string
	for _, seed := range f.opts.Settings.GetSeeds() {
		if !known[seed] {
			strange = append(strange, seed)
		}
	}
	if len(strange) == 0 {
		return "", false
	}
	return strange[f.rng.IntN(len(strange))], true
}

// join asks a peer for its whole table. It returns what the peer has in force
// and whether it answered.
func (f *Fleet) join(ctx context.Context, addr string) (*pb.Envelope, bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	resp, err := f.opts.Peers.Gossip(ctx, addr, &pb.GossipRequest{Envelope: f.Envelope(), Join: true})
	if err != nil || f.Receive(resp.GetEnvelope()) != nil {
		return nil, false
	}
	env := resp.GetEnvelope()
	id := membership.ID{Name: env.GetSender(), Boot: env.GetBoot()}
	f.unlockAfter(func() {
		f.table.PingAnswered(time.Now(), id, addr)
		if !f.newcomer.introduced {
			f.newcomer.met[addr] = true
		}
	})
	return env, true
}
