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

// rig is two nodes over one platform and one backend service.
type rig struct {
	c        *qt.C
	platform *simulation.Platform
	backend  *simulation.Backend
	index    func() *config.Index
	a, b     *execute.Executor
}

func newRig(t *testing.T, fates ...simulation.SendBehaviour) *rig {
	index, err := simulation.Index()
	qt.Assert(t, err, qt.IsNil)
	r := &rig{
		c:        qt.New(t),
		platform: simulation.NewPlatform(),
		backend:  simulation.NewBackend(fates...),
	}
	r.index = func() *config.Index { return index }
	node := func() *execute.Executor {
		return execute.New(execute.Options{
			Fleet:  "test",
			Index:  r.index,
			Sender: r.backend,
			Claims: r.platform,
			Leases: r.platform,
			Picker: simulation.FirstPicker{},
		})
	}
	r.a, r.b = node(), node()
	return r
}

// fee is a request to pay one entry fee, with a key unless it is empty.
func fee(key string) execute.Request {
	return execute.Request{
		Service:        "desk",
		Class:          "entry",
		Key:            "rider 7",
		IdempotencyKey: key,
		Body:           []byte("fee"),
	}
}

func (r *rig) close() {
	r.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r.c.Assert(r.a.Close(ctx), qt.IsNil)
	r.c.Assert(r.b.Close(ctx), qt.IsNil)
}
