package sheet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/sheet"
)

const dataCentres = 4

// newSheet returns a valid sheet of one service with shards x replicas.
func newSheet(shards, replicas int) *pb.Sheet {
	s := &pb.Sheet{Fleet: "f"}
	for i := range dataCentres {
		s.DataCentres = append(s.DataCentres, &pb.DataCentre{Name: fmt.Sprintf("dc-%d", i)})
	}
	gen := &pb.Generation{Id: 1, FirstSnapshot: 1}
	for i := range shards {
		shard := &pb.Shard{Name: fmt.Sprintf("timing-%04d", i)}
		for j := range replicas {
			shard.Replicas = append(shard.Replicas, &pb.Replica{
				Name:       fmt.Sprintf("timing-%04d-%d", i, j),
				DataCentre: fmt.Sprintf("dc-%d", (i+j)%dataCentres),
				Address:    fmt.Sprintf("10.%d.%d.%d:8080", j, i/250, 1+i%250),
			})
		}
		gen.Shards = append(gen.Shards, shard)
	}
	s.Services = []*pb.Service{{
		Name: "timing", Slots: 3, Connections: 30,
		Classes:     []*pb.Class{{Name: "checkpoint"}},
		Generations: []*pb.Generation{gen},
	}}
	return s
}

func TestWithDefaultsIsIdempotent(t *testing.T) {
	c := qt.New(t)
	s := newSheet(2, 3)
	c.Assert(sheet.Check(s), qt.HasLen, 0)
	full := sheet.WithDefaults(s)
	c.Assert(full.GetServices()[0].GetColdInFlight(), qt.Equals, uint32(sheet.DefaultColdInFlight))
	c.Assert(proto.Equal(sheet.WithDefaults(full), full), qt.IsTrue)
	a, err := sheet.Compile(s, 1, "id", "by")
	c.Assert(err, qt.IsNil)
	b, err := sheet.Compile(full, 1, "id", "by")
	c.Assert(err, qt.IsNil)
	c.Assert(a.GetSheetDigest(), qt.Equals, b.GetSheetDigest())
}

// If two generations disagreed about a replica, a node could send one shard's
// queries to two addresses and count the replica's slots twice.
func TestCheckRejectsReplicaThatDiffersBetweenGenerations(t *testing.T) {
	c := qt.New(t)
	s := newSheet(2, 3)
	next := proto.CloneOf(s.Services[0].Generations[0])
	next.Id, next.FirstSnapshot = 2, 100
	s.Services[0].Generations = append(s.Services[0].Generations, next)
	c.Assert(sheet.Check(s), qt.HasLen, 0)

	next.Shards[1].Replicas[2].DataCentre = "dc-0"
	faults := sheet.Check(s)
	c.Assert(faults, qt.HasLen, 1)
	c.Assert(faults[0].Path, qt.Equals, "services[0].generations[1].shards[1].replicas[2]")

	next.FirstSnapshot = 1
	faults = sheet.Check(s)
	c.Assert(faults, qt.HasLen, 2)
	c.Assert(faults[0].Path, qt.Equals, "services[0].generations[1].first_snapshot")
}

func TestCompileRejectsInvalidSheet(t *testing.T) {
	c := qt.New(t)
	s := newSheet(1, 1)
	s.Services[0].Slots = 0
	_, err := sheet.Compile(s, 1, "id", "by")
	c.Assert(err, qt.ErrorMatches, `sheet has 1 faults, the first: services\[0\].slots: .*`)
}

func TestCompareReportsEveryChange(t *testing.T) {
	c := qt.New(t)
	old := newSheet(10, 3)
	c.Assert(sheet.Compare(old, sheet.WithDefaults(old)).Empty(), qt.IsTrue)

	next := proto.CloneOf(old)
	shards := next.Services[0].Generations[0].Shards
	shards[0].Replicas[0].State = pb.Lifecycle_LIFECYCLE_OUT
	shards[1].Replicas = shards[1].Replicas[:2]
	next.Services[0].Generations[0].Shards = shards[:9]
	next.DataCentres[3].State = pb.Lifecycle_LIFECYCLE_OUT
	next.Services[0].HedgePercent = proto.Uint32(0)
	d := sheet.Compare(old, next)
	c.Assert(d.Changed, qt.DeepEquals, []string{"timing-0000-0"})
	c.Assert(d.Removed, qt.DeepEquals, []string{"timing-0001-2", "timing-0009-0", "timing-0009-1", "timing-0009-2"})
	c.Assert(d.RemovedShards, qt.DeepEquals, []string{"timing/1/timing-0009"})
	c.Assert(d.Other, qt.DeepEquals, []string{
		"data_centres[dc-3].state: in_service -> out",
		"services[timing].hedge_percent: 5 -> 0",
	})
	c.Assert(d.Loss.Replicas, qt.Equals, 4)
	c.Assert(d.Loss.Percent > 13 && d.Loss.Percent < 14, qt.IsTrue)
}

