// Package route says where a caller's request may go. A Configuration is what the
// operators accepted; Index is its compiled, immutable form. A request takes one
// Index when it arrives and keeps it to its end, so that its answer never mixes two
// configurations.
package route

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one accepted version of everything that operators decide.
type Configuration struct {
	// Version rises with each accepted configuration, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says how requests of one host and path prefix are answered.
type Route struct {
	// Name is unique in a configuration and stable across versions.
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shards names the services that each hold one shard; a request goes to a
	// replica of each. Empty for a route that a single replica answers.
	Shards []string
	// Split names the services among which single-replica requests are
	// distributed, by weight.
	Split []Weighted
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts bounds the replicas of one shard that a request is sent to.
	MaxAttempts int
	// Timeout ends a request with a final answer.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full use.
	Objective time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// TopRecords is how many of the greatest records a merged answer holds.
	TopRecords int
	// MinCoverage is the least share of shards, 0 to 1, that makes a success.
	MinCoverage float64
}

// Weighted is one part of a split route.
type Weighted struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections is what one replica accepts from all nodes together.
	MaxConnections int
	// ColdFor is how long a replica stays cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the request rate that a cold replica bears from all nodes
	// together; 0 where it is only slower.
	ColdPerSecond float64
}

// Limits bounds what a caller may send; zero means no bound.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Gathers reports whether answers are merged from shards.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Index is a compiled configuration. Immutable.
type Index struct {
	Version  uint64
	Limits   Limits
	hosts    map[string][]*Route
	names    map[string]bool
	services map[string]*Service
}

// NewIndex compiles a configuration, which must not be changed any more.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		Version:  c.Version,
		Limits:   c.Limits,
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
		// Longest prefix first: the first one that begins a path is the match.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Match returns the route of a host and an undecoded path, or nil.
func (x *Index) Match(host, path string) *Route {
	for _, r := range x.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CanGather reports whether the least coverage of any route that gathers can be had from
// the services for which reachable holds. It is true where no route gathers.
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

// coverage is the share of the route's shards for which reachable holds.
func (r *Route) coverage(reachable func(service string) bool) float64 {
	n := 0
	for _, shard := range r.Shards {
		if reachable(shard) {
			n++
		}
	}
	return float64(n) / float64(len(r.Shards))
}

// HasRoute reports whether a route of that name exists.
func (x *Index) HasRoute(name string) bool { return x.names[name] }

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// normalHost drops the port and the case, which do not tell hosts apart.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
