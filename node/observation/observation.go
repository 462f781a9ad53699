// Package observation exchanges what this node observes of replicas with the collector of its
// data centre, and collects the observations of other nodes. policy/observation decides; this
// package does the I/O.
package observation

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/observation"
)

const (
	// checkInterval is the time between two checks whether an exchange is due.
	checkInterval = 20 * time.Millisecond
	// inactiveInterval is that while observations are not exchanged.
	inactiveInterval = 250 * time.Millisecond
	// pacedFor is how long observations are exchanged after a replica has reported its pace.
	pacedFor = 10 * time.Second
)

// Peers exchanges observations with other nodes. bytes is the size of the two messages.
type Peers interface {
	ExchangeObservations(ctx context.Context, to coordinator.Member, r *observation.Report) (reply observation.Reply, bytes int, err error)
}

// Options of an Exchange.
type Options struct {
	Self coordinator.Member
	// Boot identifies this run of the process.
	Boot  uint64
	Peers Peers
	// Fleet returns the registered nodes.
	Fleet func() coordinator.Fleet
	// Available reports whether this node may collect the observations of others.
	Available func() bool
	// Isolated reports whether this node reaches no other data centre.
	Isolated func() bool
	// Always is set if observations are exchanged even where no replica reports its pace.
	Always bool
	// Apply passes received observations to the balancers.
	Apply func([]observation.Observation)
	Log   logrus.FieldLogger
	// Event receives changes of the collector; may be nil.
	Event func(kind, subject, detail string)
}

// eventCollector is the kind of decision for a new collector.
const eventCollector = "observation_collector"

// Exchange exchanges observations. Safe for concurrent use.
type Exchange struct {
	opts Options
	// pacedAt is when a replica last reported its pace, in nanoseconds since 1970.
	pacedAt atomic.Int64
	active  atomic.Bool
	// exchanges and failures count messages to a collector, this node included.
	exchanges, failures, bytes atomic.Uint64

	// mu guards the fields below.
	mu        sync.Mutex
	table     *observation.Table
	collector *observation.Collector
	sender    *observation.Sender
	name      string
	repliedAt time.Time
	replicas  map[string]string
	// fleet and members are the revision and the size of the sender's fleet.
	fleet   uint64
	members int
}

// New returns an Exchange, which Run starts.
func New(o Options) *Exchange {
	if o.Event == nil {
		o.Event = func(string, string, string) {}
	}
	return &Exchange{
		opts: o, table: observation.NewTable(), collector: observation.NewCollector(o.Boot),
		sender: observation.NewSender(o.Self),
	}
}

// SetReplicas sets the known replicas, with the data centre of each by ID.
func (e *Exchange) SetReplicas(dataCentres map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas = dataCentres
	e.table.SetReplicas(dataCentres)
	e.collector.SetReplicas(dataCentres)
}

// Sent records that this node sent an attempt to a replica.
func (e *Exchange) Sent(id string) {
	if !e.active.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Sent(time.Now(), id)
}

// Ended records the end of an attempt and the report of its answer.
func (e *Exchange) Ended(id string, outcome observation.Outcome, report load.Report, age time.Duration) {
	now := time.Now()
	e.noticePace(now, report)
	if !e.active.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Ended(now, id, outcome, report, age)
}

// Reported records the report of a replica to which this node sent an attempt of another node.
func (e *Exchange) Reported(id string, report load.Report, age time.Duration) {
	now := time.Now()
	e.noticePace(now, report)
	if !e.active.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Reported(now, id, report, age)
}

func (e *Exchange) noticePace(now time.Time, report load.Report) {
	if report.Paced() {
		e.pacedAt.Store(now.UnixNano())
	}
}

