package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// discoveryTimeout is how long a smaller node looks for coordinators after its start
	// before it follows the store itself. Larger VMs register sooner than that.
	discoveryTimeout = 1500 * time.Millisecond
	// readNodesTimeout bounds reading the registered nodes from the store.
	readNodesTimeout = time.Second
	// retryInterval is the average time between two reads of the registered nodes during
	// discovery, and the time between heartbeats to a coordinator without a configuration.
	retryInterval = 400 * time.Millisecond
	// heartbeatWait is how long a heartbeat waits at the coordinator for a change of its
	// state, and heartbeatMargin how much longer the sender waits for the response. Their
	// sum bounds the time to detect a coordinator that lost power.
	heartbeatWait   = 300 * time.Millisecond
	heartbeatMargin = 200 * time.Millisecond
	// heartbeatPeers is the number of coordinators that receive heartbeats, in order of
	// preference. With only one, a request may wait for the offers of several dead
	// coordinators when many fail at once.
	heartbeatPeers = 2
	// probeTimeout bounds a heartbeat to a failed coordinator or neighbour.
	probeTimeout = 250 * time.Millisecond
	// Intervals at which runProbes looks for a probe to send and updates whether this node
	// follows the store: failedCheckInterval while any coordinator is failed,
	// healthyCheckInterval while none is, and emptyCheckInterval while the fleet has no
	// coordinator for this node.
	failedCheckInterval  = 50 * time.Millisecond
	healthyCheckInterval = 250 * time.Millisecond
	emptyCheckInterval   = time.Second
	// followDelay is how long this node must be without a current coordinator before it
	// follows the store, unless a request requires it earlier. Meanwhile the node probes
	// the store at storeProbeInterval.
	followDelay        = time.Second
	storeProbeInterval = time.Second
	// storeProbesRequired is the number of consecutive answers of the store before this
	// node follows it. After an outage of the store, coordinators need some time to become
	// current again. If one answer sufficed, many small nodes would read the whole store
	// and register during that time.
	storeProbesRequired = 3
	// unfollowDelay is how long this node must have a current coordinator before it stops
	// following the store. With a shorter time, an unstable coordinator makes this node
	// read the whole store repeatedly.
	unfollowDelay = 10 * time.Second
)

// Run discovers coordinators and exchanges heartbeats with them until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.mu.Lock()
	r.started = time.Now()
	r.mu.Unlock()
	if r.opts.Self.FollowsStoreAtStart() {
		r.setFollowing(true)
	} else {
		r.discover(ctx)
	}
	go r.runProbes(ctx)
	for rank := 1; rank < heartbeatPeers; rank++ {
		go r.sendHeartbeats(ctx, rank)
	}
	r.sendHeartbeats(ctx, 0)
}

// sendHeartbeats sends heartbeats to the coordinator with that rank until ctx ends.
func (r *Relay) sendHeartbeats(ctx context.Context, rank int) {
	last := ""
	for ctx.Err() == nil {
		r.updateFleet(r.opts.Directory.Fleet())
		to, ok := r.coordinatorAtRank(rank)
		if !ok {
			work.Sleep(ctx, emptyCheckInterval)
			continue
		}
		wait := heartbeatWait
		if to.Node != last {
			// The first heartbeat is answered at once, so that an unreachable coordinator
			// is detected early.
			wait = 0
		}
		last = to.Node
		r.sendHeartbeat(ctx, to, wait, wait+heartbeatMargin)
	}
}

// coordinatorAtRank returns the coordinator at a rank in the order of preference. Rank 0 is
// the first choice.
func (r *Relay) coordinatorAtRank(rank int) (coordinator.Member, bool) {
	tried := make(map[string]bool)
	for {
		to, _, ok := r.pickCoordinator(tried)
		if !ok || len(tried) == rank {
			return to, ok
		}
		tried[to.Node] = true
	}
}

// discover looks for coordinators until discoveryTimeout, and follows the store if there
// are none.
func (r *Relay) discover(ctx context.Context) {
	until := time.Now().Add(discoveryTimeout)
	for ctx.Err() == nil && time.Now().Before(until) {
		r.readRegisteredNodes(ctx)
		if _, _, ok := r.pickCoordinator(nil); ok {
			return
		}
		work.Sleep(ctx, retryInterval/2+rand.N(retryInterval))
	}
	r.setFollowing(true)
}

func (r *Relay) updateFleet(f coordinator.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Update(f)
}

// sendHeartbeat sends one heartbeat and applies its result.
func (r *Relay) sendHeartbeat(ctx context.Context, to coordinator.Member, wait, timeout time.Duration) {
	resp, err := r.callHeartbeat(ctx, to, wait, timeout)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.markFailed(to, err, 0)
		r.cancelInFlight(to.Node)
		return
	}
	if resp.GetUnavailable() {
		r.markFailed(to, nil, pb.RelayRefusal_RELAY_REFUSAL_UNSPECIFIED)
	} else {
		r.recordHeartbeat(to, coordinator.Condition{
			Configured: resp.GetConfigured(), Stale: resp.GetStale(), Isolated: resp.GetIsolated(),
		})
	}
	if resp.GetConfigured() {
		r.maxBodyBytes.Store(int64(min(resp.GetMaxBodyBytes(), math.MaxInt64)))
	} else {
		// A coordinator without a configuration answers heartbeats at once, so that its
		// senders learn early that it can serve.
		work.Sleep(ctx, retryInterval)
	}
	r.recordStoreLoad(resp)
	r.updateFleet(decodeFleet(resp))
}

