package backend_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	standin "github.com/carobmill/carobmill/standin/backend"
)

func TestContextEndedAfterReplyDoesNotCancelBatch(t *testing.T) {
	// A caller that ends its context after its reply must not cancel the batch while the
	// end of the response is still being read.
	so := standin.Options{Slots: 2, ServiceTime: standin.ServiceTime{Base: time.Millisecond}}
	forEachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		runBatchTest(t, protocol, so, func(h *batchHarness) {
			b := backend.Batch{Replica: h.replica}
			for _, name := range []string{"a", "b"} {
				ctx, cancel := context.WithCancel(context.Background())
				b.Items = append(b.Items, backend.Item{Ctx: ctx, Call: h.call(name), Done: func(reply backend.Reply) {
					h.Check(reply.OK(), qt.IsTrue)
					cancel()
					// The end of the context is handled before the end of the response.
					time.Sleep(time.Millisecond)
				}})
			}
			whole := h.client.DoBatch(b)
			h.Check(whole.OK(), qt.IsTrue, qt.Commentf("%v", whole.Reason))
			h.Check(h.client.Stats().CancelledFinished, qt.Equals, uint64(0))
		})
	})
}
