package node

import (
	"context"
	"time"

	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/work"
)

// peerGrace lets the news of leaving reach peers, and their last messages end,
// before the listener for peers closes.
const peerGrace = 500 * time.Millisecond

// newsGrace is the time in which the news of leaving reaches every member, also of
// the largest fleet, when it could not be told while the balancer noticed.
const newsGrace = 1500 * time.Millisecond

// shutdown ends the node without cutting a request. The balancer goes on sending
// callers until it notices that the node is unready, so callers are served during
// that time; only then are new ones refused, and those in flight finish.
func (n *Node) shutdown(ctx context.Context) {
	n.stopping.Store(true)
	n.ring.Add(ring.Shutdown, n.settings.GetNode(), "unready")
	n.log.Info("shutdown: unready, waiting for the balancer")
	drain := milliseconds(n.settings.GetTiming().GetDrainTimeoutMs())
	untimed := ctx
	ctx, cancel := context.WithTimeout(ctx, milliseconds(n.settings.GetTiming().GetBalancerLagMs())+drain)
	defer cancel()
	last := n.fleet.IsLastInDataCentre()
	if !last {
		// Peers stop sending new subrequests here while the balancer notices.
		n.fleet.Leave(ctx)
	}
	work.Sleep(ctx, milliseconds(n.settings.GetTiming().GetBalancerLagMs()))
	n.callers.Refuse()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("shutdown: callers were still waiting")
	}
	// Claims are settled after their callers have been answered; one that stays
	// pending makes a caller's own retry "unknown".
	if err := n.executor.Close(ctx); err != nil {
		n.log.WithError(err).Warn("shutdown: claims stay pending")
	}
	if last {
		n.leaveLast(untimed)
	}
	work.Sleep(ctx, peerGrace)
	n.stopPeers(ctx)
	n.fleet.FinishLeave(ctx)
	n.log.Info("shutdown: done")
}

// leaveLast announces the leave of the only node of a data centre once its callers have their
// answers. Whoever announces its leave owns no replica from then on, and nobody else there
// could take over for the queries in flight. The context is not that of the shutdown: a
// drain that used up its time must not keep the news from peers.
func (n *Node) leaveLast(ctx context.Context) {
	n.ring.Add(ring.Shutdown, n.settings.GetNode(), "leaves last of its data centre")
	n.fleet.Leave(ctx)
	work.Sleep(ctx, newsGrace)
}

// stopPeers lets subrequests of other nodes finish, within ctx.
func (n *Node) stopPeers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.peerServer.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Abort ends the node at once, cutting what is in flight, as the loss of its VM
// does. For tests.
func (n *Node) Abort() {
	n.peerServer.Stop()
	_ = n.adminServer.Close()
	_ = n.callerServer.Close()
}

// close ends whatever is left.
func (n *Node) close() {
	n.Abort()
	n.pool.Close()
	n.workers.Close()
	n.backends.Close()
	n.idle()
	n.metrics.Close()
}
