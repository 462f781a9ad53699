package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/configstate"
	"github.com/carobmill/carobmill/policy/membership"
)

// configurationLoop obtains the first configuration and then pulls newer ones from
// peers.
func (f *Fleet) configurationLoop(ctx context.Context) {
	start := time.Now()
	retry := startRetry
	endFirstRound := sync.OnceFunc(func() { close(f.firstStartRound) })
	for f.configVersion() == 0 {
		f.fetchConfiguration(ctx, time.Since(start) >= startQuorumTimeout)
		endFirstRound()
		if f.configVersion() == 0 && !work.Sleep(ctx, f.jitter(retry)) {
			return
		}
		retry = min(2*retry, maxStartRetry)
	}
	f.pullLoop(ctx)
}

// fetchConfiguration requests the configuration from the platform and from several
// peers concurrently, and uses the highest version.
//
// The platform alone is not sufficient. After a failover it may return an outdated
// version, and a restarted node would put that version back in force.
//
// If the platform cannot be reached, a version needs the quorum of
// configstate.StartVersion, or a single peer if acceptSinglePeer is set.
func (f *Fleet) fetchConfiguration(ctx context.Context, acceptSinglePeer bool) {
	var wg sync.WaitGroup
	var platformConfig *pb.Configuration
	var platformErr error
	wg.Go(func() { platformConfig, platformErr = f.readConfiguration(ctx) })
	answers, peerCount := f.queryPeerVersions(ctx)
	wg.Wait()
	highest := configstate.Highest(answers)
	switch {
	case platformConfig != nil && platformConfig.GetVersion() >= highest:
		f.offerConfiguration(platformConfig, "the platform")
	case platformConfig != nil || errors.Is(platformErr, ErrNoConfiguration):
		f.pullFrom(ctx, f.addressesByName(configstate.Sources(answers, highest)))
	default:
		if acceptSinglePeer {
			peerCount = 1
		}
		_, sources := configstate.StartVersion(answers, peerCount)
		f.pullFrom(ctx, f.addressesByName(sources))
	}
}

// queryPeerVersions joins several peers. It returns their configuration versions,
// and the number of candidate addresses.
func (f *Fleet) queryPeerVersions(ctx context.Context) ([]configstate.PeerVersion, int) {
	addrs := f.candidateAddresses(ctx)
	peerCount := len(addrs)
	if len(addrs) > maxStartPeers {
		addrs = addrs[:maxStartPeers]
	}
	var mu sync.Mutex
	var answers []configstate.PeerVersion
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			env, ok := f.join(ctx, addr)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, configstate.PeerVersion{Peer: env.GetSender(), Version: env.GetConfigVersion()})
		})
	}
	wg.Wait()
	return answers, peerCount
}

// candidateAddresses returns the peer addresses from the settings and the table, in
// random order. While the table has no other member, it adds those of the
// platform's VM list.
func (f *Fleet) candidateAddresses(ctx context.Context) []string {
	seen := map[string]bool{f.opts.Settings.GetPeerAddress(): true}
	var addrs []string
	add := func(addr string) {
		if addr != "" && !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	for _, addr := range f.opts.Settings.GetSeeds() {
		add(addr)
	}
	for _, m := range f.Members() {
		add(m.PeerAddress)
	}
	if len(f.Members()) == 1 {
		for _, vm := range f.readVMList(ctx) {
			add(vm.PeerAddress)
		}
	}
	f.mu.Lock()
	f.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	f.mu.Unlock()
	return addrs
}

// addressesByName returns the peer addresses of the named members.
func (f *Fleet) addressesByName(names []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	for _, name := range names {
		for _, m := range f.table.ByName(name) {
			addrs = append(addrs, m.PeerAddress)
		}
	}
	return addrs
}

// offerConfiguration puts a configuration in force if its version is higher, and
// reports whether it did.
func (f *Fleet) offerConfiguration(raw *pb.Configuration, from string) bool {
	var outcome configstate.Outcome
	f.update(func() {
		var err error
		outcome, err = f.state.Offer(raw)
		switch outcome {
		case configstate.Accepted:
			f.queueEvent("configuration in force", formatVersion(raw.GetVersion()), "from "+from)
		case configstate.Invalid:
			f.queueEvent("configuration refused", formatVersion(raw.GetVersion()), "from "+from+": "+err.Error())
		case configstate.Stale:
		}
	})
	return outcome == configstate.Accepted
}

// joinUnknownVM joins the first listed VM that is not in the table. Otherwise two
// parts of the fleet that never joined each other would stay separate.
func (f *Fleet) joinUnknownVM(ctx context.Context, list []membership.ListedVM) {
	for _, vm := range list {
		if vm.Name == f.Self().Name || vm.Leaving || vm.PeerAddress == "" {
			continue
		}
		f.mu.Lock()
		known := len(f.table.ByName(vm.Name)) > 0
		f.mu.Unlock()
		if !known {
			f.join(ctx, vm.PeerAddress)
			return
		}
	}
}
