// Package load is an open-loop load generator for the caller interface.
//
// Requests are sent at the arrival times of a Poisson process, whether or not
// earlier requests have completed. Latency is measured from the intended send
// time. A closed-loop generator sends fewer requests while the fleet is slow, so
// its report omits the latency of the requests that it did not send (coordinated
// omission).
package load
