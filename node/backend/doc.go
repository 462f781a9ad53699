// Package backend sends attempts to backend servers. It keeps the node's share of
// the connections to each replica, sends each attempt on one connection, and
// reports evidence of whether the attempt can have run.
//
// Connections are net/http client connections (Transport.NewClientConn) in one
// pool for each replica. Transport.RoundTrip is not used: it retries replayable
// requests by itself, does not report which connection carried an attempt, and
// cannot remove a single connection from use. See docs/design/backend-adapter.md.
//
// Lock order: Client.mu, then pool.mu, then netConn.mu. batch.mu and
// ForwardRequest.mu are held with no other lock.
package backend
