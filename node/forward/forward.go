// Package forward forwards callers' requests to replicas found at run time: to one
// replica, or to one replica of every shard, whose parts it merges. Decisions are made by
// the packages in policy/; this package does the I/O.
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
	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/intake"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/retrybudget"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/policy/upgrade"
	"github.com/carobmill/carobmill/policy/upstream"
)

// Request is a caller's request with its whole body.
type Request struct {
	ID     string
	Method string
	// Target is the request target as received. Path is its part before the query.
	Target string
	Path   string
	Host   string
	// Header holds the end-to-end headers without the Authorization header. It is not
	// modified.
	Header http.Header
	// Credentials holds the values of the Authorization header until the request is
	// authenticated. Account is then the name of its account; empty without one.
	Credentials []string
	Account     string
	Body        []byte
	// Arrived is when the request's first bytes were read. CallerTimeout is how long the
	// caller waits from then on; 0 when the caller did not state it.
	Arrived       time.Time
	CallerTimeout time.Duration
	// AnswerBy is when the node that received the request stops; zero if it does not.
	AnswerBy time.Time
	// TransitReserve is the part of the route's objective that is spent outside the
	// gathering node: transit between the caller and its node, and of the answer through
	// other nodes; 0 when unknown.
	TransitReserve time.Duration
	// DeliveryDelay is the part of TransitReserve that the node which received the request
	// estimates for an answer's way from the gathering node to it.
	DeliveryDelay time.Duration
	// LinkBytesPerSecond is what the network link of the node that received the request
	// transfers; 0 when unknown.
	LinkBytesPerSecond float64
	// TakeMemory takes memory in bytes for copies of the request, before they are made and
	// until the request ends. It returns false if there is none. Nil means no bound.
	TakeMemory func(size int64) bool
}

// HasMemory reports whether there is memory of this size for copies of the request.
func (r *Request) HasMemory(size int64) bool {
	return size == 0 || r.TakeMemory == nil || r.TakeMemory(size)
}

// MessageCost returns the memory of a message to another node with the request.
func (r *Request) MessageCost() int64 {
	headers, size := r.headerSize()
	return intake.MessageCost(headers, size, len(r.Body))
}

// ReceivedCost returns the memory of the request if it came in a message from another node.
func (r *Request) ReceivedCost() int64 {
	headers, size := r.headerSize()
	return intake.ReceivedCost(headers, size, len(r.Body))
}

// headerSize returns the number of header lines and their size in bytes.
func (r *Request) headerSize() (lines, size int) {
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return lines, size
}

// Outcome is how a request ended.
type Outcome int

// Outcomes.
const (
	// Passed: a replica's answer, forwarded unchanged.
	Passed Outcome = iota
	// Merged: the greatest records of the shards that answered, merged.
	Merged
	// NoRoute: no route of the configuration matches the request.
	NoRoute
	// NotRun: no replica has run the request or will run it.
	NotRun
	// Failed: the request may have run, but there is no answer.
	Failed
	// Late: the deadline has passed; the request may have run.
	Late
	// Unauthenticated: the request has no valid key, and its route requires one.
	Unauthenticated
	// OverCap: the usage cap of the request's account is used up. No replica has run the
	// request or will run it.
	OverCap
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"passed", "merged", "no_route", "not_run", "failed", "late", "unauthenticated", "over_cap"}[o]
}

// Answer is the result of a request.
type Answer struct {
	Outcome Outcome
	// Status, Header and Body of a passed answer; Status and Body of a merged one. The Body of
	// an unauthenticated request states the reason.
	Status int
	Header http.Header
	Body   []byte
	// Signatures are those of the merged parts. Missing is the number of shards without a
	// part.
	Signatures []string
	Missing    int
	// RetryAfter is the delay after which a request that was not run may be repeated.
	RetryAfter time.Duration
	// Version is that of the configuration that was used; 0 without one.
	Version uint64
	// Due is when the answer was due, counted from the arrival; 0 when unknown.
	Due time.Duration
}

// Source provides the view and the fleet's size.
type Source interface {
	View() *directory.View
	// FleetSize is the size of the fleet that shares the budgets and the replicas'
	// connections, in units of this node's capacity.
	FleetSize() float64
	// LastAnswer is the time of the store's last answer to this node.
	LastAnswer() time.Time
}

