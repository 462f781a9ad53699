package backend

import (
	"context"
	"net"
	"time"
)

// Defaults of Options.
const (
	defaultDialTimeout     = time.Second
	defaultMaxResultBytes  = 1 << 20
	defaultIdleTimeout     = 90 * time.Second
	defaultCancelGrace     = 6 * time.Millisecond
	defaultSilenceTimeout  = 250 * time.Millisecond
	defaultProbeTimeout    = 200 * time.Millisecond
	defaultCloseTimeout    = 30 * time.Second
	defaultSendPingTimeout = time.Second
	maxResponseHeaderBytes = 16 << 10
	// streamsPerConnection is the number of streams that an HTTP/2 client may assume
	// before the server's settings arrive.
	streamsPerConnection = 100
)

// Options configures a Client. Zero fields have defaults.
type Options struct {
	// Dial opens a TCP connection. The default enables TCP keepalive, so that the
	// kernel detects most silent connections while they are idle.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	// MaxResultBytes bounds the body of a reply.
	MaxResultBytes int64
	// IdleTimeout closes connections that have been idle for longer.
	IdleTimeout time.Duration
	// CancelGrace is how long a cancelled HTTP/1.1 exchange may continue so that
	// its connection can be reused; a negative value closes the connection at once.
	// The default equals the connection setup time of the slowest services.
	CancelGrace time.Duration
	// SilenceTimeout is the minimum time without received data after which an
	// attempt's connection is checked. If silenceFactor times the slowest recent
	// reply of the replica is longer, that time applies.
	SilenceTimeout time.Duration
	// ProbeTimeout bounds a status request on a connection that is checked.
	ProbeTimeout time.Duration
	// CloseTimeout is how long a closed connection counts against the share
	// while the backend server has not closed its end.
	CloseTimeout time.Duration
	// Event records closed silent connections in the decision ring; may be nil.
	Event func(kind, subject, detail string)
	// OnDisconnect is called when a backend server closes a connection, idle or in
	// use, possibly because of a restart. It must not block, since the connection's
	// reader calls it. May be nil.
	OnDisconnect func(replica string)
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: time.Second,
			Count:    3,
		}}
		o.Dial = dialer.DialContext
	}
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.CancelGrace, defaultCancelGrace)
	setDefault(&o.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.CloseTimeout, defaultCloseTimeout)
	if o.MaxResultBytes == 0 {
		o.MaxResultBytes = defaultMaxResultBytes
	}
	if o.OnDisconnect == nil {
		o.OnDisconnect = func(string) {}
	}
	if o.Event == nil {
		o.Event = func(string, string, string) {}
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
