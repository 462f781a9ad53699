package owner

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/ownership"
)

// Fleet provides the configuration and the ownership of replicas.
type Fleet interface {
	// Index returns the current configuration, or nil when there is none.
	Index() *config.Index
	// Owners returns the nodes that own a replica, ranked.
	Owners(r *config.Replica) []fleet.Member
	// MayUseCold reports whether this node has the exclusive right to use the
	// replica while it is cold.
	MayUseCold(r *config.Replica) bool
	// OwnersPerReplica returns the maximum number of nodes that own a replica.
	OwnersPerReplica(r *config.Replica) int
	Self() fleet.Member
	// Revision increases whenever a result of the other methods may have changed.
	Revision() uint64
}

// Backend sends calls to backend servers.
type Backend interface {
	Do(ctx context.Context, call backend.Call) backend.Reply
	DoBatch(b backend.Batch) backend.Reply
	Poll(ctx context.Context, r *config.Replica) backend.Reply
	// Refuses reports whether an address refuses connections.
	Refuses(ctx context.Context, address string) bool
	SetConnections(replica string, n int)
	Connections(replica string) int
	Forget(replica string)
}

// Reporter sends the state of a replica to another owner and returns the state that
// the other owner has recorded.
type Reporter interface {
	ReportReplica(ctx context.Context, to fleet.Member, req *pb.ReportReplicaRequest) (*pb.ReportReplicaResponse, error)
}

// Options configures an Owner.
type Options struct {
	Fleet    Fleet
	Backend  Backend
	Reporter Reporter
	Pool     *work.Pool
	Ring     *ring.Ring
	// PollInterval is the time between status polls of one replica.
	PollInterval time.Duration
	// Boot makes attempt ids unique across restarts of this node.
	Boot uint64
}

// Owner runs requests at owned replicas. Safe for concurrent use.
type Owner struct {
	Options
	// revision counts changes of state and snapshots of the replicas.
	revision atomic.Uint64

	suspects *suspects

	// background counts polls started outside the poll interval.
	background sync.WaitGroup

	// mu guards replicas and latencies.
	mu       sync.Mutex
	replicas map[string]*ownedReplica
	// latencies is indexed by service.
	latencies map[string]*latencyAverage
}

// New returns an owner without replicas. Replicas are added from the current
// configuration and membership.
func New(o Options) *Owner {
	return &Owner{Options: o, suspects: newSuspects(), replicas: make(map[string]*ownedReplica), latencies: make(map[string]*latencyAverage)}
}

// Request is one subrequest or non-idempotent request at one replica.
type Request struct {
	Service    string
	Class      string
	Shard      string
	Replica    string
	Generation uint64
	// Snapshot to read; 0 lets the replica choose. Not used by Execute.
	Snapshot uint64
	Body     []byte
	Attempt  uint64
	// Sender is the boot of the node that assigned Attempt.
	Sender uint64
	// Extra marks a hedge or a warm-up, which is never queued.
	Extra bool
	// Typical is the typical service time of the service's replicas, 0 if unknown.
	Typical time.Duration
	// Execute marks a non-idempotent request. All its attempts have the same
	// RequestID.
	Execute   bool
	RequestID string
	// Trial is set by the owner if the request is suspected of crashing replicas. It then
	// shares no call with others.
	Trial uint64
}

// MaxMessageDuration is the longest duration accepted from a message: the longest
// deadline that a sheet allows.
const MaxMessageDuration = 600_000 * time.Millisecond

// DurationFromMicroseconds converts a duration from a message and limits it to
// MaxMessageDuration. Without the limit, a damaged message could overflow the
// conversion or hold a slot for ever.
func DurationFromMicroseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64(MaxMessageDuration.Microseconds()))) * time.Microsecond
}

// FromExecute converts a message from the node with boot sender to a request.
func FromExecute(req *pb.ExecuteRequest, sender uint64) Request {
	return Request{
		Service:    req.GetService(),
		Class:      req.GetClass(),
		Shard:      req.GetShard(),
		Replica:    req.GetReplica(),
		Generation: req.GetGeneration(),
		Body:       req.GetBody(),
		Attempt:    req.GetAttempt(),
		Sender:     sender,
		Typical:    DurationFromMicroseconds(req.GetTypicalUs()),
		Execute:    true,
		RequestID:  req.GetRequestId(),
	}
}

