// Package forward passes callers' requests on to replicas that were found at run time:
// to one replica, or to one of every shard, whose parts it merges. What is decided is
// in policy/; this package carries it out.
package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/retrybudget"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/policy/upstream"
)

// Request is a caller's request, read as a whole.
type Request struct {
	ID     string
	Method string
	// Target is the request target as received, Path its part before the query.
	Target string
	Path   string
	Host   string
	// Header holds the end-to-end headers. Not changed.
	Header http.Header
	Body   []byte
	// Arrived is when the request's first bytes were read, and CallerTimeout how long its
	// caller waits from then on; 0 when the caller did not say.
	Arrived       time.Time
	CallerTimeout time.Duration
	// TransitReserve is what of the route's objective is needed outside of the node that
	// gathers: the caller's way and back, and the answer's way through other nodes; 0
	// when it is not known.
	TransitReserve time.Duration
}

// Outcome is how a request ended.
type Outcome int

// Outcomes.
const (
	// Passed: a replica's answer, to be given as it is.
	Passed Outcome = iota
	// Merged: the greatest records of the shards that answered.
	Merged
	// NoRoute: no configuration allows the request.
	NoRoute
	// NotRun: no replica has run the request, and none will.
	NotRun
	// Failed: the request may have run, and has no answer.
	Failed
	// Late: the time to answer is over; the request may have run.
	Late
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"passed", "merged", "no_route", "not_run", "failed", "late"}[o]
}

// Answer is what the caller gets.
type Answer struct {
	Outcome Outcome
	// Status, Header and Body of a passed answer; Body of a merged one.
	Status int
	Header http.Header
	Body   []byte
	// Signatures of the merged parts, and the number of shards left out.
	Signatures []string
	Missing    int
	// RetryAfter is when a request that was not run is worth repeating.
	RetryAfter time.Duration
	// Version of the configuration that the request was answered by; 0 without one.
	Version uint64
	// Due is when the answer was due to be given, after the arrival; 0 when unknown.
	Due time.Duration
}

// Source is where a forwarder takes what is known from.
type Source interface {
	View() *directory.View
	// FleetSize is the size of the fleet that shares its budgets and the replicas'
	// connections, in units of this node.
	FleetSize() float64
}

// Options of a Forwarder.
type Options struct {
	Source  Source
	Backend *backend.Client
	Dialect backend.Dialect
	// DataCentre of this node.
	DataCentre string
	// BatchSender sends attempts at replicas of other data centres; nil for sending all
	// from this node.
	BatchSender BatchSender
	// RetryBudget bounds retries and hedges of the fleet.
	RetryBudget retrybudget.Bound
	Log         logrus.FieldLogger
	// Record is called with each ended request; may be nil.
	Record func(r *route.Route, a *Answer, took time.Duration)
}

// Forwarder forwards requests. Safe for concurrent use.
type Forwarder struct {
	opts Options

	// mu guards the maps. It is taken before service.mu and class.mu and not held
	// while they are.
	mu       sync.Mutex
	services map[string]*service
	classes  map[string]*class

	// lines bounds the log lines about requests.
	lines telemetry.LineBudget
	reach *reachability
	// replicas is those of the newest view by ID.
	replicas atomic.Pointer[map[string]*registry.Replica]
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	f := &Forwarder{
		opts:     o,
		services: make(map[string]*service),
		classes:  make(map[string]*class),
		reach:    newReachability(o.DataCentre, o.Backend, o.Log),
	}
	f.reach.waiting = f.waiting
	return f
}

// service is what this node knows of one service.
type service struct {
	// mu guards the fields below.
	mu     sync.Mutex
	set    *upstream.Balancer
	budget *retrybudget.Budget
	// replicas that the set was made from.
	replicas []*registry.Replica
}

// service returns the tables of a service.
func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = &service{
			set:    upstream.NewBalancer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
			budget: retrybudget.New(f.opts.RetryBudget, time.Now()),
		}
		f.services[name] = s
	}
	return s
}

// Update takes a new view: connections to replicas that are gone are closed once they
// are idle, and tables of services and routes that are gone are dropped.
func (f *Forwarder) Update(v *directory.View) {
	f.reach.keep(v)
	size := f.opts.Source.FleetSize()
	known := make(map[string]*registry.Replica)
	for name, replicas := range v.Replicas {
		limit := connectionShare(v.Index.Service(name), size)
		for _, r := range replicas {
			known[r.ID] = r
			f.opts.Backend.SetConnections(r.ID, limit)
		}
		f.forget(f.service(name).keep(replicas), known)
	}
	f.replicas.Store(&known)
	for name, s := range f.drop(v) {
		if len(v.Replicas[name]) == 0 {
			f.forget(s.keep(nil), known)
		}
	}
}

// drop forgets services and routes that are in the configuration no more, and returns
// all services that were known.
func (f *Forwarder) drop(v *directory.View) map[string]*service {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := maps.Clone(f.services)
	for name := range f.services {
		if len(v.Replicas[name]) == 0 && v.Index.Service(name) == nil {
			delete(f.services, name)
		}
	}
	for name := range f.classes {
		if !v.Index.HasRoute(name) {
			delete(f.classes, name)
		}
	}
	return before
}

// keep replaces the usable replicas and returns those before.
func (s *service) keep(replicas []*registry.Replica) (before []*registry.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, s.replicas = s.replicas, replicas
	s.set.SetReplicas(replicas)
	return before
}

// forget drops the connections to replicas that are not known any more.
func (f *Forwarder) forget(previous []*registry.Replica, known map[string]*registry.Replica) {
	for _, r := range previous {
		if known[r.ID] == nil {
			f.opts.Backend.Forget(r.ID)
		}
	}
}

// assumedConnections is a replica's limit while the configuration does not name its
// service yet.
const assumedConnections = 16

// connectionShare is this node's part of a replica's connections. One node more than
// are known is reckoned with, so that the sum stays under the limit while one joins.
func connectionShare(s *route.Service, size float64) int {
	limit := assumedConnections
	if s != nil && s.MaxConnections > 0 {
		limit = s.MaxConnections
	}
	return max(1, int(float64(limit)/(size+1)))
}

// Serve answers one request. It returns when the answer is known; ctx ends when the
// caller has gone.
func (f *Forwarder) Serve(ctx context.Context, req *Request) Answer {
	view := f.opts.Source.View()
	if view == nil {
		return f.refuse(req, "no configuration is known yet", startRetryAfter)
	}
	r := view.Index.Match(req.Host, req.Path)
	if r == nil {
		f.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "version": view.Index.Version, "outcome": NoRoute.String(),
		}).Debug("no route")
		return Answer{Outcome: NoRoute, Version: view.Index.Version}
	}
	c := f.class(r)
	q := newRun(f, view, r, c, req)
	a := q.serve(ctx)
	a.Version = view.Index.Version
	a.Due = q.due()
	if f.opts.Record != nil {
		f.opts.Record(r, &a, time.Since(req.Arrived))
	}
	return a
}

// startRetryAfter is how long a node takes from its start to its first configuration,
// with room for a slow store.
const startRetryAfter = 500 * time.Millisecond

func (f *Forwarder) refuse(req *Request, why string, after time.Duration) Answer {
	if f.lines.Take(time.Now(), true) {
		f.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "outcome": NotRun.String(), "retry_after_ms": after.Milliseconds(),
		}).Info(why)
	}
	return Answer{Outcome: NotRun, RetryAfter: after}
}
