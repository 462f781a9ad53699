package peer

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// livenessWindow is how long after a peer's last response its connection counts as
	// alive.
	livenessWindow = 100 * time.Millisecond
	// livenessPingTimeout bounds each ping of verifyConnection.
	livenessPingTimeout = 100 * time.Millisecond
	// maxLastResponses bounds the recorded peers, because replaced VMs leave their
	// addresses behind. At the bound all entries are deleted, which costs at most one
	// more ping for each peer.
	maxLastResponses = 4096
)

// lastResponses holds the time of each peer's last response, by address. Safe for
// concurrent use.
type lastResponses struct {
	// mu guards times.
	mu    sync.Mutex
	times map[string]time.Time
}

func (l *lastResponses) record(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.times == nil || len(l.times) >= maxLastResponses {
		l.times = make(map[string]time.Time)
	}
	l.times[addr] = time.Now()
}

func (l *lastResponses) stale(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.times[addr]) >= livenessWindow
}

// verifyConnection pings a peer before a non-idempotent request, unless the peer responded
// within livenessWindow. If the first ping fails, the second one uses a new connection.
// Without the ping, a request on a dead connection has an unknown outcome although no
// backend server received the request.
func (c *Client) verifyConnection(ctx context.Context, addr string) bool {
	if !c.lastResponses.stale(addr) {
		return true
	}
	const connections = 2
	for range connections {
		if c.ping(ctx, addr) == nil {
			return true
		}
	}
	return false
}

func (c *Client) ping(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, livenessPingTimeout)
	defer cancel()
	_, err := c.Gossip(ctx, addr, &pb.GossipRequest{Envelope: c.envelopes.Envelope()})
	return err
}
