package backend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Server is one backend server. Safe for concurrent use; mu guards every field
// below it.
type Server struct {
	opts  Options
	slots chan struct{}

	mu          sync.Mutex
	http        *http.Server
	listener    *listener
	incarnation uint64
	oldest      uint64
	newest      uint64
	generations []Generation
	cold        coldStart
	draining    bool
	shedding    bool
	noBatches   bool
	factor      float64
	load        float64
	loadFixed   bool
	fault       Fault
	faults      int
	held        chan struct{}
	stalled     chan struct{}
	waiting     int
	inFlight    int
	runs        map[string]int
	runLog      []Run
	attempts    map[string]bool
	counts      Counts
}

// Run is one run of a non-idempotent request.
type Run struct {
	RequestID string
	Attempt   string
	Shard     string
	Digest    string
}

// Counts is what the server has seen since it was made; restarts keep it.
type Counts struct {
	Queries, Executes, Statuses uint64
	// Batches counts calls that carried several queries; each of these is counted
	// among Queries too. MaxBatch is the most items in one of them.
	Batches  uint64
	MaxBatch int
	// Shed and Refused were answered with "not run".
	Shed, Refused uint64
	// NoSnapshot counts requests for a snapshot or shard that is not held.
	NoSnapshot uint64
	// Cancelled counts requests whose caller went away while they waited or ran.
	Cancelled uint64
	// MaxInFlightAtColdStart is the most that was in flight when the server turned cold.
	MaxInFlightAtColdStart int
	// ColdOverloads counts times that a cold server got more than it bears.
	ColdOverloads uint64
	// RefusedConnections were above the connection limit.
	RefusedConnections uint64
	// Accepted counts connections that were kept.
	Accepted uint64
	// MaxInFlight and MaxColdInFlight count requests that wait or run.
	MaxInFlight, MaxColdInFlight int
	// Connections open now and the most that were open at once.
	Connections, MaxConnections int
}

// New makes a server that is not listening yet.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:        opts,
		slots:       make(chan struct{}, opts.Slots),
		incarnation: 1,
		oldest:      opts.Oldest,
		newest:      opts.Newest,
		generations: opts.Generations,
		factor:      1,
		runs:        make(map[string]int),
		attempts:    make(map[string]bool),
	}
	if opts.StartCold {
		s.cold = coldStart{active: true, announced: true}
	}
	return s
}

// Start listens on addr ("127.0.0.1:0" picks a port) and serves until Close.
func (s *Server) Start(addr string) error {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.Serve(inner)
	return nil
}

// Serve is Start on a listener that is open already. It returns at once.
func (s *Server) Serve(inner net.Listener) {
	l := &listener{Listener: inner, server: s, conns: make(map[*conn]struct{})}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{
		Handler:           s,
		Protocols:         protocols,
		ReadHeaderTimeout: time.Minute,
		ConnState:         l.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.mu.Lock()
	s.listener = l
	s.http = srv
	s.mu.Unlock()
	go func() {
		// Serve returns when Close closes the listener.
		_ = srv.Serve(l)
	}()
}

// Addr returns the IP number and port that the server listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Close stops listening and resets every connection.
func (s *Server) Close() {
	s.mu.Lock()
	srv, l := s.http, s.listener
	s.mu.Unlock()
	if srv == nil {
		return
	}
	// The HTTP server closes the listener only once it has begun to serve.
	_ = l.Close()
	_ = srv.Close()
	l.resetAll()
}

// Counts returns what the server has seen so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns how often the non-idempotent request ran.
func (s *Server) Runs(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID]
}

// RunLog returns every run of a non-idempotent request, in order.
func (s *Server) RunLog() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runLog...)
}

// Ran reports whether an attempt got a slot; needs Options.RecordAttempts.
func (s *Server) Ran(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[attempt]
}

// InFlight returns the requests that wait or run.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Incarnation returns the value that a restart changes.
func (s *Server) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationLocked()
}

func (s *Server) incarnationLocked() string {
	return s.opts.Name + "-" + strconv.FormatUint(s.incarnation, 10)
}
