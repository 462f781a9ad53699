package execute_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/execute"
	"github.com/carobmill/carobmill/node/execute/simulation"
	"github.com/carobmill/carobmill/policy/config"
)

// harness holds two nodes that share one platform and one backend service.
type harness struct {
	c            *qt.C
	platform     *simulation.Platform
	backend      *simulation.Backend
	index        func() *config.Index
	nodeA, nodeB *execute.Executor
}

func newHarness(t *testing.T, behaviours ...simulation.SendBehaviour) *harness {
	index, err := simulation.Index()
	qt.Assert(t, err, qt.IsNil)
	h := &harness{
		c:        qt.New(t),
		platform: simulation.NewPlatform(),
		backend:  simulation.NewBackend(behaviours...),
	}
	h.index = func() *config.Index { return index }
	node := func() *execute.Executor {
		return execute.New(execute.Options{
			Fleet:  "test",
			Index:  h.index,
			Sender: h.backend,
			Claims: h.platform,
			Leases: h.platform,
			Picker: simulation.FirstPicker{},
		})
	}
	h.nodeA, h.nodeB = node(), node()
	return h
}

// fee returns a request to pay one entry fee. An empty key makes it a request without an
// idempotency key.
func fee(key string) execute.Request {
	return execute.Request{
		Service:        "desk",
		Class:          "entry",
		Key:            "rider 7",
		IdempotencyKey: key,
		Body:           []byte("fee"),
	}
}

func (h *harness) close() {
	h.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h.c.Assert(h.nodeA.Close(ctx), qt.IsNil)
	h.c.Assert(h.nodeB.Close(ctx), qt.IsNil)
}
