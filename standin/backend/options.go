package backend

import (
	"math/rand/v2"
	"time"
)

// Generation is one partitioning of the index, with the shards that this server
// holds in it.
type Generation struct {
	ID            uint64
	FirstSnapshot uint64
	Shards        []string
}

// ServiceTime is the distribution of the time for which a request holds its slot.
type ServiceTime struct {
	// Base is the minimum time.
	Base time.Duration
	// Spread is the upper bound of a uniformly distributed time added to Base.
	Spread time.Duration
	// SlowShare is the fraction of requests, from 0 to 1, whose time is multiplied by
	// SlowFactor.
	SlowShare  float64
	SlowFactor float64
}

// Cold configures cold starts.
type Cold struct {
	// InFlight is the concurrency limit of a cold server. Above the limit the server
	// simulates a crash. 0 means no limit, and restarts are not cold.
	InFlight int
	// Requests is the number of completed requests that end a cold start; 0 counts
	// as 1.
	Requests int
	// Factor multiplies the service time while the server is cold; 0 counts as 1.
	Factor float64
}

// Options configures a Server.
type Options struct {
	// Name is the replica's name, reported in results.
	Name string
	// Generations in ascending order of FirstSnapshot.
	Generations []Generation
	// Oldest and Newest are the first and last snapshot held at start.
	Oldest, Newest uint64
	// Slots is the number of requests that run concurrently; 0 counts as 1.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; further requests
	// are shed. A negative number means no limit.
	Queue int
	// Connections is the connection limit; 0 means no limit.
	Connections int
	// ConnectTime delays the first read from a new connection.
	ConnectTime time.Duration
	ServiceTime ServiceTime
	Cold        Cold
	// StartCold starts the server in an announced cold start.
	StartCold bool
	// Rng draws service times. It is required if ServiceTime sets Spread or SlowShare.
	Rng *rand.Rand
	// RecordAttempts records the id of every attempt that ran, for Server.Ran.
	RecordAttempts bool
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = 1
	}
	if o.Cold.Factor <= 0 {
		o.Cold.Factor = 1
	}
	if o.Cold.Requests <= 0 {
		o.Cold.Requests = 1
	}
	return o
}
