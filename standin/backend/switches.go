package backend

import "net/http"

// Fault is what goes wrong with the next requests or connections.
type Fault int

// Faults, in the order in which they meet a request.
const (
	FaultNone Fault = iota
	// FaultResetOnAccept resets a new connection at once.
	FaultResetOnAccept
	// FaultResetBeforeRun resets the connection after the request was read and
	// before it ran.
	FaultResetBeforeRun
	// FaultLostReply runs the request and resets the connection before the reply.
	FaultLostReply
	// FaultTruncatedReply runs the request and resets the connection within the reply.
	FaultTruncatedReply
	// FaultWrongAttempt answers with another attempt's id.
	FaultWrongAttempt
	// FaultWrongSnapshot answers from a snapshot that was not asked for.
	FaultWrongSnapshot
	// FaultMalformedHeaders answers with header values that do not parse.
	FaultMalformedHeaders
	// FaultOversizedReply answers with a body of OversizedReplyBytes bytes.
	FaultOversizedReply
	// FaultError answers 500 after running the request.
	FaultError
	// FaultMissingItem leaves an item out of a batch's reply.
	FaultMissingItem
	// FaultDuplicateItem answers an item of a batch twice.
	FaultDuplicateItem
)

// OversizedReplyBytes is the size in bytes of a FaultOversizedReply reply.
const OversizedReplyBytes = 4 << 20

// SetFault makes the next n requests, or connections for FaultResetOnAccept,
// meet the fault. A negative n is no bound.
func (s *Server) SetFault(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faults = f, n
}

// takeFault uses up one occurrence of the fault if it is set.
func (s *Server) takeFault(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != f || s.faults == 0 {
		return false
	}
	if s.faults > 0 {
		s.faults--
	}
	return true
}

// SetSnapshots makes a newer snapshot available and drops those older than oldest.
func (s *Server) SetSnapshots(oldest, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.newest = oldest, newest
}

// Repartition adds a generation.
func (s *Server) Repartition(g Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generations = append(append([]Generation(nil), s.generations...), g)
}

// Restart resets every connection and comes back as a new incarnation, cold if
// Options.Cold says that the server has cold starts.
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

// Drain makes the server refuse new requests; those in flight finish.
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

// RefuseBatches makes the server answer as one that does not know the batch call.
func (s *Server) RefuseBatches(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noBatches = on
}

// SetServiceTimeFactor multiplies the service time of all requests from now on.
func (s *Server) SetServiceTimeFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = factor
}

// SetReportedLoad makes the server report this load, whatever its true load is.
func (s *Server) SetReportedLoad(load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadFixed = load, true
}

// Hold makes requests that got a slot wait until Resume.
func (s *Server) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = make(chan struct{})
	}
}

// Resume lets held requests go on.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil {
		close(s.held)
		s.held = nil
	}
}

// Stall makes the server answer nothing, status requests and new connections
// included, until it is called with false.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.stalled == nil {
		s.stalled = make(chan struct{})
	}
	if !on && s.stalled != nil {
		close(s.stalled)
		s.stalled = nil
	}
}

// BlackholeConnections makes every connection that is open now lose its bytes in
// both directions for good, without being closed; new ones work.
func (s *Server) BlackholeConnections() {
	for _, c := range s.openConns() {
		c.silent.Store(true)
	}
}

// ResetConnections resets every connection that is open now.
func (s *Server) ResetConnections() {
	for _, c := range s.openConns() {
		c.reset()
	}
}

// ResetAfterBytes resets every connection that is open now once it has read
// that many further bytes.
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

// abort ends the request without a reply: the connection under HTTP/1.1 is
// reset, the stream under HTTP/2.
func abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ProtoMajor == 1 {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}
