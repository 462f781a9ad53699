// Package configstate decides which configuration version a node has in force,
// which nodes watch the platform's key, and from whom the others pull. A version
// in force only rises, whatever is read from where.
package configstate

import (
	"sort"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/ownership"
)

// Key is the platform's key that holds the fleet's configuration, a marshalled
// carobmill.v1.Configuration.
func Key(fleet string) string {
	return "carobmill/" + fleet + "/configuration"
}

// Outcome is what Offer made of a configuration.
type Outcome int

const (
	// Stale is not higher than the version in force. Stale reads end here.
	Stale Outcome = iota
	// Invalid means that it cannot be indexed, or it belongs to another fleet.
	Invalid
	// Accepted is in force now.
	Accepted
)

// State is the configuration in force at one node. It is not safe for
// concurrent use.
type State struct {
	fleet string
	index *config.Index
}

// New returns the state of a node with no configuration.
func New(fleet string) *State {
	return &State{fleet: fleet}
}

// Index is the configuration in force, nil when there is none.
func (s *State) Index() *config.Index {
	return s.index
}

// Version is the version in force, 0 when there is none.
func (s *State) Version() uint64 {
	if s.index == nil {
		return 0
	}
	return s.index.Version
}

// Offer puts a configuration in force if its version is higher. The error says
// why a configuration is Damaged.
//
// The comparison is the only guard that is needed against reads from the past:
// versions are given out by compare-and-swap, so a higher one is newer wherever
// it comes from.
func (s *State) Offer(raw *pb.Configuration) (Outcome, error) {
	if raw.GetVersion() <= s.Version() {
		return Stale, nil
	}
	if fleet := raw.GetSheet().GetFleet(); fleet != s.fleet {
		return Invalid, &FleetMismatchError{Fleet: fleet}
	}
	index, err := config.New(raw)
	if err != nil {
		return Invalid, err
	}
	s.index = index
	return Accepted, nil
}

// FleetMismatchError reports a configuration of another fleet.
type FleetMismatchError struct {
	Fleet string
}

// Error names the other fleet.
func (e *FleetMismatchError) Error() string {
	return "configuration belongs to fleet " + e.Fleet
}

// IsWatcher reports whether self is among the nodes of its data centre that watch
// the platform's key. Each node decides alone from its own members; when views
// differ one more or one less watches for a while, which does no harm.
func IsWatcher(self string, dataCentre string, usable []string, watchers int) bool {
	ranked := ownership.Rank("watch/"+dataCentre, usable)
	if len(ranked) > watchers {
		ranked = ranked[:watchers]
	}
	for _, name := range ranked {
		if name == self {
			return true
		}
	}
	return false
}

// PeerVersion is the version that one peer said it has in force, 0 for none.
type PeerVersion struct {
	Peer    string
	Version uint64
}

// witnesses is how many peers must hold a version at least as high before a
// node without the platform starts on it.
const witnesses = 2

// StartVersion is the version that a node which cannot reach the platform starts
// on, and the peers to pull it from: the highest version that at least two peers
// have reached, or all peers when fewer are known. It returns 0 while too few
// have answered.
//
// A version, once accepted, is superseded but never taken back, so a peer on a
// higher one has passed through the lower one. Asking two peers keeps a node
// from starting on what a single peer held that has been cut off for hours.
func StartVersion(answers []PeerVersion, known int) (uint64, []string) {
	need := min(witnesses, known)
	if need == 0 || len(answers) < need {
		return 0, nil
	}
	sorted := append([]PeerVersion(nil), answers...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Version != sorted[j].Version {
			return sorted[i].Version > sorted[j].Version
		}
		return sorted[i].Peer < sorted[j].Peer
	})
	version := sorted[need-1].Version
	if version == 0 {
		return 0, nil
	}
	return version, Sources(sorted, version)
}

// Highest returns the highest version among the answers, 0 for none.
func Highest(answers []PeerVersion) uint64 {
	var highest uint64
	for _, h := range answers {
		highest = max(highest, h.Version)
	}
	return highest
}

// Sources returns the peers that hold at least a version, highest first.
func Sources(held []PeerVersion, version uint64) []string {
	var peers []string
	for _, h := range held {
		if h.Version >= version {
			peers = append(peers, h.Peer)
		}
	}
	return peers
}
