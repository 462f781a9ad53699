package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/route"
)

// class is the state of the requests of one route at this node.
type class struct {
	// mu guards the fields below.
	mu        sync.Mutex
	latencies hedge.Quantile
	answers   gather.AnswerSize
	splitter  *route.Splitter
	split     []route.Weighted
}

// class returns the class of a route, which is created if there is none. Routes are
// identified by name, so that a new version of a route keeps its state.
func (f *Forwarder) class(r *route.Route) *class {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.classes[r.Name]
	if c == nil {
		c = &class{}
		f.classes[r.Name] = c
	}
	return c
}

// targets returns the services that a request of the route goes to.
func (c *class) targets(r *route.Route) []string {
	if r.Gathers() {
		return r.Shards
	}
	if len(r.Split) == 1 {
		return []string{r.Split[0].Service}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.splitter == nil || !sameSplit(c.split, r.Split) {
		c.splitter = route.NewSplitter(r.Split, rand.Float64())
		c.split = r.Split
	}
	return []string{r.Split[c.splitter.Next(r.Split)].Service}
}

func sameSplit(a, b []route.Weighted) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// observe records the latency of a first attempt.
func (c *class) observe(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencies.Observe(took)
}

// observeAnswer records a merged answer.
func (c *class) observeAnswer(a *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers.Observe(len(a.Body), a.Signatures)
}

// transferTime returns the time that the next answer needs on a network link.
func (c *class) transferTime(bytesPerSecond float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers.TransferTime(bytesPerSecond)
}

// hedgeDelay returns how long attempts may be in flight before they are hedged.
func (c *class) hedgeDelay(objective time.Duration) gather.HedgeDelay {
	c.mu.Lock()
	defer c.mu.Unlock()
	return gather.NewHedgeDelay(&c.latencies, objective)
}
