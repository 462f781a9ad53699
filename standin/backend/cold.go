package backend

// coldStart is the state of a cold start.
type coldStart struct {
	active bool
	// announced is false when the server turned cold without a warning: its
	// status then goes on saying warm.
	announced bool
	answered  int
}

// BeginColdStart begins a cold start. Unannounced, the status goes on saying warm. What
// is in flight at that moment counts for MaxInFlightAtColdStart.
func (s *Server) BeginColdStart(announced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = coldStart{active: true, announced: announced}
	s.counts.MaxInFlightAtColdStart = max(s.counts.MaxInFlightAtColdStart, s.inFlight)
}

// Cold reports whether the server is in a cold start.
func (s *Server) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.active
}

// enter counts a request in. It returns false when a cold server got more than
// it bears: it then falls over, and the caller must drop every connection.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.counts.MaxInFlight = max(s.counts.MaxInFlight, s.inFlight)
	if !s.cold.active || s.opts.Cold.InFlight <= 0 {
		return true
	}
	s.counts.MaxColdInFlight = max(s.counts.MaxColdInFlight, s.inFlight)
	if s.inFlight <= s.opts.Cold.InFlight {
		return true
	}
	s.counts.ColdOverloads++
	s.incarnation++
	s.cold.answered = 0
	return false
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// warmUp counts an answer towards the end of a cold start.
func (s *Server) warmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cold.active {
		return
	}
	s.cold.answered++
	if s.cold.answered >= s.opts.Cold.Requests {
		s.cold = coldStart{}
	}
}
