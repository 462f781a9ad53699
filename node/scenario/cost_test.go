package scenario_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	adapter "github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/query"
	"github.com/carobmill/carobmill/policy/sheet"
	"github.com/carobmill/carobmill/standin/backend"
)

// costSheet returns a sheet with one service of n shards. Each shard has one replica, and the
// replicas are spread over the data centres. The limits are high, so that requests do not
// queue in the benchmarks.
func costSheet(n, dataCentres int) *pb.Sheet {
	s := &pb.Sheet{Fleet: "cost", Tuning: &pb.Tuning{Owners: 1}}
	for i := range dataCentres {
		s.DataCentres = append(s.DataCentres, &pb.DataCentre{
			Name: fmt.Sprint("dc", i), Region: "r", State: pb.Lifecycle_LIFECYCLE_IN_SERVICE,
		})
	}
	g := &pb.Generation{Id: 1, FirstSnapshot: 1}
	for i := range n {
		name := shardName(i)
		g.Shards = append(g.Shards, &pb.Shard{Name: name, Replicas: []*pb.Replica{{
			Name: name + "-a", DataCentre: s.DataCentres[i%dataCentres].Name, Address: fmt.Sprint("127.0.0.1:", 1+i),
		}}})
	}
	s.Services = []*pb.Service{{
		Name:              "cost",
		Preference:        pb.Preference_PREFERENCE_COVERAGE,
		Protocol:          pb.Protocol_PROTOCOL_HTTP1,
		Slots:             16,
		Connections:       32,
		ColdInFlight:      16,
		DefaultDeadlineMs: 20_000,
		MaxDeadlineMs:     20_000,
		Classes:           []*pb.Class{{Name: "all"}},
		Generations:       []*pb.Generation{g},
	}}
	return sheet.WithDefaults(s)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// backendsVariable is the environment variable with the number of backend servers that
// TestServeBackends runs in the process that startBackends starts.
const backendsVariable = "CAROBMILL_COST_BACKENDS"

// spreadVariable is the environment variable with the spread of the backend servers' service
// times.
const spreadVariable = "CAROBMILL_COST_SPREAD"

// TestServeBackends serves backend stand-ins for a benchmark in another process until
// standard input is closed. It is skipped in normal test runs.
func TestServeBackends(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv(backendsVariable))
	if err != nil {
		t.Skip("run by BenchmarkQueryCost only")
	}
	spread, _ := time.ParseDuration(os.Getenv(spreadVariable))
	for i := range n {
		s := backend.New(backend.Options{
			ServiceTime: backend.ServiceTime{Spread: spread},
			Rng:         rand.New(rand.NewPCG(1, uint64(i))),
			Name:        fmt.Sprint("r", i),
			Generations: []backend.Generation{{ID: 1, FirstSnapshot: 1, Shards: []string{shardName(i)}}},
			Oldest:      1,
			Newest:      1,
			Slots:       64,
			Queue:       -1,
		})
		qt.Assert(t, s.Start("127.0.0.1:0"), qt.IsNil)
		defer s.Close()
		fmt.Println(s.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startBackends runs n backend servers in a separate process and returns their addresses.
// The processor time of this process then excludes the backend servers.
func startBackends(b *testing.B, n int) []string {
	cmd := exec.Command(os.Args[0], "-test.run=^TestServeBackends$")
	cmd.Env = append(os.Environ(), backendsVariable+"="+strconv.Itoa(n))
	stdin, err := cmd.StdinPipe()
	qt.Assert(b, err, qt.IsNil)
	stdout, err := cmd.StdoutPipe()
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, cmd.Start(), qt.IsNil)
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	addresses := make([]string, 0, n)
	lines := bufio.NewScanner(stdout)
	for len(addresses) < n && lines.Scan() {
		addresses = append(addresses, lines.Text())
	}
	qt.Assert(b, addresses, qt.HasLen, n)
	go func() { _, _ = io.Copy(io.Discard, stdout) }()
	return addresses
}

func shardName(i int) string { return fmt.Sprintf("s%04d", i) }

// BenchmarkQueryCost measures a query over loopback through caller, entry node, owner nodes
// and backend servers. The backend servers run in a separate process. The results include the
// caller, whose cost grows with the shards only when it reads the answer. With one data centre
// there is one node and no hop between nodes.
func BenchmarkQueryCost(b *testing.B) {
	for _, dataCentres := range []int{1, 4} {
		for _, shards := range []int{10, 100, 1700} {
			b.Run(fmt.Sprintf("nodes=%d/shards=%d", dataCentres, shards), func(b *testing.B) {
				measureQueryCost(b, shards, dataCentres)
			})
		}
	}
}

func measureQueryCost(b *testing.B, shards, dataCentres int) {
	d := start(b, deployment.Options{
		Sheet:              costSheet(shards, dataCentres),
		NodesPerDataCentre: 1,
	})
	for i, address := range startBackends(b, shards) {
		d.Sheet.Services[0].Generations[0].Shards[i].Replicas[0].Address = address
	}
	qt.Assert(b, d.Publish(b.Context(), d.Sheet), qt.IsNil)
	qt.Assert(b, d.WaitReady(b.Context()), qt.IsNil)
	for range 40 {
		sendCostQuery(b, d)
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := processorTime()
	queries, complete := 0, 0
	for b.Loop() {
		queries++
		answer := sendCostQuery(b, d)
		if answer.Outcome == query.Complete {
			complete++
			continue
		}
		b.Logf("%s %s, absent: %+v", answer.Outcome, answer.Reason, answer.Absent)
	}
	used = processorTime() - used
	runtime.ReadMemStats(&after)
	n := float64(queries)
	b.ReportMetric(used.Seconds()*1e6/n, "cpu-us/query")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/n, "allocs/query")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/n/1024, "KB/query")
	b.ReportMetric(float64(complete)/n, "complete")
}

func sendCostQuery(b *testing.B, d *deployment.Deployment) *caller.Answer {
	answer, _, err := d.Query(context.Background(), d.Nodes[0].Settings.GetCallerAddress(), &caller.QueryRequest{
		Service: "cost", Class: "all", Query: json.RawMessage(`{"rider":"KE-1207"}`),
	})
	qt.Assert(b, err, qt.IsNil)
	return answer
}

// BenchmarkAttemptCost measures the owner's backend client: subrequests over persistent
// HTTP/1.1 connections to backend servers in a separate process, alone and in batches. Bytes
// are those that this process writes and reads. Without a spread of service times, the replies
// of a batch are ready at the same time; with a spread, they arrive one after the other.
func BenchmarkAttemptCost(b *testing.B) {
	for _, spread := range []string{"0s", "5ms"} {
		for _, size := range []int{1, 8, 32} {
			b.Run(fmt.Sprintf("spread=%s/batch=%d", spread, size), func(b *testing.B) {
				b.Setenv(spreadVariable, spread)
				measureAttemptCost(b, size)
			})
		}
	}
}

func measureAttemptCost(b *testing.B, size int) {
	const servers = 16
	service := &config.Service{Spec: &pb.Service{Protocol: pb.Protocol_PROTOCOL_HTTP1}}
	client := adapter.New(adapter.Options{})
	defer client.Close()
	replicas := make([]*config.Replica, 0, servers)
	for i, address := range startBackends(b, servers) {
		r := &config.Replica{Name: shardName(i), Address: address, Service: service}
		client.SetConnections(r.Name, 1)
		replicas = append(replicas, r)
	}
	round := func() {
		var wg sync.WaitGroup
		for i, r := range replicas {
			wg.Go(func() { sendAttempts(b, client, r, shardName(i), size) })
		}
		wg.Wait()
	}
	round()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	wire := client.Stats().BytesIn + client.Stats().BytesOut
	used := processorTime()
	rounds := 0
	for b.Loop() {
		rounds++
		round()
	}
	used = processorTime() - used
	runtime.ReadMemStats(&after)
	n := float64(rounds * servers * size)
	b.ReportMetric(used.Seconds()*1e6/n, "cpu-us/subrequest")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/n, "allocs/subrequest")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/n, "B/subrequest")
	b.ReportMetric(float64(client.Stats().BytesIn+client.Stats().BytesOut-wire)/n, "wire-B/subrequest")
}

// sendAttempts sends subrequests to one replica: a single one alone, several in one batch.
func sendAttempts(b *testing.B, client *adapter.Client, r *config.Replica, shard string, size int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	call := adapter.Call{Replica: r, Shard: shard, Class: "all", Generation: 1, Snapshot: 1, Body: []byte(`{"rider":"KE-1207"}`)}
	done := func(reply adapter.Reply) {
		if !reply.OK() {
			b.Error(reply)
		}
	}
	if size == 1 {
		call.Attempt = "1f3a9bc-0"
		done(client.Do(ctx, call))
		return
	}
	batch := adapter.Batch{Replica: r, Items: make([]adapter.Item, 0, size)}
	for i := range size {
		call.Attempt = "1f3a9bc-" + strconv.Itoa(i)
		batch.Items = append(batch.Items, adapter.Item{Ctx: ctx, Call: call, Done: done})
	}
	client.DoBatch(batch)
}
