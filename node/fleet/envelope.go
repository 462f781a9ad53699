package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/membership"
)

// ErrTooLarge reports an envelope with more changes than a fleet has members.
var ErrTooLarge = errors.New("envelope carries too many changes")

// NameMismatchError reports a message of another fleet.
type NameMismatchError struct {
	Fleet string
}

// Error names the other fleet.
func (e *NameMismatchError) Error() string {
	return fmt.Sprintf("message of another fleet %q", e.Fleet)
}

// ProtocolMismatchError reports a message of another protocol version.
type ProtocolMismatchError struct {
	Protocol uint32
}

// Error names the other version.
func (e *ProtocolMismatchError) Error() string {
	return fmt.Sprintf("message of protocol version %d, this node speaks %d", e.Protocol, Protocol)
}

// Envelope is put on each message to a peer. It carries the configuration
// version in force and news of members that has not been passed on enough.
func (f *Fleet) Envelope() *pb.Envelope {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.envelope(f.table.Changes())
}

// envelope makes a message header with the given changes. The caller holds mu.
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

// pingEnvelope is Envelope for a ping. It carries this node's own entry, so that
// a member that missed the news of it learns within one round of pings, and what
// this node believes of the receiver, so that a member that is wrongly suspected
// or dead hears of it and refutes it. The second result is the part that counts
// as passed on.
func (f *Fleet) pingEnvelope(receiver membership.ID) (*pb.Envelope, []*pb.MemberChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.table.Changes()
	changes := slices.Clone(news)
	self := f.table.Self()
	if !carries(changes, self.ID()) {
		changes = append(changes, self.Change())
	}
	return f.envelope(f.withNews(changes, receiver)), news
}

// unsent takes back that news was passed on with a message that got no answer.
func (f *Fleet) unsent(news []*pb.MemberChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.MarkUnsent(news)
}

// answerEnvelope is Envelope for the answer to a ping. It tells the sender what
// this node believes of it, and of the member that it could not reach, if any.
func (f *Fleet) answerEnvelope(sender membership.ID, target string) *pb.Envelope {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.withNews(f.table.Changes(), sender)
	if target != "" {
		changes = append(changes, f.table.NonAliveChanges(target)...)
	}
	return f.envelope(changes)
}

// withNews adds what this node believes of the receiver, unless it is alive. The
// caller holds mu.
func (f *Fleet) withNews(changes []*pb.MemberChange, receiver membership.ID) []*pb.MemberChange {
	if about := f.table.NonAliveChange(receiver); about != nil {
		return append(changes, about)
	}
	return changes
}

func carries(changes []*pb.MemberChange, id membership.ID) bool {
	for _, c := range changes {
		if c.GetNode() == id.Name && c.GetBoot() == id.Boot {
			return true
		}
	}
	return false
}

// Receive takes in the envelope of a message from a peer. A message whose
// envelope is refused must not be acted upon. The error is a NameMismatchError,
// a ProtocolMismatchError or ErrTooLarge.
func (f *Fleet) Receive(env *pb.Envelope) error {
	if err := f.check(env); err != nil {
		f.stats.refused.Add(1)
		return err
	}
	if len(env.GetChanges()) == 0 && env.GetConfigVersion() <= f.version() {
		return nil
	}
	now := time.Now()
	urgent := false
	f.unlockAfter(func() {
		for _, change := range env.GetChanges() {
			f.apply(now, change)
		}
		f.table.UpdateConfigVersion(membership.ID{Name: env.GetSender(), Boot: env.GetBoot()}, env.GetConfigVersion())
		urgent = f.table.HasPriorityPing()
	})
	if urgent {
		wake(f.pingWake)
	}
	if env.GetConfigVersion() > f.version() {
		wake(f.pullWake)
	}
	return nil
}

func (f *Fleet) check(env *pb.Envelope) error {
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

// version is the configuration version in force.
func (f *Fleet) version() uint64 {
	index := f.Index()
	if index == nil {
		return 0
	}
	return index.Version
}

// apply takes in one change. The caller holds mu.
func (f *Fleet) apply(now time.Time, change *pb.MemberChange) {
	if f.table.Apply(now, change) != membership.DeclaredGone {
		return
	}
	old := f.table.Self()
	f.table.Rejoin(f.rng.Uint64())
	f.claims.Reset()
	f.since = now
	f.note("rejoined", old.Name, "others counted the earlier boot as gone")
}
