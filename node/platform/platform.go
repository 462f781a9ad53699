// Package platform is the client of the platform's key-value service and VM
// list. All calls of a node count against one rate limit, because the service
// limits calls and its limits grow more slowly than the fleet.
//
// Reads may be stale: an Entry is the value of the key at some earlier time. Use
// CompareAndSwap for decisions that need the current value.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Kinds of errors, for use with errors.Is.
var (
	// ErrNotFound: the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict: the key is not at the stated revision; nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrAmbiguous: the response to a write was lost. The write may have taken
	// effect or may still do so.
	ErrAmbiguous = errors.New("response to a write was lost")
	// ErrUnavailable: the service returned no usable response; nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrBudget: this node's call budget is exhausted; nothing was sent.
	ErrBudget = errors.New("platform call budget exhausted")
	// ErrTooLarge: the value exceeds the service's size limit; nothing was written.
	ErrTooLarge = errors.New("value exceeds the platform's size limit")
)

// Entry is the value of a key and the revision at which it was written.
type Entry struct {
	Value []byte
	// Revision is greater than 0 and increases with each write to the key.
	Revision uint64
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// VM is an entry of the platform's VM list, which may be stale.
type VM struct {
	Name        string
	DataCentre  string
	PeerAddress string
	Leaving     bool
}

// KV is the key-value service.
type KV interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key is at revision (0: absent) and
	// returns the new revision. Fails with ErrConflict, ErrAmbiguous,
	// ErrUnavailable, ErrBudget or ErrTooLarge.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error)
	// Watch waits until the key's revision is greater than after, and returns the
	// entry. A service that serves stale reads may return a lower revision at once;
	// the caller must then pause before the next Watch.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}

// Leases is the lease service. A lease expires unless it is kept alive; the keys
// attached to a lease are deleted when it expires or is revoked.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the lease's TTL; ErrNotFound if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	// CompareAndSwapLeased is KV.CompareAndSwap that also attaches the key to the
	// lease; ErrNotFound if the lease has expired.
	CompareAndSwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (uint64, error)
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// callError is the error of a call: its kind, and its cause if there is one.
type callError struct {
	kind  error
	op    string
	cause error
}

func (e *callError) Error() string {
	text := e.op + ": " + e.kind.Error()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap lets errors.Is match both the kind and the cause, such as
// context.DeadlineExceeded.
func (e *callError) Unwrap() []error {
	if e.cause == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.cause}
}
