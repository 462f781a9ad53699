package membership

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Member describes one boot of one node.
type Member struct {
	// Name is the VM's name, unique in the fleet and stable across restarts.
	Name string
	// Boot is a random number generated at the start of the process.
	Boot          uint64
	Incarnation   uint64
	State         pb.MemberState
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	// ConfigVersion is the highest configuration version reported as in force at the
	// member, 0 when unknown.
	ConfigVersion uint64
	// Since is when this node recorded the state, zero for its own entry.
	Since time.Time
}

// ID identifies one boot of one node.
type ID struct {
	Name string
	Boot uint64
}

// less orders by name, then by boot number.
func (id ID) less(other ID) bool {
	if id.Name != other.Name {
		return id.Name < other.Name
	}
	return id.Boot < other.Boot
}

// ID returns the member's name and boot number.
func (m Member) ID() ID {
	return ID{m.Name, m.Boot}
}

// Usable reports whether the member may receive new work: it is alive or suspect.
func (m Member) Usable() bool {
	return m.State == pb.MemberState_MEMBER_STATE_ALIVE || m.State == pb.MemberState_MEMBER_STATE_SUSPECT
}

// Change converts the member to a message.
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

// Params are the timeouts and limits of the protocol.
type Params struct {
	// SuspectTimeout is how long a member stays suspect before it becomes dead.
	SuspectTimeout time.Duration
	// GoneRetention is how long the record of a gone boot is retained. Without the
	// record, a late change would add the boot as a member again.
	GoneRetention time.Duration
	// ListLag is an upper bound of the lag of the platform's VM list.
	ListLag time.Duration
	// MaxChanges is the maximum number of gossiped changes in one message.
	MaxChanges int
	// MaxMembers is the maximum number of records. In a full table, a new boot replaces
	// the boot that has been gone longest, or is ignored if none is gone.
	MaxMembers int
	// PingSetSize is the number of live members that a node pings in turn, 0 for
	// all. It bounds the connections that pings keep open in a large fleet.
	PingSetSize int
	// RetransmitFactor times the base-10 logarithm of the fleet's size, rounded up,
	// is the number of messages in which a node sends one change.
	RetransmitFactor int
}

// DefaultParams returns parameters for fleets of 2 to 1,000 nodes.
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

// Transition is one applied change of a member's state.
type Transition struct {
	Member Member
	// From is MEMBER_STATE_UNSPECIFIED for a new member.
	From pb.MemberState
	// Cause is a short text for the event log.
	Cause string
}