// ToExecute converts the result of a non-idempotent request to a response message.
func ToExecute(r *pb.SubrequestResult) *pb.ExecuteResponse {
	return &pb.ExecuteResponse{
		Attempt:  r.GetAttempt(),
		Reason:   r.GetReason(),
		Evidence: r.GetEvidence(),
		Result:   r.GetResult(),
		News:     r.GetNews(),
	}
}

// Submit runs a request and calls reply once, from another goroutine or before
// Submit returns. The context sets the deadline and cancels the request.
func (o *Owner) Submit(ctx context.Context, req Request, reply func(*pb.SubrequestResult)) {
	replica, refused := o.admit(req)
	if replica == nil {
		reply(notRun(req, refused))
		return
	}
	if req.Trial, refused = o.suspects.admit(&req); refused != pb.Reason_REASON_UNSPECIFIED {
		reply(notRun(req, refused))
		return
	}
	replica.submit(&task{ctx: ctx, req: req, reply: reply, queuedAt: time.Now()})
}

// Execute runs a non-idempotent request and waits for its result.
func (o *Owner) Execute(ctx context.Context, req Request) *pb.SubrequestResult {
	done := make(chan *pb.SubrequestResult, 1)
	o.Submit(ctx, req, func(r *pb.SubrequestResult) { done <- r })
	return <-done
}

// admit returns the owned replica of a request, or the reason why this node may
// not use it.
func (o *Owner) admit(req Request) (*ownedReplica, pb.Reason) {
	index := o.Fleet.Index()
	if index == nil {
		return nil, pb.Reason_REASON_UNREADY
	}
	r := index.Replicas[req.Replica]
	if r == nil || r.Service.Name != req.Service {
		return nil, pb.Reason_REASON_NOT_OWNER
	}
	// A backend server or data centre that operators have taken out of service
	// receives no new requests, even if the sender has an older configuration.
	if !r.InService {
		return nil, pb.Reason_REASON_LEAVING
	}
	if o.rank(r) < 0 {
		return nil, pb.Reason_REASON_NOT_OWNER
	}
	return o.ensureReplica(r), pb.Reason_REASON_UNSPECIFIED
}

// rank returns this node's rank among the owners of a replica, or -1 if this node is
// not an owner.
func (o *Owner) rank(r *config.Replica) int {
	return rankAmong(o.Fleet.Owners(r), o.Fleet.Self().Name)
}

func rankAmong(owners []fleet.Member, name string) int {
	for i, m := range owners {
		if m.Name == name {
			return i
		}
	}
	return -1
}

// ensureReplica returns the state of an owned replica and creates the state if
// necessary.
func (o *Owner) ensureReplica(r *config.Replica) *ownedReplica {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := o.replicas[r.Name]
	if owned != nil && owned.address() == r.Address {
		return owned
	}
	if owned != nil {
		// The name now belongs to another backend server.
		o.Backend.Forget(r.Name)
	}
	owned = newOwnedReplica(o, r)
	o.replicas[r.Name] = owned
	return owned
}

// share returns the number of connections that this node may open to a replica.
func (o *Owner) share(r *config.Replica) int {
	return ownership.ConnectionShare(int(r.Service.Spec.GetConnections()), o.Fleet.OwnersPerReplica(r))
}

// list returns the owned replicas.
func (o *Owner) list() []*ownedReplica {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*ownedReplica, 0, len(o.replicas))
	for _, owned := range o.replicas {
		list = append(list, owned)
	}
	return list
}

// release removes a replica that this node no longer owns.
func (o *Owner) release(owned *ownedReplica) {
	o.mu.Lock()
	if o.replicas[owned.name] == owned {
		delete(o.replicas, owned.name)
	}
	o.mu.Unlock()
	o.Backend.Forget(owned.name)
}

// maxAttemptID is the maximum length of an attempt id: 16 digits, a dash, 20 digits.
const maxAttemptID = 37

// attemptID returns an id that is unique across nodes and restarts.
func attemptID(req Request) string {
	id := make([]byte, 0, maxAttemptID)
	id = strconv.AppendUint(id, req.Sender, 16)
	id = append(id, '-')
	return string(strconv.AppendUint(id, req.Attempt, 10))
}

func notRun(req Request, reason pb.Reason) *pb.SubrequestResult {
	return &pb.SubrequestResult{
		Attempt:  req.Attempt,
		Shard:    req.Shard,
		Replica:  req.Replica,
		Reason:   reason,
		Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
	}
}
