package backend

// coldStart is the cold-start state of a server.
type coldStart struct {
	active bool
	// announced is false when the status reports warm during the cold start.
	announced bool
	// completed counts the requests run to completion since the start.
	completed int
}

// BeginColdStart starts a cold start. The status reports it only if announced is
// true. The number of requests in flight at this time is recorded in
// Counts.MaxInFlightAtColdStart.
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

// admit counts a request as in flight. It returns false when the request exceeds
// the limit of a cold server. The server then simulates a crash: admit starts a new
// incarnation, and the calling function resets every connection and calls release.
func (s *Server) admit() bool {
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
	s.cold.completed = 0
	return false
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// warmUp counts a completed request. The cold start ends after Cold.Requests of
// them.
func (s *Server) warmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cold.active {
		return
	}
	s.cold.completed++
	if s.cold.completed >= s.opts.Cold.Requests {
		s.cold = coldStart{}
	}
}
