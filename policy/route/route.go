// Package route maps a caller's request to the services that answer it. A
// Configuration holds the accepted settings; an Index is its compiled, immutable
// form. A request uses the Index that is current on arrival until it ends, so that
// its answer never mixes two configurations.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/carobmill/carobmill/policy/account"
)

// Configuration is one accepted version of all settings of the operators.
type Configuration struct {
	// Version rises with each accepted configuration, not necessarily by 1.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts holds the client accounts; nil if callers need no key.
	Accounts *account.Table
}

// Route describes how requests for one host and path prefix are answered.
type Route struct {
	// Name is unique in a configuration and stable across versions.
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shards lists the services that each hold one shard. A request is sent to a
	// replica of each. It is empty for a route that a single replica answers.
	Shards []string
	// Split lists the services among which single-replica requests are distributed by
	// weight.
	Split []Weighted
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// MaxAttempts bounds the number of replicas of one shard to which a request is
	// sent.
	MaxAttempts int
	// Timeout is the time after which a request ends with a final answer.
	Timeout time.Duration
	// Objective is the target latency.
	Objective time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// Public is set if callers need no key.
	Public bool
	// TopRecords is the number of greatest records in a merged answer.
	TopRecords int
	// MinCoverage is the minimum share of shards, from 0 to 1, for a successful
	// answer.
	MinCoverage float64
}

// Weighted is one service of a split route and its weight.
type Weighted struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one replica accepts from all
	// nodes together.
	MaxConnections int
	// ColdFor is the time during which a replica is cold after it starts.
	ColdFor time.Duration
	// ColdPerSecond is the request rate that a cold replica accepts from all nodes
	// together. It is 0 if a cold replica is slower but needs no rate limit.
	ColdPerSecond float64
}

// Limits bounds the requests of callers. Zero values mean no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Gathers reports whether answers are merged from shards.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Index is a compiled, immutable configuration.
type Index struct {
	Version uint64
	Limits  Limits
	// Accounts is nil if callers need no key.
	Accounts *account.Table
	hosts    map[string][]*Route
	names    map[string]bool
	services map[string]*Service
}

// NewIndex compiles a configuration. The caller must not change c afterwards.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		Version:  c.Version,
		Limits:   c.Limits,
		Accounts: c.Accounts,
		hosts:    make(map[string][]*Route),
		names:    make(map[string]bool, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalHost(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
		x.names[r.Name] = true
	}
	for _, routes := range x.hosts {
		// The longest prefix comes first, so that the first match is the most
		// specific one.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Match returns the route for a host and an undecoded path, or nil.
func (x *Index) Match(host, path string) *Route {
	for _, r := range x.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CanGather reports whether at least one route that merges shards can reach its
// minimum coverage with the reachable services. It is true if no route merges shards.
func (x *Index) CanGather(reachable func(service string) bool) bool {
	gathers := false
	for _, routes := range x.hosts {
		for _, r := range routes {
			if !r.Gathers() {
				continue
			}
			gathers = true
			if r.coverage(reachable) >= r.MinCoverage {
				return true
			}
		}
	}
	return !gathers
}

// coverage returns the share of the route's shards that are reachable.
func (r *Route) coverage(reachable func(service string) bool) float64 {
	n := 0
	for _, shard := range r.Shards {
		if reachable(shard) {
			n++
		}
	}
	return float64(n) / float64(len(r.Shards))
}

// HasRoute reports whether a route with the name exists.
func (x *Index) HasRoute(name string) bool { return x.names[name] }

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// normalHost removes the port and lowers the case, which do not distinguish hosts.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
