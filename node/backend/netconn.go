package backend

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errWritesBlocked = errors.New("writes on the connection are blocked")

// netConn is a TCP connection that counts its writes, and records the time of the last
// received byte and whether the peer has closed the connection.
type netConn struct {
	net.Conn
	openedAt time.Time
	// lastReadNanos is the time of the last received byte, in nanoseconds after openedAt.
	lastReadNanos atomic.Int64
	closing       atomic.Bool
	closeOnce     sync.Once
	// peerClosed is closed when the peer has closed the connection, or after
	// closeTimeout.
	peerClosed chan struct{}
	// closeTimeout is how long Close waits for the peer, and maxDrain how many bytes it
	// discards meanwhile.
	closeTimeout time.Duration
	maxDrain     int64
	// onDisconnect is called once if the peer closes the connection first.
	onDisconnect func()
	// stats of the client.
	stats *stats

	// readMu is held while reading, so that awaitPeerClose can take over reading.
	readMu sync.Mutex

	// mu guards the fields below.
	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
}

func newNetConn(c net.Conn, closeTimeout time.Duration, maxDrain int64, onDisconnect func(), counts *stats) *netConn {
	return &netConn{
		Conn:         c,
		openedAt:     time.Now(),
		peerClosed:   make(chan struct{}),
		closeTimeout: closeTimeout,
		maxDrain:     maxDrain,
		onDisconnect: sync.OnceFunc(onDisconnect),
		stats:        counts,
	}
}

func (nc *netConn) Read(p []byte) (int, error) {
	// A connection has one reader. Only awaitPeerClose holds the lock otherwise, until the
	// peer closes.
	if !nc.readMu.TryLock() {
		return 0, net.ErrClosed
	}
	defer nc.readMu.Unlock()
	if nc.closing.Load() {
		return 0, net.ErrClosed
	}
	n, err := nc.Conn.Read(p)
	if n > 0 {
		nc.stats.bytesIn.Add(uint64(n))
		nc.lastReadNanos.Store(int64(time.Since(nc.openedAt)))
	}
	if err != nil && !nc.closing.Load() && !errors.Is(err, os.ErrDeadlineExceeded) {
		nc.onDisconnect()
	}
	return n, err
}

// Write increments the count before any byte is sent, so that the count is never
// lower than what the backend server may have received.
func (nc *netConn) Write(p []byte) (int, error) {
	nc.mu.Lock()
	if nc.writesBlocked {
		nc.mu.Unlock()
		return 0, errWritesBlocked
	}
	nc.writes++
	nc.mu.Unlock()
	n, err := nc.Conn.Write(p)
	nc.stats.bytesOut.Add(uint64(n))
	return n, err
}

func (nc *netConn) writeCount() uint64 {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	return nc.writes
}

// writesBlockedSince reports whether writes are blocked and nothing has been written
// since count was read.
func (nc *netConn) writesBlockedSince(count uint64) bool {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	return nc.writesBlocked && nc.writes == count
}

// blockWrites blocks further writes if nothing has been written since count was read,
// and reports whether it did. "Not run" is then certain. Without the block, the
// transport's own goroutine could write the request after the comparison.
func (nc *netConn) blockWrites(count uint64) bool {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	if nc.writes != count {
		return false
	}
	nc.writesBlocked = true
	return true
}

// lastRead returns when the last byte was received, or when the connection was
// opened if none was.
func (nc *netConn) lastRead() time.Time {
	return nc.openedAt.Add(time.Duration(nc.lastReadNanos.Load()))
}

// Close starts to close the connection and returns at once. peerClosed is closed when
// the peer has closed its end too. A backend server counts a connection until it has
// noticed the close and its handler has stopped. A replacement opened earlier could
// exceed the server's connection limit, and the server would refuse other nodes.
func (nc *netConn) Close() error {
	nc.closeOnce.Do(func() {
		nc.closing.Store(true)
		go nc.awaitPeerClose()
	})
	return nil
}

// awaitPeerClose closes the write side and waits until the peer closes its end. It discards at
// most maxDrain bytes: a faulty peer may send without end until the connection is reset.
func (nc *netConn) awaitPeerClose() {
	defer close(nc.peerClosed)
	defer func() { _ = nc.Conn.Close() }()
	// Ends a read in progress, whose goroutine then releases readMu.
	_ = nc.SetReadDeadline(time.Unix(1, 0))
	nc.readMu.Lock()
	defer nc.readMu.Unlock()
	half, ok := nc.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if nc.SetReadDeadline(time.Now().Add(nc.closeTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, nc.Conn, nc.maxDrain)
}

// reset closes the connection and discards what the kernel has not delivered. After a close,
// the kernel would go on sending a request to a peer that does not answer, for minutes, and
// the peer would run it when the link is back.
func (nc *netConn) reset() {
	if tcp, ok := nc.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	nc.closeNow()
}

// closeNow closes the connection without waiting for the peer.
func (nc *netConn) closeNow() {
	_ = nc.Close()
	_ = nc.Conn.Close()
}
