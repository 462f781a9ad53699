package execute_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/execute"
	"github.com/carobmill/carobmill/node/execute/simulation"
)

// Concurrent callers submit, cancel and repeat the same requests at two nodes under
// random faults of the platform and the backend service. One node is closed and a third
// one is added, while callers still reach all of them. No request runs twice at the backend
// service, and none that was reported as NOT_RUN had run by then.
func TestRetriesUnderRandomFaultsRunEachFeeOnce(t *testing.T) {
	const schedules = 150
	totals := make(map[pb.Evidence]int)
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) { runFaultSchedule(t, seed, totals) })
	}
	t.Logf("outcomes of %d fault schedules: %v", schedules, totals)
	for _, evidence := range []pb.Evidence{ran, notRun, unknown} {
		qt.Check(t, totals[evidence] > schedules/2, qt.IsTrue, qt.Commentf("too few outcomes %v for a meaningful check", evidence))
	}
}

func runFaultSchedule(t *testing.T, seed uint64, totals map[pb.Evidence]int) {
	h := newHarness(t)
	random := simulation.NewRandom(seed)
	began := time.Now()
	const duration = 30 * time.Second
	claims := &simulation.FaultyPlatform{Platform: h.platform, Random: random, FaultsEnded: func() bool { return time.Since(began) > duration }}
	sender := &simulation.FaultyBackend{Backend: h.backend, Random: random, RefusalPercent: []int{20, 97, 100}[seed%3]}
	node := func() *execute.Executor {
		return execute.New(execute.Options{
			Fleet: "test", Index: h.index, Sender: sender, Claims: claims, Picker: simulation.FirstPicker{},
		})
	}
	nodes := []*execute.Executor{node(), node()}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			time.Sleep(random.Duration(duration))
			req := fee(fmt.Sprint("key", i%4))
			req.Body = fmt.Append(nil, "fee", i%4)
			req.Deadline = random.Duration(5*time.Second) + time.Millisecond
			ctx, cancel := context.WithTimeout(background, random.Duration(20*time.Second))
			defer cancel()
			mu.Lock()
			x := nodes[random.IntN(len(nodes))]
			mu.Unlock()
			o := x.Execute(ctx, req)
			runs := h.backend.Runs(string(req.Body))
			mu.Lock()
			defer mu.Unlock()
			totals[o.Evidence]++
			h.c.Check(o.Evidence != notRun || runs == 0, qt.IsTrue, qt.Commentf("seed %d: reported as not run (%v), but had run", seed, o.Reason))
			h.c.Check(o.Evidence != ran || runs == 1, qt.IsTrue, qt.Commentf("seed %d: reported as run, but did not run exactly once", seed))
		})
	}
	time.Sleep(random.Duration(duration))
	mu.Lock()
	closing := nodes[0]
	nodes = append(nodes, node())
	mu.Unlock()
	h.c.Check(closing.Close(background), qt.IsNil)
	callers.Wait()
	time.Sleep(time.Hour)
	for i := range 4 {
		runs := h.backend.Runs(fmt.Sprint("fee", i))
		h.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("seed %d: fee %d ran %d times", seed, i, runs))
	}
	for _, x := range nodes {
		h.c.Check(x.Open(), qt.Equals, 0)
		h.c.Check(x.Close(background), qt.IsNil)
	}
	h.close()
}
