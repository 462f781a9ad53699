package membership

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against members of a large fleet that too few others ping, whose failure
// would be detected late or never, and against ping sets that change by more than
// one member when one member leaves.
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
		added := slices.DeleteFunc(table.pingSet(others[1:]), func(id ID) bool { return slices.Contains(set, id) })
		c.Assert(len(added) <= 1, qt.IsTrue)
	}
	fewest := pingedBy[slices.MinFunc(ids, func(a, b ID) int { return pingedBy[a] - pingedBy[b] })]
	t.Logf("each member is pinged by at least %d of %d nodes", fewest, size)
	c.Assert(fewest >= 35, qt.IsTrue)
}
