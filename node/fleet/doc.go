// Package fleet maintains one node's view of the fleet: its members, the owners of
// each replica, and the configuration in force. It runs the loops that ping
// members, pull configurations from peers, watch the platform's key and read its VM
// list. The decisions are made by the policy packages.
//
// Locks: Fleet.mu guards the policy state. It is never held during a call to a
// peer, to the platform or to Options.Event. The query path reads an immutable view
// through an atomic pointer, so queries do not wait for mu.
package fleet
