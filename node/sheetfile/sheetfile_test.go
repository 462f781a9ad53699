package sheetfile_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/sheet"
)

func TestExampleSheetsHaveExpectedReplicaCounts(t *testing.T) {
	c := qt.New(t)
	for file, replicas := range map[string]int{"kenya": 10*3 + 15*3 + 25 + 13, "chile": 10*3 + 15*3 + 4 + 4} {
		s, faults := sheetfile.Load("../../examples/" + file + ".yaml")
		c.Assert(faults, qt.HasLen, 0)
		cfg, err := sheet.Compile(s, 1, "id", "test")
		c.Assert(err, qt.IsNil)
		x, err := config.New(cfg)
		c.Assert(err, qt.IsNil)
		c.Assert(x.Replicas, qt.HasLen, replicas)
		c.Assert(x.DataCentres, qt.HasLen, 4)
	}
}
