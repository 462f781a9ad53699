// Package peer implements the gRPC client and server between the nodes of one fleet,
// with a pool of connections. Requests and responses carry an envelope, which the
// fleet checks before the rest of the message is processed.
package peer
