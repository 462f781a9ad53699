package ownership

import (
	"math/bits"
	"sort"
	"strconv"
)

// GroupCount returns the number of groups for the given number of members: the
// largest power of two with at least size members in each group, and 1 when size is
// 0. With powers of two, the count changes only when the members double or halve.
func GroupCount(members, size int) int {
	if size <= 0 || members < 2*size {
		return 1
	}
	return 1 << (bits.Len(uint(members/size)) - 1)
}

// Groups splits members into GroupCount groups. The capacity of a group is the mean
// group size, rounded up. In the order of their hashes, members are assigned to the
// group that they rank highest among those with free capacity, so that one member
// that joins or leaves moves few others. Each group is sorted by name.
func Groups(members []string, size int) [][]string {
	count := GroupCount(len(members), size)
	groups := make([][]string, count)
	capacity := (len(members) + count - 1) / count
	for _, name := range Rank("groups", members) {
		g := preferredGroup(name, groups, capacity)
		groups[g] = append(groups[g], name)
	}
	for _, g := range groups {
		sort.Strings(g)
	}
	return groups
}

// preferredGroup returns the group that name ranks highest among those with fewer
// members than capacity.
func preferredGroup(name string, groups [][]string, capacity int) int {
	best, bestScore := -1, uint64(0)
	for g := range groups {
		if len(groups[g]) >= capacity {
			continue
		}
		s := score(strconv.Itoa(g), name)
		if best < 0 || s > bestScore {
			best, bestScore = g, s
		}
	}
	return best
}
