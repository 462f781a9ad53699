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
	// DefaultMaxOpen bounds the requests that run or whose claim is not yet completed.
	DefaultMaxOpen = 4096
	// DefaultRetention is the minimum time that a completed claim is kept. A duplicate
	// within this time does not run again.
	DefaultRetention = 7 * 24 * time.Hour
	// DefaultClaimTimeout bounds one read or write of a claim.
	DefaultClaimTimeout = time.Second
)

// Sender sends a request to a replica through one of its owners. It sends the request
// at most once, over one connection, and never retries. The response's evidence is
// UNKNOWN unless the sender has proof that the request ran or did not run. Execute
// returns when ctx ends at the latest.
type Sender interface {
	Execute(ctx context.Context, replica *config.Replica, req *pb.ExecuteRequest) *pb.ExecuteResponse
}

// Claims is the part of the platform's key-value service that claims need.
type Claims interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error)
}

// Leases let completed claims expire after the retention.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	CompareAndSwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease platform.LeaseID) (uint64, error)
}

// Picker chooses a replica of a shard for which excluded is false. Pick returns nil if
// no such replica can accept the request now.
type Picker interface {
	Pick(shard *config.Shard, excluded func(*config.Replica) bool) *config.Replica
}

// Options of an Executor. Sender, Claims, Picker and Index are required.
type Options struct {
	Fleet  string
	Index  func() *config.Index
	Sender Sender
	Claims Claims
	Picker Picker
	// Leases may be nil. Completed claims then never expire.
	Leases Leases
	Log    logrus.FieldLogger
	// Event records a decision for operators. If it is nil, decisions are discarded.
	Event func(kind, subject, detail string)
	// NewID returns an id that is unique across nodes and restarts.
	NewID func() string

	// The fields below take their defaults if 0.
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

// Errors of requests with an unknown name. The request did not run.
var (
	ErrUnknownService = errors.New("unknown service")
	ErrUnknownClass   = errors.New("unknown class")
	ErrUnknownShard   = errors.New("unknown shard")
)

// Request is a caller's non-idempotent request.
type Request struct {
	Service string
	Class   string
	// Shard is the name of the shard. If it is empty, the shard is chosen by Key.
	Shard string
	Key   string
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	Body           []byte
	// Deadline is relative to the call of Execute. 0 selects the service's default, and
	// larger values are reduced to the service's maximum. Nothing is sent after it, and
	// the caller is answered by then.
	Deadline time.Duration
}

// Outcome is the result that the caller receives.
type Outcome struct {
	dispatch.Outcome
	// ConfigVersion is the version of the configuration at the start of the request.
	ConfigVersion uint64
	// Err is set instead of an outcome if the request contains an unknown name.
	Err error
}
