package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
	qt "github.com/frankban/quicktest"
)

// newGatherForwarder returns a forwarder with one replica of each shard.
func newGatherForwarder(b testing.TB, shards int) *forward.Forwarder {
	view := &directory.View{Replicas: make(map[string][]*registry.Replica), At: time.Now()}
	all := route.Route{
		Name: "all", Host: "h.example", Prefix: "/", Idempotent: true, MaxAttempts: 2,
		Timeout: time.Second, Objective: 500 * time.Millisecond, TopRecords: 20, MinCoverage: 0.95,
	}
	for i := range shards {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.New(b).Assert(err, qt.IsNil)
		b.Cleanup(func() { _ = l.Close() })
		name := fmt.Sprintf("s%d", i)
		go (&replica{Replica: registry.Replica{ID: "i-" + name}}).listen(l)
		all.Shards = append(all.Shards, name)
		view.Replicas[name] = []*registry.Replica{{ID: "i-" + name, Service: name, Address: l.Addr().String(), DataCentre: "a"}}
	}
	view.Index = route.NewIndex(&route.Configuration{Version: 1, Routes: []route.Route{all}})
	return forwarder(view, backend.New(backend.Options{DialTimeout: time.Second}), "a", nil)
}

// BenchmarkGather measures one request over the shards of a large fleet, with the work of
// the stand-in replicas included.
func BenchmarkGather(b *testing.B) {
	for _, shards := range []int{42, 63} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newGatherForwarder(b, shards)
			b.ReportAllocs()
			for b.Loop() {
				id := newRequestID()
				header := http.Header{
					headerID: {id}, "Accept-Encoding": {"identity"}, "User-Agent": {""}, "X-Custom": {"kept"},
				}
				a := f.Serve(context.Background(), &forward.Request{
					ID: id, Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h.example",
					Header: header, Arrived: time.Now(), CallerTimeout: time.Second,
				})
				if a.Outcome != forward.Merged || a.Missing > 0 {
					b.Fatalf("outcome %v, %d shards missing", a.Outcome, a.Missing)
				}
			}
		})
	}
}
