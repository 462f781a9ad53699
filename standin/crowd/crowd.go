// Package crowd stands in for callers that ignore the limits of a node, all at the same time.
package crowd

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Client sends what one client of a crowd sends. It ends early when the node closes the
// connection.
type Client func(conn net.Conn, id string)

// Crowd is the open connections of many clients.
type Crowd []net.Conn

// Open opens the connections of a crowd and returns once every client has sent all it can.
// timeout bounds the wait for each of them. The connections stay open.
func Open(address string, size int, timeout time.Duration, send Client) (Crowd, error) {
	var clients sync.WaitGroup
	defer clients.Wait()
	crowd := make(Crowd, 0, size)
	for i := range size {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			crowd.Close()
			return nil, errors.Wrap(err, "connection of a crowd")
		}
		crowd = append(crowd, conn)
		clients.Go(func() {
			if conn.SetDeadline(time.Now().Add(timeout)) == nil {
				send(conn, fmt.Sprint("crowd-", i))
			}
		})
	}
	return crowd, nil
}

// Close closes the connections.
func (c Crowd) Close() {
	for _, conn := range c {
		_ = conn.Close()
	}
}