// Options of a Forwarder.
type Options struct {
	Source  Source
	Backend *backend.Client
	Dialect backend.Dialect
	// Node and DataCentre are those of this node.
	Node, DataCentre string
	// BatchSender sends attempts at replicas of other data centres through nodes there. If
	// nil, this node sends all attempts itself.
	BatchSender BatchSender
	// RetryBudget bounds the retries and hedges of the whole fleet.
	RetryBudget retrybudget.Bound
	// Exposure bounds the requests of the whole fleet to a version on trial.
	Exposure upgrade.Bound
	// RevocationBound is the time after which a node without an answer of the store refuses
	// requests that need a key; 0 if the last view stays in use.
	RevocationBound time.Duration
	Log             logrus.FieldLogger
	// Quota limits the requests of accounts to their usage caps; may be nil.
	Quota Quota
	// Observer receives what this node observes of replicas; may be nil.
	Observer Observer
	// Record is called with each request that matched a route and the name of its account,
	// empty without one; may be nil.
	Record func(r *route.Route, account string, a *Answer, took time.Duration)
	// Capacity is the number of processor cores of this node; 0 for no bound.
	Capacity float64
	// FairAdmission is set if requests are admitted by priority and account even where the
	// configuration has no accounts.
	FairAdmission bool
	// Admitted is called with each decision about a request where requests are admitted by
	// priority and account; may be nil.
	Admitted func(Admission)
	// Event receives decisions about requests that crash replicas; may be nil.
	Event func(kind, subject, detail string)
	// SuspectsChanged is called when SuspectChanges or Quarantined have new results; may be
	// nil.
	SuspectsChanged func()
}

// Forwarder forwards requests. Safe for concurrent use.
type Forwarder struct {
	opts Options

	// mu guards the maps. It is released before service.mu or class.mu is locked.
	mu       sync.Mutex
	services map[string]*service
	classes  map[string]*class

	// logLimiter bounds the rate of log lines about requests.
	logLimiter telemetry.LogLimiter
	// loadLogLimiter bounds the rate of log lines about load reports that are not valid.
	loadLogLimiter telemetry.LogLimiter
	// trust is shared by the balancers of all services.
	trust     load.Trust
	reach     *reachability
	suspects  *suspects
	admission *admission
	// stop is set once the stop of this node is planned.
	stop atomic.Pointer[Stop]
	// gates is the number of services with a gate.
	gates atomic.Int64
	// replicas holds the replicas of the newest view by ID.
	replicas atomic.Pointer[map[string]*registry.Replica]
}

// New returns a forwarder without replicas; Update adds them.
func New(o Options) *Forwarder {
	if o.Event == nil {
		o.Event = func(string, string, string) {}
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.SuspectsChanged == nil {
		o.SuspectsChanged = func() {}
	}
	f := &Forwarder{
		opts:     o,
		services: make(map[string]*service),
		classes:  make(map[string]*class),
		reach:    newReachability(o.DataCentre, o.Backend, o.Log),
		suspects: newSuspects(o.Backend, o.Event, o.SuspectsChanged),
	}
	f.reach.pending = f.pendingAttempts
	f.admission = newAdmission(f)
	return f
}

// service is the state of one service at this node.
type service struct {
	observer Observer
	// paced is set once a replica has reported a pace.
	paced atomic.Bool
	// mu guards the fields below.
	mu       sync.Mutex
	balancer *upstream.Balancer
	budget   *retrybudget.Budget
	// replicas are those of the balancer.
	replicas []*registry.Replica
	// gate is set while the service is upgraded.
	gate *upgrade.Gate
	// silent is set while all usable replicas are silent.
	silent bool
}

// service returns the state of a service, which is created if there is none.
func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = &service{
			observer: f.opts.Observer,
			balancer: upstream.NewBalancer(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
			budget:   retrybudget.New(f.opts.RetryBudget, time.Now()),
		}
		s.balancer.ShareTrust(&f.trust)
		f.services[name] = s
	}
	return s
}

// Prepare makes a new view servable before it is in use. Without it, requests that are served from
// the view would find no replica of a service that is new in it.
func (f *Forwarder) Prepare(v *directory.View) {
	if f.opts.Source.View() == nil {
		f.Update(v)
		return
	}
	size := f.opts.Source.FleetSize()
	for name := range v.Replicas {
		if s := f.service(name); !s.hasReplicas() {
			f.setConnections(name, v, size)
			f.updateService(name, s, v)
		}
	}
}

// Update applies a new view, which is in use already unless it is the first one. Connections to
// removed replicas are closed once they are idle. The state of removed services and routes is
// deleted.
func (f *Forwarder) Update(v *directory.View) {
	f.reach.update(v)
	size := f.opts.Source.FleetSize()
	current := make(map[string]*registry.Replica)
	for name, replicas := range v.Replicas {
		f.service(name)
		f.setConnections(name, v, size)
		for _, r := range replicas {
			current[r.ID] = r
		}
	}
	f.replicas.Store(&current)
	f.createOrdered(v)
	for name, s := range f.removeUnconfigured(v) {
		f.closeRemoved(f.updateService(name, s, v), current)
	}
}

