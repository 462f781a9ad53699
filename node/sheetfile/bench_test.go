package sheetfile_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/sheet"
)

// sheetYAML returns the YAML of a sheet with two replicas per shard.
func sheetYAML(c *qt.C, replicas int) []byte {
	s := &pb.Sheet{Fleet: "f"}
	for i := range 8 {
		s.DataCentres = append(s.DataCentres, &pb.DataCentre{Name: fmt.Sprintf("dc-%d", i)})
	}
	gen := &pb.Generation{Id: 1, FirstSnapshot: 1}
	for i := range replicas / 2 {
		shard := &pb.Shard{Name: fmt.Sprintf("timing-%04d", i)}
		for j := range 2 {
			shard.Replicas = append(shard.Replicas, &pb.Replica{
				Name:       fmt.Sprintf("timing-%04d-%d", i, j),
				DataCentre: fmt.Sprintf("dc-%d", (i+j)%8),
				Address:    fmt.Sprintf("10.%d.%d.%d:8080", j, i/250, 1+i%250),
			})
		}
		gen.Shards = append(gen.Shards, shard)
	}
	s.Services = []*pb.Service{{
		Name: "timing", Slots: 3, Connections: 30,
		Classes: []*pb.Class{{Name: "checkpoint"}}, Generations: []*pb.Generation{gen},
	}}
	text, err := schema.Encode(s)
	c.Assert(err, qt.IsNil)
	return text
}

// BenchmarkSheet parses, checks and compiles a sheet, as carobmillctl does.
func BenchmarkSheet(b *testing.B) {
	for _, replicas := range []int{100, 1000, 3500} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			text := sheetYAML(qt.New(b), replicas)
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				s, _ := sheetfile.Parse("s.yaml", text)
				if _, err := sheet.Compile(s, 1, "id", "by"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkConfiguration decodes and indexes a compiled sheet, as a node does.
func BenchmarkConfiguration(b *testing.B) {
	for _, replicas := range []int{100, 1000, 3500} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s, _ := sheetfile.Parse("s.yaml", sheetYAML(qt.New(b), replicas))
			cfg, err := sheet.Compile(s, 1, "id", "by")
			qt.Assert(b, err, qt.IsNil)
			value, err := proto.Marshal(cfg)
			qt.Assert(b, err, qt.IsNil)
			b.SetBytes(int64(len(value)))
			b.ReportAllocs()
			for b.Loop() {
				raw := &pb.Configuration{}
				if err := proto.Unmarshal(value, raw); err != nil {
					b.Fatal(err)
				}
				if _, err := config.New(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
