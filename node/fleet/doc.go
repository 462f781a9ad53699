// Package fleet maintains one node's view of the fleet: its members, the owners of
// each replica, and the configuration in force. It runs the loops that ping and join
// members, claim cold replicas, pull configurations from peers, watch the platform's
// key and read its VM list. The decisions are made by the policy packages.
//
// Locks: Fleet.mu guards the policy state. It is never held during a call to a
// peer, to the platform, to Options.Event or to Options.InFlight. Owners, Index and
// Members read an immutable view through an atomic pointer and do not wait for mu.
// Envelope locks mu, as do Receive of a message with new state and MayUseCold
// without a cached permission.
package fleet