// A truncated export can be a valid sheet. Without the check, publishing it would
// take the missing services and replicas out of service in the whole fleet.
func TestExcessiveLossIsRefusedWithoutAllowLoss(t *testing.T) {
	c := qt.New(t)
	old := newSheet(10, 3)
	small := newSheet(1, 1)
	small.Services[0].Name = "news"
	replica := small.Services[0].Generations[0].Shards[0].Replicas[0]
	replica.Name, replica.Address = "news-0", "10.9.9.9:1"
	old.Services = append(old.Services, small.Services[0])
	c.Assert(sheet.Check(old), qt.HasLen, 0)

	next := proto.CloneOf(old)
	next.Services = next.Services[:1]
	d := sheet.Compare(old, next)
	c.Assert(d.Loss.Service, qt.Equals, "news")
	c.Assert(d.LossRefusal(next), qt.Not(qt.Equals), "")
	next.AllowLoss = true
	c.Assert(d.LossRefusal(next), qt.Equals, "")

	next = proto.CloneOf(old)
	next.Services[0].Generations[0].Shards = next.Services[0].Generations[0].Shards[:8]
	c.Assert(sheet.Compare(old, next).LossRefusal(next), qt.Equals, "")
	next.Services[0].Generations[0].Shards = next.Services[0].Generations[0].Shards[:7]
	c.Assert(sheet.Compare(old, next).LossRefusal(next), qt.Not(qt.Equals), "")
	c.Assert(sheet.Compare(nil, next).LossRefusal(next), qt.Equals, "")
}

// Taking a data centre out of service is refused if a shard loses its last replica
// in service. A shard that already has none must not block other changes.
func TestLossOfLastReplicaInServiceIsRefused(t *testing.T) {
	c := qt.New(t)
	old := newSheet(8, 2)
	one := proto.CloneOf(old)
	one.DataCentres[1].State = pb.Lifecycle_LIFECYCLE_OUT
	c.Assert(sheet.Compare(old, one).LossRefusal(one), qt.Equals, "")

	two := proto.CloneOf(one)
	two.DataCentres[2].State = pb.Lifecycle_LIFECYCLE_OUT
	d := sheet.Compare(one, two)
	c.Assert(d.Unserved, qt.DeepEquals, []string{"timing/1/timing-0001", "timing/1/timing-0005"})
	c.Assert(d.LossRefusal(two), qt.Equals, "2 shards would have no replica in service, the first is timing/1/timing-0001")

	next := proto.CloneOf(two)
	next.Services[0].Slots++
	c.Assert(sheet.Compare(two, next).LossRefusal(next), qt.Equals, "")
}

// Adding a generation and later removing the older one loses no shards. Removing
// the newest generation without a newer one loses all its shards.
func TestRepartitioningIsNotCountedAsLoss(t *testing.T) {
	c := qt.New(t)
	one := newSheet(4, 2)
	both := proto.CloneOf(one)
	next := proto.CloneOf(one.Services[0].Generations[0])
	next.Id, next.FirstSnapshot = 2, 100
	for i, shard := range next.Shards {
		shard.Name = fmt.Sprintf("half-%d", i)
	}
	both.Services[0].Generations = append(both.Services[0].Generations, next)
	two := proto.CloneOf(both)
	two.Services[0].Generations = two.Services[0].Generations[1:]

	c.Assert(sheet.Compare(one, both).Loss.Percent, qt.Equals, 0.0)
	c.Assert(sheet.Compare(both, two).Loss.Percent, qt.Equals, 0.0)
	c.Assert(sheet.Compare(both, one).Loss.Shards, qt.Equals, 4)
	c.Assert(sheet.Compare(both, one).LossRefusal(one), qt.Not(qt.Equals), "")
}

// The platform's key-value store accepts values of up to 1 MB. A configuration of
// 3,500 replicas must stay under half of that.
func TestConfigurationSizeAtTargetFleet(t *testing.T) {
	c := qt.New(t)
	for _, shards := range []int{25, 250, 1750} {
		cfg, err := sheet.Compile(newSheet(shards, 2), 1, "0f3c9f5e-1111-4222-8333-444455556666", "ops")
		c.Assert(err, qt.IsNil)
		t.Logf("%d replicas: %d bytes", 2*shards, proto.Size(cfg))
		c.Assert(proto.Size(cfg) < 1<<19, qt.IsTrue)
	}
}
