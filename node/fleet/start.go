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

// startThenPull gets a first configuration, then pulls newer ones from peers.
func (f *Fleet) startThenPull(ctx context.Context) {
	began := time.Now()
	retry := startRetry
	begin := sync.OnceFunc(func() { close(f.begun) })
	for f.version() == 0 {
		f.start(ctx, time.Since(began) >= startPatience)
		begin()
		if f.version() == 0 && !work.Sleep(ctx, f.jitter(retry)) {
			return
		}
		retry = min(2*retry, maxStartRetry)
	}
	f.pullLoop(ctx)
}

// start asks the platform and several peers for the configuration, both at once.
//
// The platform alone is not enough: after a failover it may answer from the
// past, and a node that restarts on such an answer would put back in force what
// it had already replaced. So the highest of all answers counts.
func (f *Fleet) start(ctx context.Context, onlyWitness bool) {
	var wg sync.WaitGroup
	var read *pb.Configuration
	var readErr error
	wg.Go(func() { read, readErr = f.readConfiguration(ctx) })
	answers, known := f.askPeers(ctx)
	wg.Wait()
	highest := configstate.Highest(answers)
	switch {
	case read != nil && read.GetVersion() >= highest:
		f.offer(read, "the platform")
	case read != nil || errors.Is(readErr, ErrNoConfiguration):
		f.pullFrom(ctx, f.addresses(configstate.Sources(answers, highest)))
	default:
		if onlyWitness {
			known = 1
		}
		_, sources := configstate.StartVersion(answers, known)
		f.pullFrom(ctx, f.addresses(sources))
	}
}

// askPeers joins several peers and returns the versions that they hold, and how
// many peers are known.
func (f *Fleet) askPeers(ctx context.Context) ([]configstate.PeerVersion, int) {
	addrs := f.knownAddresses(ctx)
	known := len(addrs)
	if len(addrs) > startPeers {
		addrs = addrs[:startPeers]
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
	return answers, known
}

// knownAddresses returns the peers from the settings, the table and, while the
// table is empty, the platform's VM list, in random order.
func (f *Fleet) knownAddresses(ctx context.Context) []string {
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
		for _, vm := range f.readList(ctx) {
			add(vm.PeerAddress)
		}
	}
	f.mu.Lock()
	f.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	f.mu.Unlock()
	return addrs
}

// addresses returns the peer addresses of members by name.
func (f *Fleet) addresses(names []string) []string {
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

// offer puts a configuration in force if it is newer.
func (f *Fleet) offer(raw *pb.Configuration, from string) bool {
	var verdict configstate.Outcome
	f.unlockAfter(func() {
		var err error
		verdict, err = f.state.Offer(raw)
		switch verdict {
		case configstate.Accepted:
			f.note("configuration in force", versionText(raw.GetVersion()), "from "+from)
		case configstate.Invalid:
			f.note("configuration refused", versionText(raw.GetVersion()), "from "+from+": "+err.Error())
		case configstate.Stale:
		}
	})
	return verdict == configstate.Accepted
}

// joinStrangers joins a VM that the platform lists and the table does not hold:
// two parts of the fleet that never met would otherwise stay apart.
func (f *Fleet) joinStrangers(ctx context.Context, list []membership.ListedVM) {
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
