package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// repartitioned returns a configuration whose service has two generations.
func repartitioned() *pb.Configuration {
	replica := func(name, dc, addr string) *pb.Replica {
		return &pb.Replica{Name: name, DataCentre: dc, Address: addr}
	}
	return &pb.Configuration{
		Version: 7,
		Sheet: &pb.Sheet{
			DataCentres: []*pb.DataCentre{
				{Name: "a"},
				{Name: "b", State: pb.Lifecycle_LIFECYCLE_OUT},
			},
			Services: []*pb.Service{{
				Name: "timing",
				Generations: []*pb.Generation{
					{Id: 2, FirstSnapshot: 100, Shards: []*pb.Shard{
						{Name: "n0", Replicas: []*pb.Replica{replica("r0", "a", "127.0.0.1:1")}},
						{Name: "n1", Replicas: []*pb.Replica{replica("r1", "b", "127.0.0.1:2")}},
					}},
					{Id: 1, FirstSnapshot: 1, Shards: []*pb.Shard{
						{Name: "o0", Replicas: []*pb.Replica{
							replica("r0", "a", "127.0.0.1:1"),
							replica("r1", "b", "127.0.0.1:2"),
						}},
					}},
				},
			}},
		},
	}
}

func TestSnapshotBelongsToOneGeneration(t *testing.T) {
	c := qt.New(t)
	x, err := config.New(repartitioned())
	c.Assert(err, qt.IsNil)
	svc := x.Services["timing"]
	c.Assert(svc.GenerationOf(0), qt.IsNil)
	c.Assert(svc.GenerationOf(99).ID, qt.Equals, uint64(1))
	c.Assert(svc.GenerationOf(100).ID, qt.Equals, uint64(2))
	c.Assert(svc.Latest().Shard("o0"), qt.IsNil)
	c.Assert(svc.Latest().Shard("n1").Position, qt.Equals, 1)
}

func TestReplicaIsOutOfServiceWithItsDataCentre(t *testing.T) {
	c := qt.New(t)
	x, err := config.New(repartitioned())
	c.Assert(err, qt.IsNil)
	c.Assert(x.Replicas["r0"].InService, qt.IsTrue)
	c.Assert(x.Replicas["r1"].InService, qt.IsFalse)
	c.Assert(x.ReplicaNames(), qt.DeepEquals, []string{"r0", "r1"})
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	c := qt.New(t)
	raw := repartitioned()
	raw.Sheet.Services[0].Generations[1].Shards[0].Replicas[0].Address = "127.0.0.1:9"
	_, err := config.New(raw)
	c.Assert(err, qt.ErrorMatches, "replica r0 has conflicting definitions")
	_, err = config.New(&pb.Configuration{})
	c.Assert(err, qt.ErrorMatches, "configuration has no sheet")
}
