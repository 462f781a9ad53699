// Package upgrader carries out the operators' orders to move services to another version.
// One node leads each upgrade under a lease in the platform's store: it grants phases to
// the gates of all nodes, collects their reports and writes the status. policy/upgrade
// decides.
package upgrader

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/upgrade"
)

const (
	// leaseTTL bounds the time until another node may lead after the leader was lost.
	leaseTTL = 1000 * time.Millisecond
	// renewInterval is the time between the starts of two renewals, and renewTimeout bounds
	// one, also of a slow store. The leader stops leaseMargin before the store may have ended
	// the lease.
	renewInterval = leaseTTL / 4
	renewTimeout  = leaseTTL / 2
	leaseMargin   = 200 * time.Millisecond
	// grantInterval is the time between two grants to a node, and canaryGrantInterval that
	// in the canary phase, which may last long. grantTimeout bounds one.
	grantInterval       = 200 * time.Millisecond
	canaryGrantInterval = 500 * time.Millisecond
	grantTimeout        = 300 * time.Millisecond
	// maxGrantsPerSecond bounds the leader's work in a large fleet.
	maxGrantsPerSecond = 1000
	// claimDelay is the time by which a node claims later than the one before it in rank,
	// and maxClaimDelay bounds the sum.
	claimDelay    = 300 * time.Millisecond
	maxClaimDelay = 3 * time.Second
	// silentAfter is how long a node waits for a grant before it looks for a new leader in
	// the store. Only the first successors in rank do.
	silentAfter = time.Second
	successors  = 2
	// resignPause is the time for which a node does not lead after it has resigned.
	resignPause = 3 * time.Second
	// callTimeout bounds the calls to the store.
	callTimeout = time.Second
)

// Peers passes grants to the other nodes.
type Peers interface {
	// GrantUpgrade passes a grant and returns the report of the node's gate. known is false if
	// the node does not know the order, or knows a later leader.
	GrantUpgrade(ctx context.Context, to coordinator.Member, g upgrade.Grant) (r upgrade.Report, known bool, err error)
}

// Gates holds the gates of this node.
type Gates interface {
	ApplyUpgrade(g upgrade.Grant) (upgrade.Report, bool)
}

