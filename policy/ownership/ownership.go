// Package ownership determines the owners of a replica: the few nodes of the replica's
// data centre that send all requests to the replica. Nodes with the same member table
// compute the same owners, without exchanging messages.
package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank sorts the candidates for a replica by rendezvous hashing, highest first. A
// candidate that is added or removed does not change the order of the others, so
// that only the replicas of that candidate move.
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

// score is the weight of a candidate for a key. The zero byte distinguishes the pairs
// ("ab", "c") and ("a", "bc").
func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// ConnectionShare returns the number of connections that each owner of a replica may
// open.
//
// Member tables differ for seconds when an owner changes, and the old owners and one
// new owner then hold connections at the same time. Dividing by owners + 1 keeps the
// sum within the replica's limit during one such change. The result is 0 for a replica
// with fewer connections than that; sheet.Check refuses such a sheet.
func ConnectionShare(connections, owners int) int {
	if connections <= 0 || owners < 0 {
		return 0
	}
	return connections / (owners + 1)
}
