// Package policy is the parent of the decision packages. They perform no I/O,
// start no goroutines, read no clock and use no global random source. Callers
// pass in time and randomness and receive decisions as values, so that tests and
// simulations can drive the packages deterministically.
package policy
