package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/peer"
)

// configNode is a node that serves one configuration.
type configNode struct {
	peer.Fleet
	cfg *pb.Configuration
}

func (configNode) Receive(*pb.Envelope) error { return nil }

func (n configNode) HandlePull(context.Context, *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error) {
	return &pb.PullConfigurationResponse{Configuration: n.cfg}, nil
}

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against pulls that exceed the control traffic allowed for a node: the response
// must be compressed.
func TestPulledConfigurationIsCompressed(t *testing.T) {
	c := qt.New(t)
	shard := &pb.Shard{Name: "s"}
	for i := range 3500 {
		shard.Replicas = append(shard.Replicas, &pb.Replica{
			Name: fmt.Sprintf("timing-%04d-a", i), DataCentre: "nairobi-1", Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
		})
	}
	cfg := &pb.Configuration{Version: 7, Sheet: &pb.Sheet{Services: []*pb.Service{{
		Generations: []*pb.Generation{{Shards: []*pb.Shard{shard}}},
	}}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := peer.NewServer(configNode{cfg: cfg}, nil, nil, nil)
	go func() { _ = server.Serve(l) }()
	defer server.Stop()

	var read atomic.Int64
	pool := peer.NewPool(nil, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: conn, read: &read}, err
	})
	defer pool.Close()
	resp, err := peer.NewClient(pool, configNode{}).Pull(t.Context(), l.Addr().String(), &pb.PullConfigurationRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(resp.GetConfiguration(), cfg), qt.IsTrue)
	t.Logf("%d bytes read for a configuration of %d bytes", read.Load(), proto.Size(cfg))
	c.Assert(read.Load() < int64(proto.Size(cfg)/3), qt.IsTrue)
}
