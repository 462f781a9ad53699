package platform

import (
	"maps"
	"net/http"
	"time"
)

// faults holds the injected faults. The zero value injects none.
type faults struct {
	down             bool
	unresponsive     chan struct{}
	delay            time.Duration
	dropWriteReplies int
	dropWrites       int
	dropReads        int
}

// SetDown makes every call return 503 without effect.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.notify()
}

// SetUnresponsive makes every call wait without effect until the next SetUnresponsive
// or until the client cancels the call. The connection then breaks without a reply.
func (s *Server) SetUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.unresponsive != nil {
		close(s.faults.unresponsive)
		s.faults.unresponsive = nil
	}
	if unresponsive {
		s.faults.unresponsive = make(chan struct{})
	}
}

// SetDelay delays every call by the given time.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// DropWriteReplies makes the next n writes of keys break the connection without a
// reply, after the write is applied or rejected by the revision check.
func (s *Server) DropWriteReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropWriteReplies = n
}

// DropWrites makes the next n writes of keys break the connection without
// effect.
func (s *Server) DropWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropWrites = n
}

// DropReads makes the next n reads of keys break the connection.
func (s *Server) DropReads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropReads = n
}

// SetStaleReads freezes the state that reads and watches return while stale is true.
// Writes still apply to the current state.
func (s *Server) SetStaleReads(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleKeys = nil
	if stale {
		s.staleKeys = maps.Clone(s.keys)
	}
	s.notify()
}

// SetVMs replaces the VM list. Readers see the new list after the lag.
func (s *Server) SetVMs(vms []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, vmList{vms: vms, setAt: time.Now()})
}

// SetVMLag sets the delay before a change of the VM list becomes visible.
func (s *Server) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLag = lag
}

// applyFaults counts a call and applies the faults that affect every call. It returns
// false if it sent the reply.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, count func(*Calls)) bool {
	s.mu.Lock()
	count(&s.calls)
	f := s.faults
	s.mu.Unlock()
	if f.unresponsive != nil {
		select {
		case <-f.unresponsive:
		case <-r.Context().Done():
		}
		dropConnection()
	}
	if f.delay > 0 {
		select {
		case <-time.After(f.delay):
		case <-r.Context().Done():
			dropConnection()
		}
	}
	if f.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// dropConnection breaks the connection without a reply.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

// takeFault consumes one occurrence of a counted fault. It returns false if none is
// left. Caller holds the server's mu.
func takeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
