package upgrader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/upgrade"
)

// Kinds of decisions.
const (
	decisionPhase = "upgrade_phase"
	decisionEnd   = "upgrade_end"
)

// leadership is one node's term as the leader of an upgrade.
type leadership struct {
	*participant
	term uint64
	// began is when the term began, and renewedAt when the lease was last renewed, in
	// nanoseconds since then.
	began     time.Time
	renewedAt atomic.Int64
	lost      atomic.Bool
	progress  *upgrade.Progress
	// ended is set once the final status is written, which the view shows later.
	ended bool
}

func (p *participant) newLeadership(r upgrade.Record) *leadership {
	now := time.Now()
	return &leadership{
		participant: p, term: r.Leader.Term, began: now,
		progress: upgrade.NewProgress(now, p.order, r.Leader.Term),
	}
}

// run leads until the upgrade has ended, the lease is lost, or this node resigns.
func (l *leadership) run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l.log.WithField("term", l.term).Info("leading the upgrade")
	// The participant's lease changes once the term has ended, which a renewal may outlast.
	go l.renew(ctx, l.lease)
	for ctx.Err() == nil {
		r, view, active := l.record(l.order)
		switch {
		case !active || r.Leader.Term != l.term:
			return
		case l.expired():
			l.log.Info("the lease of the upgrade has ended")
			return
		}
		members := l.opts.Directory.Fleet().Members
		if l.opts.Leaving() || !l.progress.Connected(time.Now(), names(members)) {
			l.resign(ctx)
			return
		}
		started := time.Now()
		l.round(ctx, members)
		l.step(ctx, r, view, names(members))
		work.Sleep(ctx, time.Until(started.Add(l.interval(len(members)))))
	}
}

// interval returns the time between two grants to each of n nodes.
func (l *leadership) interval(n int) time.Duration {
	interval := grantInterval
	if l.progress.Phase() <= upgrade.Canary {
		interval = canaryGrantInterval
	}
	return max(interval, time.Duration(n)*time.Second/maxGrantsPerSecond)
}

func names(members []coordinator.Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Node)
	}
	return list
}

// renew renews a lease until ctx ends.
func (l *leadership) renew(ctx context.Context, lease uint64) {
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := l.opts.Store.Renew(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			l.renewedAt.Store(int64(sent.Sub(l.began)))
		case errors.Is(err, directory.ErrLeaseEnded):
			l.lost.Store(true)
			return
		}
		work.Sleep(ctx, time.Until(sent.Add(renewInterval)))
	}
}

// expired reports whether the lease may have ended.
func (l *leadership) expired() bool {
	return l.lost.Load() || time.Since(l.began)-time.Duration(l.renewedAt.Load()) > leaseTTL-leaseMargin
}

func (l *leadership) resign(ctx context.Context) {
	l.log.Info("resigning as the leader of the upgrade")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := l.opts.Store.Revoke(ctx, l.lease); err != nil {
		l.log.WithError(err).Info("lease of the upgrade not revoked: it expires")
	}
}

// round passes the current grant to all nodes and records their reports.
func (l *leadership) round(ctx context.Context, members []coordinator.Member) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	grant := l.progress.Grant()
	if report, known := l.Grant(grant); known {
		l.progress.Record(time.Now(), l.opts.Self.Node, report, known)
	}
	// mu guards progress during the round.
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range members {
		if m.Node == l.opts.Self.Node {
			continue
		}
		calls.Go(func() {
			report, known, err := l.opts.Peers.GrantUpgrade(ctx, m, grant)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			l.progress.Record(time.Now(), m.Node, report, known)
		})
	}
	calls.Wait()
}

// step moves the upgrade to its next phase if it is due, and writes its end.
func (l *leadership) step(ctx context.Context, r upgrade.Record, view *directory.View, members []string) {
	var replicas upgrade.Replicas
	for _, replica := range view.Replicas[l.order.Service] {
		if replica.Version == l.order.Version {
			replicas.New = append(replicas.New, replica)
		} else {
			replicas.Old = append(replicas.Old, replica)
		}
	}
	if changed, reason := l.progress.Step(time.Now(), members, replicas); changed {
		requests, exposed := l.progress.Exposure()
		l.log.WithFields(logrus.Fields{
			"phase": l.progress.Phase().String(), "reason": reason, "requests": requests, "exposed": exposed,
			"new_replicas": len(replicas.New), "old_replicas": len(replicas.Old), "nodes": len(members), "term": l.term,
		}).Info("phase of the upgrade")
		l.opts.Event(decisionPhase, l.order.Service, l.progress.Phase().String()+": "+reason)
	}
	switch l.progress.Phase() {
	case upgrade.Done:
		l.end(ctx, r, upgrade.Complete)
	case upgrade.Revert:
		l.end(ctx, r, upgrade.RolledBack)
	}
}

// end writes the final status, unless that has succeeded before.
func (l *leadership) end(ctx context.Context, r upgrade.Record, final upgrade.State) {
	if final == upgrade.RolledBack && !l.ended {
		// The nodes must not wait for the store to learn of the end of a bad version.
		l.round(ctx, l.opts.Directory.Fleet().Members)
	}
	if l.ended {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.opts.Store.EndUpgrade(callCtx, r, final)
	l.opts.Directory.PollNow()
	if err != nil {
		l.log.WithError(err).WithField("state", final.String()).Info("status of the upgrade not written: trying again")
		return
	}
	l.ended = true
	l.opts.Event(decisionEnd, l.order.Service, final.String())
}
