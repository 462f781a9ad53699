package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/owner"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/telemetry"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/query"
)

const (
	// assembleMargin is the part of the deadline reserved for assembling and
	// sending the answer.
	assembleMargin = 2 * time.Millisecond
	// earlyAnswerPercent is the percentage of the deadline after which a service
	// that prefers latency may return a partial answer. earlyAnswerCoverage is the
	// minimum coverage of that answer.
	earlyAnswerPercent  = 60
	earlyAnswerCoverage = 0.9
)

// Errors returned for a request that names an unknown service or class.
var (
	ErrUnknownService = errors.New("unknown service")
	ErrUnknownClass   = errors.New("unknown class")
)

// Fleet provides the configuration and the owners of replicas.
type Fleet interface {
	Index() *config.Index
	Owners(r *config.Replica) []fleet.Member
	Self() fleet.Member
	Ready() (bool, string)
	// ReportCallFailure reports a failed call to a peer to the failure detector.
	ReportCallFailure(node string)
}

// Peers sends messages to other owners.
type Peers interface {
	Scatter(ctx context.Context, to fleet.Member, req *pb.ScatterRequest, receive func(*pb.ScatterResponse)) ([]*pb.SubrequestResult, error)
	Cancel(ctx context.Context, to fleet.Member, attempts []uint64) error
	Execute(ctx context.Context, to fleet.Member, req *pb.ExecuteRequest) *pb.ExecuteResponse
}

// Local is the owner on this node.
type Local interface {
	Submit(ctx context.Context, req owner.Request, reply func(*pb.SubrequestResult))
	Execute(ctx context.Context, req owner.Request) *pb.SubrequestResult
	ReportsSince(service string, since uint64) ([]*pb.ReplicaNews, uint64)
}

// Options configures an Entry.
type Options struct {
	Fleet      Fleet
	Peers      Peers
	Local      Local
	Ring       *ring.Ring
	Metrics    *telemetry.Metrics
	MaxQueries int
	// Boot identifies this start of the node in attempt ids.
	Boot uint64
}

// Entry runs requests of callers. Safe for concurrent use.
type Entry struct {
	Options
	attempts     atomic.Uint64
	unresponsive unresponsivePeers

	// mu guards services.
	mu       sync.Mutex
	services map[string]*tables
}

// New returns an Entry without information about replicas.
func New(o Options) *Entry {
	return &Entry{Options: o, services: make(map[string]*tables)}
}

// Request is a read request of a caller.
type Request struct {
	Service string
	Class   string
	Query   []byte
	// Deadline is relative to the start of the request; 0 selects the service's
	// default.
	Deadline time.Duration
	Trace    bool
}

// Result is the result of a read request.
type Result struct {
	*query.Answer
	// Reason is set for a refused request.
	Reason        pb.Reason
	RetryAfter    time.Duration
	ConfigVersion uint64
}

func (e *Entry) tablesOf(svc *config.Service) *tables {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.services[svc.Name]
	if t == nil {
		seed := rand.NewPCG(e.Boot, uint64(len(e.services)))
		t = newTables(svc, e.MaxQueries, rand.New(seed))
		e.services[svc.Name] = t
	}
	return t
}

// Query runs a read request and returns its result.
func (e *Entry) Query(ctx context.Context, req Request) (*Result, error) {
	started := time.Now()
	index := e.Fleet.Index()
	if index == nil {
		return refusedResult(0, pb.Reason_REASON_UNREADY, time.Second), nil
	}
	svc := index.Services[req.Service]
	if svc == nil {
		return nil, errors.Wrap(ErrUnknownService, req.Service)
	}
	class := svc.Classes[req.Class]
	if class == nil {
		return nil, errors.Wrap(ErrUnknownClass, req.Class)
	}
	timeLimit := DeadlineFor(svc, req.Deadline)
	t := e.tablesOf(svc)
	decision := t.admit(started, class, timeLimit-assembleMargin)
	if !decision.Admitted() {
		e.Ring.Add(ring.QueryRefused, svc.Name, decision.Reason.String())
		e.Metrics.Refused(svc.Name, class.GetName(), decision.Reason)
		return refusedResult(index.Version, decision.Reason, decision.RetryAfter), nil
	}
	answer := e.run(ctx, svc, t, req, started.Add(timeLimit))
	elapsed := time.Since(started)
	t.recordEnd(time.Now(), class, elapsed, !degradedByLoad(answer))
	e.observe(svc, class, answer, elapsed, timeLimit)
	return &Result{Answer: answer, ConfigVersion: index.Version}, nil
}

// DeadlineFor returns the deadline of a request: the requested one, limited to the
// service's maximum, or the service's default.
func DeadlineFor(svc *config.Service, requested time.Duration) time.Duration {
	if requested <= 0 {
		return svc.DefaultDeadline
	}
	return min(requested, svc.MaxDeadline)
}

func refusedResult(version uint64, reason pb.Reason, retryAfter time.Duration) *Result {
	return &Result{
		Answer:        &query.Answer{Outcome: query.Refused},
		Reason:        reason,
		RetryAfter:    retryAfter,
		ConfigVersion: version,
	}
}

// degradedByLoad reports whether shards are absent from an answer because of load.
func degradedByLoad(answer *query.Answer) bool {
	for _, absent := range answer.Absent {
		switch absent.Reason {
		case pb.Reason_REASON_DEADLINE, pb.Reason_REASON_LIMIT, pb.Reason_REASON_SHED:
			return true
		}
	}
	return false
}

func (e *Entry) observe(svc *config.Service, class *pb.Class, answer *query.Answer, elapsed, timeLimit time.Duration) {
	if answer.Outcome == query.Partial {
		e.Ring.Add(ring.QueryPartial, svc.Name, answer.Absent[0].Shard+" "+answer.Absent[0].Reason.String())
	}
	m := e.Metrics
	m.Query(telemetry.Query{
		Service:  svc.Name,
		Class:    class.GetName(),
		Outcome:  metricOutcome(answer.Outcome),
		Latency:  elapsed,
		Coverage: answer.Coverage,
		Weight:   class.GetWeight(),
		OnTime:   elapsed <= timeLimit,
	})
	for _, r := range answer.Results {
		m.Subrequest(telemetry.Subrequest{
			Service:   svc.Name,
			Class:     class.GetName(),
			Attempts:  r.Attempts,
			QueueTime: r.Queued,
			Latency:   r.Took,
		})
	}
	for _, a := range answer.Absent {
		m.AbsentShard(svc.Name, class.GetName(), a.Reason)
	}
	e.observeStats(svc, class, answer.Stats)
}

func (e *Entry) observeStats(svc *config.Service, class *pb.Class, stats query.Stats) {
	for range stats.Hedges {
		e.Metrics.Hedge(svc.Name, class.GetName())
	}
	for range stats.Retries {
		e.Metrics.Retry(svc.Name, class.GetName())
	}
	for range stats.WarmUps {
		e.Metrics.WarmUp(svc.Name, class.GetName())
	}
	for range stats.Dropped {
		e.Metrics.DroppedReply(svc.Name, pb.Reason_REASON_MISMATCH)
	}
	for range stats.Restarts {
		e.Metrics.Restart(svc.Name, class.GetName())
	}
}

func metricOutcome(outcome query.Outcome) telemetry.Outcome {
	switch outcome {
	case query.Complete:
		return telemetry.OutcomeComplete
	case query.Partial:
		return telemetry.OutcomePartial
	case query.Refused:
		return telemetry.OutcomeRefused
	default:
		return telemetry.OutcomeUnknown
	}
}
