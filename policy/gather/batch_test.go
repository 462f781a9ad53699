package gather_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/gather"
)

// Local attempts and groups that are too small must be sent one by one.
func TestRemoteAttemptsAreBatchedByDataCentre(t *testing.T) {
	c := qt.New(t)
	var centres []string
	for range 5 {
		centres = append(centres, "a", "b")
	}
	centres = append(centres, "c", "c", "c")
	c.Assert(gather.Batches("a", centres), qt.DeepEquals, map[string][]int{"b": {1, 3, 5, 7, 9}})
	c.Assert(gather.Batches("b", centres), qt.DeepEquals, map[string][]int{"a": {0, 2, 4, 6, 8}})
}
