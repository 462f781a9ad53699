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

// fixedReplyDialer dials connections whose server reads one request, writes the given
// bytes and closes.
func fixedReplyDialer(answer []byte) func(context.Context, string, string) (net.Conn, error) {
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

// FuzzReply checks arbitrary bytes as the reply to a query, an execute and a status
// request. Only a reply that repeats the attempt ID may return a result or the evidence
// "not run", hints must stay within their bounds, and OnRelease is called once.
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

// newFuzzClient returns a client of one replica whose server replies with these bytes.
func newFuzzClient(reply []byte) (*backend.Client, *config.Replica) {
	client := backend.New(backend.Options{Dial: fixedReplyDialer(reply), MaxResultBytes: fuzzMaxResult})
	client.SetConnections("r0", 1)
	return client, &config.Replica{Name: "r0", Address: "10.0.0.1:1", Service: &config.Service{Spec: &pb.Service{Protocol: pb.Protocol_PROTOCOL_HTTP1}}}
}

func fuzzCall(t *testing.T, reply []byte, execute bool) {
	client, r := newFuzzClient(reply)
	var releases atomic.Int64
	call := benchCall(r, fuzzAttempt)
	call.OnRelease = func() { releases.Add(1) }
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
		t.Fatalf("not run without evidence: %+v", got)
	case len(got.Result) > fuzzMaxResult:
		t.Fatalf("result of %d bytes", len(got.Result))
	case releases.Load() != 1:
		t.Fatalf("released %d times: %+v", releases.Load(), got)
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

// FuzzBatchReply checks arbitrary bytes as the body of a batch's reply. Each item must
// have one outcome, a result or the evidence "not run" only from a reply that repeats its
// attempt ID, and OnRelease is called once.
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
	client, r := newFuzzClient(append([]byte(head), body...))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var releases, done atomic.Int64
	batch := backend.Batch{Replica: r, OnRelease: func() { releases.Add(1) }}
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
	if done.Load() != 2 || releases.Load() != 1 {
		t.Fatalf("%d outcomes, released %d times", done.Load(), releases.Load())
	}
}
