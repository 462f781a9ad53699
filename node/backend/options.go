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
	defaultFinishBound     = 6 * time.Millisecond
	defaultSilenceAfter    = 250 * time.Millisecond
	defaultProbeTimeout    = 200 * time.Millisecond
	defaultHoldClosed      = 30 * time.Second
	defaultPingAfter       = time.Second
	maxResponseHeaderBytes = 16 << 10
	// streamsPerConnection stays under the 100 streams that HTTP/2 lets a
	// client assume before the server's settings arrive.
	streamsPerConnection = 100
)

// Options configures a Client. The zero value takes the defaults.
type Options struct {
	// Dial opens a TCP connection. The default uses TCP keepalive, so that the
	// kernel finds most silent connections while they are idle.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	// MaxResultBytes bounds the body of a reply.
	MaxResultBytes int64
	// IdleTimeout closes connections that carried nothing for so long.
	IdleTimeout time.Duration
	// CancelGrace is how long a cancelled HTTP/1.1 exchange may go on so that
	// its connection can be kept; negative closes it at once. The default is
	// what a new connection costs at the slowest services.
	CancelGrace time.Duration
	// SilenceTimeout is the least time without a byte after which an attempt's
	// connection is examined. Four times the slowest recent reply of the
	// replica raises it.
	SilenceTimeout time.Duration
	// ProbeTimeout bounds a status request on a connection under examination.
	ProbeTimeout time.Duration
	// CloseTimeout is how long a closed connection may count against the share
	// while the backend server has not closed its end.
	CloseTimeout time.Duration
	// Event reports condemned connections to the decision ring; may be nil.
	Event func(kind, subject, detail string)
	// OnDisconnect is called when a backend server closes a connection, idle or in use:
	// it may have restarted. May be nil.
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
	setDefault(&o.CancelGrace, defaultFinishBound)
	setDefault(&o.SilenceTimeout, defaultSilenceAfter)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.CloseTimeout, defaultHoldClosed)
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
