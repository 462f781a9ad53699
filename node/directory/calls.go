package directory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/upgrade"
)

// CallKind is a kind of calls to the store.
type CallKind int

// Kinds of calls.
const (
	CallRead CallKind = iota
	CallWatch
	CallNodes
	CallLease
	CallWrite
	callKinds
)

var callKindNames = [callKinds]string{"read", "watch", "nodes", "lease", "write"}

// CountedStore counts the calls to a store. Safe for concurrent use.
type CountedStore struct {
	Store
	counts [callKinds]atomic.Uint64
	// tooLarge counts the answers that failed with ErrTooLarge.
	tooLarge atomic.Uint64
}

// CountCalls returns a store that counts the calls to another one.
func CountCalls(s Store) *CountedStore { return &CountedStore{Store: s} }

// Calls returns the number of calls by the name of their kind.
func (s *CountedStore) Calls() map[string]uint64 {
	calls := make(map[string]uint64, callKinds)
	for kind, name := range callKindNames {
		calls[name] = s.counts[kind].Load()
	}
	return calls
}

// TooLarge returns the number of answers that failed with ErrTooLarge.
func (s *CountedStore) TooLarge() uint64 { return s.tooLarge.Load() }

// checkSize counts an answer that was too large.
func (s *CountedStore) checkSize(page Page, err error) (Page, error) {
	if errors.Is(err, ErrTooLarge) {
		s.tooLarge.Add(1)
	}
	return page, err
}

// Read implements Store.
func (s *CountedStore) Read(ctx context.Context, cursor string) (Page, error) {
	s.counts[CallRead].Add(1)
	return s.checkSize(s.Store.Read(ctx, cursor))
}

// ReadOthers implements Store.
func (s *CountedStore) ReadOthers(ctx context.Context) (Page, error) {
	s.counts[CallRead].Add(1)
	return s.checkSize(s.Store.ReadOthers(ctx))
}

// Watch implements Store.
func (s *CountedStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	s.counts[CallWatch].Add(1)
	return s.checkSize(s.Store.Watch(ctx, after, wait))
}

// Nodes implements Store.
func (s *CountedStore) Nodes(ctx context.Context) (Page, error) {
	s.counts[CallNodes].Add(1)
	return s.checkSize(s.Store.Nodes(ctx))
}

// Register implements Store.
func (s *CountedStore) Register(ctx context.Context, node coordinator.Member, ttl time.Duration) (uint64, error) {
	s.counts[CallLease].Add(1)
	return s.Store.Register(ctx, node, ttl)
}

// Renew implements Store.
func (s *CountedStore) Renew(ctx context.Context, lease uint64) error {
	s.counts[CallLease].Add(1)
	return s.Store.Renew(ctx, lease)
}

// Revoke implements Store.
func (s *CountedStore) Revoke(ctx context.Context, lease uint64) error {
	s.counts[CallLease].Add(1)
	return s.Store.Revoke(ctx, lease)
}

// LeadUpgrade implements Store.
func (s *CountedStore) LeadUpgrade(ctx context.Context, r upgrade.Record, node string, ttl time.Duration) (term, lease uint64, err error) {
	s.counts[CallWrite].Add(1)
	return s.Store.LeadUpgrade(ctx, r, node, ttl)
}

// EndUpgrade implements Store.
func (s *CountedStore) EndUpgrade(ctx context.Context, r upgrade.Record, final upgrade.State) error {
	s.counts[CallWrite].Add(1)
	return s.Store.EndUpgrade(ctx, r, final)
}

// Quarantine implements Store.
func (s *CountedStore) Quarantine(ctx context.Context, request quarantine.Fingerprint, ttl time.Duration) error {
	s.counts[CallWrite].Add(1)
	return s.Store.Quarantine(ctx, request, ttl)
}
