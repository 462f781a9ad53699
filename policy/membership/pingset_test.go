package membership

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A node pings a part of a large fleet. A member that few others pinged would be
// found dead late; one that nobody pinged never would. Each is pinged by enough
// others, and one member that goes changes one place in the sets that held it.
func TestPingSetsCoverEveryMember(t *testing.T) {
	c := qt.New(t)
	const size = 750
	params := DefaultParams()
	var ids []ID
	for i := range size {
		ids = append(ids, ID{Name: fmt.Sprintf("vm-%03d", i)})
	}
	pingedBy := make(map[ID]int)
	for i, self := range ids {
		others := slices.Delete(slices.Clone(ids), i, i+1)
		table := &Table{self: Member{Name: self.Name}, params: params}
		set := table.pingSet(others)
		c.Assert(set, qt.HasLen, params.PingSetSize)
		for _, id := range set {
			pingedBy[id]++
		}
		without := slices.DeleteFunc(table.pingSet(others[1:]), func(id ID) bool { return slices.Contains(set, id) })
		c.Assert(len(without) <= 1, qt.IsTrue)
	}
	fewest := pingedBy[slices.MinFunc(ids, func(a, b ID) int { return pingedBy[a] - pingedBy[b] })]
	t.Logf("each member is pinged by at least %d of %d", fewest, size)
	c.Assert(fewest >= 35, qt.IsTrue)
}
