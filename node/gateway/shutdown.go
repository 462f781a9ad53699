package gateway

import (
	"context"
	"time"

	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/ring"
)

const (
	// closeConnsAfter is the fraction of the balancer lag after which callers' connections
	// are closed with their next answers. If they close earlier, callers may reconnect to
	// this node; if they close later, callers may still use them when the listener closes.
	closeConnsAfter = 0.7
	// killMargin is the time between the shutdown deadline and the end of the grace period,
	// when the platform kills the process.
	killMargin = 300 * time.Millisecond
	// peerStopMargin is the time between the deadline of the peer server and the shutdown
	// deadline. A peer that lost power never closes its connection. Without the margin, the
	// wait for it could last until the process is killed.
	peerStopMargin = 300 * time.Millisecond
	// finalAnswerMargin is the time between the final answers to requests without a result and the
	// shutdown deadline, when their connections are closed.
	finalAnswerMargin = 100 * time.Millisecond
)

// shutdown stops the node without interrupting requests. The balancer continues to send
// callers until it detects that the node is unready, so the node serves them during the
// balancer lag, except those that may outlast it. Then the listener closes and requests in flight
// finish. One without a result gets an answer that says so before the node stops.
func (g *Gateway) shutdown() {
	start := time.Now()
	lag := time.Duration(g.settings.GetTiming().GetBalancerLagMs()) * time.Millisecond
	end := start.Add(seconds(g.settings.GetForwarding().GetGraceS()) - killMargin)
	stop := forward.Stop{AnswerBy: end.Add(-peerStopMargin), RetryAt: start.Add(balancerReactionTime)}
	g.forwarder.StopAt(stop)
	g.stop.Store(&stop)
	defer time.AfterFunc(time.Until(end.Add(-finalAnswerMargin)), g.endRequests).Stop()
	g.ring.Add(ring.Shutdown, g.settings.GetNode(), "unready")
	g.log.Info("shutdown: unready, serving until the balancer stops sending callers")
	time.Sleep(time.Duration(closeConnsAfter * float64(lag)))
	g.closing.Store(true)
	time.Sleep(time.Until(start.Add(lag)))
	g.forwarder.RefuseWaiting()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.WithError(err).Warn("shutdown: callers' requests did not finish before the deadline")
	}
	g.stopPeerServer(end.Add(-peerStopMargin))
	g.log.WithField("took_ms", time.Since(start).Milliseconds()).Info("shutdown: done")
}

// stopPeerServer stops the peer server when its requests are finished, or at the deadline.
// Heartbeat responses have already reported this node as unavailable to the other nodes.
func (g *Gateway) stopPeerServer(deadline time.Time) {
	done := make(chan struct{})
	go func() {
		g.peerServer.GracefulStop()
		close(done)
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		g.log.Info("shutdown: closing connections of other nodes at the deadline")
		g.peerServer.Stop()
		<-done
	}
}
