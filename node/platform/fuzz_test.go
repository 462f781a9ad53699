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

// fuzzCalls lets one input make each call once and a watch ask once a second.
const fuzzCalls = 20

// canned answers each request with the same bytes, as a service or something in
// front of it might.
type canned []byte

func (c canned) RoundTrip(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(bytes.NewReader(c)), req)
}

// FuzzAnswer feeds any bytes as the answer to each call of the platform's client.
// An answer is either taken in full or becomes an error of one of the stated kinds;
// a write whose answer does not say what it did is in doubt; revision 0 and lease 0,
// which stand for "none", never come out of a success.
//
// Long run: go test ./node/platform -run NONE -fuzz FuzzAnswer -fuzztime 10m
func FuzzAnswer(f *testing.F) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nPlatform-Revision: 7\r\nContent-Length: 5\r\n\r\nvalue",
		"HTTP/1.1 200 OK\r\nPlatform-Revision: 0\r\nContent-Length: 8\r\n\r\n{\"id\":0}",
		"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"id\":9}",
		"HTTP/1.1 200 OK\r\nPlatform-Revision: -1\r\nContent-Length: 90\r\n\r\ncut",
		"HTTP/1.1 200 OK\r\nContent-Length: 52\r\n\r\n{\"vms\":[{\"name\":\"a\",\"data_centre\":\"b\",\"leaving\":true}]}",
		"HTTP/1.1 304 Not Modified\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\n", "HTTP/1.1 409 Conflict\r\n\r\n",
		"HTTP/1.1 503 Busy\r\n\r\n", "HTTP/1.1 502 Bad\r\n\r\n", "HTTP/1.1 302 Found\r\nLocation: /v1/kv\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n", "", "\x00",
	} {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		synctest.Test(t, func(t *testing.T) { fuzzAnswer(t, answer) })
	})
}

func fuzzAnswer(t *testing.T, answer []byte) {
	client := platform.New("http://platform", fuzzCalls, canned(answer))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	e, err := client.Get(ctx, "k")
	checkAnswer(t, "get", err, e.Revision == 0, platform.ErrUnavailable)
	revision, err := client.CompareAndSwap(ctx, "k", 1, nil)
	checkAnswer(t, "compare and swap", err, revision == 0, platform.ErrAmbiguous)
	lease, err := client.Grant(ctx, time.Second)
	checkAnswer(t, "grant", err, lease == 0, platform.ErrAmbiguous)
	checkAnswer(t, "keep alive", client.KeepAlive(ctx, 1), false, platform.ErrAmbiguous)
	_, err = client.VMs(ctx)
	checkAnswer(t, "list", err, false, platform.ErrUnavailable)
	// Last, since it may go on until the context ends.
	e, err = client.Watch(ctx, "k", 1)
	checkAnswer(t, "watch", err, e.Revision == 0, platform.ErrUnavailable)
	if errors.Is(err, platform.ErrBudget) {
		t.Fatalf("the watch has used up the budget after %d calls", client.Calls())
	}
}

// checkAnswer checks the outcome of one call; lost is the kind of an answer that
// cannot be read.
func checkAnswer(t *testing.T, op string, err error, empty bool, lost error) {
	kinds := []error{
		lost, platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrTooLarge, platform.ErrBudget,
	}
	known := err == nil
	for _, kind := range kinds {
		known = known || errors.Is(err, kind)
	}
	if !known {
		t.Fatalf("%s: error of no kind: %v", op, err)
	}
	if err == nil && empty {
		t.Fatalf("%s: nothing came out of a success", op)
	}
}

// A value, or a list of VMs, that is longer than the platform can hold must not be
// cut and taken for the whole: a configuration that is cut between two replicas
// still parses.
func TestOversizedResponseIsRejected(t *testing.T) {
	answer := bytes.NewBufferString("HTTP/1.1 200 OK\r\nPlatform-Revision: 7\r\n\r\n")
	answer.Write(make([]byte, 2*platform.MaxValueBytes))
	client := platform.New("http://platform", plenty, canned(answer.Bytes()))
	if e, err := client.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("%d bytes of the value, %v", len(e.Value), err)
	}
	if _, err := client.CompareAndSwap(t.Context(), "k", 1, nil); !errors.Is(err, platform.ErrAmbiguous) {
		t.Fatal(err)
	}
}