// recordStoreLoad records what a coordinator reports about the store. One that has not read
// the store reports nothing.
func (r *Relay) recordStoreLoad(resp *pb.HeartbeatResponse) {
	if resp.GetStorePages() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLoad = coordinator.StoreLoad{
		Pages: int(resp.GetStorePages()), Senders: int(resp.GetSenders()), ReadsPerSecond: r.opts.ReadsPerSecond,
	}
}

func (r *Relay) callHeartbeat(ctx context.Context, to coordinator.Member, wait, timeout time.Duration) (*pb.HeartbeatResponse, error) {
	conn, err := r.opts.Pool.Connection(to.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.mu.Lock()
	revision := r.table.Revision()
	isolated := to.DataCentre == r.opts.Self.DataCentre && r.table.Isolated(time.Now())
	r.mu.Unlock()
	return peerv1.NewCoordinatorClient(conn).Heartbeat(ctx, &pb.HeartbeatRequest{
		Node: r.opts.Self.Node, FleetRevision: revision, WaitMs: uint64(wait.Milliseconds()),
		DeliveryUs: microseconds(r.takeLongestDelivery()), IsolatedPeer: isolated,
	})
}

func (r *Relay) recordHeartbeat(to coordinator.Member, c coordinator.Condition) {
	r.mu.Lock()
	again := r.table.RecordHeartbeat(time.Now(), to.Node, c)
	r.mu.Unlock()
	if again {
		r.opts.Log.WithFields(logrus.Fields{"coordinator": to.Node}).Info("coordinator recovered")
	}
}

// runProbes sends probes to failed coordinators and updates whether this node follows the
// store, until ctx ends.
func (r *Relay) runProbes(ctx context.Context) {
	following := followState{since: time.Now()}
	for ctx.Err() == nil {
		now := time.Now()
		r.mu.Lock()
		interval := r.checkInterval()
		to, probeDue := r.table.NextProbe(now)
		r.mu.Unlock()
		if probeDue {
			r.sendHeartbeat(ctx, to, 0, probeTimeout)
		}
		r.updateFollowing(ctx, &following)
		work.Sleep(ctx, interval)
	}
}

// checkInterval returns the time until the next check. r.mu is held.
func (r *Relay) checkInterval() time.Duration {
	switch {
	case r.table.Empty():
		return emptyCheckInterval
	case r.table.AllUsable():
		return healthyCheckInterval
	}
	return failedCheckInterval
}

// followState is what updateFollowing evaluates: whether this node has a current
// coordinator and since when, the time of the last probe of the store, and the number of
// consecutive answers.
type followState struct {
	current  bool
	since    time.Time
	probedAt time.Time
	answers  int
}

// updateFollowing makes this node follow the store once the node has had no current
// coordinator for followDelay and the store has answered storeProbesRequired probes in a
// row. It makes the node stop following the store once the node has had a current
// coordinator for unfollowDelay, unless the node is shutting down.
func (r *Relay) updateFollowing(ctx context.Context, s *followState) {
	now := time.Now()
	if c := r.connection().Current; c != s.current {
		s.current, s.since, s.answers = c, now, 0
	}
	elapsed := now.Sub(s.since)
	switch {
	case s.current && elapsed >= unfollowDelay && !r.opts.Leaving():
		r.setFollowing(false)
	case s.current || elapsed < followDelay+r.followStagger() || now.Sub(s.probedAt) < storeProbeInterval || r.opts.Directory.Synced():
	default:
		s.probedAt = now
		if !r.readRegisteredNodes(ctx) {
			s.answers = 0
			return
		}
		s.answers++
		if s.answers >= storeProbesRequired {
			r.setFollowing(true)
		}
	}
}

// readRegisteredNodes reads the registered nodes and reports whether the store answered.
func (r *Relay) readRegisteredNodes(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readNodesTimeout)
	defer cancel()
	fleet, err := r.opts.Registered(ctx)
	if err != nil {
		r.opts.Log.WithError(err).Debug("cannot read the registered nodes")
		return false
	}
	r.updateFleet(fleet)
	return true
}

func (r *Relay) connection() coordinator.Connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Connection(time.Now())
}

// Ready reports whether a coordinator can answer requests of this node's callers.
func (r *Relay) Ready() bool { return r.connection().Serving }

// Isolated reports whether the coordinators of this node's data centre reach no other data
// centre. A node that relays its requests cannot detect this itself.
func (r *Relay) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Isolated(time.Now())
}
