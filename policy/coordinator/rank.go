package coordinator

import (
	"hash/fnv"
	"slices"
	"strings"
)

// RanksBefore reports whether a comes before b in an order in which all nodes agree: larger
// nodes come first, equal ones in an order that depends on their names.
func RanksBefore(a, b Member) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	if x, y := rankHash(a.Node), rankHash(b.Node); x != y {
		return x < y
	}
	return strings.Compare(a.Node, b.Node) < 0
}

func rankHash(node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return h.Sum64()
}

// Ranked returns the members in the order of RanksBefore.
func (f Fleet) Ranked() []Member {
	ranked := slices.Clone(f.Members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if RanksBefore(a, b) {
			return -1
		}
		return 1
	})
	return ranked
}
