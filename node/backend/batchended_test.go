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

func TestAnsweredCallersDoNotCancelTheirBatch(t *testing.T) {
	// Each caller ends its context when it has its answer. The last one did so before
	// the end of the reply was read: the call counted as cancelled, its stream was
	// reset, and its place stayed taken until the backend server was sure to know.
	so := standin.Options{Slots: 2, ServiceTime: standin.ServiceTime{Base: time.Millisecond}}
	eachProtocol(t, func(t *testing.T, protocol pb.Protocol) {
		virtualBatch(t, protocol, so, func(r *batchRig) {
			b := backend.Batch{Replica: r.replica}
			for _, name := range []string{"a", "b"} {
				ctx, cancel := context.WithCancel(context.Background())
				b.Items = append(b.Items, backend.Item{Ctx: ctx, Call: r.call(name), Done: func(reply backend.Reply) {
					r.Check(reply.OK(), qt.IsTrue)
					cancel()
					// The end of the context is dealt with before the end of the reply.
					time.Sleep(time.Millisecond)
				}})
			}
			whole := r.client.DoBatch(b)
			r.Check(whole.OK(), qt.IsTrue, qt.Commentf("%v", whole.Reason))
			r.Check(r.client.Stats().CancelledFinished, qt.Equals, uint64(0))
		})
	})
}