// Store is the part of directory.Store that leaders use.
type Store interface {
	LeadUpgrade(ctx context.Context, r upgrade.Record, node string, ttl time.Duration) (term, lease uint64, err error)
	EndUpgrade(ctx context.Context, r upgrade.Record, final upgrade.State) error
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Directory is this node's view of the store.
type Directory interface {
	View() *directory.View
	Fleet() coordinator.Fleet
	PollNow()
}

// Options of an Upgrader.
type Options struct {
	Self      coordinator.Member
	Directory Directory
	Store     Store
	Peers     Peers
	Gates     Gates
	// Leaving reports whether the node is shutting down. It then leads no upgrade.
	Leaving func() bool
	Log     logrus.FieldLogger
	// Event receives the decisions of a leader.
	Event func(kind, subject, detail string)
}

// Upgrader takes part in all upgrades. Safe for concurrent use.
type Upgrader struct {
	opts    Options
	changed chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// running holds the revisions of the orders that have a goroutine, by service.
	running map[string]uint64
	// grantedAt is the time of the last grant from a leader, by service.
	grantedAt map[string]time.Time
}

// New returns an upgrader, which Run starts.
func New(o Options) *Upgrader {
	return &Upgrader{
		opts: o, changed: make(chan struct{}, 1),
		running: make(map[string]uint64), grantedAt: make(map[string]time.Time),
	}
}

// ViewChanged makes Run look for new orders. It does not block.
func (u *Upgrader) ViewChanged() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// Grant applies a grant from another node's leader.
func (u *Upgrader) Grant(g upgrade.Grant) (r upgrade.Report, known bool) {
	r, known = u.opts.Gates.ApplyUpgrade(g)
	if !known && u.opts.Directory.View() == nil {
		// Without a view this node sends no attempts. It may still count in the fleet for a
		// while, and must not delay the end of the upgrade.
		return upgrade.Report{Order: g.Order, Term: g.Term, Phase: g.Phase}, true
	}
	if !known {
		u.opts.Directory.PollNow()
		return r, false
	}
	u.mu.Lock()
	u.grantedAt[g.Service] = time.Now()
	u.mu.Unlock()
	return r, true
}

// Run takes part in upgrades until ctx ends.
func (u *Upgrader) Run(ctx context.Context) {
	var upgrades sync.WaitGroup
	defer upgrades.Wait()
	for {
		if view := u.opts.Directory.View(); view != nil {
			for service, up := range view.Upgrades {
				if up.Active() && u.start(service, up.Order.Revision) {
					upgrades.Go(func() { u.newParticipant(up.Order).run(ctx) })
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-u.changed:
		}
	}
}

// start reports whether an order has no goroutine yet, and records that it has one.
func (u *Upgrader) start(service string, revision uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[service] == revision {
		return false
	}
	u.running[service] = revision
	return true
}

// record returns what the store holds about an order; false once the order has ended or was
// replaced, and while the node does not follow the store.
func (u *Upgrader) record(o upgrade.Order) (upgrade.Record, *directory.View, bool) {
	view := u.opts.Directory.View()
	if view == nil {
		return upgrade.Record{}, nil, false
	}
	r := view.Upgrades[o.Service].Record
	return r, view, r.Active() && r.Order.Revision == o.Revision
}

// participant is this node's part in one upgrade. Only its goroutine uses it.
type participant struct {
	*Upgrader
	order upgrade.Order
	log   logrus.FieldLogger
	// leaderlessSince is when the store had no leader for the upgrade, and polledAt when this
	// node last looked for one; zero for never.
	leaderlessSince, polledAt time.Time
	// claimedAt is the time of the newest claim, and resignedAt that of the last resignation.
	claimedAt, resignedAt time.Time
	// lease is that of the newest claim. The claim may have succeeded although its call
	// failed.
	lease uint64
}

func (u *Upgrader) newParticipant(o upgrade.Order) *participant {
	return &participant{Upgrader: u, order: o, log: u.opts.Log.WithFields(logrus.Fields{
		"service": o.Service, "to": o.Version, "order": o.Revision,
	})}
}

// run leads the upgrade, or waits for the need to, until the order has ended.
func (p *participant) run(ctx context.Context) {
	defer p.forget()
	for ctx.Err() == nil {
		r, _, active := p.record(p.order)
		if !active {
			return
		}
		now := time.Now()
		switch {
		case r.Leader.Node == p.opts.Self.Node && p.lease != 0:
			p.newLeadership(r).run(ctx)
			p.lease = 0
			p.resignedAt = time.Now()
		case p.opts.Leaving() || now.Sub(p.resignedAt) < resignPause && !p.resignedAt.IsZero():
		case r.Leader.Node == "":
			p.claimWhenDue(ctx, now, r)
		default:
			p.leaderlessSince = time.Time{}
			p.lookForLeader(now, r)
		}
		work.Sleep(ctx, grantInterval)
	}
}

// forget removes the order from the table, so that it can be taken up again after a time
// without a view.
func (p *participant) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[p.order.Service] == p.order.Revision {
		delete(p.running, p.order.Service)
	}
}

// rank returns this node's rank among the largest nodes of the fleet.
func (p *participant) rank() int {
	members := p.opts.Directory.Fleet().Members
	largest := 0.0
	for _, m := range members {
		largest = max(largest, m.Capacity)
	}
	var names []string
	for _, m := range members {
		if m.Capacity == largest {
			names = append(names, m.Node)
		}
	}
	return upgrade.Rank(p.order, names, p.opts.Self.Node)
}

// claimWhenDue makes this node the leader once the upgrade has had none for the delay of
// this node's rank.
func (p *participant) claimWhenDue(ctx context.Context, now time.Time, r upgrade.Record) {
	if p.leaderlessSince.IsZero() {
		p.leaderlessSince = now
	}
	if now.Sub(p.leaderlessSince) < min(time.Duration(p.rank())*claimDelay, maxClaimDelay) {
		return
	}
	if now.Sub(p.claimedAt) < leaseTTL {
		// The view may not show the newest claim yet.
		return
	}
	p.claimedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, lease, err := p.opts.Store.LeadUpgrade(ctx, r, p.opts.Self.Node, leaseTTL)
	if lease != 0 {
		p.lease = lease
	}
	if err != nil {
		p.log.WithError(err).Info("not the leader of the upgrade")
	}
	// The view shows whether the claim has succeeded, also if its answer was lost.
	p.opts.Directory.PollNow()
}

// lookForLeader asks the store whether the leader's lease has ended once no grant has come
// from it for a while.
func (p *participant) lookForLeader(now time.Time, r upgrade.Record) {
	p.mu.Lock()
	last := p.grantedAt[p.order.Service]
	p.mu.Unlock()
	if now.Sub(last) < silentAfter || now.Sub(p.polledAt) < silentAfter || p.rank() > successors {
		return
	}
	p.polledAt = now
	p.log.WithField("leader", r.Leader.Node).Debug("no grant from the leader of the upgrade")
	p.opts.Directory.PollNow()
}
