package gateway

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip returns the round trip that the kernel has measured on a TCP connection.
func roundTrip(conn net.Conn) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return assumedRoundTrip
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return assumedRoundTrip
	}
	measured := assumedRoundTrip
	// An error leaves the assumed value: the connection has been closed.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			measured = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return measured
}
