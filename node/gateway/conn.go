package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// defaultRoundTrip is used for a connection whose round-trip time is unavailable.
	defaultRoundTrip = 6 * time.Millisecond
	// maxRoundTrip bounds the measured round-trip time of a connection.
	maxRoundTrip = 50 * time.Millisecond
	// processingTime is the time of a processor core for reading a request and writing its
	// answer, which the round-trip time does not include. minProcessingReserve and
	// maxProcessingReserve bound the time reserved for it.
	processingTime       = 800 * time.Microsecond
	minProcessingReserve = 2 * time.Millisecond
	maxProcessingReserve = 10 * time.Millisecond
)

// callerConn is a caller's connection. Safe for concurrent use.
type callerConn struct {
	conn     net.Conn
	requests atomic.Uint32
}

// callerConnKey is the context key of a callerConn.
type callerConnKey struct{}

// withCallerConn returns the context of the requests on a connection.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn})
}

// transitReserve returns the part of an objective that the next request on a connection
// needs for its transit to this node and back. The first request needs two round trips,
// because its caller's latency includes the opening of the connection.
// cores is this node's share of processor cores.
func transitReserve(ctx context.Context, cores float64) time.Duration {
	processing := min(max(time.Duration(float64(processingTime)/max(cores, 0.01)), minProcessingReserve), maxProcessingReserve)
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return processing + defaultRoundTrip
	}
	trips := time.Duration(1)
	if c.requests.Add(1) == 1 {
		trips = 2
	}
	return processing + trips*min(roundTrip(c.conn), maxRoundTrip)
}
