// Package peer implements the gRPC client and server between the nodes of one fleet,
// with a pool of connections. Each request has an envelope. The server passes it to the
// fleet, which checks it before the server processes the rest of the request.
package peer
