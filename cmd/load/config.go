package load

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits of a run. They prevent a mistyped flag from overloading the fleet.
const (
	MaxRate     = 20_000
	MaxDuration = time.Hour
	MaxInFlight = 20_000
	MaxDeadline = time.Minute
	maxTargets  = 64
)

// Target is one class of one service and its share of the load.
type Target struct {
	Service string `json:"service"`
	Class   string `json:"class"`
	// Share of the requests, relative to the other targets.
	Share float64 `json:"share"`
}

// Config describes a run.
type Config struct {
	// Addresses of the nodes' caller interfaces, used in round-robin order.
	Addresses []string `json:"addresses"`
	Targets   []Target `json:"targets"`
	// Rate is the mean arrival rate in requests per second.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration_ns"`
	// Deadline is sent with each request. A response after the deadline does not
	// count as on time.
	Deadline time.Duration `json:"deadline_ns"`
	// Seed fixes the arrival times and the order of the targets.
	Seed uint64 `json:"seed"`
	// InFlight limits the requests in flight. Requests above the limit are not sent
	// and are reported as unsent.
	InFlight int `json:"in_flight"`
}

// Check returns an error for the first invalid value. The error names the flag
// that sets the value.
func (c Config) Check() error {
	if len(c.Addresses) == 0 {
		return errors.New("flag -addr is required")
	}
	for _, address := range c.Addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("flag -addr: %q is not an IP number and a port", address)
		}
	}
	if len(c.Targets) == 0 || len(c.Targets) > maxTargets {
		return errors.Errorf("flag -mix: got %d targets, allowed: 1 to %d", len(c.Targets), maxTargets)
	}
	for _, check := range []struct {
		flag    string
		ok      bool
		allowed string
	}{
		{"-rate", c.Rate > 0 && c.Rate <= MaxRate, "more than 0 and at most " + strconv.Itoa(MaxRate) + " per second"},
		{"-duration", c.Duration > 0 && c.Duration <= MaxDuration, "more than 0 and at most " + MaxDuration.String()},
		{"-deadline", c.Deadline >= time.Millisecond && c.Deadline <= MaxDeadline, "1ms to " + MaxDeadline.String()},
		{"-in-flight", c.InFlight > 0 && c.InFlight <= MaxInFlight, "1 to " + strconv.Itoa(MaxInFlight)},
	} {
		if !check.ok {
			return errors.Errorf("flag %s is out of range, allowed: %s", check.flag, check.allowed)
		}
	}
	return nil
}

// ParseMix parses a comma-separated list of targets of the form
// SERVICE/CLASS[=SHARE]. The share defaults to 1.
func ParseMix(s string) ([]Target, error) {
	var targets []Target
	for _, item := range strings.Split(s, ",") {
		name, share, given := strings.Cut(strings.TrimSpace(item), "=")
		service, class, found := strings.Cut(name, "/")
		if !found || service == "" || class == "" {
			return nil, errors.Errorf("flag -mix: %q is not SERVICE/CLASS[=SHARE]", item)
		}
		target := Target{Service: service, Class: class, Share: 1}
		if given {
			value, err := strconv.ParseFloat(share, 64)
			if err != nil || !(value > 0 && value <= 1e6) {
				return nil, errors.Errorf("flag -mix: share %q of %s is not a number above 0", share, name)
			}
			target.Share = value
		}
		targets = append(targets, target)
	}
	return targets, nil
}
