package gateway

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns the kernel's smoothed round-trip time of a TCP connection.
func roundTrip(conn net.Conn) time.Duration {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return defaultRoundTrip
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return defaultRoundTrip
	}
	measured := defaultRoundTrip
	// An error means that the connection is closed. The default remains.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			measured = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return measured
}
