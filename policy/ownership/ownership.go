// Package ownership decides which nodes own a replica: the few nodes of the
// replica's data centre through which all calls to it pass. The same members
// give the same answer on every node, without a message.
package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the candidates for a replica by rendezvous hashing, highest
// first. When one candidate comes or goes the order of the others stays, so
// that only the replicas it ranked high for move.
func Rank(replica string, candidates []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	ranked := make([]scored, len(candidates))
	for i, name := range candidates {
		ranked[i] = scored{name, score(replica, name)}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].score != ranked[j].score {
			return ranked[i].score > ranked[j].score
		}
		return ranked[i].name < ranked[j].name
	})
	names := make([]string, len(ranked))
	for i, s := range ranked {
		names[i] = s.name
	}
	return names
}

// score is the weight of a candidate for a key. The zero byte keeps the pairs
// ("ab", "c") and ("a", "bc") apart.
func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// ConnectionShare is the number of connections that each owner of a replica may open.
//
// Owners disagree for seconds when one of them changes: the old owners and one
// new one then hold connections at once. Dividing by one more than the owners
// keeps their sum within the replica's limit during one change. A replica with
// fewer connections than that gives each owner none; the sheet's check refuses
// such a sheet.
func ConnectionShare(connections, owners int) int {
	if connections <= 0 || owners < 0 {
		return 0
	}
	return connections / (owners + 1)
}
