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

// Many callers submit the same few fees at two nodes, cancel, come back and
// overlap, while the platform and the backend servers fail in every way at once
// and one node shuts down, though callers still reach it, and is replaced. Counted at the backend service: no fee
// runs twice, and none that was told "not run" had run by then.
func TestRetriesUnderRandomFaultsRunEachFeeOnce(t *testing.T) {
	const storms = 150
	totals := make(map[pb.Evidence]int)
	for seed := range uint64(storms) {
		synctest.Test(t, func(t *testing.T) { storm(t, seed, totals) })
	}
	t.Logf("outcomes of %d storms: %v", storms, totals)
	for _, evidence := range []pb.Evidence{ran, notRun, unknown} {
		qt.Check(t, totals[evidence] > storms/2, qt.IsTrue, qt.Commentf("too few %v to prove anything", evidence))
	}
}

func storm(t *testing.T, seed uint64, totals map[pb.Evidence]int) {
	r := newRig(t)
	d := simulation.NewRandom(seed)
	began := time.Now()
	const length = 30 * time.Second
	claims := &simulation.FaultyPlatform{Platform: r.platform, Random: d, FaultsEnded: func() bool { return time.Since(began) > length }}
	sender := &simulation.FaultyBackend{Backend: r.backend, Random: d, RefusalPercent: []int{20, 97, 100}[seed%3]}
	node := func() *execute.Executor {
		return execute.New(execute.Options{
			Fleet: "test", Index: r.index, Sender: sender, Claims: claims, Picker: simulation.FirstPicker{},
		})
	}
	nodes := []*execute.Executor{node(), node()}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			time.Sleep(d.Duration(length))
			req := fee(fmt.Sprint("key", i%4))
			req.Body = fmt.Append(nil, "fee", i%4)
			req.Deadline = d.Duration(5*time.Second) + time.Millisecond
			ctx, cancel := context.WithTimeout(background, d.Duration(20*time.Second))
			defer cancel()
			mu.Lock()
			x := nodes[d.IntN(len(nodes))]
			mu.Unlock()
			o := x.Execute(ctx, req)
			runs := r.backend.Runs(string(req.Body))
			mu.Lock()
			defer mu.Unlock()
			totals[o.Evidence]++
			r.c.Check(o.Evidence != notRun || runs == 0, qt.IsTrue, qt.Commentf("seed %d: false not run (%v)", seed, o.Reason))
			r.c.Check(o.Evidence != ran || runs == 1, qt.IsTrue, qt.Commentf("seed %d: false ran", seed))
		})
	}
	time.Sleep(d.Duration(length))
	mu.Lock()
	leaving := nodes[0]
	nodes = append(nodes, node())
	mu.Unlock()
	r.c.Check(leaving.Close(background), qt.IsNil)
	callers.Wait()
	time.Sleep(time.Hour)
	for i := range 4 {
		runs := r.backend.Runs(fmt.Sprint("fee", i))
		r.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("seed %d: fee %d ran %d times", seed, i, runs))
	}
	for _, x := range nodes {
		r.c.Check(x.Open(), qt.Equals, 0)
		r.c.Check(x.Close(background), qt.IsNil)
	}
	r.close()
}
