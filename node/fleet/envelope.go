package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/membership"
)

// ErrTooLarge reports an envelope with more member changes than a fleet can have
// members.
var ErrTooLarge = errors.New("envelope carries too many changes")

// NameMismatchError reports a message of another fleet.
type NameMismatchError struct {
	Fleet string
}

// Error returns a message with the name of the other fleet.
func (e *NameMismatchError) Error() string {
	return fmt.Sprintf("message of another fleet %q", e.Fleet)
}

// ProtocolMismatchError reports a message of another protocol version.
type ProtocolMismatchError struct {
	Protocol uint32
}

// Error returns a message with both protocol versions.
func (e *ProtocolMismatchError) Error() string {
	return fmt.Sprintf("message of protocol version %d, this node speaks %d", e.Protocol, Protocol)
}

// Envelope returns the envelope for a message to a peer. It contains the
// configuration version in force and the member changes that are queued for gossip.
func (f *Fleet) Envelope() *pb.Envelope {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.envelope(f.table.Changes())
}

// envelope returns an envelope with the given changes. The caller holds mu.
func (f *Fleet) envelope(changes []*pb.MemberChange) *pb.Envelope {
	self := f.table.Self()
	return &pb.Envelope{
		Fleet:         f.opts.Settings.GetFleet(),
		Protocol:      Protocol,
		Sender:        self.Name,
		Boot:          self.Boot,
		ConfigVersion: f.state.Version(),
		Changes:       changes,
	}
}

// pingEnvelope returns the envelope for a ping. It also contains this node's own
// entry, so that a member that missed the gossip about this node receives the entry
// within one round of pings. If the receiver is not alive in this node's table, its
// state is included, so that a receiver that is running can refute it. The second
// result is the queued changes to pass to markUnsent if the message is not
// answered.
func (f *Fleet) pingEnvelope(receiver membership.ID) (*pb.Envelope, []*pb.MemberChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	queued := f.table.Changes()
	changes := slices.Clone(queued)
	self := f.table.Self()
	if !containsMember(changes, self.ID()) {
		changes = append(changes, self.Change())
	}
	return f.envelope(f.withReceiverState(changes, receiver)), queued
}

// markUnsent marks changes as not sent, because their message was not answered.
func (f *Fleet) markUnsent(queued []*pb.MemberChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.MarkUnsent(queued)
}

// responseEnvelope returns the envelope for the response to a ping. It includes the
// states of the sender and of the requested target, if they are not alive in this
// node's table. The target is empty for a direct ping.
func (f *Fleet) responseEnvelope(sender membership.ID, target string) *pb.Envelope {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.withReceiverState(f.table.Changes(), sender)
	if target != "" {
		changes = append(changes, f.table.NonAliveChanges(target)...)
	}
	return f.envelope(changes)
}

// withReceiverState adds the state of the receiver, unless the receiver is alive.
// The caller holds mu.
func (f *Fleet) withReceiverState(changes []*pb.MemberChange, receiver membership.ID) []*pb.MemberChange {
	if change := f.table.NonAliveChange(receiver); change != nil {
		return append(changes, change)
	}
	return changes
}

func containsMember(changes []*pb.MemberChange, id membership.ID) bool {
	for _, c := range changes {
		if c.GetNode() == id.Name && c.GetBoot() == id.Boot {
			return true
		}
	}
	return false
}

// Receive validates and applies the envelope of a message from a peer. If it
// returns an error, the message must be discarded. The error is a
// *NameMismatchError, a *ProtocolMismatchError or ErrTooLarge.
func (f *Fleet) Receive(env *pb.Envelope) error {
	if err := f.checkEnvelope(env); err != nil {
		f.stats.refused.Add(1)
		return err
	}
	if len(env.GetChanges()) == 0 && env.GetConfigVersion() <= f.configVersion() {
		return nil
	}
	now := time.Now()
	hasPriority := false
	f.update(func() {
		for _, change := range env.GetChanges() {
			f.applyChange(now, change)
		}
		f.table.UpdateConfigVersion(membership.ID{Name: env.GetSender(), Boot: env.GetBoot()}, env.GetConfigVersion())
		hasPriority = f.table.HasPriorityPing()
	})
	if hasPriority {
		wake(f.pingWake)
	}
	if env.GetConfigVersion() > f.configVersion() {
		wake(f.pullWake)
	}
	return nil
}

func (f *Fleet) checkEnvelope(env *pb.Envelope) error {
	switch {
	case env.GetFleet() != f.opts.Settings.GetFleet():
		return &NameMismatchError{Fleet: env.GetFleet()}
	case env.GetProtocol() != Protocol:
		return &ProtocolMismatchError{Protocol: env.GetProtocol()}
	case len(env.GetChanges()) > membership.DefaultParams().MaxMembers+1:
		return ErrTooLarge
	}
	return nil
}

// configVersion returns the configuration version in force, or 0.
func (f *Fleet) configVersion() uint64 {
	index := f.Index()
	if index == nil {
		return 0
	}
	return index.Version
}

// applyChange applies one change to the table. If other members marked this node's
// boot as gone, the node rejoins with a new boot number. The caller holds mu.
func (f *Fleet) applyChange(now time.Time, change *pb.MemberChange) {
	if f.table.Apply(now, change) != membership.DeclaredGone {
		return
	}
	old := f.table.Self()
	f.table.Rejoin(f.rng.Uint64())
	f.claims.Reset()
	f.joinedAt = now
	f.queueEvent("rejoined", old.Name, "other members marked the previous boot as gone")
}
