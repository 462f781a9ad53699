// Package entry runs read queries of callers at the node that received them. It
// admits a query, drives the state machine of policy/query and sends subrequests to
// the owners of the replicas. All queries of a service share its tables.
//
// Lock order: tables.mu before the lock of unresponsivePeers. Entry.mu is not held
// together with either. Fleet.Owners is called while tables.mu is held, so it must
// neither block nor call this package. No lock is held while a message is sent or
// another method of Fleet is called.
package entry