// Handle answers the report of another node.
func (e *Exchange) Handle(r *observation.Report) observation.Reply {
	if !e.opts.Available() {
		return observation.Reply{Unavailable: true}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.collector.Handle(time.Now(), r)
}

// Run exchanges observations until ctx ends. It sends none while no replica reports its pace,
// unless the setting demands it.
func (e *Exchange) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		next := inactiveInterval
		if e.updateActive(time.Now()) {
			e.exchange(ctx)
			next = checkInterval
		}
		timer.Reset(next)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

// updateActive reports whether observations are exchanged now.
func (e *Exchange) updateActive(now time.Time) bool {
	active := e.opts.Available() &&
		(e.opts.Always || now.Sub(time.Unix(0, e.pacedAt.Load())) < pacedFor)
	if e.active.Swap(active) != active {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.table = observation.NewTable()
		e.table.SetReplicas(e.replicas)
	}
	return active
}

// exchange makes the exchange that is due, and starts a probe that is due.
func (e *Exchange) exchange(ctx context.Context) {
	now := time.Now()
	e.mu.Lock()
	if f := e.opts.Fleet(); f.Revision != e.fleet || len(f.Members) != e.members {
		e.fleet, e.members = f.Revision, len(f.Members)
		e.sender.SetFleet(f)
	}
	isolated := e.opts.Isolated()
	if probe, due := e.sender.Probe(now); due {
		go e.probe(ctx, probe)
	}
	to, due := e.sender.Due(now, func() bool { return len(e.table.Outgoing(now, isolated, 1)) > 0 })
	if !due {
		e.mu.Unlock()
		return
	}
	report := &observation.Report{Node: e.opts.Self.Node, Boot: e.opts.Boot}
	report.Observations = e.table.Outgoing(now, isolated, e.sender.Limit(now, to))
	report.CollectorBoot, report.Cursor = e.sender.Position(to.Node)
	previous := e.name
	e.name = to.Node
	e.mu.Unlock()
	if previous != to.Node {
		e.opts.Event(eventCollector, to.Node, fmt.Sprintf("observations of replicas are collected by this node; before: %q", previous))
	}
	e.send(ctx, to, report)
}

// send sends a report to a collector, which may be this node, and applies the reply.
func (e *Exchange) send(ctx context.Context, to coordinator.Member, r *observation.Report) {
	e.exchanges.Add(1)
	var reply observation.Reply
	var bytes int
	var err error
	if to.Node == e.opts.Self.Node {
		e.mu.Lock()
		reply = e.collector.Handle(time.Now(), r)
		e.mu.Unlock()
	} else {
		reply, bytes, err = e.call(ctx, to, r)
	}
	now := time.Now()
	if err != nil || reply.Unavailable {
		e.failed(now, to, err)
		return
	}
	e.bytes.Add(uint64(bytes))
	e.mu.Lock()
	e.repliedAt = now
	if e.sender.Replied(now, to.Node, &reply, bytes) {
		e.table.ForgetDelivered()
	}
	e.table.Delivered(now, r.Observations)
	used := e.table.Receive(now, reply.Observations)
	e.mu.Unlock()
	if len(used) > 0 {
		e.opts.Apply(used)
	}
}

func (e *Exchange) call(ctx context.Context, to coordinator.Member, r *observation.Report) (observation.Reply, int, error) {
	ctx, cancel := context.WithTimeout(ctx, observation.Timeout)
	defer cancel()
	return e.opts.Peers.ExchangeObservations(ctx, to, r)
}

// failed records that a collector did not answer, or is unavailable if err is nil.
func (e *Exchange) failed(now time.Time, to coordinator.Member, err error) {
	e.failures.Add(1)
	e.mu.Lock()
	last := now.Sub(e.repliedAt)
	if e.repliedAt.IsZero() {
		last = 0
	}
	e.sender.Failed(now, to.Node, unimplemented(err))
	e.mu.Unlock()
	e.opts.Log.WithError(err).WithFields(logrus.Fields{
		"collector": to.Node, "unavailable": err == nil, "last_reply_ms": last.Milliseconds(),
	}).Info("collector of observations did not answer")
}

// unimplemented reports whether a node belongs to a release without the call.
func unimplemented(err error) bool { return status.Code(err) == codes.Unimplemented }

// probe asks a failed collector whether it is available again.
func (e *Exchange) probe(ctx context.Context, to coordinator.Member) {
	reply, _, err := e.call(ctx, to, &observation.Report{Node: e.opts.Self.Node, Boot: e.opts.Boot})
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || reply.Unavailable {
		e.sender.ProbeFailed(time.Now(), to.Node, unimplemented(err))
		return
	}
	e.sender.Recovered(to.Node)
}

// Stats is the state of the exchange, for operators.
type Stats struct {
	// Active is set while observations are exchanged, and Collector is the node that receives
	// those of this node.
	Active    bool
	Collector string
	// Trusted is set if received observations agree with those of this node.
	Trusted                    bool
	Exchanges, Failures, Bytes uint64
	observation.Counts
	// Rejected counts observations of other nodes that this node did not merge.
	Rejected uint64
	// Age is that of the last observation when it was received.
	Age time.Duration
}

// Stats returns the current state.
func (e *Exchange) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{
		Active: e.active.Load(), Collector: e.name, Trusted: e.table.Trusted(), Rejected: e.collector.Dropped(),
		Exchanges: e.exchanges.Load(), Failures: e.failures.Load(), Bytes: e.bytes.Load(),
	}
	s.Counts, s.Age = e.table.Counts()
	return s
}
