// Package platform is an in-memory stand-in for the platform's key-value service and
// VM list, for tests and the demo.
//
// It implements the platform's HTTP API:
//
//	GET    /v1/kv?key=K                           value, Platform-Revision; 404
//	GET    /v1/kv?key=K&after=R&wait_ms=W         the same as soon as the revision
//	                                              exceeds R; 304 after W
//	PUT    /v1/kv?key=K&revision=R[&lease=L]      writes if K is at revision R
//	                                              (0: absent); 409, 413, 404 (lease)
//	POST   /v1/leases?ttl_ms=T                    {"id": L}
//	PUT    /v1/leases?id=L                        renews the lease; 404 if expired
//	DELETE /v1/leases?id=L                        deletes the lease and its keys
//	GET    /v1/vms                                {"vms": [{name, data_centre,
//	                                              peer_address, leaving}]}
//
// Status 503 means that the call had no effect.
package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// maxWatchWait limits the duration of a watch.
const maxWatchWait = time.Minute

// VM is one entry of the VM list.
type VM struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving"`
}

// Calls counts the calls received since the server was created, including calls that
// an injected fault affected.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Leases  uint64
	VMLists uint64
}

// Total returns the number of all calls. A watch counts as one call.
func (c Calls) Total() uint64 {
	return c.Reads + c.Writes + c.Watches + c.Leases + c.VMLists
}

// Options configures a server. The zero value is valid.
type Options struct {
	// VMs is the initial VM list.
	VMs []VM
	// VMLag is the delay before a change of the VM list becomes visible.
	VMLag time.Duration
}

type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type vmList struct {
	vms []VM
	// setAt is when the list was set; it becomes visible after the lag.
	setAt time.Time
}

// Server is the stand-in for the platform. Safe for concurrent use; mu guards the
// fields below it.
type Server struct {
	mux *http.ServeMux

	mu       sync.Mutex
	revision uint64
	keys     map[string]entry
	// staleKeys is the state that stale reads return; nil while reads are current.
	staleKeys map[string]entry
	leases    map[uint64]*lease
	lists     []vmList
	vmLag     time.Duration
	faults    faults
	calls     Calls
	// changed is closed and replaced to wake the watches.
	changed chan struct{}
	server  *http.Server
	url     string
}

// New returns a server. Use it as an http.Handler, or call Start or Serve.
func New(o Options) *Server {
	s := &Server{
		mux:     http.NewServeMux(),
		keys:    make(map[string]entry),
		leases:  make(map[uint64]*lease),
		lists:   []vmList{{vms: o.VMs}},
		vmLag:   o.VMLag,
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/kv", s.get)
	s.mux.HandleFunc("PUT /v1/kv", s.put)
	s.mux.HandleFunc("POST /v1/leases", s.grantLease)
	s.mux.HandleFunc("PUT /v1/leases", s.renewLease)
	s.mux.HandleFunc("DELETE /v1/leases", s.revokeLease)
	s.mux.HandleFunc("GET /v1/vms", s.listVMs)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Start listens on addr ("127.0.0.1:0" picks a free port), serves until Close and
// returns the base URL.
func (s *Server) Start(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "platform stand-in: listen")
	}
	return s.Serve(l), nil
}

// Serve serves on an open listener until Close, in the background. It returns the
// base URL at once.
func (s *Server) Serve(l net.Listener) string {
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	url := "http://" + l.Addr().String()
	s.mu.Lock()
	s.server, s.url = server, url
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return url
}

// URL returns the base URL of a started server.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.url
}

// Close stops a started server and closes its connections.
func (s *Server) Close() error {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return errors.Wrap(server.Close(), "platform stand-in: close")
}

// Calls returns a copy of the counters.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Value returns the current value of a key, or nil if the key does not exist.
func (s *Server) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	return s.keys[key].value
}

// Len returns the number of keys.
func (s *Server) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	return len(s.keys)
}

// expireLeases deletes expired leases and their keys. Caller holds mu.
func (s *Server) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and its keys. Caller holds mu.
func (s *Server) deleteLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.keys {
		if e.lease == id {
			delete(s.keys, key)
			s.notify()
		}
	}
}

// notify wakes the watches. Caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
