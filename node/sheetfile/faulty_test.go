package sheetfile_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/sheetfile"
)

func exampleSheet(c *qt.C) string {
	data, err := os.ReadFile("../../examples/kenya.yaml")
	c.Assert(err, qt.IsNil)
	return string(data)
}

// A sheet with one error must be rejected with the path of the invalid field: a sheet
// that passes the check takes effect on every node.
func TestInvalidSheetIsReportedByFieldPath(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		want     string
	}{
		{"unknown key", "fleet: rift", "fleat: x\nfleet: rift",
			"s.yaml: fleat: unknown field, allowed are fleet, data_centres, .*"},
		{"duplicate key", "fleet: rift", "fleet: x\nfleet: rift",
			"s.yaml: fleet: is given twice, .*"},
		{"text for a number", "slots: 3", "slots: three",
			`s.yaml: services\[0\].slots: is text \(line 22\), allowed is a whole number`},
		{"fraction for a whole number", "slots: 3", "slots: 1.5",
			`s.yaml: services\[0\].slots: is a number .*, allowed is a whole number`},
		{"zero slots", "slots: 3", "slots: 0",
			`s.yaml: services\[0\].slots: is 0, allowed is 1 to 10000`},
		{"negative slots", "slots: 3", "slots: -1",
			`s.yaml: services\[0\].slots: is -1, allowed is 0 to 4294967295`},
		{"zero where the default is not 0", "cold_in_flight: 1", "cold_in_flight: 0",
			`s.yaml: services\[0\].cold_in_flight: is 0, allowed is 1 to 10000`},
		{"loss over 100%", "max_loss_percent: 20", "max_loss_percent: 101",
			`s.yaml: max_loss_percent: is 101, allowed is 0 to 100`},
		{"unknown enum value", "state: in_service", "state: away",
			`s.yaml: data_centres\[0\].state: is "away", allowed are in_service, out`},
		{"number of an enum value", "preference: latency", "preference: 1",
			`s.yaml: services\[0\].preference: is "1", allowed are latency, coverage`},
		{"list for a mapping", "tuning:\n  owners: 2\n  watchers: 2", "tuning: [2, 2]",
			`s.yaml: tuning: is a list .*, allowed is a mapping of fields`},
		{"empty value", "fleet: rift-vintage-rally", "fleet:",
			`s.yaml: fleet: is empty .*, allowed is text .*`},
		{"undefined alias", "region: kenya", "region: *k", `s.yaml: syntax: .*`},
		{"duplicate replica", "name: timing-00-b", "name: timing-00-a",
			`s.yaml: services\[0\].generations\[0\].shards\[0\].replicas\[1\].name: "timing-00-a" is also listed at .*replicas\[0\], .*`},
		{"duplicate address", "127.0.0.1:21001", "127.0.0.1:21000",
			`s.yaml: .*shards\[0\].replicas\[1\].address: 127.0.0.1:21000 is the address of .*`},
		{"host name instead of an IP address", "127.0.0.1:21001", "backend:21001",
			`s.yaml: .*replicas\[1\].address: is "backend:21001", an IP address and a port.*`},
		{"unknown data centre", "data_centre: nairobi-2", "data_centre: mombasa",
			`s.yaml: .*shards\[0\].replicas\[1\].data_centre: unknown data centre "mombasa", .*`},
		{"cold_in_flight above slots", "cold_in_flight: 1", "cold_in_flight: 4",
			`s.yaml: services\[0\].cold_in_flight: is 4, at most slots, 3`},
		{"max_batch with silent_cold_start", "cold_in_flight: 1", "cold_in_flight: 1\n    silent_cold_start: true\n    max_batch: 8",
			`s.yaml: services\[0\].max_batch: is 8, .*, 0 or 1 with silent_cold_start`},
		{"too few connections for the owners", "connections: 30", "connections: 2",
			`s.yaml: services\[0\].connections: is 2, .*, at least 3 with tuning.owners 2`},
		{"default deadline above the maximum", "default_deadline_ms: 240", "default_deadline_ms: 2400",
			`s.yaml: services\[0\].default_deadline_ms: is 2400, at most max_deadline_ms, 2000`},
		{"duplicate service", "- name: inspection\n", "- name: timing\n",
			`s.yaml: services\[1\].name: "timing" is given twice, .*`},
		{"duplicate class", "name: results", "name: checkpoint",
			`s.yaml: services\[0\].classes\[1\].name: "checkpoint" is given twice, .*`},
		{"invalid name", "name: results", `name: "race results"`,
			`s.yaml: services\[0\].classes\[1\].name: is "race results", .*`},
		{"second document", "\n...", "\n---\nfleet: x\n...",
			`s.yaml: file: contains a second document, .*`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			text := exampleSheet(c)
			c.Assert(strings.Contains(text, tc.old), qt.IsTrue)
			_, faults := sheetfile.Parse("s.yaml", []byte(strings.Replace(text, tc.old, tc.new, 1)))
			c.Assert(faults, qt.HasLen, 1)
			c.Assert(faults[0].String(), qt.Matches, tc.want)
		})
	}
}

// One run must report all faults of a sheet, so that they can be corrected together.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	text := exampleSheet(c)
	text = strings.Replace(text, "slots: 3", "slots: 0", 2)
	text = strings.Replace(text, "name: timing-00-b", "name: timing-00-a", 1)
	text = strings.Replace(text, "data_centre: nakuru-1", "data_centre: mombasa", 1)
	text = strings.Replace(text, "fleet:", "sheet: 1\nfleet:", 1)
	_, faults := sheetfile.Parse("s.yaml", []byte(text))
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	c.Assert(paths, qt.DeepEquals, []string{
		"sheet", "services[0].slots", "services[1].slots",
		"services[0].generations[0].shards[0].replicas[1].name",
		"services[0].generations[0].shards[0].replicas[2].data_centre",
	})
}

// A shard without replicas would make every answer partial.
func TestShardWithoutReplicasIsRejected(t *testing.T) {
	c := qt.New(t)
	lines := strings.Split(exampleSheet(c), "\n")
	var kept []string
	for _, line := range lines {
		if !strings.Contains(line, "name: timing-00-") {
			kept = append(kept, line)
		}
	}
	text := strings.Replace(strings.Join(kept, "\n"), "replicas:", "replicas: []", 1)
	_, faults := sheetfile.Parse("s.yaml", []byte(text))
	c.Assert(faults, qt.HasLen, 1)
	c.Assert(faults[0].String(), qt.Equals,
		"s.yaml: services[0].generations[0].shards[0].replicas: is missing or empty, at least one entry is required")
}

// A truncated sheet must be rejected: it is often valid YAML, and would silently take
// replicas out of service. The test truncates at every 29th byte.
func TestTruncatedFileIsRejectedAtEveryLength(t *testing.T) {
	c := qt.New(t)
	text := exampleSheet(c)
	whole := len(strings.TrimRight(text, "\n"))
	for length := 0; length < whole; length += 29 {
		_, faults := sheetfile.Parse("s.yaml", []byte(text[:length]))
		c.Assert(len(faults) > 0, qt.IsTrue, qt.Commentf("cut off after %d bytes", length))
	}
	_, faults := sheetfile.Parse("s.yaml", []byte(text))
	c.Assert(faults, qt.HasLen, 0)
}
