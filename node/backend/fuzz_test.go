package backend_test

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/config"
)

const (
	fuzzAttempt   = "7b-1207"
	fuzzMaxResult = 1 << 10
)

// cannedServer opens connections whose other end reads a request, answers with the
// same bytes each time and closes.
func cannedServer(answer []byte) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := server.Read(make([]byte, 64<<10)); err == nil {
				_, _ = server.Write(answer)
			}
		}()
		return client, nil
	}
}

// FuzzReply feeds any bytes as the reply of a backend server to a query, an execute
// and a status request. Only a reply that names the attempt gives a result or the
// evidence "not run"; what is hinted at beside it stays within its bounds; the place
// of each request is given back once.
//
// Long run: go test ./node/backend -run NONE -fuzz FuzzReply -fuzztime 10m
func FuzzReply(f *testing.F) {
	const head = "Carobmill-Attempt: " + fuzzAttempt + "\r\nCarobmill-Shard: s0\r\nCarobmill-Generation: 1\r\nCarobmill-Snapshot: 7\r\n"
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\n" + head + "Carobmill-Snapshots: 9-2\r\nCarobmill-Load: NaN\r\nCarobmill-State: cold\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 9999999999\r\n\r\ncut",
		"HTTP/1.1 200 OK\r\nCarobmill-Attempt: other\r\nCarobmill-Shard: s0\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 503 Busy\r\n" + head + "Carobmill-Not-Run: true\r\nCarobmill-State: draining\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Many\r\nCarobmill-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 410 Gone\r\n" + head + "Carobmill-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n", "", "\x00\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
	} {
		f.Add([]byte(reply))
	}
	f.Fuzz(func(t *testing.T, reply []byte) {
		synctest.Test(t, func(t *testing.T) {
			for _, execute := range []bool{false, true} {
				fuzzCall(t, reply, execute)
			}
		})
	})
}

// fuzzRig is a client of one replica whose backend server answers with these bytes.
func fuzzRig(reply []byte) (*backend.Client, *config.Replica) {
	client := backend.New(backend.Options{Dial: cannedServer(reply), MaxResultBytes: fuzzMaxResult})
	client.SetConnections("r0", 1)
	return client, &config.Replica{Name: "r0", Address: "10.0.0.1:1", Service: &config.Service{Spec: &pb.Service{Protocol: pb.Protocol_PROTOCOL_HTTP1}}}
}

func fuzzCall(t *testing.T, reply []byte, execute bool) {
	client, r := fuzzRig(reply)
	var settled atomic.Int64
	call := benchCall(r, fuzzAttempt)
	call.OnRelease = func() { settled.Add(1) }
	call.Execute = execute
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	got := client.Do(ctx, call)
	polled := client.Poll(ctx, r)
	client.Close()
	time.Sleep(time.Minute)
	named := bytes.Contains(reply, []byte(fuzzAttempt))
	switch {
	case got.OK() && (!named || got.Snapshot != 7 || got.Generation != 1 || got.Evidence != ran):
		t.Fatalf("result of another request: %+v", got)
	case got.Evidence == notRun && (!named || !bytes.Contains(bytes.ToLower(reply), []byte("carobmill-not-run:"))):
		t.Fatalf("no proof that it did not run: %+v", got)
	case len(got.Result) > fuzzMaxResult:
		t.Fatalf("result of %d bytes", len(got.Result))
	case settled.Load() != 1:
		t.Fatalf("settled %d times: %+v", settled.Load(), got)
	}
	for _, reply := range []backend.Reply{got, polled} {
		if reply.Oldest > reply.Newest || len(reply.Incarnation) > 128 || !(reply.Load >= 0 && reply.Load <= math.MaxFloat64) {
			t.Fatalf("hints out of bounds: %+v", reply)
		}
	}
}

func fuzzItems(replies ...*pb.BatchReply) []byte {
	var out bytes.Buffer
	for _, reply := range replies {
		_, _ = protodelim.MarshalTo(&out, reply)
	}
	return out.Bytes()
}

// FuzzBatchReply feeds any bytes as the body of a batch's reply. Each item gets one
// outcome; a result or the evidence "not run" only from a reply that names it; the
// place of the batch is given back once.
//
// Long run: go test ./node/backend -run NONE -fuzz FuzzBatchReply -fuzztime 10m
func FuzzBatchReply(f *testing.F) {
	good := &pb.BatchReply{Attempt: fuzzAttempt, Status: http.StatusOK, Shard: "s0", Generation: 1, Snapshot: 7, Result: []byte("{}")}
	refused := &pb.BatchReply{Attempt: fuzzAttempt + "-2", Status: http.StatusServiceUnavailable, NotRun: true, OldestSnapshot: 9, NewestSnapshot: 2}
	large := &pb.BatchReply{Attempt: fuzzAttempt, Status: http.StatusOK, Shard: "s0", Generation: 1, Snapshot: 7, Result: make([]byte, fuzzMaxResult+1)}
	f.Add(fuzzItems(good, refused))
	f.Add(fuzzItems(good, good, refused, refused, good))
	f.Add(fuzzItems(large, &pb.BatchReply{Attempt: "other"}, &pb.BatchReply{}))
	f.Add(fuzzItems(good)[:9])
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, body []byte) {
		synctest.Test(t, func(t *testing.T) { fuzzBatch(t, body) })
	})
}

func fuzzBatch(t *testing.T, body []byte) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/vnd.google.protobuf; encoding=delimited\r\nContent-Length: %d\r\n\r\n", len(body))
	client, r := fuzzRig(append([]byte(head), body...))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var settled, done atomic.Int64
	batch := backend.Batch{Replica: r, OnRelease: func() { settled.Add(1) }}
	for _, attempt := range []string{fuzzAttempt, fuzzAttempt + "-2"} {
		batch.Items = append(batch.Items, backend.Item{Ctx: ctx, Call: benchCall(r, attempt), Done: func(got backend.Reply) {
			done.Add(1)
			named := bytes.Contains(body, []byte(attempt))
			if (got.OK() || got.Evidence == notRun) && !named || len(got.Result) > fuzzMaxResult || got.Oldest > got.Newest {
				t.Errorf("attempt %s: %+v", attempt, got)
			}
		}})
	}
	client.DoBatch(batch)
	client.Close()
	time.Sleep(time.Minute)
	if done.Load() != 2 || settled.Load() != 1 {
		t.Fatalf("%d outcomes, settled %d times", done.Load(), settled.Load())
	}
}
