package ownership

import (
	"math/bits"
	"sort"
	"strconv"
)

// GroupCount is the number of groups for that many members: the largest power
// of two whose groups hold at least size members, and 1 when size is 0. A power
// of two lets the count stay the same while the fleet grows up to double.
func GroupCount(members, size int) int {
	if size <= 0 || members < 2*size {
		return 1
	}
	return 1 << (bits.Len(uint(members/size)) - 1)
}

// Groups splits members into GroupCount groups whose sizes differ by at most
// one from their mean, rounded up. Each member takes the group it ranks highest
// that has room, in the order of the members' hashes, so that one member coming
// or going moves few others. Each group is sorted by name.
func Groups(members []string, size int) [][]string {
	count := GroupCount(len(members), size)
	groups := make([][]string, count)
	room := (len(members) + count - 1) / count
	for _, name := range Rank("groups", members) {
		g := preferredGroup(name, groups, room)
		groups[g] = append(groups[g], name)
	}
	for _, g := range groups {
		sort.Strings(g)
	}
	return groups
}

// preferredGroup returns the group that name ranks highest among those with
// fewer members than room.
func preferredGroup(name string, groups [][]string, room int) int {
	best, bestScore := -1, uint64(0)
	for g := range groups {
		if len(groups[g]) >= room {
			continue
		}
		s := score(strconv.Itoa(g), name)
		if best < 0 || s > bestScore {
			best, bestScore = g, s
		}
	}
	return best
}
