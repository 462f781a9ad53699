// Package directory watches the platform's store for the operators' configuration, the
// registered replicas, the data centres excluded from service and the fleet's nodes. It
// publishes configuration and replicas as one immutable View.
package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/policy/upgrade"
)

// Errors of a Store, to be tested with errors.Is. Any other error means that the store
// did not answer.
var (
	// ErrCompacted: the history after the given revision was compacted; a full read is
	// required.
	ErrCompacted = errors.New("history was compacted")
	// ErrTooLarge: an answer exceeds the size limit of the Store, or did not arrive whole within
	// the call's timeout. After a Watch a full read is required, whose pages are small: the same
	// Watch would get the same answer again.
	ErrTooLarge = errors.New("the store's answer is too large")
	// ErrLeaseEnded: the lease has expired or was revoked.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrConflict: a key has changed since the revision that the write depends on.
	ErrConflict = errors.New("key was changed by another writer")
)

// Area is a part of the store.
type Area int

// Areas.
const (
	AreaReplicas Area = iota
	AreaNodes
	AreaOperators
	AreaQuarantine
	AreaUpgrades
)

// Record is one decoded item of the store. One of Configuration, Replica,
// ExcludedDataCentre, Node, Quarantined, Order, Status and Leader is set, unless the record is
// removed or cannot be decoded.
type Record struct {
	Area Area
	// Name identifies the record within its area. For a replica it is the ID.
	Name     string
	Revision uint64
	Removed  bool
	// DecodeError is why the value could not be decoded.
	DecodeError error
	// Stored is the record as the store holds it. Records of AreaReplicas have none.
	Stored StoredRecord

	Configuration *route.Configuration
	Replica       *registry.Replica
	// ColdRemaining is how much longer the replica is cold, as of when the record was
	// written.
	ColdRemaining time.Duration
	// ExcludedDataCentre names a data centre whose replicas must get no requests.
	ExcludedDataCentre string
	Node               *coordinator.Member
	// Quarantined is a request that a node has quarantined.
	Quarantined *quarantine.Fingerprint
	// Upgrade is the kind of a record of AreaUpgrades, whose Name is the service. Its
	// revision is that of the record.
	Upgrade UpgradeRecord
	Order   *upgrade.Order
	Status  *upgrade.Status
	Leader  *upgrade.Leader
}

// StoredRecord is a record with the store's own key and value, so that it can pass between
// nodes and be decoded by the same code everywhere.
type StoredRecord struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// UpgradeRecord is a kind of records about the upgrade of a service.
type UpgradeRecord int

// Kinds of records of AreaUpgrades.
const (
	UpgradeOrder UpgradeRecord = iota
	UpgradeStatus
	UpgradeLeader
)

// Page is a part of the store's records, or a set of changes.
type Page struct {
	Records []Record
	// Revision is the store's revision that the page reflects.
	Revision uint64
	// NextCursor is the cursor of the next page; empty on the last page.
	NextCursor string
}

// Store is the platform's store, in terms of this package. Implementations do not retry.
type Store interface {
	// Read returns the page, over all areas, that begins after a cursor. The first page
	// begins after the empty cursor.
	Read(ctx context.Context, cursor string) (Page, error)
	// ReadOthers returns the records of all areas but AreaReplicas. The page's revision is the
	// least at which any of them was read.
	ReadOthers(ctx context.Context) (Page, error)
	// Decode decodes a record that another node has read. ok is false if nodes do not use it.
	Decode(StoredRecord) (r Record, ok bool)
	// Watch returns the changes after a revision. It waits for the first one, at most for
	// the given time.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Nodes returns the registered nodes. The result may be seconds old; the call costs a
	// tenth of a Read.
	Nodes(ctx context.Context) (Page, error)
	// Register registers a node under a new lease.
	Register(ctx context.Context, node coordinator.Member, ttl time.Duration) (lease uint64, err error)
	// Renew extends a lease. It fails with ErrLeaseEnded when the lease is no longer valid.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and removes what is registered under it.
	Revoke(ctx context.Context, lease uint64) error
	// LeadUpgrade makes a node the leader of an upgrade under a new lease, and writes the
	// status Running unless the record has it. It fails with ErrConflict if the record has
	// changed in the store or has a leader. The lease is returned also when the outcome is
	// unknown.
	LeadUpgrade(ctx context.Context, r upgrade.Record, node string, ttl time.Duration) (term, lease uint64, err error)
	// EndUpgrade writes the final status of an upgrade and removes its leader. It fails with
	// ErrConflict if the record has changed in the store.
	EndUpgrade(ctx context.Context, r upgrade.Record, final upgrade.State) error
	// Quarantine records a quarantined request under a new lease, which is not renewed.
	Quarantine(ctx context.Context, request quarantine.Fingerprint, ttl time.Duration) error
}
