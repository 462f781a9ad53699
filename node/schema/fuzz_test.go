package schema_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/node/settings"
	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/sheet"
)

// Long runs:
//
//	go test ./node/schema -run NONE -fuzz FuzzSheet -fuzztime 10m -fuzzminimizetime 1s
//	go test ./node/schema -run NONE -fuzz FuzzSettings -fuzztime 10m -fuzzminimizetime 1s

// Small seeds keep the fuzzer fast, because it minimises every input that it finds.
const (
	smallSheet = `---
fleet: f
data_centres: [{name: a}]
services:
  - {name: s, slots: 3, connections: 30, classes: [{name: c, weight: 0.5}], generations: [{id: 1, first_snapshot: 1, shards: [{name: x, replicas: [{name: r, data_centre: a, address: "10.0.0.1:1"}]}]}]}
...
`
	smallSettings = `---
{node: n, fleet: f, data_centre: a, caller_address: "10.0.0.1:1", admin_address: "10.0.0.1:2", peer_address: "10.0.0.1:3", platform_url: "http://10.0.0.2:1"}
...
`
)

func addSeeds(f *testing.F, valid string) {
	f.Add([]byte(valid))
	for _, text := range []string{
		"", "---\n", "---\n...\n", "fleet: [1, {a: b}]\n", "fleet: &a x\nservices: *a\n", "? [a]\n: b\n",
		"fleet: x\nfleet: y\n", "max_loss_percent: 0x14\n", "max_loss_percent: -0\n", "services: [{slots: 1e3}]\n",
		"services:\n  - classes: [{weight: .nan}, {weight: .inf}, {weight: 1_0}]\n", "{}\n", "\xff\xfe\n",
		"!!binary x: y\n", "\"\": 1\n", "state: \"a\\nb\"\n",
	} {
		f.Add([]byte(text))
	}
}

// FuzzSheet parses arbitrary bytes as a sheet. A sheet without faults must compile
// and index, show no difference from itself, and be unchanged after Encode and Parse.
func FuzzSheet(f *testing.F) {
	addSeeds(f, smallSheet)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := sheetfile.Parse("s.yaml", data)
		if len(faults) > 0 {
			checkFaults(t, faults)
			return
		}
		c := qt.New(t)
		cfg, err := sheet.Compile(s, 1, "id", "by")
		c.Assert(err, qt.IsNil)
		_, err = config.New(cfg)
		c.Assert(err, qt.IsNil)
		c.Assert(sheet.Compare(s, s).Empty(), qt.IsTrue)
		text, err := schema.Encode(s)
		c.Assert(err, qt.IsNil)
		reread, faults := sheetfile.Parse("s.yaml", text)
		c.Assert(faults, qt.HasLen, 0, qt.Commentf("%s", text))
		c.Assert(proto.Equal(s, reread), qt.IsTrue, qt.Commentf("%s", text))
	})
}

// FuzzSettings parses arbitrary bytes as settings. Settings without faults must be
// unchanged after Encode and Decode.
func FuzzSettings(f *testing.F) {
	addSeeds(f, smallSettings)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := settings.Parse("n.yaml", data)
		if len(faults) > 0 {
			checkFaults(t, faults)
			return
		}
		c := qt.New(t)
		text, err := schema.Encode(s)
		c.Assert(err, qt.IsNil)
		reread := &pb.Settings{}
		c.Assert(schema.Decode("n.yaml", text, reread), qt.HasLen, 0, qt.Commentf("%s", text))
		c.Assert(proto.Equal(s, reread), qt.IsTrue, qt.Commentf("%s", text))
	})
}

// checkFaults fails unless every fault names the file, the path, the problem and what
// is allowed, which the operator needs to correct the file.
func checkFaults(t *testing.T, faults []schema.Fault) {
	for _, f := range faults {
		if f.File == "" || f.Path == "" || f.Problem == "" || f.Allowed == "" {
			t.Fatalf("fault %+v has an empty field", f)
		}
	}
}
