package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/standin/memnet"
)

// Guards against memory use by idle connections in large fleets. A connection used every
// 13 s by pings stays open. An idle one is closed after a minute, and the next call opens
// a new one without an error.
func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New(time.Millisecond)
		l, err := network.Listen("server", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := peer.NewServer(configNode{}, nil, nil, nil)
		go func() { _ = server.Serve(l) }()
		defer server.Stop()
		var opened atomic.Int32
		dial := network.Dialer("client")
		pool := peer.NewPool(nil, func(ctx context.Context, network, address string) (net.Conn, error) {
			opened.Add(1)
			return dial(ctx, network, address)
		})
		defer pool.Close()
		client := peer.NewClient(pool, configNode{})
		call := func(times int, pause time.Duration) int32 {
			for range times {
				time.Sleep(pause)
				_, err := client.Pull(t.Context(), l.Addr().String(), &pb.PullConfigurationRequest{})
				c.Assert(err, qt.IsNil)
			}
			return opened.Load()
		}
		c.Assert(call(20, 13*time.Second), qt.Equals, int32(1))
		c.Assert(call(3, 2*time.Minute), qt.Equals, int32(4))
	})
}
