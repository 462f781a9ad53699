package backend_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
	standin "github.com/carobmill/carobmill/standin/backend"
)

func newBenchClient(b *testing.B, protocol pb.Protocol, so standin.Options, co backend.Options, share int) (*backend.Client, *config.Replica) {
	so.Name = "r0"
	so.Generations = []standin.Generation{{ID: 1, FirstSnapshot: 1, Shards: []string{"s0"}}}
	so.Oldest, so.Newest = 5, 7
	server := standin.New(so)
	if err := server.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	client := backend.New(co)
	client.SetConnections("r0", share)
	b.Cleanup(func() {
		client.Close()
		server.Close()
	})
	service := &config.Service{Spec: &pb.Service{Protocol: protocol}}
	return client, &config.Replica{Name: "r0", Address: server.Addr(), Service: service}
}

func benchCall(r *config.Replica, attempt string) backend.Call {
	return backend.Call{Replica: r, Shard: "s0", Generation: 1, Snapshot: 7,
		Class: "checkpoint", Attempt: attempt, Body: []byte(`{"rider":"KE-1207"}`)}
}

// BenchmarkAttempt measures one attempt on an open connection, including the cost of
// the stand-in server.
func BenchmarkAttempt(b *testing.B) {
	for _, protocol := range protocols {
		b.Run(protocol.String(), func(b *testing.B) {
			client, r := newBenchClient(b, protocol, standin.Options{}, backend.Options{}, 1)
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				if reply := client.Do(ctx, benchCall(r, "a")); !reply.OK() {
					b.Fatal(reply)
				}
			}
		})
	}
}

// BenchmarkCancelledLoser measures a cancelled HTTP/1.1 exchange whose reply would
// arrive within `remaining`, where a new connection takes 6 ms. It reports new
// connections for each cancelled exchange, the duration of the next attempt, and
// how long the cancelled exchange occupied the replica.
func BenchmarkCancelledLoser(b *testing.B) {
	const (
		connectTime = 6 * time.Millisecond
		cancelAfter = 10 * time.Millisecond
	)
	for _, remaining := range []time.Duration{5, 20, 80} {
		for _, bound := range []time.Duration{-1, 6, 80} {
			remaining, bound := remaining*time.Millisecond, bound*time.Millisecond
			b.Run(fmt.Sprintf("remaining=%v/bound=%v", remaining, bound), func(b *testing.B) {
				so := standin.Options{
					Slots:       2,
					Queue:       -1,
					ConnectTime: connectTime,
					ServiceTime: standin.ServiceTime{Base: cancelAfter, Spread: remaining},
					Rng:         rand.New(rand.NewPCG(1, 2)),
				}
				client, r := newBenchClient(b, pb.Protocol_PROTOCOL_HTTP1, so, backend.Options{CancelGrace: bound}, 1)
				var next time.Duration
				var occupied atomic.Int64
				losers := 0
				for b.Loop() {
					losers++
					ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
					released := make(chan struct{})
					call := benchCall(r, "loser")
					cancelled := time.Now().Add(cancelAfter)
					call.OnRelease = func() {
						occupied.Add(int64(max(0, time.Since(cancelled))))
						close(released)
					}
					client.Do(ctx, call)
					cancel()
					client.Poll(context.Background(), r)
					next += time.Since(cancelled)
					<-released
				}
				n := float64(losers)
				b.ReportMetric(float64(client.Stats().Dialled)/n, "dials/loser")
				b.ReportMetric(next.Seconds()*1e3/n, "next-ms/loser")
				b.ReportMetric(time.Duration(occupied.Load()).Seconds()*1e3/n, "occupied-ms/loser")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkConnectionMemory measures the memory of one open, idle connection in this
// process, including the stand-in's end: heap and stacks after a garbage collection.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 500
	for _, protocol := range protocols {
		b.Run(protocol.String(), func(b *testing.B) {
			client, r := newBenchClient(b, protocol, standin.Options{}, backend.Options{}, 1)
			before := memoryInUse()
			for i := range connections {
				own := *r
				own.Name = fmt.Sprint("r", i)
				client.SetConnections(own.Name, 1)
				if reply := client.Do(context.Background(), benchCall(&own, fmt.Sprint(i))); !reply.OK() {
					b.Fatal(reply)
				}
			}
			b.ReportMetric(float64(memoryInUse()-before)/connections/1024, "KB/connection")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
