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
	// settleAfter is how long a smaller node looks for coordinators after its start
	// before it follows the store by itself: larger VMs register within half a second.
	settleAfter = 1500 * time.Millisecond
	// registeredTimeout bounds reading the registered nodes.
	registeredTimeout = time.Second
	// lookAgain is how often it looks meanwhile.
	lookAgain = 400 * time.Millisecond
	// heartbeatWait is how long a heartbeat waits at the coordinator for news, and
	// heartbeatSlack how much longer for its answer. A coordinator that lost its power
	// is noticed after their sum, by a node that has two requests a second itself.
	heartbeatWait  = 300 * time.Millisecond
	heartbeatSlack = 200 * time.Millisecond
	// inTouchWith is how many coordinators get heartbeats, best first: the second is
	// known to be well when the first one dies. When half of a fleet lost its power, a
	// request waited for the offers of up to three dead ones.
	inTouchWith = 2
	// trialTimeout bounds a heartbeat to a coordinator that was out of use.
	trialTimeout = 250 * time.Millisecond
	// trialEvery is how often is looked whether one is due while any is out of use;
	// tendEvery while none is, and whether to follow the store; alone, a node without
	// coordinators looks each aloneEvery.
	trialEvery = 50 * time.Millisecond
	tendEvery  = 250 * time.Millisecond
	aloneEvery = time.Second
	// followAfter is how long it has to be connected to none with new news before it
	// follows the store without a request that needs it, and probeEvery how often it
	// asks meanwhile whether the store answers at all.
	followAfter = time.Second
	probeEvery  = time.Second
	// probesInARow is how many answers it wants: coordinators ask a store that was away
	// again later than that, and small nodes hear of its return as soon as they do. After
	// one answer half of the fleet would read the whole store and register.
	probesInARow = 3
	// restAfter is how long it has to be connected before it stops following the store
	// by itself, so that a coordinator that comes and goes does not make it read the
	// store over and over.
	restAfter = 10 * time.Second
)

// Run finds coordinators and keeps in touch with them until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.mu.Lock()
	r.started = time.Now()
	r.mu.Unlock()
	if r.opts.Own.FollowsStoreAtStart() {
		r.follow(true)
	} else {
		r.settle(ctx)
	}
	go r.tend(ctx)
	for rank := 1; rank < inTouchWith; rank++ {
		go r.stayInTouch(ctx, rank)
	}
	r.stayInTouch(ctx, 0)
}

// stayInTouch sends heartbeats to the coordinator of a rank until ctx ends.
func (r *Relay) stayInTouch(ctx context.Context, rank int) {
	last := ""
	for ctx.Err() == nil {
		r.keep(r.opts.Follower.Fleet())
		to, ok := r.ranked(rank)
		if !ok {
			work.Sleep(ctx, aloneEvery)
			continue
		}
		wait := heartbeatWait
		if to.Node != last {
			// Whether it answers at all is to be known at once.
			wait = 0
		}
		last = to.Node
		r.beat(ctx, to, wait, wait+heartbeatSlack)
	}
}

// ranked returns the coordinator that would be the next choice after others were tried.
func (r *Relay) ranked(rank int) (coordinator.Member, bool) {
	tried := make(map[string]bool)
	for {
		to, _, ok := r.pick(tried)
		if !ok || len(tried) == rank {
			return to, ok
		}
		tried[to.Node] = true
	}
}

// settle looks for coordinators for a while, and follows the store if there are none.
func (r *Relay) settle(ctx context.Context) {
	until := time.Now().Add(settleAfter)
	for ctx.Err() == nil && time.Now().Before(until) {
		r.readRegistered(ctx)
		if _, _, ok := r.pick(nil); ok {
			return
		}
		work.Sleep(ctx, lookAgain/2+rand.N(lookAgain))
	}
	r.follow(true)
}

func (r *Relay) keep(f coordinator.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Update(f)
}

