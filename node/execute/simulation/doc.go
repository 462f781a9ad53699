// Package simulation provides in-memory test doubles of the platform and of a backend
// service for tests of non-idempotent requests. Faults are set by the test or drawn at
// random from a seed. All waits use the time package, so they run in virtual time inside
// a synctest bubble.
package simulation
