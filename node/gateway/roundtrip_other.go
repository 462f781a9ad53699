//go:build !linux

package gateway

import (
	"net"
	"time"
)

// roundTrip returns an assumed value where the kernel is not asked.
func roundTrip(net.Conn) time.Duration { return assumedRoundTrip }