// beat sends one heartbeat and takes what it tells.
func (r *Relay) beat(ctx context.Context, to coordinator.Member, wait, timeout time.Duration) {
	resp, err := r.heartbeat(ctx, to, wait, timeout)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.failed(to, err, 0)
		r.abandon(to.Node)
		return
	}
	if resp.GetUnavailable() {
		r.failed(to, nil, pb.RelayRefusal_RELAY_REFUSAL_UNSPECIFIED)
	} else {
		r.reached(to, coordinator.Condition{
			Configured: resp.GetConfigured(), Stale: resp.GetStale(), Isolated: resp.GetIsolated(),
		})
	}
	if resp.GetConfigured() {
		r.maxBodyBytes.Store(int64(min(resp.GetMaxBodyBytes(), math.MaxInt64)))
	} else {
		// It answers at once then, so that its callers come as soon as it can serve.
		work.Sleep(ctx, lookAgain)
	}
	r.keep(decodeFleet(resp))
}

func (r *Relay) heartbeat(ctx context.Context, to coordinator.Member, wait, timeout time.Duration) (*pb.HeartbeatResponse, error) {
	conn, err := r.opts.Pool.Connection(to.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.mu.Lock()
	revision := r.table.Revision()
	r.mu.Unlock()
	return peerv1.NewCoordinatorClient(conn).Heartbeat(ctx, &pb.HeartbeatRequest{
		Node: r.opts.Own.Node, FleetRevision: revision, WaitMs: uint64(wait.Milliseconds()),
	})
}

func (r *Relay) reached(to coordinator.Member, c coordinator.Condition) {
	r.mu.Lock()
	again := r.table.RecordHeartbeat(time.Now(), to.Node, c)
	r.mu.Unlock()
	if again {
		r.opts.Log.WithFields(logrus.Fields{"coordinator": to.Node}).Info("a coordinator is in use again")
	}
}

// tend sends heartbeats to coordinators that are not in use, and judges whether this
// node has to follow the store.
func (r *Relay) tend(ctx context.Context) {
	role := role{since: time.Now()}
	for ctx.Err() == nil {
		now := time.Now()
		r.mu.Lock()
		next := r.nextLook()
		to, due := r.table.NextProbe(now)
		r.mu.Unlock()
		if due {
			r.beat(ctx, to, 0, trialTimeout)
		}
		r.judgeRole(ctx, &role)
		work.Sleep(ctx, next)
	}
}

// nextLook is when to look again. r.mu is held.
func (r *Relay) nextLook() time.Duration {
	switch {
	case r.table.Empty():
		return aloneEvery
	case r.table.AllUsable():
		return tendEvery
	}
	return trialEvery
}

// role is whether this node is connected to a coordinator with new news, since when,
// when the store was asked last, and how often in a row it has answered.
type role struct {
	connected bool
	since     time.Time
	probed    time.Time
	answers   int
}

// judgeRole makes this node follow the store once it has been connected to no
// coordinator with new news for a while and the store answers, and rest once it has been
// connected for longer.
func (r *Relay) judgeRole(ctx context.Context, last *role) {
	now := time.Now()
	if c := r.connection().Current; c != last.connected {
		last.connected, last.since, last.answers = c, now, 0
	}
	lasted := now.Sub(last.since)
	switch {
	case last.connected && lasted >= restAfter && !r.opts.Leaving():
		r.follow(false)
	case last.connected || lasted < followAfter || now.Sub(last.probed) < probeEvery || r.opts.Follower.Synced():
	default:
		last.probed = now
		if !r.readRegistered(ctx) {
			last.answers = 0
			return
		}
		last.answers++
		if last.answers >= probesInARow {
			r.follow(true)
		}
	}
}

// readRegistered reads the registered nodes and reports whether the store answered.
func (r *Relay) readRegistered(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registeredTimeout)
	defer cancel()
	fleet, err := r.opts.Registered(ctx)
	if err != nil {
		r.opts.Log.WithError(err).Debug("the registered nodes cannot be read")
		return false
	}
	r.keep(fleet)
	return true
}

func (r *Relay) connection() coordinator.Connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Connection(time.Now())
}

// Ready reports whether a coordinator can answer requests of this node's callers.
func (r *Relay) Ready() bool { return r.connection().Serving }

// CutOff reports whether this node's data centre reaches no other one, as its coordinators
// say. A node that follows the store but sends nothing itself would not know.
func (r *Relay) CutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Isolated(time.Now())
}
