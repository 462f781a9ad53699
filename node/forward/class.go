package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/route"
)

// class is what this node knows of the requests of one route.
type class struct {
	// mu guards the fields below.
	mu       sync.Mutex
	recent   hedge.Quantile
	splitter *route.Splitter
	parts    []route.Weighted
}

// class returns the tables of a route's class. Routes are told apart by name, so that
// a new version of a route keeps what is known.
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
	if c.splitter == nil || !sameParts(c.parts, r.Split) {
		c.splitter = route.NewSplitter(r.Split, rand.Float64())
		c.parts = r.Split
	}
	return []string{r.Split[c.splitter.Next(r.Split)].Service}
}

func sameParts(a, b []route.Weighted) bool {
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

// observe takes the latency of a first attempt.
func (c *class) observe(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Observe(took)
}

// hedging returns how long attempts may be out before they are hedged.
func (c *class) hedging(objective time.Duration) gather.HedgeDelay {
	c.mu.Lock()
	defer c.mu.Unlock()
	return gather.NewHedgeDelay(&c.recent, objective)
}
