package scenario_test

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/deployment"
)

// idleTime is the duration of a measurement of an idle fleet.
const idleTime = 20 * time.Second

// startupTime is the wait before a measurement of an idle fleet. Gossip about the start of the
// nodes ends within this time.
const startupTime = time.Minute

// BenchmarkIdleFleet measures the control traffic and tables of a node while no query runs:
// pings, status polls of owned replicas and watches. The backend servers run in a separate
// process; the platform stand-in runs in this one. Run with -benchtime 1x.
func BenchmarkIdleFleet(b *testing.B) {
	for _, f := range []struct {
		nodes, replicas int
		pollMs          uint32
	}{
		{nodes: 4, replicas: 4, pollMs: 1000},
		{nodes: 16, replicas: 16, pollMs: 1000},
		{nodes: 64, replicas: 64, pollMs: 1000},
		{nodes: 16, replicas: 160, pollMs: 1000},
		{nodes: 16, replicas: 592, pollMs: 1000},
		{nodes: 16, replicas: 1600, pollMs: 1000},
		{nodes: 16, replicas: 1600, pollMs: 10_000},
	} {
		b.Run(fmt.Sprintf("nodes=%d/replicas=%d/poll=%dms", f.nodes, f.replicas, f.pollMs), func(b *testing.B) {
			measureIdleFleet(b, f.nodes, f.replicas, f.pollMs)
		})
	}
}

func measureIdleFleet(b *testing.B, nodes, replicas int, pollMs uint32) {
	const dataCentres = 4
	before := heapInUse()
	d := start(b, deployment.Options{
		Sheet:              costSheet(replicas, dataCentres),
		NodesPerDataCentre: nodes / dataCentres,
		Settings: func(s *pb.Settings) {
			s.Timing.BackendPollMs = pollMs
		},
	})
	for i, address := range startBackends(b, replicas) {
		d.Sheet.Services[0].Generations[0].Shards[i].Replicas[0].Address = address
	}
	qt.Assert(b, d.Publish(b.Context(), d.Sheet), qt.IsNil)
	qt.Assert(b, d.WaitReady(b.Context()), qt.IsNil)
	// Owners of a cold replica exchange claims, which would add to the idle traffic.
	err := deployment.Wait(b.Context(), time.Minute, func() string {
		sendCostQuery(b, d)
		for _, n := range d.Nodes {
			for _, o := range n.NodeStatus(b.Context(), false)[0].GetOwned() {
				if o.GetNews().GetState() != pb.ReplicaState_REPLICA_STATE_WARM {
					return o.GetReplica() + " is not warm"
				}
			}
		}
		return ""
	})
	qt.Assert(b, err, qt.IsNil)
	time.Sleep(startupTime)
	used, written, calls := processorTime(), bytesWritten(b), d.Platform.Calls()
	for b.Loop() {
		time.Sleep(idleTime)
	}
	n := float64(nodes)
	b.ReportMetric(100*(processorTime()-used).Seconds()/idleTime.Seconds()/n, "core-%/node")
	b.ReportMetric(float64(bytesWritten(b)-written)/idleTime.Seconds()/n, "written-B/s/node")
	b.ReportMetric(float64(d.Platform.Calls().Total()-calls.Total())/idleTime.Seconds(), "platform-calls/s")
	b.ReportMetric(float64(d.Platform.Calls().VMLists-calls.VMLists)/idleTime.Seconds(), "vm-lists/s")
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(heapInUse()-before+m.StackInuse)/n/(1<<20), "MB/node")
	b.ReportMetric(0, "ns/op")
}

// bytesWritten returns the number of bytes that this process has passed to write calls,
// sockets included.
func bytesWritten(b *testing.B) uint64 {
	file, err := os.Open("/proc/self/io")
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "wchar: "); found {
			n, err := strconv.ParseUint(value, 10, 64)
			qt.Assert(b, err, qt.IsNil)
			return n
		}
	}
	b.Fatal("no wchar line in /proc/self/io")
	return 0
}
