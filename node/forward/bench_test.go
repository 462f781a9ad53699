package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/retrybudget"
	"github.com/carobmill/carobmill/policy/route"
)

// Headers of the stand-in's dialect.
const (
	headerID        = "Request-Id"
	headerSignature = "Signature"
)

// dialect is that of the stand-in replicas.
type dialect struct{}

func (dialect) Address(h http.Header, replicaID string, left time.Duration) {
	h["Replica"] = []string{replicaID}
	h["Timeout"] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
}

func (dialect) Notes(resp *http.Response) backend.ReplyNotes {
	return backend.ReplyNotes{RequestID: resp.Header.Get(headerID), Signature: resp.Header.Get(headerSignature)}
}

// source is a fixed view.
type source struct{ view *directory.View }

func (s source) View() *directory.View { return s.view }
func (source) FleetSize() float64      { return 1 }

// replica answers each request on a connection with the same part.
func replica(l net.Listener) {
	body := make([]byte, 400)
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s",
					headerID, req.Header.Get(headerID), headerSignature, len(body), body)
				if err != nil {
					return
				}
			}
		}()
	}
}

// gatherer returns a forwarder with one replica of each shard.
func gatherer(b testing.TB, shards int) *forward.Forwarder {
	view := &directory.View{Replicas: make(map[string][]*registry.Replica), At: time.Now()}
	all := route.Route{
		Name: "all", Host: "h.example", Prefix: "/", Idempotent: true, MaxAttempts: 2,
		Timeout: time.Second, Objective: 500 * time.Millisecond, TopRecords: 20, MinCoverage: 0.95,
	}
	for i := range shards {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.New(b).Assert(err, qt.IsNil)
		b.Cleanup(func() { _ = l.Close() })
		go replica(l)
		name := fmt.Sprintf("s%d", i)
		all.Shards = append(all.Shards, name)
		view.Replicas[name] = []*registry.Replica{{ID: "i-" + name, Service: name, Address: l.Addr().String(), DataCentre: "a"}}
	}
	view.Index = route.NewIndex(&route.Configuration{Version: 1, Routes: []route.Route{all}})
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	f := forward.New(forward.Options{
		Source:     source{view: view},
		Backend:    backend.New(backend.Options{DialTimeout: time.Second, MaxResultBytes: 1 << 20}),
		Dialect:    dialect{},
		DataCentre: "a",
		Extra:      retrybudget.Bound{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Log:        log,
	})
	f.Update(view)
	return f
}

// BenchmarkGather is one request over the shards of a large fleet, replicas included.
func BenchmarkGather(b *testing.B) {
	for _, shards := range []int{42, 63} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := gatherer(b, shards)
			header := http.Header{
				headerID: {"q"}, "Accept-Encoding": {"identity"}, "User-Agent": {""}, "X-Custom": {"kept"},
			}
			b.ReportAllocs()
			for b.Loop() {
				a := f.Serve(context.Background(), &forward.Request{
					ID: "q", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h.example",
					Header: header, Arrived: time.Now(), Patience: time.Second,
				})
				if a.Outcome != forward.Merged || a.Missing > 0 {
					b.Fatalf("outcome %v, %d shards missing", a.Outcome, a.Missing)
				}
			}
		})
	}
}