// setConnections sets the connection limits of the replicas of a service in a new view.
func (f *Forwarder) setConnections(name string, v *directory.View, size float64) {
	limit := connectionShare(v.Index.Service(name), size)
	for _, r := range v.Replicas[name] {
		f.opts.Backend.SetConnections(r.ID, limit)
	}
}

// updateService applies the replicas and the upgrade of a service in a new view, and returns the
// replicas before. They change together: without the gate of an upgrade that has ended, replicas
// that the upgrade excludes would receive requests.
func (f *Forwarder) updateService(name string, s *service, v *directory.View) (before []*registry.Replica) {
	replicas := v.Replicas[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	f.updateGate(s, v.Upgrades[name])
	before, s.replicas = s.replicas, replicas
	s.balancer.SetReplicas(replicas)
	if s.gate != nil {
		s.gate.SetReplicas(replicas)
	}
	return before
}

// addressOf returns the address of a replica of the newest view; empty for another one.
func (f *Forwarder) addressOf(id string) string {
	if current := f.replicas.Load(); current != nil && (*current)[id] != nil {
		return (*current)[id].Address
	}
	return ""
}

// hasReplicas reports whether the service has usable replicas.
func (s *service) hasReplicas() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.replicas) > 0
}

// removeUnconfigured deletes the state of routes that the configuration no longer contains,
// and of services that it no longer contains and that have no replicas. It returns all
// services from before.
func (f *Forwarder) removeUnconfigured(v *directory.View) map[string]*service {
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

// closeRemoved closes the connections to those previous replicas that are not in current.
func (f *Forwarder) closeRemoved(previous []*registry.Replica, current map[string]*registry.Replica) {
	for _, r := range previous {
		if current[r.ID] == nil {
			f.opts.Backend.Forget(r.ID)
		}
	}
}

// defaultMaxConnections is the connection limit of a replica whose service has no limit in
// the configuration.
const defaultMaxConnections = 16

// connectionShare returns this node's share of a replica's connection limit. The fleet is
// counted as larger by one node, so that the sum stays within the limit while a node joins.
func connectionShare(s *route.Service, size float64) int {
	limit := defaultMaxConnections
	if s != nil && s.MaxConnections > 0 {
		limit = s.MaxConnections
	}
	return max(1, int(float64(limit)/(size+1)))
}

// Serve answers one request. ctx must end when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, req *Request) Answer {
	view := f.opts.Source.View()
	if view == nil {
		return f.refuse(req, "no configuration received yet", startRetryAfter)
	}
	r := view.Index.Match(req.Host, req.Path)
	if r == nil {
		f.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "version": view.Index.Version, "outcome": NoRoute.String(),
		}).Debug("no route")
		return Answer{Outcome: NoRoute, Version: view.Index.Version}
	}
	if f.keysOutdated(view.Index, r) {
		return f.refuse(req, "the keys of the configuration may be outdated", startRetryAfter)
	}
	authenticated, holder, fault := authenticate(view.Index, r, req)
	var a Answer
	if fault != "" {
		a = f.rejectUnauthenticated(req, r, view.Index.Version, fault)
	} else {
		a = f.serveAccount(ctx, view, r, authenticated, holder)
	}
	a.Version = view.Index.Version
	if f.opts.Record != nil {
		f.opts.Record(r, authenticated.Account, &a, time.Since(req.Arrived))
	}
	return a
}

// serveAccount answers an authenticated request within the usage cap of its account, which is
// nil for a request without one.
func (f *Forwarder) serveAccount(ctx context.Context, view *directory.View, r *route.Route, req *Request, holder *account.Account) Answer {
	if refusal, ok := f.admit(ctx, r, req, holder); !ok {
		return refusal
	}
	q := newExchange(f, view, r, f.class(r), req)
	a := q.serve(ctx)
	a.Due = q.dueAt()
	if a.Outcome == NotRun && holder != nil && f.opts.Quota != nil {
		f.opts.Quota.Return(holder.Name)
	}
	return a
}

// memoryRetryAfter covers the time in which requests that stall give way to others.
const memoryRetryAfter = time.Second

// startRetryAfter covers the time from a node's start to its first configuration, with a
// slow store.
const startRetryAfter = 500 * time.Millisecond

func (f *Forwarder) refuse(req *Request, reason string, after time.Duration) Answer {
	if f.logLimiter.Allow(time.Now(), true) {
		f.opts.Log.WithFields(logrus.Fields{
			"request": req.ID, "outcome": NotRun.String(), "retry_after_ms": after.Milliseconds(),
		}).Info(reason)
	}
	return Answer{Outcome: NotRun, RetryAfter: after}
}
