package bounds_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// A regression passes CI if a violated bound, a missing figure, a scenario without
// bounds or a malformed line goes unreported.
func TestViolatedMissingAndMalformedBoundsAreReported(t *testing.T) {
	c := qt.New(t)
	all, err := bounds.Read(strings.NewReader("# figures\n\nscatter bytes <= 60\nscatter share >= 0.5\n"))
	c.Assert(err, qt.IsNil)
	c.Check(bounds.Compare(all, "scatter", map[string]float64{"bytes": 60, "share": 0.5, "more": 1}), qt.HasLen, 0)
	c.Check(bounds.Compare(all, "scatter", map[string]float64{"bytes": 61, "share": 0.4}), qt.DeepEquals,
		[]string{"scatter bytes: 61, bound 60", "scatter share: 0.4, bound 0.5"})
	c.Check(bounds.Compare(all, "scatter", map[string]float64{"bytes": 1}), qt.DeepEquals, []string{"scatter share is not measured"})
	c.Check(bounds.Compare(all, "other", nil), qt.DeepEquals, []string{"other has no bound"})
	for _, line := range []string{"scatter bytes < 60", "scatter bytes <= many", "scatter"} {
		_, err := bounds.Read(strings.NewReader(line))
		c.Check(err, qt.ErrorMatches, `line ".*`, qt.Commentf(line))
	}
}
