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

// Server is a stand-in for one backend server. Safe for concurrent use; mu guards
// the fields below it.
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
	timeFactor  float64
	load        float64
	loadFixed   bool
	fault       Fault
	faultsLeft  int
	hold        chan struct{}
	stall       chan struct{}
	waiting     int
	inFlight    int
	runs        map[string]int
	runLog      []Run
	attempts    map[string]bool
	counts      Counts
}

// Run is one execution of a non-idempotent request.
type Run struct {
	RequestID string
	Attempt   string
	Shard     string
	Digest    string
}

// Counts holds counters since the server was created. Restarts don't reset them.
type Counts struct {
	Queries, Executes, Statuses uint64
	// Batches counts batch calls; each item that runs also counts in Queries. MaxBatch
	// is the largest number of items in one call.
	Batches  uint64
	MaxBatch int
	// Shed and Refused count requests rejected with "not run": shed by a full queue or
	// Server.Shed, and refused while draining.
	Shed, Refused uint64
	// NoSnapshot counts requests for a snapshot, generation or shard that the server
	// does not hold.
	NoSnapshot uint64
	// Cancelled counts requests that the caller cancelled while they waited or ran.
	Cancelled uint64
	// MaxInFlightAtColdStart is the maximum number of requests in flight at the
	// calls of BeginColdStart.
	MaxInFlightAtColdStart int
	// ColdOverloads counts requests above the concurrency limit of a cold server.
	ColdOverloads uint64
	// RefusedConnections counts connections above the connection limit.
	RefusedConnections uint64
	// Accepted counts connections accepted within the limit.
	Accepted uint64
	// MaxInFlight and MaxColdInFlight are the maximum numbers of requests that waited
	// or ran at the same time, overall and during cold starts.
	MaxInFlight, MaxColdInFlight int
	// Connections is the number of open connections, MaxConnections its maximum.
	Connections, MaxConnections int
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:        opts,
		slots:       make(chan struct{}, opts.Slots),
		incarnation: 1,
		oldest:      opts.Oldest,
		newest:      opts.Newest,
		generations: opts.Generations,
		timeFactor:  1,
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

// Serve serves on an open listener until Close, in the background. It returns at
// once.
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

// Addr returns the IP address and port of the listener.
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
	// The HTTP server closes the listener only if its Serve has started.
	_ = l.Close()
	_ = srv.Close()
	l.resetAll()
}

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns how many times the non-idempotent request ran.
func (s *Server) Runs(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID]
}

// RunLog returns every run of non-idempotent requests, in order.
func (s *Server) RunLog() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runLog...)
}

// Ran reports whether an attempt ran. It requires Options.RecordAttempts.
func (s *Server) Ran(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[attempt]
}

// InFlight returns the number of requests that wait or run.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Incarnation returns the incarnation, which changes at each restart or crash.
func (s *Server) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationLocked()
}

func (s *Server) incarnationLocked() string {
	return s.opts.Name + "-" + strconv.FormatUint(s.incarnation, 10)
}
