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

// Fleet is what an owner asks about the other nodes.
type Fleet interface {
	// Index is the configuration in force, nil when there is none.
	Index() *config.Index
	// Owners returns the nodes that own a replica, ranked.
	Owners(r *config.Replica) []fleet.Member
	// MayUseCold tells whether this node alone may use the replica while it is
	// cold.
	MayUseCold(r *config.Replica) bool
	// OwnersPerReplica is how many nodes may own a replica at once.
	OwnersPerReplica(r *config.Replica) int
	Self() fleet.Member
	// Revision rises whenever any of these answers may have changed.
	Revision() uint64
}

// Backend carries calls to backend servers.
type Backend interface {
	Do(ctx context.Context, call backend.Call) backend.Reply
	DoBatch(b backend.Batch) backend.Reply
	Poll(ctx context.Context, r *config.Replica) backend.Reply
	SetConnections(replica string, n int)
	Connections(replica string) int
	Forget(replica string)
}

// Reporter tells another owner of a replica about its state, and returns what
// that owner holds of it.
type Reporter interface {
	ReportReplica(ctx context.Context, to fleet.Member, req *pb.ReportReplicaRequest) (*pb.ReportReplicaResponse, error)
}

// Options are the parts that an Owner is built from.
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

	// background counts polls that were started out of turn.
	background sync.WaitGroup

	// mu guards replicas and recent.
	mu       sync.Mutex
	replicas map[string]*owned
	// recent is by service.
	recent map[string]*recent
}

// New returns an owner without replicas; they are taken up as the configuration
// in force and the members say.
func New(o Options) *Owner {
	return &Owner{Options: o, replicas: make(map[string]*owned), recent: make(map[string]*recent)}
}

// Request is one subrequest or non-idempotent request at one replica.
type Request struct {
	Service    string
	Class      string
	Shard      string
	Replica    string
	Generation uint64
	// Snapshot to serve; 0 leaves the choice to the replica. Unused by Execute.
	Snapshot uint64
	Body     []byte
	Attempt  uint64
	// Sender is the boot of the node that drew Attempt.
	Sender uint64
	// Extra marks a hedge, which never waits in a queue.
	Extra bool
	// Typical is the time that the service's replicas take, 0 when unknown.
	Typical time.Duration
	// Execute marks a non-idempotent request, with the id it has on every
	// attempt.
	Execute   bool
	RequestID string
}

// MaxMessageDuration is the longest time that a message can state: that of the longest deadline
// that a sheet allows.
const MaxMessageDuration = 600_000 * time.Millisecond

// DurationFromMicroseconds is a time out of a message. What is longer than MaxMessageDuration counts as
// that: a damaged message would else overflow, or hold a place for ever.
func DurationFromMicroseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64(MaxMessageDuration.Microseconds()))) * time.Microsecond
}

// FromExecute is the request of a message from the node with that boot.
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

// ToExecute is the answer to such a message.
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
// it returns. The context carries deadline and cancellation.
func (o *Owner) Submit(ctx context.Context, req Request, reply func(*pb.SubrequestResult)) {
	replica, refused := o.admit(req)
	if replica == nil {
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
func (o *Owner) admit(req Request) (*owned, pb.Reason) {
	index := o.Fleet.Index()
	if index == nil {
		return nil, pb.Reason_REASON_UNREADY
	}
	r := index.Replicas[req.Replica]
	if r == nil || r.Service.Name != req.Service {
		return nil, pb.Reason_REASON_NOT_OWNER
	}
	// Backend servers that operators have taken out, and those of a data
	// centre that is out, get no new work from any node that has the
	// configuration in force, whatever the sender still believes.
	if !r.InService {
		return nil, pb.Reason_REASON_LEAVING
	}
	if o.rank(r) < 0 {
		return nil, pb.Reason_REASON_NOT_OWNER
	}
	return o.owned(r), pb.Reason_REASON_UNSPECIFIED
}

// rank returns this node's place among the owners of a replica, -1 for none.
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

// owned returns the entry of a replica, made when this node first needs it.
func (o *Owner) owned(r *config.Replica) *owned {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.replicas[r.Name]
	if known != nil && known.address() == r.Address {
		return known
	}
	if known != nil {
		// Another backend server stands behind the name now.
		o.Backend.Forget(r.Name)
	}
	known = newOwned(o, r)
	o.replicas[r.Name] = known
	return known
}

// share returns the connections that this node may hold to a replica.
func (o *Owner) share(r *config.Replica) int {
	return ownership.ConnectionShare(int(r.Service.Spec.GetConnections()), o.Fleet.OwnersPerReplica(r))
}

// list returns the owned entries.
func (o *Owner) list() []*owned {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*owned, 0, len(o.replicas))
	for _, entry := range o.replicas {
		list = append(list, entry)
	}
	return list
}

// release drops the entry of a replica that this node no longer owns.
func (o *Owner) release(entry *owned) {
	o.mu.Lock()
	if o.replicas[entry.name] == entry {
		delete(o.replicas, entry.name)
	}
	o.mu.Unlock()
	o.Backend.Forget(entry.name)
}

// maxAttemptID is the length of the longest attempt id: 16 digits, a dash, 20 digits.
const maxAttemptID = 37

// attemptID names an attempt so that it differs across nodes and restarts.
func attemptID(req Request) string {
	id := make([]byte, 0, maxAttemptID)
	id = strconv.AppendUint(id, req.Sender, 16)
	id = append(id, '-')
	return string(strconv.AppendUint(id, req.Attempt, 10))
}

func notRun(req Request, why pb.Reason) *pb.SubrequestResult {
	return &pb.SubrequestResult{
		Attempt:  req.Attempt,
		Shard:    req.Shard,
		Replica:  req.Replica,
		Reason:   why,
		Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
	}
}
