package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/rule"
)

var (
	logLevels  = []string{"debug", "info", "warning", "error"}
	logFormats = []string{"json", "text"}
)

const validAddress = "an IP address and a port, such as 10.1.2.3:8080"

// Check applies the defaults to a copy of s and returns all faults of the result.
func Check(s *pb.Settings) []rule.Fault {
	c := &validator{settings: WithDefaults(s)}
	c.faults = rule.Check(c.settings)
	c.addresses()
	c.platform()
	c.tls()
	c.oneOf("log.level", c.settings.GetLog().GetLevel(), logLevels)
	c.oneOf("log.format", c.settings.GetLog().GetFormat(), logFormats)
	c.timing()
	return c.faults
}

type validator struct {
	settings *pb.Settings
	faults   []rule.Fault
}

func (c *validator) add(path, allowed, format string, args ...any) {
	c.faults = append(c.faults, rule.Fault{Path: path, Problem: fmt.Sprintf(format, args...), Allowed: allowed})
}

// addresses checks the addresses of the listeners and the seeds. A listener may have
// port 0, which lets the operating system choose a port in tests. A seed may not.
func (c *validator) addresses() {
	s := c.settings
	listeners := []struct{ path, address string }{
		{"caller_address", s.GetCallerAddress()},
		{"admin_address", s.GetAdminAddress()},
		{"peer_address", s.GetPeerAddress()},
	}
	seen := make(map[netip.AddrPort]string)
	for _, l := range listeners {
		at, ok := c.address(l.path, l.address)
		if !ok {
			continue
		}
		if first := seen[at]; first != "" && at.Port() != 0 {
			c.add(l.path, "each listener needs its own address", "%s is already used by %s", l.address, first)
		}
		seen[at] = l.path
	}
	for i, seed := range s.GetSeeds() {
		path := rule.Index("seeds", i)
		at, ok := c.address(path, seed)
		if seed == "" || (ok && at.Port() == 0) {
			c.add(path, validAddress, "is %q", seed)
		}
	}
}

// address parses an address and adds a fault if it is malformed. An empty address is
// no fault here, because rule.Check reports it if it is required.
func (c *validator) address(path, address string) (netip.AddrPort, bool) {
	if address == "" {
		return netip.AddrPort{}, false
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		c.add(path, validAddress, "is %q", address)
		return netip.AddrPort{}, false
	}
	return at, true
}

func (c *validator) platform() {
	raw := c.settings.GetPlatformUrl()
	if raw == "" {
		return
	}
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add("platform_url", "a URL such as http://10.1.2.3:2379", "is %q", raw)
	}
}

// tls requires all three files or no tls section. A node that ignored an incomplete
// section would connect to its peers without encryption and accept any peer.
func (c *validator) tls() {
	t := c.settings.GetTls()
	files := []struct{ path, name string }{
		{"tls.certificate_file", t.GetCertificateFile()},
		{"tls.key_file", t.GetKeyFile()},
		{"tls.authority_file", t.GetAuthorityFile()},
	}
	if t == nil {
		return
	}
	for _, f := range files {
		if f.name == "" {
			c.add(f.path, "set all three of certificate_file, key_file and authority_file, or omit tls", "is missing")
		}
	}
}

func (c *validator) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(path, "allowed are "+strings.Join(allowed, ", "), "is %q", value)
	}
}

func (c *validator) timing() {
	t := c.settings.GetTiming()
	if t.GetPingTimeoutMs() > t.GetPingIntervalMs() {
		c.add("timing.ping_timeout_ms", fmt.Sprintf("at most ping_interval_ms, %d", t.GetPingIntervalMs()),
			"is %d", t.GetPingTimeoutMs())
	}
	if t.GetSuspectTimeoutMs() < t.GetPingIntervalMs() {
		c.add("timing.suspect_timeout_ms", fmt.Sprintf("at least ping_interval_ms, %d", t.GetPingIntervalMs()),
			"is %d", t.GetSuspectTimeoutMs())
	}
}
