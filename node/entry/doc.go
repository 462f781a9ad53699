// Package entry runs read queries of callers at the node that received them. It
// admits a query, drives the state machine of policy/query and sends subrequests to
// the owners of the replicas. All queries of a service share its tables.
//
// Lock order: Entry.mu before tables.mu. No lock is held while a message is sent
// or a method of Fleet is called.
package entry
