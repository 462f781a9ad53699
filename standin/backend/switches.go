package backend

import "net/http"

// Fault is a fault injected into requests or connections.
type Fault int

// Faults that SetFault injects.
const (
	FaultNone Fault = iota
	// FaultResetOnAccept resets a new connection immediately.
	FaultResetOnAccept
	// FaultResetBeforeRun resets the connection after reading the request and before
	// running it.
	FaultResetBeforeRun
	// FaultLostReply runs the request and resets the connection before the reply.
	FaultLostReply
	// FaultTruncatedReply runs the request and resets the connection in the middle of
	// the reply.
	FaultTruncatedReply
	// FaultWrongAttempt replies with the id of another attempt.
	FaultWrongAttempt
	// FaultWrongSnapshot replies with a snapshot other than the requested one.
	FaultWrongSnapshot
	// FaultMalformedHeaders replies with header values that do not parse.
	FaultMalformedHeaders
	// FaultOversizedReply replies with a body of OversizedReplyBytes.
	FaultOversizedReply
	// FaultError replies with status 500 after running the request.
	FaultError
	// FaultMissingItem omits an item from the reply to a batch.
	FaultMissingItem
	// FaultDuplicateItem sends the reply to an item of a batch twice.
	FaultDuplicateItem
)

// OversizedReplyBytes is the body size of a FaultOversizedReply.
const OversizedReplyBytes = 4 << 20

// SetFault injects the fault into the next n requests, or connections for
// FaultResetOnAccept, and replaces the fault set before. A negative n means no
// limit.
func (s *Server) SetFault(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultsLeft = f, n
}

// takeFault reports whether the fault is set and consumes one occurrence of it.
func (s *Server) takeFault(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != f || s.faultsLeft == 0 {
		return false
	}
	if s.faultsLeft > 0 {
		s.faultsLeft--
	}
	return true
}

// SetSnapshots sets the range of snapshots that the server holds.
func (s *Server) SetSnapshots(oldest, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.newest = oldest, newest
}

// Repartition adds a generation. Its FirstSnapshot must be at least that of the
// last one.
func (s *Server) Repartition(g Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generations = append(append([]Generation(nil), s.generations...), g)
}

// Restart resets every connection, ends a drain and starts a new incarnation. The new
// incarnation is in an announced cold start if Options.Cold sets a limit.
func (s *Server) Restart() {
	s.mu.Lock()
	s.incarnation++
	s.draining = false
	if s.opts.Cold.InFlight > 0 {
		s.cold = coldStart{active: true, announced: true}
	}
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.resetAll()
	}
}

// Drain makes the server reject new requests. Requests in flight complete.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// Shed makes the server shed every request.
func (s *Server) Shed(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedding = on
}

// RefuseBatches makes the server reply 404 to batch calls, as a server without
// support for them does.
func (s *Server) RefuseBatches(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noBatches = on
}

// SetServiceTimeFactor sets a factor for the service time of subsequent requests.
func (s *Server) SetServiceTimeFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeFactor = factor
}

// SetReportedLoad makes the server report this load instead of its actual load.
func (s *Server) SetReportedLoad(load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadFixed = load, true
}

// Hold makes requests that hold a slot wait until Resume.
func (s *Server) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold == nil {
		s.hold = make(chan struct{})
	}
}

// Resume ends a Hold.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold != nil {
		close(s.hold)
		s.hold = nil
	}
}

// Stall makes every request, status requests included, wait until Stall is called
// with false.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.stall == nil {
		s.stall = make(chan struct{})
	}
	if !on && s.stall != nil {
		close(s.stall)
		s.stall = nil
	}
}

// BlackholeConnections makes every open connection drop its data in both directions
// permanently, without closing it. New connections are not affected.
func (s *Server) BlackholeConnections() {
	for _, c := range s.openConns() {
		c.blackholed.Store(true)
	}
}

// ResetConnections resets every open connection.
func (s *Server) ResetConnections() {
	for _, c := range s.openConns() {
		c.reset()
	}
}

// ResetAfterBytes resets every open connection after the server has read n more
// bytes from it.
func (s *Server) ResetAfterBytes(n int64) {
	for _, c := range s.openConns() {
		c.resetAfter.Store(n)
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	return l.open()
}

// abort ends the request without a reply. It resets the connection under HTTP/1.1
// and the stream under HTTP/2.
func abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ProtoMajor == 1 {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}
