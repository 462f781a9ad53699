package scenario_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/ownership"
	"github.com/carobmill/carobmill/policy/sheet"
	"github.com/carobmill/carobmill/standin/backend"
)

// docs/CAPACITY.md reports the results of these benchmarks.

// BenchmarkConfiguration measures the stored size of a configuration, the heap size of its
// index and the time to build the index, by number of replicas.
func BenchmarkConfiguration(b *testing.B) {
	for _, replicas := range []int{75, 875, 3500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			c, err := sheet.Compile(costSheet(replicas, 4), 1, "publish-id", "operator")
			qt.Assert(b, err, qt.IsNil)
			value, err := proto.Marshal(c)
			qt.Assert(b, err, qt.IsNil)
			before := heapInUse()
			var index *config.Index
			for b.Loop() {
				c := new(pb.Configuration)
				qt.Assert(b, proto.Unmarshal(value, c), qt.IsNil)
				index, err = config.New(c)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(len(value))/float64(replicas), "bytes/replica")
			b.ReportMetric(float64(heapInUse()-before)/float64(replicas), "heap-bytes/replica")
			runtime.KeepAlive(index)
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkScatter measures encoding and decoding of a scatter request and its response,
// by number of subrequests.
func BenchmarkScatter(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("subrequests=%d", n), func(b *testing.B) {
			request, response := scatterMessages(n)
			var size int
			b.ReportAllocs()
			for b.Loop() {
				size = 0
				for _, m := range []proto.Message{request, response} {
					data, err := proto.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					if err := proto.Unmarshal(data, m.ProtoReflect().New().Interface()); err != nil {
						b.Fatal(err)
					}
					size += len(data)
				}
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/subrequest")
		})
	}
}

func scatterMessages(n int) (*pb.ScatterRequest, *pb.ScatterResponse) {
	envelope := &pb.Envelope{Fleet: "rift-vintage-rally", Protocol: 1, Sender: "nairobi-1-vm1", Boot: 1 << 60, ConfigVersion: 900}
	request := &pb.ScatterRequest{Envelope: envelope, Service: "timing", Class: "checkpoint", Generation: 3,
		Snapshot: 70_000, Query: []byte(`{"rider":"KE-1207"}`), TimeoutUs: 200_000}
	response := &pb.ScatterResponse{Envelope: envelope}
	for i := range n {
		name := fmt.Sprintf("timing-%04d", i)
		request.Subrequests = append(request.Subrequests, &pb.Subrequest{Attempt: 1<<40 + uint64(i), Shard: name, Replica: name + "-a"})
		response.Results = append(response.Results, &pb.SubrequestResult{
			Attempt: 1<<40 + uint64(i), Shard: name, Replica: name + "-a", Evidence: pb.Evidence_EVIDENCE_RAN,
			Snapshot: 70_000, Generation: 3, ServiceUs: 4_000, QueueUs: 20,
			Result: []byte(fmt.Sprintf(`{"shard":%q,"replica":"%s-a","generation":3,"snapshot":70000,"digest":%q}`,
				name, name, backend.Digest(request.Query))),
			News: &pb.ReplicaNews{Replica: name + "-a", OldestSnapshot: 69_990, NewestSnapshot: 70_000,
				State: pb.ReplicaState_REPLICA_STATE_WARM, InFlight: 2, Limit: 7},
		})
	}
	return request, response
}

// BenchmarkRank measures the ranking of a data centre's members for one replica.
func BenchmarkRank(b *testing.B) {
	for _, members := range []int{2, 20, 188} {
		names := make([]string, members)
		for i := range names {
			names[i] = fmt.Sprintf("nairobi-1-vm%d", i)
		}
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				ownership.Rank("timing-0001-a", names)
			}
		})
	}
}
