// Package directory follows the operators' configuration, the replicas that register
// themselves, the data centres that are out and the fleet's own nodes in the platform's
// store, and publishes them as one immutable View.
package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
)

// Kinds of failure of a Store, to be tested with errors.Is. Any other error means that
// the store did not answer.
var (
	// ErrCompacted: the history after the stated revision is gone; read anew.
	ErrCompacted = errors.New("history was compacted")
	// ErrLeaseEnded: the lease has lapsed or was revoked.
	ErrLeaseEnded = errors.New("lease has ended")
)

// Area is a part of the store.
type Area int

// Areas.
const (
	AreaReplicas Area = iota
	AreaNodes
	AreaOperators
)

// Record is one item of the store, decoded. One of the pointers or names is set,
// unless the record is removed or unreadable.
type Record struct {
	Area Area
	// Name identifies the record inside its area; for a replica its ID.
	Name     string
	Revision uint64
	Removed  bool
	// DecodeError tells why a value could not be read. It names no replica to use.
	DecodeError error

	Configuration *route.Configuration
	Replica       *registry.Replica
	// ColdRemaining of the replica when the record was written.
	ColdRemaining time.Duration
	// ExcludedDataCentre names a data centre that must get nothing.
	ExcludedDataCentre string
	Node               *coordinator.Member
}

// Page is a part of an area, or what has changed.
type Page struct {
	Records []Record
	// Revision of the store that the page reflects.
	Revision uint64
	// NextCursor is the mark to go on after; empty on the last page.
	NextCursor string
}

// Store is the platform's store, in terms of the product. Implementations translate
// and do not retry.
type Store interface {
	// Read returns the page of all areas that begins after a mark; the first one begins
	// after none.
	Read(ctx context.Context, after string) (Page, error)
	// Watch waits until something changed after the revision, at most that long.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Nodes returns the registered nodes; the answer may be seconds old, and costs a
	// tenth of another reading.
	Nodes(ctx context.Context) (Page, error)
	// Register registers a node under a new lease.
	Register(ctx context.Context, node coordinator.Member, ttl time.Duration) (lease uint64, err error)
	// Renew keeps a lease.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and what is registered under it.
	Revoke(ctx context.Context, lease uint64) error
}
