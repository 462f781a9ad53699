// Package owner runs subrequests and non-idempotent requests at the replicas
// that this node owns. All requests to backend servers pass through this package.
// It enforces connection shares, concurrency limits and the rules for cold starts.
//
// Lock order: Owner.mu or slot.mu, then ownedReplica.mu or latencyAverage.mu, then the
// locks of package backend. Methods of Fleet may be called while Owner.mu is held, but
// not while another of these locks is held. No lock is held while a reply function is
// called or while waiting for a backend server.
package owner
