package node

import (
	"context"
	"time"

	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/work"
)

// peerGrace is the time between the drain and the stop of the peer server. In this time
// the leave announcement reaches peers, and their last messages finish. The node does not
// wait if the drain timed out.
const peerGrace = 500 * time.Millisecond

// leaveGossipTime is the time that a leave announcement needs to reach every member of the
// largest fleet. Only a node that announces its leave after the drain waits for it.
const leaveGossipTime = 1500 * time.Millisecond

// shutdown stops the node without interrupting requests. The balancer continues to send
// callers until it detects that the node is unready, so the node serves them during the
// balancer lag. Then the node refuses new requests, and requests in flight finish.
func (n *Node) shutdown(ctx context.Context) {
	n.stopping.Store(true)
	n.ring.Add(ring.Shutdown, n.settings.GetNode(), "unready")
	n.log.Info("shutdown: unready, serving until the balancer stops sending callers")
	drain := milliseconds(n.settings.GetTiming().GetDrainTimeoutMs())
	background := ctx
	ctx, cancel := context.WithTimeout(ctx, milliseconds(n.settings.GetTiming().GetBalancerLagMs())+drain)
	defer cancel()
	last := n.fleet.IsLastInDataCentre()
	if !last {
		// Peers stop sending new subrequests to this node during the balancer lag.
		n.fleet.Leave(ctx)
	}
	work.Sleep(ctx, milliseconds(n.settings.GetTiming().GetBalancerLagMs()))
	n.callers.Refuse()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("shutdown: callers' requests did not finish before the deadline")
	}
	// Claims get their final state after their callers are answered. While a claim is pending,
	// a retry of the caller gets "unknown".
	if err := n.executor.Close(ctx); err != nil {
		n.log.WithError(err).Warn("shutdown: claims of idempotency keys stay pending")
	}
	if last {
		n.leaveAfterDrain(background)
	}
	work.Sleep(ctx, peerGrace)
	n.stopPeers(ctx)
	n.fleet.FinishLeave(ctx)
	n.log.Info("shutdown: done")
}

// leaveAfterDrain announces the leave of the last alive node of a data centre after its
// callers are answered. A node that announces its leave owns no replicas from then on, and
// no other node in the data centre could take them over for the queries in flight. ctx has
// no shutdown deadline, so peers receive the announcement even if the drain timed out.
func (n *Node) leaveAfterDrain(ctx context.Context) {
	n.ring.Add(ring.Shutdown, n.settings.GetNode(), "last node of its data centre announces its leave")
	n.fleet.Leave(ctx)
	work.Sleep(ctx, leaveGossipTime)
}

// stopPeers stops the peer server. It waits for subrequests of other nodes until ctx ends.
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

// Abort stops the servers immediately and cuts off requests in flight. Tests use it to
// simulate the loss of a VM.
func (n *Node) Abort() {
	n.peerServer.Stop()
	_ = n.adminServer.Close()
	_ = n.callerServer.Close()
}

// close stops the servers and closes all connections and pools.
func (n *Node) close() {
	n.Abort()
	n.pool.Close()
	n.workers.Close()
	n.backends.Close()
	n.closeIdle()
	n.metrics.Close()
}
