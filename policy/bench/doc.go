// Package bench simulates the policy packages in virtual time against a queueing
// model of backend servers. It compares them with a baseline policy: a random
// replica, no hedging, no adaptive concurrency limit and no admission control.
// Runs with the same seed are identical, so tests can check their results against
// the bounds in bounds.txt.
//
// The simulation loses no messages, nodes do not fail, and membership is constant.
package bench
