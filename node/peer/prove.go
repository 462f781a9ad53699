package peer

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// quietBound is how long after its last answer a peer's connection counts as
	// alive.
	quietBound = 100 * time.Millisecond
	// proveTimeout bounds each ping that proves a connection alive.
	proveTimeout = 100 * time.Millisecond
	// maxHeard bounds the peers remembered, since VMs are replaced all the time.
	// Forgetting one costs a ping.
	maxHeard = 4096
)

// heard holds when each peer last answered, by address. Safe for concurrent use.
type heard struct {
	// mu guards at.
	mu sync.Mutex
	at map[string]time.Time
}

func (h *heard) note(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil || len(h.at) >= maxHeard {
		h.at = make(map[string]time.Time)
	}
	h.at[addr] = time.Now()
}

func (h *heard) quiet(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.at[addr]) >= quietBound
}

// prove pings a peer before a non-idempotent request is sent to it, unless it answered a
// moment ago; a connection that does not answer is replaced once. A silent connection would
// leave the outcome unknown although no backend server got the request.
func (c *Client) prove(ctx context.Context, addr string) bool {
	if !c.heard.quiet(addr) {
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
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	_, err := c.Gossip(ctx, addr, &pb.GossipRequest{Envelope: c.envelopes.Envelope()})
	return err
}
