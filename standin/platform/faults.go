package platform

import (
	"maps"
	"net/http"
	"time"
)

// faults are the switches. All are off in the zero value.
type faults struct {
	down        bool
	silent      chan struct{}
	slow        time.Duration
	loseAnswers int
	dropWrites  int
	dropReads   int
}

// SetDown makes every call answer 503 without effect.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.notify()
}

// SetUnresponsive makes every call wait without effect until the switch is off again
// or the client gives up; it is then dropped unanswered.
func (s *Server) SetUnresponsive(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.silent != nil {
		close(s.faults.silent)
		s.faults.silent = nil
	}
	if silent {
		s.faults.silent = make(chan struct{})
	}
}

// SetDelay delays every call.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slow = delay
}

// DropWriteReplies makes the next n writes of keys take effect unanswered: the
// connection breaks.
func (s *Server) DropWriteReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseAnswers = n
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

// SetStaleReads makes reads and watches answer from the state of this moment on;
// writes go on against the true state.
func (s *Server) SetStaleReads(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = nil
	if stale {
		s.past = maps.Clone(s.keys)
	}
	s.notify()
}

// SetVMs replaces the VM list; readers see it after the lag.
func (s *Server) SetVMs(vms []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, vmList{vms: vms, since: time.Now()})
}

// SetVMLag changes how long a change of the VM list stays unseen.
func (s *Server) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLag = lag
}

// admit applies the faults that hold for every call. False when the call has
// been answered or dropped.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, count func(*Calls)) bool {
	s.mu.Lock()
	count(&s.calls)
	f := s.faults
	s.mu.Unlock()
	if f.silent != nil {
		select {
		case <-f.silent:
		case <-r.Context().Done():
		}
		hangUp()
	}
	if f.slow > 0 {
		select {
		case <-time.After(f.slow):
		case <-r.Context().Done():
			hangUp()
		}
	}
	if f.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// hangUp breaks the connection without an answer.
func hangUp() {
	panic(http.ErrAbortHandler)
}

// take uses up one of the counted faults. Called with the server's mu held.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
