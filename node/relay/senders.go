package relay

import (
	"sync"
	"time"
)

// senderTTL is how long a node counts as a sender after its last heartbeat.
const senderTTL = 3 * time.Second

// senders counts the nodes that send heartbeats. Safe for concurrent use.
type senders struct {
	// mu guards the fields below.
	mu      sync.Mutex
	seen    map[string]time.Time
	sweepAt time.Time
}

// record records a heartbeat and returns the number of senders.
func (s *senders) record(now time.Time, node string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen = make(map[string]time.Time)
	}
	s.seen[node] = now
	if !now.Before(s.sweepAt) {
		s.sweepAt = now.Add(senderTTL)
		for name, at := range s.seen {
			if now.Sub(at) > senderTTL {
				delete(s.seen, name)
			}
		}
	}
	return len(s.seen)
}
