// Package configstate selects the configuration version that is in force at a
// node, the nodes that watch the platform's key, and the peers from which a node
// pulls a version. The version in force never decreases.
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

// Outcome is the result of Offer.
type Outcome int

const (
	// Stale means that the version is not higher than the one in force.
	Stale Outcome = iota
	// Invalid means that the configuration cannot be indexed or belongs to
	// another fleet.
	Invalid
	// Accepted means that the configuration is now in force.
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

// Index returns the configuration in force, or nil.
func (s *State) Index() *config.Index {
	return s.index
}

// Version returns the version in force, or 0 without a configuration.
func (s *State) Version() uint64 {
	if s.index == nil {
		return 0
	}
	return s.index.Version
}

// Offer puts a configuration in force if its version is higher than the current
// one. The error is set only when the outcome is Invalid.
//
// Comparing versions is sufficient against stale reads. Versions are assigned by
// compare-and-swap, so a higher version is newer whichever source it is read from.
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

// Error returns a message with the name of the other fleet.
func (e *FleetMismatchError) Error() string {
	return "configuration belongs to fleet " + e.Fleet
}

// IsWatcher reports whether self is one of the nodes of its data centre that watch
// the platform's key. usable lists the usable nodes of that data centre. Each node
// computes this from its own member table. While the tables differ, more or fewer nodes
// than the parameter watchers may watch, which is harmless.
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

// PeerVersion is the version that a peer reports as in force, 0 for none.
type PeerVersion struct {
	Peer    string
	Version uint64
}

// startQuorum is the number of peers that must have reached a version before a
// node that cannot reach the platform starts with it.
const startQuorum = 2

// StartVersion returns the version that a node starts with when it cannot reach
// the platform, and the peers to pull that version from. It is the highest version
// that at least startQuorum peers have reached, or all peers when fewer than that
// exist. The result is 0 while too few peers have answered or have a configuration.
//
// An accepted version is superseded but never withdrawn, so a peer with a higher
// version counts for the lower one too. Without the quorum, a node could start with
// the outdated version of a single peer that has been partitioned for a long time.
func StartVersion(answers []PeerVersion, peerCount int) (uint64, []string) {
	quorum := min(startQuorum, peerCount)
	if quorum == 0 || len(answers) < quorum {
		return 0, nil
	}
	sorted := append([]PeerVersion(nil), answers...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Version != sorted[j].Version {
			return sorted[i].Version > sorted[j].Version
		}
		return sorted[i].Peer < sorted[j].Peer
	})
	version := sorted[quorum-1].Version
	if version == 0 {
		return 0, nil
	}
	return version, Sources(sorted, version)
}

// Highest returns the highest version among the answers, or 0 without answers.
func Highest(answers []PeerVersion) uint64 {
	var highest uint64
	for _, a := range answers {
		highest = max(highest, a.Version)
	}
	return highest
}

// Sources returns the peers with the given version or a higher one, in the order
// of answers.
func Sources(answers []PeerVersion, version uint64) []string {
	var peers []string
	for _, a := range answers {
		if a.Version >= version {
			peers = append(peers, a.Peer)
		}
	}
	return peers
}
