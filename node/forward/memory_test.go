package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/forward"
)

// largeRequest returns a request with so many headers that copies of it are counted. takes holds
// the results of its calls for memory in order; further calls succeed.
func largeRequest(takes ...bool) *forward.Request {
	id := newRequestID()
	header := http.Header{headerID: {id}}
	for i := range 1000 {
		header[fmt.Sprint("H", i)] = []string{""}
	}
	calls := 0
	return &forward.Request{
		ID: id, Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h.example", Header: header,
		Arrived: time.Now(), CallerTimeout: time.Second,
		TakeMemory: func(int64) bool {
			calls++
			return calls > len(takes) || takes[calls-1]
		},
	}
}

// Guards against a request that is copied for each shard without memory for the copies.
func TestRequestWithoutMemoryForCopiesIsNotRun(t *testing.T) {
	withHarness(t, shards(6, "a"), func(h *harness) {
		f := h.node("a", nil)
		a := f.Serve(context.Background(), largeRequest(false))
		h.Check(a.Outcome, qt.Equals, forward.NotRun)
		h.Check(a.RetryAfter > 0, qt.IsTrue)
		for _, rep := range h.replicas {
			h.Check(rep.requestCount(), qt.Equals, 0)
		}
		h.checkRecords(f.Serve(context.Background(), largeRequest(true)))
	})
}

// Guards against lost shards when a node has no memory for the message of a batch, or the node
// that receives it has none.
func TestBatchWithoutMemoryIsSentDirectly(t *testing.T) {
	for _, takes := range [][]bool{{true, false}, {true, true, false}} {
		withHarness(t, shards(6, "b"), func(h *harness) {
			sender := &fakeBatchSender{}
			f := h.node("a", sender)
			sender.to = h.node("b", nil)
			a := f.Serve(context.Background(), largeRequest(takes...))
			h.checkRecords(a)
			h.Check(a.Missing, qt.Equals, 0)
			h.Check(sender.batches.Load(), qt.Equals, int32(len(takes)-2))
			for id, rep := range h.replicas {
				h.Check(rep.requestCount(), qt.Equals, 1, qt.Commentf("attempts at %s", id))
			}
		})
	}
}
