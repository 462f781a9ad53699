package platform_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/platform"
)

// fuzzCallsPerSecond allows each call once, plus one call per second of a watch.
const fuzzCallsPerSecond = 20

// cannedTransport is a transport that responds to each request with the same bytes.
type cannedTransport []byte

func (c cannedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(bytes.NewReader(c)), req)
}

// FuzzAnswer uses arbitrary bytes as the response to each call of the client. A
// response is either accepted in full or yields an error of a declared kind. A write
// with an unreadable response is ErrAmbiguous. A successful call never returns
// revision 0 or lease 0, which mean "none".
//
// Long run: go test ./node/platform -run NONE -fuzz FuzzAnswer -fuzztime 10m
func FuzzAnswer(f *testing.F) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nPlatform-Revision: 7\r\nContent-Length: 5\r\n\r\nvalue",
		"HTTP/1.1 200 OK\r\nPlatform-Revision: 0\r\nContent-Length: 8\r\n\r\n{\"id\":0}",
		"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"id\":9}",
		"HTTP/1.1 200 OK\r\nPlatform-Revision: -1\r\nContent-Length: 90\r\n\r\ncut",
		"HTTP/1.1 200 OK\r\nContent-Length: 52\r\n\r\n{\"vms\":[{\"name\":\"a\",\"data_centre\":\"b\",\"leaving\":true}]}",
		"HTTP/1.1 304 Not Modified\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\n", "HTTP/1.1 409 Conflict\r\n\r\n",
		"HTTP/1.1 503 Busy\r\n\r\n", "HTTP/1.1 502 Bad\r\n\r\n", "HTTP/1.1 302 Found\r\nLocation: /v1/kv\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n", "", "\x00",
	} {
		f.Add([]byte(response))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		synctest.Test(t, func(t *testing.T) { fuzzCall(t, response) })
	})
}

func fuzzCall(t *testing.T, response []byte) {
	client := platform.New("http://platform", fuzzCallsPerSecond, cannedTransport(response))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	e, err := client.Get(ctx, "k")
	checkResult(t, "get", err, e.Revision == 0, platform.ErrUnavailable)
	revision, err := client.CompareAndSwap(ctx, "k", 1, nil)
	checkResult(t, "compare and swap", err, revision == 0, platform.ErrAmbiguous)
	lease, err := client.Grant(ctx, time.Second)
	checkResult(t, "grant", err, lease == 0, platform.ErrAmbiguous)
	checkResult(t, "keep alive", client.KeepAlive(ctx, 1), false, platform.ErrAmbiguous)
	_, err = client.VMs(ctx)
	checkResult(t, "list", err, false, platform.ErrUnavailable)
	// Watch is called last, because it may run until the context ends.
	e, err = client.Watch(ctx, "k", 1)
	checkResult(t, "watch", err, e.Revision == 0, platform.ErrUnavailable)
	if errors.Is(err, platform.ErrBudget) {
		t.Fatalf("the watch exhausted the call budget after %d calls", client.Calls())
	}
}

// checkResult checks the result of one call; lost is the kind of error expected for
// an unreadable response.
func checkResult(t *testing.T, op string, err error, empty bool, lost error) {
	kinds := []error{
		lost, platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrTooLarge, platform.ErrBudget,
	}
	declared := err == nil
	for _, kind := range kinds {
		declared = declared || errors.Is(err, kind)
	}
	if !declared {
		t.Fatalf("%s: error of no declared kind: %v", op, err)
	}
	if err == nil && empty {
		t.Fatalf("%s: successful call returned revision or lease 0", op)
	}
}

// A response above the size limit must not be truncated and accepted: a
// configuration truncated between two replicas still parses.
func TestOversizedResponseIsRejected(t *testing.T) {
	response := bytes.NewBufferString("HTTP/1.1 200 OK\r\nPlatform-Revision: 7\r\n\r\n")
	response.Write(make([]byte, 2*platform.MaxValueBytes))
	client := platform.New("http://platform", ampleCallsPerSecond, cannedTransport(response.Bytes()))
	if e, err := client.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("got a value of %d bytes and error %v, want ErrUnavailable", len(e.Value), err)
	}
	if _, err := client.CompareAndSwap(t.Context(), "k", 1, nil); !errors.Is(err, platform.ErrAmbiguous) {
		t.Fatal(err)
	}
}
