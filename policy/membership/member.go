package membership

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Member is what is known of one boot of one node.
type Member struct {
	// Name of the VM, unique in the fleet and stable across restarts.
	Name string
	// Boot is the random number drawn at the start of the process.
	Boot          uint64
	Incarnation   uint64
	State         pb.MemberState
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	// ConfigVersion in force there as last heard; 0 when unknown.
	ConfigVersion uint64
	// Since is when this node learned of the state; zero for its own entry.
	Since time.Time
}

// ID names one boot of one node.
type ID struct {
	Name string
	Boot uint64
}

// less orders by name, then boot.
func (id ID) less(other ID) bool {
	if id.Name != other.Name {
		return id.Name < other.Name
	}
	return id.Boot < other.Boot
}

// ID returns the identity of the member.
func (m Member) ID() ID {
	return ID{m.Name, m.Boot}
}

// Usable reports whether the member may be given new work: it is alive, or
// suspected without being known dead.
func (m Member) Usable() bool {
	return m.State == pb.MemberState_MEMBER_STATE_ALIVE || m.State == pb.MemberState_MEMBER_STATE_SUSPECT
}

// Change returns the member as a message.
func (m Member) Change() *pb.MemberChange {
	return &pb.MemberChange{
		Node:          m.Name,
		Boot:          m.Boot,
		Incarnation:   m.Incarnation,
		State:         m.State,
		DataCentre:    m.DataCentre,
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		ConfigVersion: m.ConfigVersion,
	}
}

// fromChange reads a message.
func fromChange(c *pb.MemberChange) Member {
	return Member{
		Name:          c.GetNode(),
		Boot:          c.GetBoot(),
		Incarnation:   c.GetIncarnation(),
		State:         c.GetState(),
		DataCentre:    c.GetDataCentre(),
		PeerAddress:   c.GetPeerAddress(),
		CallerAddress: c.GetCallerAddress(),
		ConfigVersion: c.GetConfigVersion(),
	}
}

// Params bound the cost of the protocol.
type Params struct {
	// SuspectTimeout is how long a member stays suspected before it is dead.
	SuspectTimeout time.Duration
	// GoneRetention is how long a boot that is gone is remembered, so that late
	// news of it is known for what it is.
	GoneRetention time.Duration
	// ListLag is longer than the platform's VM list lags behind.
	ListLag time.Duration
	// MaxChanges is the number of changes that one message carries.
	MaxChanges int
	// MaxMembers bounds the table. News of members beyond it is dropped.
	MaxMembers int
	// PingSetSize is the number of living members that a node pings in turn, 0 all. The
	// connections that pings keep open then do not grow with the fleet.
	PingSetSize int
	// RetransmitFactor times the base-10 logarithm of the fleet's size, rounded up,
	// is how often a node passes on one change.
	RetransmitFactor int
}

// DefaultParams suit fleets from 2 to 1,000 nodes.
func DefaultParams() Params {
	return Params{
		SuspectTimeout:   800 * time.Millisecond,
		GoneRetention:    10 * time.Minute,
		ListLag:          2 * time.Minute,
		MaxChanges:       64,
		MaxMembers:       4096,
		PingSetSize:      64,
		RetransmitFactor: 4,
	}
}

// Transition is one change of a member's state that the table took in.
type Transition struct {
	Member Member
	// From is MEMBER_STATE_UNSPECIFIED for a member not known before.
	From pb.MemberState
	// Cause in a few words, for the ring of decisions.
	Cause string
}
