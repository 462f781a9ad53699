package gateway

import (
	"context"
	"time"

	"github.com/carobmill/carobmill/node/ring"
)

const (
	// closeAfter is the part of the balancer's lag after which connections are closed
	// with their next answer: earlier, callers would come back to this node, later,
	// they would be left on it.
	closeAfter = 0.7
	// killMargin is left between the end of the shutdown and the kill.
	killMargin = 300 * time.Millisecond
	// peerMargin is left after the end of the other nodes' port. Senders that lost power
	// never close their connections, and waiting for them until killMargin left too
	// little of the grace for the rest: two processes of a day were killed.
	peerMargin = 300 * time.Millisecond
)

// shutdown ends the node without cutting a request. The balancer goes on sending
// callers until it notices that the node is unready, so callers are served during that
// time; only then is the listener closed, and requests in flight finish.
func (g *Gateway) shutdown() {
	began := time.Now()
	lag := time.Duration(g.settings.GetTiming().GetBalancerLagMs()) * time.Millisecond
	end := began.Add(seconds(g.settings.GetForwarding().GetGraceS()) - killMargin)
	g.stopping.Store(true)
	g.ring.Add(ring.Shutdown, g.settings.GetNode(), "unready")
	g.log.Info("shutdown: unready, serving until the balancer has noticed")
	time.Sleep(time.Duration(closeAfter * float64(lag)))
	g.closing.Store(true)
	time.Sleep(time.Until(began.Add(lag)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.WithError(err).Warn("shutdown: callers were still waiting")
	}
	g.stopPeerServer(end.Add(-peerMargin))
	g.log.WithField("took_ms", time.Since(began).Milliseconds()).Info("shutdown: done")
}

// stopPeerServer ends the port of other nodes once the requests that they have sent here
// are answered, or at the deadline. Heartbeats have told them to send no more.
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
		g.log.Info("shutdown: other nodes were still connected")
		g.peerServer.Stop()
		<-done
	}
}
