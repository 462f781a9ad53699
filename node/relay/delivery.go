package relay

import (
	"sync"
	"time"

	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/gather"
)

// deliveryDelays estimates how long the answers of a coordinator take to its senders, from
// what all of them observe. In a large fleet each sender has too few answers to learn it by
// itself. Safe for concurrent use.
type deliveryDelays struct {
	// mu guards pooled.
	mu     sync.Mutex
	pooled gather.DeliveryDelay
}

// observe records a delay that a sender reports; 0 is none.
func (d *deliveryDelays) observe(delay time.Duration) {
	if delay <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pooled.Observe(delay)
}

// apply replaces the sender's estimate in the reserve of a request where it is shorter.
func (d *deliveryDelays) apply(req *forward.Request) {
	if req.DeliveryDelay <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if longer := d.pooled.Estimate() - req.DeliveryDelay; longer > 0 {
		req.TransitReserve += longer
	}
}
