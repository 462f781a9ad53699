package fleet

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// newLargeFleet returns a node with count members in 8 data centres and a
// configuration of 3,500 replicas in force.
func newLargeFleet(count int) *Fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(Options{Settings: &pb.Settings{Node: "vm-000", Fleet: "test", DataCentre: "dc-0"}, Boot: 1, Log: log})
	env := f.Envelope()
	for i := 1; i < count; i++ {
		env.Changes = append(env.Changes, aliveChange(i, 1))
	}
	if err := f.Receive(env); err != nil {
		panic(err)
	}
	c := &pb.Configuration{Version: 1, Sheet: &pb.Sheet{Fleet: "test", Tuning: &pb.Tuning{Owners: 2}}}
	shards := make([]*pb.Shard, 1700)
	for i := range shards {
		shards[i] = &pb.Shard{Name: fmt.Sprint("s", i)}
	}
	for i := range 8 {
		c.Sheet.DataCentres = append(c.Sheet.DataCentres, &pb.DataCentre{Name: fmt.Sprint("dc-", i)})
	}
	for i := range 3500 {
		s := shards[i%len(shards)]
		s.Replicas = append(s.Replicas, &pb.Replica{
			Name:       fmt.Sprint("replica-", i),
			DataCentre: fmt.Sprint("dc-", i%8),
			Address:    fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
		})
	}
	c.Sheet.Services = []*pb.Service{{
		Name: "search", MaxDeadlineMs: 240,
		Generations: []*pb.Generation{{Id: 1, Shards: shards}},
	}}
	f.offerConfiguration(c, "the benchmark")
	return f
}

func aliveChange(i int, incarnation uint64) *pb.MemberChange {
	return &pb.MemberChange{
		Node:        fmt.Sprintf("vm-%03d", i),
		Boot:        uint64(i + 1),
		Incarnation: incarnation,
		State:       pb.MemberState_MEMBER_STATE_ALIVE,
		DataCentre:  fmt.Sprint("dc-", i%8),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
	}
}

// BenchmarkQueryPath measures one call of Owners and one envelope sent and received,
// at 8 and 750 nodes.
//
//	go test ./node/fleet -run - -bench .
func BenchmarkQueryPath(b *testing.B) {
	for _, count := range []int{8, 750} {
		f := newLargeFleet(count)
		shards := f.Index().Services["search"].Latest().Shards
		b.Run(fmt.Sprint("owners/", count), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				f.Owners(shards[i%len(shards)].Replicas[0])
			}
		})
		b.Run(fmt.Sprint("envelope/", count), func(b *testing.B) {
			for b.Loop() {
				if err := f.Receive(f.Envelope()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChange measures applying the change of one member.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{8, 750} {
		f := newLargeFleet(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			incarnation := uint64(1)
			for b.Loop() {
				incarnation++
				env := &pb.Envelope{Fleet: "test", Protocol: Protocol, Changes: []*pb.MemberChange{aliveChange(1, incarnation)}}
				if err := f.Receive(env); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
