package settings_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/carobmill/carobmill/node/settings"
)

func TestExampleSettingsGetDefaults(t *testing.T) {
	c := qt.New(t)
	s, faults := settings.Load("../../examples/node.yaml")
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(s.GetLimits().GetWorkers(), qt.Equals, uint32(settings.DefaultWorkers))
	c.Assert(proto.Equal(settings.WithDefaults(s), s), qt.IsTrue)
}

func TestBalancerLagMayBeZero(t *testing.T) {
	c := qt.New(t)
	text := exampleWith(c, "balancer_lag_ms: 3000", "balancer_lag_ms: 0")
	s, faults := settings.Parse("n.yaml", []byte(text))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(s.GetTiming().GetBalancerLagMs(), qt.Equals, uint32(0))
}

// A node with invalid settings could join with a wrong address or data centre, or
// without TLS. Parse must return a fault that names the invalid field.
func TestInvalidSettingIsReportedByField(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"host name instead of an IP address", "peer_address: \"127.0.0.1:8082\"", "peer_address: \"localhost:8082\"",
			`n.yaml: peer_address: is "localhost:8082", an IP address and a port, .*`},
		{"same address twice", "peer_address: \"127.0.0.1:8082\"", "peer_address: \"127.0.0.1:8080\"",
			`n.yaml: peer_address: 127.0.0.1:8080 is already used by caller_address, .*`},
		{"no data centre", "data_centre: nairobi-1\n", "",
			`n.yaml: data_centre: is missing or empty, a value is required`},
		{"seed without a port", `- "127.0.0.1:8182"`, `- "127.0.0.1"`,
			`n.yaml: seeds\[0\]: is "127.0.0.1", an IP address and a port, .*`},
		{"platform URL without a scheme", `platform_url: "http://127.0.0.1:2379"`, `platform_url: "127.0.0.1:2379"`,
			`n.yaml: platform_url: is .*`},
		{"unknown log level", "level: info", "level: loud",
			`n.yaml: log.level: is "loud", allowed are debug, info, warning, error`},
		{"out of range", "drain_timeout_ms: 30000", "drain_timeout_ms: 3600001",
			`n.yaml: timing.drain_timeout_ms: is 3600001, allowed is 1 to 3600000`},
		{"zero", "drain_timeout_ms: 30000", "drain_timeout_ms: 0",
			`n.yaml: timing.drain_timeout_ms: is 0, allowed is 1 to 3600000`},
		{"ping timeout above the ping interval", "drain_timeout_ms: 30000", "ping_timeout_ms: 201",
			`n.yaml: timing.ping_timeout_ms: is 201, at most ping_interval_ms, 200`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, faults := settings.Parse("n.yaml", []byte(exampleWith(c, tc.old, tc.new)))
			c.Assert(faults, qt.HasLen, 1)
			c.Assert(faults[0].String(), qt.Matches, tc.want)
		})
	}
}

func TestIncompleteTLSSettingsAreRejected(t *testing.T) {
	c := qt.New(t)
	text := exampleWith(c, "log:\n", "tls:\n  key_file: /k\nlog:\n")
	_, faults := settings.Parse("n.yaml", []byte(text))
	c.Assert(faults, qt.HasLen, 2)
	c.Assert(faults[0].Path, qt.Equals, "tls.certificate_file")
	c.Assert(faults[1].Path, qt.Equals, "tls.authority_file")
}

func exampleWith(c *qt.C, old, with string) string {
	data, err := os.ReadFile("../../examples/node.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(data), old), qt.IsTrue)
	return strings.Replace(string(data), old, with, 1)
}
