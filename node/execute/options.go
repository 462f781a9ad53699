package execute

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/dispatch"
)

const (
	// DefaultMaxOpen bounds the requests that run or still settle their claim.
	DefaultMaxOpen = 4096
	// DefaultRetention is how long a settled claim, and with it a caller's key,
	// is remembered at least.
	DefaultRetention = 7 * 24 * time.Hour
	// DefaultClaimTimeout bounds one call to the platform for a claim.
	DefaultClaimTimeout = time.Second
)

// Sender sends a request to a replica through one of its owners: over one
// connection, once, whatever happens. The response's evidence is UNKNOWN unless
// the sender knows better. It returns when ctx ends at the latest.
type Sender interface {
	Execute(ctx context.Context, replica *config.Replica, req *pb.ExecuteRequest) *pb.ExecuteResponse
}

// Claims is the part of the platform's key-value service that claims need.
type Claims interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error)
}

// Leases let settled claims vanish after the retention.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	CompareAndSwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease platform.LeaseID) (uint64, error)
}

// Picker chooses a replica of a shard for which excluded is false, or nil when
// none can take the request now.
type Picker interface {
	Pick(shard *config.Shard, excluded func(*config.Replica) bool) *config.Replica
}

// Options of an Executor. Sender, Claims, Picker and Index are needed.
type Options struct {
	Fleet  string
	Index  func() *config.Index
	Sender Sender
	Claims Claims
	Picker Picker
	// Leases may be nil: settled claims are then kept for good.
	Leases Leases
	Log    logrus.FieldLogger
	// Event records a decision for operators; nil drops it.
	Event func(kind, subject, detail string)
	// NewID returns ids that are unique across nodes and restarts.
	NewID func() string

	// The numbers take their defaults when 0.
	MaxOpen           int
	MaxSends          int
	MaxResultBytes    int
	Retention         time.Duration
	CompletionTimeout time.Duration
	ClaimTimeout      time.Duration
}

func (o Options) withDefaults() Options {
	if o.Log == nil {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		o.Log = log
	}
	if o.Event == nil {
		o.Event = func(string, string, string) {}
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	if o.MaxOpen == 0 {
		o.MaxOpen = DefaultMaxOpen
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.ClaimTimeout == 0 {
		o.ClaimTimeout = DefaultClaimTimeout
	}
	return o
}

// Errors of requests that name something unknown; nothing was run.
var (
	ErrUnknownService = errors.New("unknown service")
	ErrUnknownClass   = errors.New("unknown class")
	ErrUnknownShard   = errors.New("unknown shard")
)

// Request is a caller's non-idempotent request.
type Request struct {
	Service string
	Class   string
	// Shard names the shard; when it is empty, Key chooses one.
	Shard string
	Key   string
	// IdempotencyKey is empty when the caller gave none.
	IdempotencyKey string
	Body           []byte
	// Deadline is the time allowed; 0 takes the service's default, and more than
	// its maximum is cut to that. Nothing is sent after it, and the caller has its
	// answer by then.
	Deadline time.Duration
}

// Outcome is what the caller is told.
type Outcome struct {
	dispatch.Outcome
	// ConfigVersion is the configuration that the request started under.
	ConfigVersion uint64
	// Err is set instead of an outcome when the request names something unknown.
	Err error
}
