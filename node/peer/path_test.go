package peer_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/entry"
	"github.com/carobmill/carobmill/node/peer/scatterpath"
	"github.com/carobmill/carobmill/policy/query"
)

func newPath(c *qt.C, o scatterpath.Options) *scatterpath.Path {
	p, err := scatterpath.New(o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Close)
	return p
}

func runQuery(c *qt.C, p *scatterpath.Path) *entry.Result {
	answer, err := p.Query()
	c.Assert(err, qt.IsNil)
	return answer
}

// BenchmarkScatterPath measures the cost of a query from the entry node to the owner and
// back, without the call of the backend server. With -cpu 1, the CPU time contains no
// spinning of idle processors.
func BenchmarkScatterPath(b *testing.B) {
	for _, hop := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 4 * time.Millisecond} {
			for _, shards := range []int{36, 100, 1700} {
				b.Run(fmt.Sprintf("hop=%t/delay=%v/shards=%d", hop, delay, shards), func(b *testing.B) {
					benchmarkPath(b, newPath(qt.New(b), scatterpath.Options{Shards: shards, RemoteOwner: hop, Delay: delay}), float64(shards))
				})
			}
		}
	}
}

func benchmarkPath(b *testing.B, p *scatterpath.Path, shards float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	wire, messages, used := p.Bytes(), p.Messages(), cpuTime()
	complete := 0.0
	for b.Loop() {
		if runQuery(qt.New(b), p).Outcome == query.Complete {
			complete++
			continue
		}
		// Admission rejects some queries, because latencies of microseconds vary widely.
		time.Sleep(time.Millisecond)
	}
	used = cpuTime() - used
	runtime.ReadMemStats(&after)
	n := complete * shards
	b.ReportMetric(used.Seconds()*1e6/n, "cpu-us/sub")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/n, "allocs/sub")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/n, "B/sub")
	b.ReportMetric(float64(p.Bytes()-wire)/n, "wire-B/sub")
	b.ReportMetric(float64(p.Messages()-messages)/complete, "messages/query")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
