// Package fairshare decides which requests of a node start first while replicas or the node's
// processor accept fewer requests than callers send. The package does no I/O and reads no
// clock.
//
// Requests wait in a Queue before anything is reserved for them. Higher priorities start first,
// the others keep a minimum share. Within a priority, accounts receive max-min fair shares by
// start-time fair queueing, and within an account the earliest deadline goes first. A request
// that can no longer start in time is refused, and its caller learns when to return.
package fairshare

import "time"

// Request is what the order of requests depends on.
type Request struct {
	// Priority 0 is the most urgent.
	Priority int
	// Account is empty for requests without one, which count as one account.
	Account string
	// Surplus is set for a request that exceeds the usual rate of its account by far
	// (Queue.Arrived).
	Surplus bool
	// StartBy is the time by which the request must start to be answered in time.
	StartBy time.Time
	// ReviewAt is the time by which a refusal leaves the caller enough time for another attempt.
	ReviewAt time.Time
}

// Cause is why a request was refused.
type Cause int

// Causes of refusals.
const (
	// NotRefused: the request was admitted, or still waits.
	NotRefused Cause = iota
	// TooLate: the request could not start in time when it arrived.
	TooLate
	// NoTurn: by its place and the rate of admissions, the request would not start in time.
	NoTurn
	// QueueFull: the queue of the priority is full, and no account has more waiting requests.
	QueueFull
	// Displaced: a request of an account with fewer waiting requests took the place.
	Displaced
	// Expired: the request has waited until it could no longer start in time.
	Expired
	// Stopping: the node shuts down.
	Stopping
	// CallerLeft: the caller has disconnected.
	CallerLeft
)

// String returns the cause's name in logs and metrics.
func (c Cause) String() string {
	return [...]string{"none", "too_late", "no_turn", "queue_full", "displaced", "expired", "stopping", "caller_left"}[c]
}
