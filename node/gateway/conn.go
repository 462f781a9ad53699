package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// assumedRoundTrip stands in for the round trip of a connection that does not tell.
	assumedRoundTrip = 6 * time.Millisecond
	// maxRoundTrip bounds what a connection tells.
	maxRoundTrip = 50 * time.Millisecond
	// processing is what reading a request and writing its answer take outside of what
	// is measured.
	processing = 2 * time.Millisecond
)

// callerConn is a caller's connection. Safe for concurrent use.
type callerConn struct {
	conn     net.Conn
	requests atomic.Uint32
}

// callerConnKey is the context key of a callerConn.
type callerConnKey struct{}

// withCallerConn makes the context of the requests on a connection.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn})
}

// reserve is what of an objective the next request on a connection needs on its way to
// this node and back. Its caller counts the opening of the connection too.
func reserve(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return processing + assumedRoundTrip
	}
	trips := time.Duration(1)
	if c.requests.Add(1) == 1 {
		trips = 2
	}
	return processing + trips*min(roundTrip(c.conn), maxRoundTrip)
}
